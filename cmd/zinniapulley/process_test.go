package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/settings"
	"zinniapulley.dev/standin/caller"
	"zinniapulley.dev/standin/echo"
	"zinniapulley.dev/standin/fabric"
)

// testTimeout bounds a test that starts processes.
const testTimeout = 60 * time.Second

const testConfiguration = `{
  "services": {
    "feed": {"address": "192.0.2.10:80", "kind": "stream", "team": "feeds", "capacity": {"connections": 100, "slots": 5}}
  },
  "dataCentres": {"gent": {"region": "be-vl", "state": "in"}},
  "teams": {"feeds": {"tokens": ["eacacfab74cf6c8d5e3931653c90b5cc209f88f9ce92fc8fd30c31c113ac5072"], "sections": ["services/*", "dataCentres", "limits", "teams"]}}
}`

var (
	feedAddress   = netip.MustParseAddrPort("192.0.2.10:80")
	callerAddress = netip.MustParseAddr("198.51.100.1")
)

// childProcess is a running process of the system.
type childProcess struct {
	name    string
	command *exec.Cmd
}

// startProcess runs a role in its own process, from a settings file.
func startProcess(t *testing.T, s *settings.Settings) *childProcess {
	t.Helper()
	g := gomega.NewWithT(t)
	data, err := json.Marshal(s)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	path := filepath.Join(t.TempDir(), string(s.Instance)+".json")
	g.Expect(os.WriteFile(path, data, 0o600)).To(gomega.Succeed())
	command := exec.Command(os.Args[0], string(s.Role), path)
	command.Env = append(os.Environ(), runAsCommand+"=1")
	command.Stderr = logTo(t, string(s.Instance))
	g.Expect(command.Start()).To(gomega.Succeed())
	p := &childProcess{name: string(s.Instance), command: command}
	t.Cleanup(func() { _ = p.command.Process.Kill(); _ = p.command.Wait() })
	return p
}

// logTo returns a writer whose lines go to the test's log.
func logTo(t *testing.T, name string) io.Writer {
	reader, writer := io.Pipe()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		lines := bufio.NewScanner(reader)
		for lines.Scan() {
			t.Logf("%s: %s", name, lines.Text())
		}
	}()
	t.Cleanup(func() { _ = writer.Close(); <-ended })
	return writer
}

// terminate asks the process to stop and waits for its exit status.
func (p *childProcess) terminate() error {
	err := p.command.Process.Signal(syscall.SIGTERM)
	if err != nil {
		return err
	}
	return p.command.Wait()
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func controlSettings(t *testing.T, rpc netip.AddrPort) *settings.Settings {
	t.Helper()
	path := filepath.Join(t.TempDir(), "configuration.json")
	err := os.WriteFile(path, []byte(testConfiguration), 0o600)
	if err != nil {
		t.Fatal(err)
	}
	return &settings.Settings{
		Role: settings.RoleControl, Instance: "control-1", DataCentre: "gent",
		Control: &settings.Control{
			RPC: rpc, Operators: freeAddress(t), DataFolder: t.TempDir(),
			Members:              []settings.Member{{Instance: "control-1", RPC: rpc}},
			InitialConfiguration: path,
		},
	}
}

func entrySettings(i int, control, packets netip.AddrPort) *settings.Settings {
	name := fmt.Sprintf("entry-%d", i)
	return &settings.Settings{
		Role: settings.RoleEntry, Instance: core.InstanceID(name), DataCentre: "gent",
		Controls: []netip.AddrPort{control},
		Entry:    &settings.Entry{Packets: packets},
	}
}

func companionSettings(t *testing.T, i int, control, backend, fabric netip.AddrPort) *settings.Settings {
	t.Helper()
	name := fmt.Sprintf("feed-%d", i)
	return &settings.Settings{
		Role: settings.RoleCompanion, Instance: core.InstanceID(name), DataCentre: "gent",
		Controls: []netip.AddrPort{control},
		Companion: &settings.Companion{
			Service: "feed", BackendServer: backend, Packets: freeAddress(t), RPC: freeAddress(t),
			FabricReturn: fabric, Capacity: settings.Capacity{Connections: 100, Slots: 5},
		},
	}
}

// dialUntilOpen opens a flow, retrying after a refusal until ctx is done: the
// processes need time to discover each other.
func dialUntilOpen(ctx context.Context, callers *caller.Stack) (net.Conn, error) {
	for {
		conn, err := callers.Dial(ctx, callerAddress, feedAddress)
		if err == nil || ctx.Err() != nil {
			return conn, err
		}
	}
}

func TestSeparateProcessesServeFlowsEndToEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	network, err := fabric.New(fabric.Options{Seed: 1})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = network.Close() }()
	callers, err := caller.New(network.Send)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer callers.Close()
	network.Attach(callerAddress, callers.Deliver)

	control := freeAddress(t)
	processes := []*childProcess{startProcess(t, controlSettings(t, control))}
	for i := range 3 {
		packets := freeAddress(t)
		processes = append(processes, startProcess(t, entrySettings(i+1, control, packets)))
		network.AddEntry(packets)
	}
	for i := range 2 {
		backend, err := echo.New(echo.Options{})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer backend.Close()
		processes = append(processes, startProcess(t, companionSettings(t, i+1, control, backend.Address(), network.Return())))
	}

	for i := range 20 {
		conn, err := dialUntilOpen(ctx, callers)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		message := fmt.Appendf(nil, "flow %d says hello", i)
		_, err = conn.Write(message)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		answer := make([]byte, len(message))
		_, err = io.ReadFull(conn, answer)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(answer).To(gomega.Equal(message))
		g.Expect(conn.Close()).To(gomega.Succeed())
	}
	for _, p := range processes {
		g.Expect(p.terminate()).To(gomega.Succeed(), p.name)
	}
}
