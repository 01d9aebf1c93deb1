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
	"zinniapulley.dev/standin/packets"
)

// Sizes and ports of the deployment. Servers are in two zones and of two services by
// turns.
const (
	controls = 3
	entries  = 3
	servers  = 6
	callers  = 4

	portPackets  = 18172
	portOutbound = 18162
	portServer   = 18165
	portControl  = 18166
	portReady    = 18167
	portInternal = 17720

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
	settings string
	data     string
	log      *os.File
	lock     sync.Mutex
	command  *exec.Cmd
	paused   bool
	ended    chan struct{}
}

// backend is a backend server with what it says of itself.
type backend struct {
	server   *packets.Server
	service  string
	zone     string
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
		d.seeds = append(d.seeds, d.at(groupControl, i+1, portControl))
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

func zoneOf(i byte) string    { return []string{"north", "south"}[i%2] }
func serviceOf(i byte) string { return []string{"feed", "feed", "files"}[i%3] }

func (d *deployment) add(role string, address netip.Addr, i byte) {
	name := fmt.Sprintf("%s-%d", role, i+1)
	d.processes = append(d.processes, &process{
		name: name, role: role, settings: filepath.Join(d.options.Folder, name+".toml"), data: filepath.Join(d.options.Folder, name),
	})
	d.write(d.processes[len(d.processes)-1], address, zoneOf(i), serviceOf(i), true)
}

// write writes the settings file of a process, in the platform's published format.
func (d *deployment) write(p *process, address netip.Addr, zone, service string, first bool) {
	text := fmt.Sprintf("nodeName = %q\nip = %q\nzone = %q\ninternalPorts = [%d, %d]\nbootstrap = %t\nheartbeatMs = %d\n", p.name, address, zone, portInternal, portInternal+1, first, announceInterval.Milliseconds())
	text += "seeds = ["
	for _, seed := range d.seeds {
		text += fmt.Sprintf("%q,", seed)
	}
	text += "]\n"
	if p.role == roleControl {
		text += fmt.Sprintf("dataDir = %q\n", p.data)
	}
	if p.role == roleCompanion {
		text += fmt.Sprintf("app = %q\nservice = %q\n", netip.AddrPortFrom(address, portServer), service)
	}
	text += "[zones]\nnorth = \"land\"\nsouth = \"land\"\n[listen]\n"
	text += fmt.Sprintf("packetAddr = %q\noutbound = %q\nready = %q\ncontrol = %q\n", netip.AddrPortFrom(address, portPackets), netip.AddrPortFrom(address, portOutbound), netip.AddrPortFrom(address, portReady), netip.AddrPortFrom(address, portControl))
	text += "[bounds]\ncoldFactor = 1.5\ncoldSlack = 5\nmaxFlowS = 60\n"
	err := os.WriteFile(p.settings, []byte(text), 0o600)
	if err != nil {
		d.watch.violation("settings of %s not written: %v", p.name, err)
	}
}

func (d *deployment) addBackend(i byte) error {
	server, err := packets.NewServer(serviceOf(i)+string('0'+i), d.at(groupServer, i+1, portServer), d.at(groupServer, i+1, portOutbound))
	if err != nil {
		return err
	}
	b := &backend{server: server, service: serviceOf(i), zone: zoneOf(i), announce: "http://" + d.at(groupServer, i+1, portControl).String(), start: 1}
	server.Opening = func(route netip.AddrPort) { d.opening(b, route) }
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
	command.Env = append(append(os.Environ(), d.options.Environment...), "ZINNIAPULLEY_SETTINGS="+p.settings)
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

// routes maps each route to the service that it leads to.
func (d *deployment) routes() map[netip.AddrPort]string {
	return map[netip.AddrPort]string{
		netip.MustParseAddrPort("198.18.0.1:443"): "feed",
		netip.MustParseAddrPort("198.18.0.2:443"): "files",
	}
}

func (d *deployment) entryAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for i := range byte(entries) {
		addresses = append(addresses, d.at(groupEntry, i+1, portPackets))
	}
	return addresses
}

// serves reports whether flows of every route open before ctx is done.
func (d *deployment) serves(ctx context.Context) bool {
	c, err := packets.NewCaller(d.at(groupCaller, callers+1, portPackets))
	if err != nil {
		return false
	}
	defer c.Close()
	for route := range d.routes() {
		for !d.opens(c, route) {
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
	_, err = f.Ask()
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
