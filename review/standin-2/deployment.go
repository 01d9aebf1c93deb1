package main

import (
	"context"
	"fmt"
	"iter"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, those of the small deployment of the users' pages.
const (
	heartbeatInterval = 1200 * time.Millisecond
	contactTime       = 4 * time.Second
	configPropagation = 3 * time.Second
	idleTimeout       = 15 * time.Second
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 400 * time.Millisecond
	// stopLimit is how long a process may take to end after SIGTERM.
	stopLimit = 6 * time.Second
)

// The services, and their routes' ports. Requests of one of them may not be run by the other.
const (
	service      = "balcao"
	otherService = "manuais"
	port         = 8443
	otherPort    = 8080
)

// serviceOf returns the service that the route of an address is configured for.
func serviceOf(route netip.AddrPort) string {
	if route.Port() == otherPort {
		return otherService
	}
	return service
}

// node is one machine with one process of the system.
type node struct {
	name, class, zone string
	address           netip.Addr
	packets, outbound netip.AddrPort
	ready, control    netip.AddrPort
	app               netip.AddrPort
	settings, data    string
	// service is that of the target on the machine, as its settings name it.
	service string

	lock    sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// deployment is a small deployment of the system on loopback addresses.
type deployment struct {
	record   *record
	folder   string
	commands map[string][]string
	network  [2]byte
	port     uint16
	controls []*node
	entries  []*node
	sides    []*node
	route    netip.AddrPort
	other    netip.AddrPort
	router   *router
	client   *client
	version  int
}

// shape is how many nodes of each class a deployment has.
type shape struct{ controls, entries, sides int }

var zones = []string{"sul-a", "sul-b", "sul-c"}

func newDeployment(r *record, folder string, s shape) (*deployment, error) {
	commands, err := readCommands("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, folder: folder, commands: commands}
	err = d.findNetwork(s)
	if err != nil {
		return nil, err
	}
	for i := range s.controls {
		d.controls = append(d.controls, d.newNode("core", i))
	}
	for i := range s.entries {
		d.entries = append(d.entries, d.newNode("front", i))
	}
	for i := range s.sides {
		d.sides = append(d.sides, d.newNode("side", i))
	}
	d.route, d.other = netip.AddrPortFrom(d.address(51), port), netip.AddrPortFrom(d.address(51), otherPort)
	d.router = &router{record: r, nodes: d.entries, misses: make(map[*node]int), out: make(map[*node]bool)}
	d.client, err = newClient(r, d.router, netip.AddrPortFrom(d.address(41), d.port))
	return d, err
}

// Offsets of the ports from the first one. The internal ports are the last ones.
const (
	offsetOutbound = 1
	offsetReady    = 2
	offsetControl  = 3
	offsetApp      = 4
	offsetInternal = 5
	portCount      = 21
)

// findNetwork picks a part of the loopback network whose ports are free.
func (d *deployment) findNetwork(s shape) error {
	for range 50 {
		d.network = [2]byte{byte(64 + rand.IntN(128)), byte(1 + rand.IntN(250))}
		d.port = uint16(20000 + rand.IntN(10000))
		free := true
		for _, last := range []byte{11, 21, 31, 41} {
			for offset := range uint16(portCount) {
				at := netip.AddrPortFrom(d.address(last), d.port+offset).String()
				tcp, err := net.Listen("tcp4", at)
				if err != nil {
					free = false
					continue
				}
				_ = tcp.Close()
			}
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free ports for %v", s)
}

func (d *deployment) address(last byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.network[0], d.network[1], last})
}

// firstAddress is the last byte of the address of the first node of each class.
var firstAddress = map[string]byte{"core": 11, "front": 21, "side": 31}

func (d *deployment) newNode(class string, i int) *node {
	n := &node{class: class, zone: zones[i%len(zones)], address: d.address(firstAddress[class] + byte(i)), service: service}
	n.name = fmt.Sprintf("%s-%s-%d", class, n.zone, i/len(zones)+1)
	at := func(offset uint16) netip.AddrPort { return netip.AddrPortFrom(n.address, d.port+offset) }
	n.packets, n.outbound, n.ready, n.control, n.app = at(0), at(offsetOutbound), at(offsetReady), at(offsetControl), at(offsetApp)
	n.settings = filepath.Join(d.folder, n.name+".toml")
	if class == "core" {
		n.data = filepath.Join(d.folder, n.name+".data")
	}
	return n
}

// writeSettings writes the node's settings file.
func (d *deployment) writeSettings(n *node, bootstrap bool) error {
	values := settings{
		Name: n.name, Class: n.class, Serves: n.class, Zone: n.zone, Service: n.service, Data: n.data, Address: n.address,
		FirstPort: d.port + offsetInternal, LastPort: d.port + portCount - 1, Bootstrap: bootstrap, HeartbeatMs: heartbeatInterval.Milliseconds(),
		Zones: zones, Packets: n.packets, Outbound: n.outbound, Ready: n.ready, Control: n.control, App: n.app,
	}
	if n.class == "core" {
		values.Serves = "control"
	}
	for _, c := range d.controls[:3] {
		values.Seeds = append(values.Seeds, c.control)
	}
	text, err := values.file()
	if err != nil {
		return err
	}
	return os.WriteFile(n.settings, []byte(text+"\n"), 0o600)
}

// readCommands returns the command line of each class of machines from the deploy file.
func readCommands(path string) (map[string][]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	commands := make(map[string][]string)
	var run []string
	for line := range splitLines(data) {
		name, value, _ := strings.Cut(line, "=")
		value = strings.Trim(strings.TrimSpace(value), `"`)
		switch strings.TrimSpace(name) {
		case "run":
			run = strings.Fields(value)
		case "on":
			commands[value] = run
		}
	}
	if len(commands) != 3 {
		return nil, fmt.Errorf("%s has roles on %d classes of machines", path, len(commands))
	}
	return commands, nil
}

func splitLines(data []byte) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, line := range strings.Split(string(data), "\n") {
			if !yield(strings.TrimRight(line, "\r")) {
				return
			}
		}
	}
}

// start starts the node's process.
func (d *deployment) start(n *node, bootstrap bool) error {
	err := d.writeSettings(n, bootstrap)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	words := d.commands[n.class]
	command := exec.Command(words[0], words[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names.SettingsVariable + "=" + n.settings}
	command.Stdout, command.Stderr = log, log
	err = command.Start()
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	n.lock.Lock()
	n.command, n.ended = command, ended
	n.lock.Unlock()
	d.record.add("%s started, process %d", n.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		d.record.add("%s ended: %v", n.name, err)
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the node's process.
func (d *deployment) signal(n *node, s syscall.Signal) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if n.command != nil {
		d.record.add("%s gets %v", n.name, s)
		_ = n.command.Process.Signal(s)
	}
}

// kill kills the node's process.
func (d *deployment) kill(n *node) {
	d.signal(n, syscall.SIGKILL)
	<-n.ended
}

// restart stops the node's process by SIGTERM, as planned work does, and starts it again.
func (d *deployment) restart(n *node) error {
	d.signal(n, syscall.SIGTERM)
	select {
	case <-n.ended:
	case <-time.After(stopLimit):
		d.signal(n, syscall.SIGKILL)
		<-n.ended
	}
	time.Sleep(restartDelay)
	return d.start(n, false)
}

func (d *deployment) nodes() []*node {
	return append(append(append([]*node{}, d.controls...), d.entries...), d.sides...)
}

// startAll starts all processes but those of the nodes left out.
func (d *deployment) startAll(ctx context.Context, leftOut ...*node) error {
	for _, n := range d.nodes() {
		skip := false
		for _, l := range leftOut {
			skip = skip || l == n
		}
		if skip {
			continue
		}
		err := d.start(n, true)
		if err != nil {
			return err
		}
	}
	go d.router.run(ctx)
	return nil
}

// stopAll ends all processes that this deployment has started.
func (d *deployment) stopAll() {
	for _, n := range d.nodes() {
		n.lock.Lock()
		command, ended := n.command, n.ended
		n.lock.Unlock()
		if command == nil {
			continue
		}
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		<-ended
	}
}

// configure submits the next configuration until a control instance acknowledges it.
func (d *deployment) configure(ctx context.Context) error {
	d.version++
	next := configuration{Version: d.version, IdleTimeout: idleTimeout.Milliseconds()}
	for _, r := range []netip.AddrPort{d.route, d.other} {
		next.Routes = append(next.Routes, routeEntry{Service: serviceOf(r), Host: r.Addr(), Port: r.Port()})
	}
	body, err := next.body()
	if err != nil {
		return err
	}
	for i := 0; ctx.Err() == nil; i++ {
		at := d.controls[i%len(d.controls)]
		status, err := callHTTP(ctx, http.MethodPut, "http://"+at.control.String()+names.Configuration, body)
		d.record.add("operator: version %d at %s -> %d %v", d.version, at.name, status, err)
		if status == http.StatusOK {
			return nil
		}
		sleep(ctx, 300*time.Millisecond)
	}
	return ctx.Err()
}

// awaitService waits until a request is served.
func (d *deployment) awaitService(ctx context.Context) error {
	for i := 0; ctx.Err() == nil; i++ {
		f, err := d.client.open(d.route)
		if err == nil && f.request(fmt.Sprintf("first-%d", i), 1500*time.Millisecond) == nil {
			return nil
		}
		sleep(ctx, 300*time.Millisecond)
	}
	return ctx.Err()
}
