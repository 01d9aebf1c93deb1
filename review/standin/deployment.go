package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
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

// The ports of a deployment; all machines have the same.
const (
	portPacket = iota
	portOutbound
	portApp
	portControl
	portReady
	portInternal
	portCount
)

// metricsPort is the port that the deploy file gives to the roles.
const metricsPort = 9464

// machine is one machine of the deployment, with one process of the system.
type machine struct {
	name, class, role, zone string
	service                 string
	addr                    netip.Addr
	settings, data          string
	command                 *exec.Cmd
	ended                   chan struct{}
	ready                   bool
	misses                  int
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	root, folder string
	heartbeat    time.Duration
	roles        map[string][]string
	ports        [portCount]uint16
	block        [2]byte
	lastAddr     byte
	machines     []*machine
	targets      []*target
	clients      []*client
	begin        time.Time
	out          *os.File
	lock         sync.Mutex
	runs         map[string][]*target
	http         http.Client
	stop         context.CancelFunc
	// skipTarget reports whether a side machine starts without a target, if set.
	skipTarget func(m *machine) bool
	// bornOffset is how far the time of day of a starting target's machine is ahead.
	bornOffset time.Duration
	// outputOf returns what replaces the log file as a process's standard output, if set.
	outputOf func(m *machine) *os.File
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// newDeployment prepares a deployment whose commands come from the deploy file.
func newDeployment(root, record string) (*deployment, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		root: root, folder: folder, heartbeat: 1200 * time.Millisecond, begin: time.Now(), out: out, runs: map[string][]*target{},
		http: http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	d.roles, err = commands(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	return d, d.findAddresses()
}

// commands returns the command line of each role of the deploy file, by the interface
// that it serves.
func commands(path string) (map[string][]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	found := map[string][]string{}
	var run []string
	for _, line := range strings.Split(string(text), "\n") {
		name, value, _ := strings.Cut(line, " = ")
		switch strings.TrimSpace(name) {
		case "run":
			run = strings.Fields(strings.Trim(value, `"`))
		case "serves":
			found[strings.Trim(value, `[]" `)] = run
		}
	}
	for _, role := range []string{"front", "side", "control"} {
		if len(found[role]) == 0 {
			return nil, fmt.Errorf("the deploy file has no command that serves %s", role)
		}
	}
	return found, nil
}

// findAddresses picks a block of loopback addresses and free ports on it.
func (d *deployment) findAddresses() error {
	for range 20 {
		d.block = [2]byte{byte(20 + rand.IntN(200)), byte(1 + rand.IntN(250))}
		base := uint16(20000 + rand.IntN(10000))
		for i := range d.ports {
			d.ports[i] = base + uint16(i)
		}
		first := netip.AddrFrom4([4]byte{127, d.block[0], d.block[1], 1})
		free := true
		for _, port := range append([]uint16{metricsPort}, d.ports[:]...) {
			l, err := net.Listen("tcp4", netip.AddrPortFrom(first, port).String())
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return nil
		}
	}
	return errors.New("no free addresses")
}

func (d *deployment) newAddr() netip.Addr {
	d.lastAddr++
	return netip.AddrFrom4([4]byte{127, d.block[0], d.block[1], d.lastAddr})
}

func (d *deployment) at(m *machine, port int) netip.AddrPort {
	return netip.AddrPortFrom(m.addr, d.ports[port])
}

// record writes a line with the milliseconds since the start to the record.
func (d *deployment) record(format string, arguments ...any) {
	d.lock.Lock()
	defer d.lock.Unlock()
	_, _ = fmt.Fprintf(d.out, "%8d ms  %s\n", time.Since(d.begin).Milliseconds(), fmt.Sprintf(format, arguments...))
}

// ran records that a target has begun to work on a request.
func (d *deployment) ran(id string, t *target) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.runs[id] = append(d.runs[id], t)
}

// ranAt returns the targets that have run a request.
func (d *deployment) ranAt(id string) []*target {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.runs[id]
}

// addMachine adds a machine; serves is front, side or control.
func (d *deployment) addMachine(serves, zone, service string) *machine {
	class := map[string]string{"front": "front", "side": "side", "control": "core"}[serves]
	m := &machine{class: class, role: serves, zone: zone, service: service, addr: d.newAddr()}
	m.name = fmt.Sprintf("%s-%s-%d", class, zone, len(d.machines)+1)
	m.settings = filepath.Join(d.folder, m.name+".toml")
	m.data = filepath.Join(d.folder, m.name+"-data")
	d.machines = append(d.machines, m)
	return m
}

// of returns the machines whose process serves an interface.
func (d *deployment) of(serves string) []*machine {
	var found []*machine
	for _, m := range d.machines {
		if m.role == serves {
			found = append(found, m)
		}
	}
	return found
}

// writeSettings writes a machine's settings file as DEPLOY shows it.
func (d *deployment) writeSettings(m *machine, first bool) error {
	var seeds []string
	for _, c := range d.of("control")[:min(3, len(d.of("control")))] {
		seeds = append(seeds, fmt.Sprintf("%q", d.at(c, portControl)))
	}
	text := render("settings.toml.tmpl", map[string]any{
		"Name": m.name, "Role": m.role, "Class": m.class, "Address": m.addr, "Zone": m.zone, "Zones": zones, "Service": m.service,
		"Internal": d.ports[portInternal], "InternalEnd": d.ports[portInternal] + 15, "Seeds": strings.Join(seeds, ","), "First": first,
		"HeartbeatMs": d.heartbeat.Milliseconds(), "Data": m.data, "App": d.at(m, portApp), "Packet": d.at(m, portPacket),
		"Ready": d.at(m, portReady), "Outbound": d.at(m, portOutbound), "Control": d.at(m, portControl),
	})
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts the machine's process with the command of the deploy file.
func (d *deployment) start(m *machine) error {
	run := d.roles[m.role]
	command := exec.Command(filepath.Join(d.root, run[0]), run[1:]...)
	command.Dir = d.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, names.SettingsVariable + "=" + m.settings}
	log, err := os.OpenFile(filepath.Join(d.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command.Stdout, command.Stderr = log, log
	if d.outputOf != nil && d.outputOf(m) != nil {
		command.Stdout = d.outputOf(m)
	}
	err = command.Start()
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	m.command, m.ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// startAll starts all machines and the routers' readiness checks.
func (d *deployment) startAll() error {
	for _, m := range d.machines {
		err := d.writeSettings(m, true)
		if err == nil {
			err = d.start(m)
		}
		if err != nil {
			return err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	for _, m := range d.of("front") {
		go d.probeReady(ctx, m)
	}
	return nil
}

// signal sends a signal to a process that this run has started.
func (d *deployment) signal(m *machine, s syscall.Signal) {
	d.record("%s gets %s", m.name, s)
	if m.command != nil {
		_ = m.command.Process.Signal(s)
	}
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	if d.stop != nil {
		d.stop()
	}
	for _, m := range d.machines {
		if m.command != nil {
			_ = m.command.Process.Signal(syscall.SIGCONT)
			_ = m.command.Process.Kill()
			<-m.ended
		}
	}
	for _, t := range d.targets {
		t.close()
	}
	for _, c := range d.clients {
		_ = c.conn.Close()
	}
	keep := os.Getenv("KEEP")
	if keep == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("kept", d.folder)
	}
	_ = d.out.Close()
}

// probeReady checks an entry instance twice a second, as the routers do.
func (d *deployment) probeReady(ctx context.Context, m *machine) {
	probes := http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		ok := false
		response, err := probes.Get("http://" + d.at(m, portReady).String() + names.Ready)
		if err == nil {
			ok = response.StatusCode == http.StatusOK
			_ = response.Body.Close()
		}
		d.lock.Lock()
		switch {
		case ok:
			m.ready, m.misses = true, 0
		default:
			m.misses++
			if m.misses >= 2 {
				m.ready = false
			}
		}
		d.lock.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// entryFor returns the packet address of the entry instance that the routers pick: by a
// hash of the flow over those in rotation in the zone, or in any zone if it has none.
func (d *deployment) entryFor(zone string, key flowKey) netip.AddrPort {
	d.lock.Lock()
	defer d.lock.Unlock()
	var best *machine
	var bestWeight uint64
	for _, own := range []bool{true, false} {
		for _, m := range d.machines {
			if m.role != "front" || !m.ready || (own && m.zone != zone) {
				continue
			}
			hash := fnv.New64a()
			_, _ = io.WriteString(hash, key.String()+m.name)
			if best == nil || hash.Sum64() > bestWeight {
				best, bestWeight = m, hash.Sum64()
			}
		}
		if best != nil {
			return netip.AddrPortFrom(best.addr, d.ports[portPacket])
		}
	}
	return netip.AddrPort{}
}

// call makes an HTTP call and returns the status and the body, 0 for no response.
func (d *deployment) call(method string, at netip.AddrPort, path, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+at.String()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, ""
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := d.http.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(answer)
}

func (d *deployment) put(at netip.AddrPort, path, body string) int {
	status, _ := d.call(http.MethodPut, at, path, body)
	return status
}

func statusText(status int) string {
	if status == 0 {
		return "no response"
	}
	return fmt.Sprint(status)
}

// order sends an operator's order to one control instance after the other until it is
// acknowledged, and reports whether it was within the given time.
func (d *deployment) order(method, path, body string, limit time.Duration, first int) bool {
	end := time.Now().Add(limit)
	controls := d.of("control")
	for attempt := 0; time.Now().Before(end); attempt++ {
		m := controls[(first+attempt)%len(controls)]
		status, _ := d.call(method, d.at(m, portControl), path, body)
		d.record("operator: %s %s at %s: %s", method, path, m.name, statusText(status))
		switch {
		case status/100 == 2:
			return true
		case status == 400 || status == 409 || status == 412 || status == 413 || status == 422:
			return false
		}
		time.Sleep(time.Duration(min(attempt+1, 5)) * 50 * time.Millisecond)
	}
	return false
}

// waitReady waits until all entry instances and companions are ready.
func (d *deployment) waitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		ready := true
		for _, m := range d.machines {
			if m.role == "control" || (m.role == "side" && d.skipTarget != nil && d.skipTarget(m)) {
				continue
			}
			status, _ := d.call(http.MethodGet, d.at(m, portReady), names.Ready, "")
			ready = ready && status == http.StatusOK
		}
		if ready {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
