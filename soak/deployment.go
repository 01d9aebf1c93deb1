package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
	"zinniapulley.dev/platform"
	"zinniapulley.dev/platform/platformtest"
	"zinniapulley.dev/standin/packets"
)

// Sizes of the deployment. Servers are in two zones and of two services by
// turns.
const (
	controls = 3
	entries  = 3
	servers  = 6
	callers  = 4

	announceInterval = 300 * time.Millisecond
)

// The kinds of processes, by the argument that starts each.
const (
	roleControl   = "control"
	roleEntry     = "entry"
	roleCompanion = "companion"
)

// process is one program of the system.
type process struct {
	name     string
	role     string
	settings platformtest.Settings
	// file is the settings file, data the folder of a process with a disk.
	file    string
	data    string
	log     *os.File
	lock    sync.Mutex
	command *exec.Cmd
	paused  bool
	ended   chan struct{}
}

// backend is a backend server with what it says of itself.
type backend struct {
	server   *packets.Server
	service  core.ServiceName
	zone     core.DataCentre
	announce string
	lock     sync.Mutex
	start    int
	number   int
	draining bool
	// drainedAt is when its wish to leave was acknowledged, in nanoseconds since 1970;
	// zero if it wasn't. It is read without the lock, by the server's goroutine.
	drainedAt atomic.Int64
}

type deployment struct {
	options   Options
	watch     *watch
	processes []*process
	backends  []*backend
	seeds     []netip.AddrPort
}

func (d *deployment) at(group, number byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, d.options.Network + group, number}), port)
}

const (
	groupControl byte = iota
	groupEntry
	groupServer
	groupCaller
)

func newDeployment(options Options, w *watch) (*deployment, error) {
	d := &deployment{options: options, watch: w}
	for i := range byte(controls) {
		d.seeds = append(d.seeds, d.at(groupControl, i+1, platformtest.PortControl))
	}
	for i := range byte(controls) {
		d.add(roleControl, d.at(groupControl, i+1, 0).Addr(), i)
	}
	for i := range byte(entries) {
		d.add(roleEntry, d.at(groupEntry, i+1, 0).Addr(), i)
	}
	for i := range byte(servers) {
		d.add(roleCompanion, d.at(groupServer, i+1, 0).Addr(), i)
		err := d.addBackend(i)
		if err != nil {
			return nil, err
		}
	}
	return d, nil
}

func zoneOf(i byte) core.DataCentre     { return []core.DataCentre{"north", "south"}[i%2] }
func serviceOf(i byte) core.ServiceName { return []core.ServiceName{"feed", "feed", "files"}[i%3] }

func (d *deployment) add(role string, address netip.Addr, i byte) {
	name := fmt.Sprintf("%s-%d", role, i+1)
	p := &process{
		name: name, role: role, file: filepath.Join(d.options.Folder, name+".toml"), data: filepath.Join(d.options.Folder, name),
		settings: platformtest.Settings{
			Instance: core.InstanceID(name), Address: address, DataCentre: zoneOf(i), Seeds: d.seedHosts(), First: true,
			AnnounceInterval: announceInterval, DataCentres: []core.DataCentre{zoneOf(0), zoneOf(1)},
		},
	}
	switch role {
	case roleControl:
		p.settings.Folder = p.data
	case roleCompanion:
		p.settings.Service = serviceOf(i)
	}
	d.processes = append(d.processes, p)
	d.write(p)
}

func (d *deployment) seedHosts() []netip.Addr {
	var hosts []netip.Addr
	for _, seed := range d.seeds {
		hosts = append(hosts, seed.Addr())
	}
	return hosts
}

// write writes the settings file of a process.
func (d *deployment) write(p *process) {
	err := os.WriteFile(p.file, []byte(p.settings.File()), 0o600)
	if err != nil {
		d.watch.violation("settings of %s not written: %v", p.name, err)
	}
}

func (d *deployment) addBackend(i byte) error {
	server, err := packets.NewServer(fmt.Sprintf("%s%d", serviceOf(i), i), d.at(groupServer, i+1, platformtest.PortServer), d.at(groupServer, i+1, platformtest.PortOutbound))
	if err != nil {
		return err
	}
	b := &backend{server: server, service: serviceOf(i), zone: zoneOf(i), announce: "http://" + d.at(groupServer, i+1, platformtest.PortControl).String(), start: 1}
	server.OnOpen = func(route netip.AddrPort) { d.opening(b, route) }
	d.backends = append(d.backends, b)
	go server.Run()
	return nil
}

func (d *deployment) startAll() error {
	for _, p := range d.processes {
		err := d.start(p)
		if err != nil {
			return err
		}
	}
	return nil
}

// start starts a process, unless it runs.
func (d *deployment) start(p *process) error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.command != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(d.options.Folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Annotatef(err, "open log of %s", p.name)
	}
	arguments := append(append([]string{}, d.options.Command[1:]...), "platform", p.role)
	command := exec.Command(d.options.Command[0], arguments...)
	command.Env = append(append(os.Environ(), d.options.Environment...), platform.SettingsVariable+"="+p.file)
	command.Stdout, command.Stderr = log, log
	err = command.Start()
	if err != nil {
		return errors.Annotatef(err, "start %s", p.name)
	}
	ended := make(chan struct{})
	p.command, p.ended, p.paused, p.log = command, ended, false, log
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to a process that this run has started.
func (p *process) signal(s syscall.Signal) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s)
		p.paused = s == syscall.SIGSTOP
	}
}

// end ends a process by a signal and waits for it.
func (p *process) end(s syscall.Signal) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.command == nil {
		return
	}
	if p.paused {
		_ = p.command.Process.Signal(syscall.SIGCONT)
	}
	_ = p.command.Process.Signal(s)
	select {
	case <-p.ended:
	case <-time.After(graceTime):
		_ = p.command.Process.Kill()
		<-p.ended
	}
	p.command = nil
}

// graceTime is how long a process may take to stop.
const graceTime = 6 * time.Second

// heal ends all faults.
func (d *deployment) heal() {
	for _, p := range d.processes {
		p.signal(syscall.SIGCONT)
		err := d.start(p)
		if err != nil {
			d.watch.violation("%v", err)
		}
	}
	for _, b := range d.backends {
		b.lock.Lock()
		if b.draining {
			b.restart()
		}
		b.lock.Unlock()
	}
}

func (d *deployment) close() {
	for _, p := range d.processes {
		p.end(syscall.SIGKILL)
	}
	for _, b := range d.backends {
		b.server.Close()
	}
}

// routes lead to the services.
var routes = []platformtest.Route{
	{Address: netip.MustParseAddrPort("198.18.0.1:443"), Service: "feed"},
	{Address: netip.MustParseAddrPort("198.18.0.2:443"), Service: "files"},
}

// serviceAt returns the service that a route leads to.
func serviceAt(address netip.AddrPort) core.ServiceName {
	for _, r := range routes {
		if r.Address == address {
			return r.Service
		}
	}
	return ""
}

func (d *deployment) entryAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for i := range byte(entries) {
		addresses = append(addresses, d.at(groupEntry, i+1, platformtest.PortPackets))
	}
	return addresses
}

// serves reports whether flows of every route open before ctx is done.
func (d *deployment) serves(ctx context.Context) bool {
	c, err := packets.NewCaller(d.at(groupCaller, callers+1, platformtest.PortPackets))
	if err != nil {
		return false
	}
	defer c.Close()
	for _, route := range routes {
		for !d.opens(c, route.Address) {
			if ctx.Err() != nil {
				return false
			}
		}
	}
	return true
}

func (d *deployment) opens(c *packets.Caller, route netip.AddrPort) bool {
	f, err := c.Open(route, d.entryAddresses()...)
	if err != nil {
		time.Sleep(announceInterval)
		return false
	}
	_, err = f.Request()
	return err == nil
}

// pick returns one of the processes of a role.
func (d *deployment) pick(random *rand.Rand, role string) *process {
	var of []*process
	for _, p := range d.processes {
		if p.role == role {
			of = append(of, p)
		}
	}
	return of[random.IntN(len(of))]
}
