package systemtest

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/core"
	"zinniapulley.dev/durable"
	"zinniapulley.dev/passthrough/gate"
	"zinniapulley.dev/platform"
	"zinniapulley.dev/roles/companion"
	"zinniapulley.dev/roles/control"
	"zinniapulley.dev/roles/entry"
	"zinniapulley.dev/route"
	"zinniapulley.dev/standin/packets"
)

// Ports of the test's deployment, and the time limit for a change to take effect.
const (
	callerPort   = 28172
	internalPort = 27720
	outboundPort = 28162
	serverPort   = 28165
	settleTime   = 30 * time.Second
)

var feedAddress = netip.MustParseAddrPort("198.18.0.1:443")

// at returns an address on loopback. group stands for the role.
func at(group, number byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, group, number}), port)
}

const (
	groupControl byte = 31 + iota
	groupEntry
	groupCompanion
	groupCaller
)

// system is a deployment of three control instances, two entry instances and
// backend servers in two data centres.
type system struct {
	t          *testing.T
	g          *gomega.WithT
	seeds      []netip.AddrPort
	folders    []string
	controls   []*process[*control.Server]
	entries    []*process[*entry.Entry]
	companions []*process[*companion.Companion]
	servers    []*packets.Server
	caller     *packets.Caller
	number     uint64
	// entryMetrics holds the metrics of each entry instance's last start.
	entryMetrics [2]metrics.Registry
}

// runner is an instance of a role.
type runner interface {
	Run(context.Context) error
}

// process is a running instance of a role.
type process[R runner] struct {
	role R
	stop func()
}

func run[R runner](t *testing.T, role R, err error) *process[R] {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = role.Run(ctx)
	}()
	p := &process[R]{role: role, stop: func() { cancel(); <-done }}
	t.Cleanup(p.stop)
	return p
}

var discardLog = slog.New(slog.DiscardHandler)

// start starts a deployment with the given number of backend servers, alternately in
// the data centres north and south, and waits until all are reachable.
func start(t *testing.T, servers int) *system {
	t.Helper()
	return startReachable(t, servers, servers)
}

// startReachable is start, but waits until so many of the backend servers are reachable.
// With many, those of the entry instances' own data centre get all flows at first.
func startReachable(t *testing.T, servers, reachable int) *system {
	t.Helper()
	s := &system{t: t, g: gomega.NewWithT(t), caller: startCaller(t)}
	for i := range byte(3) {
		s.seeds = append(s.seeds, at(groupControl, i+1, internalPort))
		s.folders = append(s.folders, t.TempDir())
	}
	for i := range s.seeds {
		s.controls = append(s.controls, s.startControl(i, true))
	}
	for i := range byte(2) {
		s.entries = append(s.entries, s.startEntry(i))
	}
	for i := range byte(servers) {
		s.servers = append(s.servers, startServer(t, i))
		s.companions = append(s.companions, s.startCompanion(i))
	}
	s.eventually(func() error {
		_, err := s.controls[0].role.Configure(context.Background(), feedConfiguration(1))
		return err
	})
	s.announceAll(nil)
	s.g.Eventually(func() int { return s.reachable() }, settleTime, 50*time.Millisecond).Should(gomega.BeNumerically(">=", reachable))
	return s
}

func (s *system) seedAddresses() []netip.AddrPort { return s.seeds }

func startCaller(t *testing.T) *packets.Caller {
	t.Helper()
	c, err := packets.NewCaller(at(groupCaller, 1, callerPort))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func startServer(t *testing.T, i byte) *packets.Server {
	t.Helper()
	s, err := packets.NewServer(dataCentre(i)+string('0'+i), serverAt(i), at(groupCompanion, i+1, outboundPort))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	go s.Run()
	return s
}

func dataCentre(server byte) string {
	return []string{"north", "south"}[server%2]
}

func feedConfiguration(version uint64) route.Configuration {
	return route.Configuration{
		Version: version, Source: []byte("the document"), IdleTimeout: 15 * time.Second,
		Routes: []route.Route{{
			Name: "feed", Address: feedAddress, Timeout: time.Second, Objective: 500 * time.Millisecond,
			Shares: []route.Share{{Service: "feed", Weight: 1}},
		}},
		Services: []route.Service{{Name: "feed", MaxConnections: 1000}},
	}
}

func (s *system) startControl(i int, first bool) *process[*control.Server] {
	server, err := control.New(control.Config{
		Instance: core.InstanceID(s.seeds[i].String()), RPC: s.seeds[i], Seeds: s.seedAddresses, First: first, Folder: s.folders[i],
		Files: durable.Disk{}, Log: discardLog, Metrics: metrics.NewRegistry(),
	})
	return run(s.t, server, err)
}

func (s *system) startEntry(i byte) *process[*entry.Entry] {
	s.entryMetrics[i] = metrics.NewRegistry()
	built, err := entry.New(entry.Config{
		Instance: core.InstanceID("entry" + string('1'+i)), DataCentre: "north", Packets: entryAt(i), Peers: at(groupEntry, i+1, internalPort),
		Seeds: s.seedAddresses, Codec: platform.Datagrams{CallerPort: callerPort}, Log: discardLog, Metrics: s.entryMetrics[i],
	})
	return run(s.t, built, err)
}

func entryAt(i byte) netip.AddrPort { return at(groupEntry, i+1, callerPort) }

func serverAt(i byte) netip.AddrPort { return at(groupCompanion, i+1, serverPort) }

func (s *system) startCompanion(i byte) *process[*companion.Companion] {
	built, err := companion.New(companion.Config{
		Instance: core.InstanceID("companion" + string('1'+i)), DataCentre: core.DataCentre(dataCentre(i)),
		Packets: at(groupCompanion, i+1, callerPort), Outbound: at(groupCompanion, i+1, outboundPort), Server: serverAt(i), Health: serverAt(i),
		Seeds: s.seedAddresses, Codec: platform.Datagrams{CallerPort: callerPort}, Log: discardLog, Metrics: metrics.NewRegistry(),
		Gate: gate.Config{DataCentre: core.DataCentre(dataCentre(i)), AnnouncementLimit: time.Hour, FirstAnnouncementLimit: time.Hour, ColdFactor: 1.5, ColdSlack: 5, MaxFlowAge: time.Minute},
	})
	return run(s.t, built, err)
}

// announceAll announces all backend servers, those in draining as draining.
func (s *system) announceAll(draining map[int]bool) {
	s.number++
	for i, c := range s.companions {
		err := c.role.Announce(context.Background(), gate.Announcement{
			Server: s.servers[i].Name, Service: "feed", Address: serverAt(byte(i)), DataCentre: core.DataCentre(dataCentre(byte(i))),
			Born: 1, Number: s.number, Slots: 100, Draining: draining[i],
		})
		s.g.Expect(err).NotTo(gomega.HaveOccurred())
	}
}

// eventually repeats an operator's command until it is accepted.
func (s *system) eventually(command func() error) {
	s.t.Helper()
	s.g.Eventually(command, settleTime, 50*time.Millisecond).Should(gomega.Succeed())
}

// reachable opens flows and returns how many backend servers answer.
func (s *system) reachable() int {
	seen := map[string]bool{}
	for range 40 {
		f, err := s.caller.Open(feedAddress, entryAt(0))
		if err != nil {
			return 0
		}
		name, err := f.Request()
		if err == nil {
			seen[name] = true
		}
	}
	return len(seen)
}

// openAll opens flows until each backend server has one, and returns one of each by the
// server's name.
func (s *system) openAll() map[string]*packets.Flow {
	s.t.Helper()
	flows := map[string]*packets.Flow{}
	s.g.Eventually(func() int {
		f, err := s.caller.Open(feedAddress, entryAt(0), entryAt(1))
		if err == nil {
			name, err := f.Request()
			if err == nil {
				flows[name] = f
			}
		}
		return len(flows)
	}, settleTime, time.Millisecond).Should(gomega.Equal(len(s.servers)))
	return flows
}

// expectFlowsKept checks that each flow is still answered by its own backend server.
func (s *system) expectFlowsKept(flows map[string]*packets.Flow) {
	s.t.Helper()
	for name, f := range flows {
		for range 3 {
			answered, err := f.Request()
			s.g.Expect(err).NotTo(gomega.HaveOccurred(), name)
			s.g.Expect(answered).To(gomega.Equal(name))
		}
	}
}

func TestFlowsSurvivePlannedChanges(t *testing.T) {
	s := start(t, 4)
	flows := s.openAll()

	// Packets of a flow may reach any entry instance.
	s.expectFlowsKept(flows)

	// One backend server drains.
	s.announceAll(map[int]bool{0: true})
	s.expectFlowsKept(flows)
	opened := s.servers[0].Opened()
	s.g.Expect(s.reachable()).To(gomega.Equal(3))
	s.g.Expect(s.servers[0].Opened()).To(gomega.Equal(opened), "a draining backend server gets no new flow")

	// A data centre is taken out of service.
	s.eventually(func() error {
		_, err := s.controls[1].role.SetDataCentre(context.Background(), route.SetDataCentre{Name: "south", Out: true})
		return err
	})
	s.g.Eventually(s.reachable, settleTime, 50*time.Millisecond).Should(gomega.Equal(1))
	s.expectFlowsKept(flows)

	// An entry instance and a companion are restarted.
	s.entries[1].stop()
	s.entries[1] = s.startEntry(1)
	s.companions[2].stop()
	s.companions[2] = s.startCompanion(2)
	s.announceAll(map[int]bool{0: true})
	s.expectFlowsKept(flows)
}

// After a restart of all entry instances and companions no process knows the open flows.
// They are found by relays of the callers' packets.
func TestFlowsSurviveARestartOfAllProcesses(t *testing.T) {
	s := start(t, 6)
	flows := s.openAll()
	for i := range s.entries {
		s.entries[i].stop()
	}
	for i := range s.companions {
		s.companions[i].stop()
	}
	for i := range s.entries {
		s.entries[i] = s.startEntry(byte(i))
	}
	for i := range s.companions {
		s.companions[i] = s.startCompanion(byte(i))
	}
	s.announceAll(nil)
	s.expectFlowsKept(flows)
	s.g.Eventually(func() int64 {
		found := int64(0)
		for _, registry := range s.entryMetrics {
			found += metrics.GetOrRegisterCounter("lookups.relayed.found", registry).Count()
		}
		return found
	}, settleTime, 10*time.Millisecond).Should(gomega.BeNumerically(">", 0), "the counters are updated at the next tick")
}

func TestFlowRefusedByOneServerIsOpenedAtAnother(t *testing.T) {
	s := start(t, 2)
	s.servers[0].Refuses.Store(true)
	for range 20 {
		f, err := s.caller.Open(feedAddress, entryAt(0))
		s.g.Expect(err).NotTo(gomega.HaveOccurred())
		name, err := f.Request()
		s.g.Expect(err).NotTo(gomega.HaveOccurred())
		s.g.Expect(name).To(gomega.Equal(s.servers[1].Name))
	}
	s.servers[1].Refuses.Store(true)
	_, err := s.caller.Open(feedAddress, entryAt(0))
	s.g.Expect(err).To(gomega.Equal(packets.ErrReset), "no backend server accepts the flow")
}

func TestFlowWithoutRouteIsReset(t *testing.T) {
	s := start(t, 1)
	_, err := s.caller.Open(netip.MustParseAddrPort("198.18.0.9:443"), entryAt(0))
	s.g.Expect(err).To(gomega.Equal(packets.ErrReset))
}

// All control instances restart. The accepted configuration is still there, and flows
// open while they are down.
func TestConfigurationSurvivesControlRestart(t *testing.T) {
	s := start(t, 2)
	for _, c := range s.controls {
		c.stop()
	}
	_, err := s.caller.Open(feedAddress, entryAt(0))
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	for i := range s.controls {
		s.controls[i] = s.startControl(i, false)
	}
	for _, c := range s.controls {
		s.eventually(func() error { _, err := c.role.Newest(context.Background()); return err })
		source, err := c.role.Newest(context.Background())
		s.g.Expect(err).NotTo(gomega.HaveOccurred())
		s.g.Expect(string(source)).To(gomega.Equal("the document"))
	}
}

// A control instance that has lost its disk joins again as a new voter, so that the group
// tolerates the loss of another one.
func TestControlInstanceWithLostDiskRejoins(t *testing.T) {
	s := start(t, 1)
	s.controls[0].stop()
	s.folders[0] = t.TempDir()
	s.controls[0] = s.startControl(0, false)
	s.eventually(func() error { _, err := s.controls[0].role.Newest(context.Background()); return err })
	s.eventually(func() error {
		_, err := s.controls[0].role.Configure(context.Background(), feedConfiguration(2))
		return err
	})
	// The wiped instance must be a voter again before another one is lost.
	s.g.Eventually(func() bool {
		s.controls[1].stop()
		defer func() { s.controls[1] = s.startControl(1, false) }()
		_, err := s.controls[2].role.Configure(context.Background(), feedConfiguration(3))
		return err == nil
	}, settleTime, time.Second).Should(gomega.BeTrue())
}

// Among many companions most are asked by surveys. A flow that nobody holds any more is
// reset although the entry instances have lost their caches, and others live on.
func TestLostFlowIsResetAmongManyCompanions(t *testing.T) {
	s := startReachable(t, 30, 10)
	for i, c := range s.companions {
		born := time.Now().UnixMilli()
		// A companion without a configuration doesn't let one server replace another.
		s.eventually(func() error {
			return c.role.Announce(context.Background(), gate.Announcement{
				Server: s.servers[i].Name, Service: "feed", Address: serverAt(byte(i)), DataCentre: core.DataCentre(dataCentre(byte(i))),
				Born: born, Number: 1, Slots: 100,
			})
		})
	}
	lost, err := s.caller.Open(feedAddress, entryAt(0))
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	holder, err := lost.Request()
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	var kept *packets.Flow
	s.g.Eventually(func() string {
		kept, err = s.caller.Open(feedAddress, entryAt(0))
		s.g.Expect(err).NotTo(gomega.HaveOccurred())
		name, err := kept.Request()
		s.g.Expect(err).NotTo(gomega.HaveOccurred())
		return name
	}).ShouldNot(gomega.Equal(holder))
	for i, server := range s.servers {
		if server.Name != holder {
			continue
		}
		s.companions[i].stop()
		server.Close()
		s.servers[i] = startServer(t, byte(i))
		s.companions[i] = s.startCompanion(byte(i))
		s.g.Expect(s.companions[i].role.Announce(context.Background(), gate.Announcement{
			Server: s.servers[i].Name + "again", Service: "feed", Address: serverAt(byte(i)), DataCentre: core.DataCentre(dataCentre(byte(i))),
			Born: time.Now().Add(time.Minute).UnixMilli(), Number: 1, Slots: 100,
		})).To(gomega.Succeed())
	}
	for i := range s.entries {
		s.entries[i].stop()
		s.entries[i] = s.startEntry(byte(i))
	}
	s.g.Eventually(func() error { _, err := lost.Request(); return err }, settleTime).Should(gomega.MatchError(packets.ErrReset))
	_, err = kept.Request()
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
}

// The callers of a backend server that had stopped without a departure got no reset, and
// waited for answers until they timed out.
func TestFlowOfStoppedBackendServerIsReset(t *testing.T) {
	s := start(t, 2)
	f, err := s.caller.Open(feedAddress, entryAt(0))
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	name, err := f.Request()
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, server := range s.servers {
		if server.Name == name {
			server.Close()
		}
	}
	_, err = f.Request()
	s.g.Expect(err).To(gomega.MatchError(packets.ErrReset))
}
