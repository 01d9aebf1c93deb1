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

// Sizes of the deployment. Servers alternate between two zones. Every third of the
// servers is of the second service; the job servers after them are of the third.
const (
	controls   = 3
	entries    = 3
	servers    = 6
	jobServers = 3
	callers    = 4

	announceInterval = 300 * time.Millisecond
)

// The roles of processes, as given on their command line.
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
	// file is the settings file, data the data folder of a control process.
	file    string
	data    string
	log     *os.File
	lock    sync.Mutex
	command *exec.Cmd
	paused  bool
	ended   chan struct{}
	// spared is set if faults of single processes don't affect this one.
	spared bool
	// disturbed holds the times at which the process was started, stopped, paused or
	// resumed or its server's speed changed.
	disturbed timeline
}

// backend is a backend server and what it announces.
type backend struct {
	server *packets.Server
	// address is where the server receives packets.
	address     netip.AddrPort
	companion   *process
	service     core.ServiceName
	zone        core.DataCentre
	announceURL string
	lock        sync.Mutex
	// start counts the server's starts, number the announcements of the current start.
	start    int
	number   int
	draining bool
	// drainedAt is when its draining was acknowledged, in Unix nanoseconds, or zero.
	// The server's goroutine reads it without the lock.
	drainedAt atomic.Int64
}

type deployment struct {
	options   Options
	recorder  *recorder
	processes []*process
	backends  []*backend
	jobs      *jobs
	seeds     []netip.AddrPort
}

func (d *deployment) address(group, number byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, d.options.Network + group, number}), port)
}

const (
	groupControl byte = iota
	groupEntry
	groupServer
	groupCaller
)

func newDeployment(options Options, r *recorder) (*deployment, error) {
	d := &deployment{options: options, recorder: r, jobs: newJobs()}
	for i := range byte(controls) {
		d.seeds = append(d.seeds, d.address(groupControl, i+1, platformtest.PortControl))
	}
	for i := range byte(controls) {
		d.addProcess(roleControl, d.address(groupControl, i+1, 0).Addr(), i)
	}
	for i := range byte(entries) {
		d.addProcess(roleEntry, d.address(groupEntry, i+1, 0).Addr(), i)
	}
	for i := range byte(servers + jobServers) {
		companion := d.addProcess(roleCompanion, d.address(groupServer, i+1, 0).Addr(), i)
		err := d.addBackend(i, companion)
		if err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

func zoneOf(i byte) core.DataCentre { return []core.DataCentre{"north", "south"}[i%2] }

func serviceOf(i byte) core.ServiceName {
	if i >= servers {
		return jobsService
	}
	return []core.ServiceName{"feed", "feed", "files"}[i%3]
}

func (d *deployment) addProcess(role string, address netip.Addr, i byte) *process {
	name := fmt.Sprintf("%s-%d", role, i+1)
	p := &process{
		name: name, role: role, file: filepath.Join(d.options.Folder, name+".toml"), data: filepath.Join(d.options.Folder, name),
		settings: platformtest.Settings{
			Instance: core.InstanceID(name), Address: address, DataCentre: zoneOf(i), Seeds: d.seedHosts(), First: true,
			AnnounceInterval: announceInterval, DataCentres: []core.DataCentre{zoneOf(0), zoneOf(1), ordersDataCentre},
		},
	}
	switch role {
	case roleControl:
		p.settings.Folder = p.data
	case roleCompanion:
		p.settings.Service = serviceOf(i)
		p.spared = i >= servers
	}
	d.processes = append(d.processes, p)
	d.writeSettings(p)
	return p
}

func (d *deployment) seedHosts() []netip.Addr {
	var hosts []netip.Addr
	for _, seed := range d.seeds {
		hosts = append(hosts, seed.Addr())
	}
	return hosts
}

// writeSettings writes the settings file of a process.
func (d *deployment) writeSettings(p *process) {
	err := os.WriteFile(p.file, []byte(p.settings.File()), 0o600)
	if err != nil {
		d.recorder.violation("settings of %s not written: %v", p.name, err)
	}
}

func (d *deployment) addBackend(i byte, companion *process) error {
	address := d.address(groupServer, i+1, platformtest.PortServer)
	server, err := packets.NewServer(fmt.Sprintf("%s%d", serviceOf(i), i), address, d.address(groupServer, i+1, platformtest.PortOutbound))
	if err != nil {
		return err
	}
	b := &backend{server: server, address: address, companion: companion, service: serviceOf(i), zone: zoneOf(i), announceURL: "http://" + d.address(groupServer, i+1, platformtest.PortControl).String(), start: 1}
	server.OnOpen = func(key core.FlowKey) { d.checkOpening(b, key.Service) }
	if b.service == jobsService {
		d.jobs.addServer(b, server.OnOpen)
	} else {
		d.backends = append(d.backends, b)
	}
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

// start starts a process unless it is running.
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
	p.disturbed.add()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process if this run has started it.
func (p *process) signal(s syscall.Signal) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s)
		p.disturbed.add()
		p.paused = s == syscall.SIGSTOP
	}
}

// stop sends the process a signal and waits for its exit. After stopTimeout it
// kills the process.
func (p *process) stop(s syscall.Signal) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.command == nil {
		return
	}
	p.disturbed.add()
	if p.paused {
		_ = p.command.Process.Signal(syscall.SIGCONT)
	}
	_ = p.command.Process.Signal(s)
	select {
	case <-p.ended:
	case <-time.After(stopTimeout):
		_ = p.command.Process.Kill()
		<-p.ended
	}
	p.command = nil
}

// stopTimeout bounds the time that a process takes to stop.
const stopTimeout = 6 * time.Second

// heal ends all faults.
func (d *deployment) heal() {
	for _, p := range d.processes {
		p.signal(syscall.SIGCONT)
		err := d.start(p)
		if err != nil {
			d.recorder.violation("%v", err)
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
		p.stop(syscall.SIGKILL)
	}
	for _, b := range d.allBackends() {
		b.server.Close()
	}
}

func (d *deployment) allBackends() []*backend {
	return append(append([]*backend{}, d.backends...), d.jobs.servers...)
}

// routes are the routes of every configuration. Callers with long flows use the first
// flowRoutes of them.
var routes = []platformtest.Route{
	{Address: netip.MustParseAddrPort("198.18.0.1:443"), Service: "feed"},
	{Address: netip.MustParseAddrPort("198.18.0.2:443"), Service: "files"},
	{Address: urgentRoute, Service: jobsService, Name: "urgent", Priority: 1, Once: true},
	{Address: ordinaryRoute, Service: jobsService, Name: "ordinary", Priority: 2},
}

const flowRoutes = 2

// serviceAt returns the service of the route at an address, or "".
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
		addresses = append(addresses, d.address(groupEntry, i+1, platformtest.PortPackets))
	}
	return addresses
}

// waitUntilServing waits until a flow of every route has opened. It returns false if
// ctx is done first.
func (d *deployment) waitUntilServing(ctx context.Context) bool {
	c, err := packets.NewCaller(d.address(groupCaller, callers+1, platformtest.PortPackets))
	if err != nil {
		return false
	}
	defer c.Close()
	for _, route := range routes {
		for !d.tryRoute(c, route.Address) {
			if ctx.Err() != nil {
				return false
			}
		}
	}
	return true
}

func (d *deployment) tryRoute(c *packets.Caller, route netip.AddrPort) bool {
	f, err := c.Open(route, d.entryAddresses()...)
	if err != nil {
		time.Sleep(announceInterval)
		return false
	}
	_, err = f.Request()
	return err == nil
}

// pick returns a random process of a role.
func (d *deployment) pick(random *rand.Rand, role string) *process {
	var candidates []*process
	for _, p := range d.processes {
		if p.role == role && !p.spared {
			candidates = append(candidates, p)
		}
	}
	return candidates[random.IntN(len(candidates))]
}
