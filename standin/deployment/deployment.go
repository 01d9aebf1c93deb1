// Package deployment runs an example deployment as separate processes from
// settings files, with stand-ins for the fabric, the callers, the backend
// servers and the network to the control instances. Everything runs on loopback,
// at the addresses of the example.
package deployment

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"slices"

	"github.com/juju/errors"
	"zinniapulley.dev/config"
	"zinniapulley.dev/core"
	"zinniapulley.dev/examples"
	"zinniapulley.dev/settings"
	"zinniapulley.dev/standin/caller"
	"zinniapulley.dev/standin/fabric"
	"zinniapulley.dev/standin/greeter"
)

// Caller is the address of the stand-in's callers. It is in a documentation range
// and appears only inside the stand-ins' packets.
var Caller = netip.MustParseAddr("198.51.100.1")

// Options configures a deployment.
type Options struct {
	Binary  Binary
	Example string
	// Folder is for settings files, logs and data folders.
	Folder string
	// Seed seeds the fabric's random choices.
	Seed uint64
}

// Deployment is a running deployment.
type Deployment struct {
	Configuration config.Document
	Fabric        *fabric.Fabric
	Callers       *caller.Stack
	Backends      []*greeter.Server
	// Settings holds the settings of each process.
	Settings []*settings.Settings

	options   Options
	network   *network
	processes []*Process
}

// Start starts every stand-in and then every process of the example.
func Start(options Options) (*Deployment, error) {
	files, err := examples.Load(options.Example)
	if err != nil {
		return nil, errors.Trace(err)
	}
	d := &Deployment{options: options, network: newNetwork()}
	err = d.start(files)
	if err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(files examples.Deployment) error {
	err := d.load(files)
	if err != nil {
		return err
	}
	err = d.startStandins()
	if err != nil {
		return err
	}
	for _, s := range d.Settings {
		err = d.startProcess(s)
		if err != nil {
			return err
		}
	}
	return nil
}

// load parses the example and inserts links in front of its control instances.
func (d *Deployment) load(files examples.Deployment) error {
	document, err := config.Parse(files.Configuration)
	if err != nil {
		return errors.Trace(err)
	}
	d.Configuration = document
	path := filepath.Join(d.options.Folder, "configuration.json")
	err = os.WriteFile(path, files.Configuration, 0o600)
	if err != nil {
		return core.At("write configuration", core.Peer(path), err)
	}
	for _, data := range files.Settings {
		parsed, err := settings.Parse(data)
		if err != nil {
			return errors.Trace(err)
		}
		d.Settings = append(d.Settings, parsed)
	}
	return d.network.connect(d.Settings)
}

func (d *Deployment) startStandins() error {
	var err error
	d.Fabric, err = fabric.New(fabric.Options{Seed: d.options.Seed})
	if err != nil {
		return errors.Trace(err)
	}
	d.Callers, err = caller.New(d.Fabric.Send)
	if err != nil {
		return errors.Trace(err)
	}
	d.Fabric.Attach(Caller, d.Callers.Deliver)
	return nil
}

// startProcess adds the stand-ins' addresses to the settings and starts the
// process.
func (d *Deployment) startProcess(s *settings.Settings) error {
	err := d.complete(s)
	if err != nil {
		return err
	}
	data, err := json.Marshal(s)
	if err != nil {
		return core.At("encode settings", core.Peer(s.Instance), err)
	}
	path := filepath.Join(d.options.Folder, string(s.Instance)+".json")
	err = os.WriteFile(path, data, 0o600)
	if err != nil {
		return core.At("write settings", core.Peer(path), err)
	}
	p, err := newProcess(d.options.Binary, d.options.Folder, s.Instance, string(s.Role), path)
	if err != nil {
		return err
	}
	d.processes = append(d.processes, p)
	return p.Start()
}

func (d *Deployment) complete(s *settings.Settings) error {
	switch s.Role {
	case settings.RoleControl:
		s.Control.DataFolder = filepath.Join(d.options.Folder, string(s.Instance)+".data")
		s.Control.InitialConfiguration = filepath.Join(d.options.Folder, "configuration.json")
	case settings.RoleEntry:
		d.Fabric.AddEntry(s.Entry.Packets)
	case settings.RoleCompanion:
		server, err := greeter.New(greeter.Identity{Service: s.Companion.Service, DataCentre: s.DataCentre, Instance: s.Instance})
		if err != nil {
			return err
		}
		d.Backends = append(d.Backends, server)
		s.Companion.BackendServer = server.Address()
		s.Companion.FabricReturn = d.Fabric.Return()
	}
	return nil
}

// Process returns the process of an instance, or nil.
func (d *Deployment) Process(instance core.InstanceID) *Process {
	i := slices.IndexFunc(d.processes, func(p *Process) bool { return p.instance == instance })
	if i < 0 {
		return nil
	}
	return d.processes[i]
}

// CutControl partitions a control instance from its peers and all other processes,
// or ends the partition. Connections stay open without carrying data.
func (d *Deployment) CutControl(instance core.InstanceID, cut bool) {
	d.network.cut(instance, cut)
}

// Close ends every process and stand-in.
func (d *Deployment) Close() {
	for _, p := range d.processes {
		if p.running() {
			_ = p.Resume()
			_ = p.Kill()
		}
		_ = p.logs.Close()
	}
	d.network.close()
	for _, server := range d.Backends {
		server.Close()
	}
	if d.Callers != nil {
		d.Callers.Close()
	}
	if d.Fabric != nil {
		_ = d.Fabric.Close()
	}
}
