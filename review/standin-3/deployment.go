package main

import (
	"context"
	"errors"
	"fmt"
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

// heartbeat is the time between two announcements of a backend server, as in the pages'
// example.
const heartbeat = 1200 * time.Millisecond

// ports are the same on all machines.
type ports struct {
	Internal, InternalLast, Packets, Outbound, App, Ready, Control int
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	root    string // of the repository
	temp    string
	record  *record
	ports   ports
	network [2]byte // second and third byte of all addresses
	zones   []string
	seeds   []string
	first   bool
	client  *http.Client

	mutex    sync.Mutex
	machines []*machine
	last     byte
}

// machine runs one process of the system.
type machine struct {
	deployment *deployment
	name       string
	role       string
	class      string
	zone       string
	service    string
	ip         netip.Addr
	folder     string

	command *exec.Cmd
	ended   chan struct{}
}

func newDeployment(root string, r *record, zones []string) (*deployment, error) {
	temp, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		root: root, temp: temp, record: r, zones: zones, first: true,
		network: [2]byte{byte(64 + rand.IntN(128)), byte(rand.IntN(256))},
		client:  &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	base := 20000 + 16*rand.IntN(500)
	d.ports = ports{Internal: base, InternalLast: base + 7, Packets: base + 8, Outbound: base + 9, App: base + 10, Ready: base + 11, Control: base + 12}
	return d, nil
}

// address returns the next unused loopback address.
func (d *deployment) address() netip.Addr {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.last++
	return netip.AddrFrom4([4]byte{127, d.network[0], d.network[1], d.last})
}

func (d *deployment) at(ip netip.Addr, port int) netip.AddrPort {
	return netip.AddrPortFrom(ip, uint16(port))
}

// add adds a machine. Its process isn't started.
func (d *deployment) add(class, role, zone, service string) *machine {
	m := &machine{deployment: d, role: role, class: class, zone: zone, service: service, ip: d.address()}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	m.name = fmt.Sprintf("%s-%s-%d", class, zone, len(d.machines)+1)
	d.machines = append(d.machines, m)
	if class == "core" {
		m.folder = filepath.Join(d.temp, "data-"+m.name)
		if len(d.seeds) < 3 {
			d.seeds = append(d.seeds, d.at(m.ip, d.ports.Control).String())
		}
	}
	return m
}

// commandOf returns the command line of a role in the deploy file.
func (d *deployment) commandOf(role string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(d.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	section := ""
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			section = line
		}
		key, value, found := strings.Cut(line, "=")
		if found && strings.TrimSpace(key) == "run" && section == "[roles."+role+"]" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy file has no role %q", role)
}

// writeSettings writes the machine's settings file and returns its path.
func (m *machine) writeSettings() (string, error) {
	d := m.deployment
	path := filepath.Join(d.temp, m.name+".toml")
	serves := map[string]string{"core": "control", "front": "front", "side": "side"}[m.class]
	text := render("settings", map[string]any{
		"Name": m.name, "Role": m.role, "Class": m.class, "Serves": serves, "IP": m.ip, "Zone": m.zone, "Ports": d.ports,
		"Seeds": d.seeds, "First": d.first, "Folder": m.folder, "HeartbeatMs": heartbeat.Milliseconds(), "Service": m.service, "Zones": d.zones,
	})
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return "", err
	}
	return path, nil
}

// start starts the machine's process.
func (m *machine) start() error {
	d := m.deployment
	settings, err := m.writeSettings()
	if err != nil {
		return err
	}
	words, err := d.commandOf(m.role)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(d.root, words[0]), words[1:]...)
	command.Dir = d.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", names["settings"] + "=" + settings}
	output, err := os.OpenFile(filepath.Join(d.temp, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	_ = output.Close()
	m.command, m.ended = command, make(chan struct{})
	ended := m.ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	d.record.add("process of %s (%s) started at %s, pid %d", m.name, m.role, m.ip, command.Process.Pid)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.deployment.record.add("signal %v to %s", s, m.name)
	_ = m.command.Process.Signal(s)
}

// running reports whether the process has not ended.
func (m *machine) running() bool {
	if m.ended == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// close ends all processes that were started, and removes the folder.
func (d *deployment) close() {
	for _, m := range d.machines {
		if m.running() {
			_ = m.command.Process.Signal(syscall.SIGCONT)
			_ = m.command.Process.Kill()
			<-m.ended
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		fmt.Println("kept", d.temp)
		return
	}
	_ = os.RemoveAll(d.temp)
}

// core returns the machines of the class "core".
func (d *deployment) core() []*machine {
	var found []*machine
	for _, m := range d.machines {
		if m.class == "core" {
			found = append(found, m)
		}
	}
	return found
}

// order sends an operator's order to any control instance until it is acknowledged, and
// returns when it was.
func (d *deployment) order(ctx context.Context, method, path, body string) (time.Time, error) {
	core := d.core()
	for i := 0; ctx.Err() == nil; i++ {
		m := core[i%len(core)]
		request, err := http.NewRequestWithContext(ctx, method, "http://"+d.at(m.ip, d.ports.Control).String()+path, strings.NewReader(body))
		if err != nil {
			return time.Time{}, err
		}
		if body != "" {
			request.Header.Set("Content-Type", "application/json")
		}
		response, err := d.client.Do(request)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if err == nil && response.StatusCode/100 == 2 {
				d.record.add("operator: %s %s acknowledged by %s", method, path, m.name)
				return time.Now(), nil
			}
			if response.StatusCode/100 == 4 {
				return time.Time{}, fmt.Errorf("%s %s refused with %d", method, path, response.StatusCode)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, errors.New("no acknowledgement of " + method + " " + path)
}

// awaitReady waits until the machine is ready for callers' packets.
func (d *deployment) awaitReady(ctx context.Context, m *machine) error {
	for ctx.Err() == nil {
		response, err := d.client.Get("http://" + d.at(m.ip, d.ports.Ready).String() + names["ready"])
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready: %w", m.name, ctx.Err())
}

func listenUDP(at netip.AddrPort) (*net.UDPConn, error) {
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
}
