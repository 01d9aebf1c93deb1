package control_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/core"
	"zinniapulley.dev/durable"
	"zinniapulley.dev/durable/durabletest"
	"zinniapulley.dev/roles/control"
	"zinniapulley.dev/route"
	"zinniapulley.dev/wire"
	"zinniapulley.dev/wire/hop"
)

// freeAddress returns an address whose TCP and UDP ports are free.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// group is a group of control instances on loopback. Each has its own address, since
// instance IDs are derived from addresses.
type group struct {
	t       *testing.T
	seeds   []netip.AddrPort
	servers []*control.Server
	// stalled stalls the disk of the instance at the same index.
	stalled []*atomic.Bool
}

func startGroup(t *testing.T, size int) *group {
	t.Helper()
	g := &group{t: t}
	port := freeAddress(t).Port()
	for i := range size {
		g.seeds = append(g.seeds, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(10 + i)}), port))
	}
	for _, seed := range g.seeds {
		g.stalled = append(g.stalled, &atomic.Bool{})
		server, _ := g.start(seed, t.TempDir(), true, durabletest.StallingDisk{Stalled: g.stalled[len(g.stalled)-1]})
		g.servers = append(g.servers, server)
	}
	return g
}

func (g *group) start(at netip.AddrPort, folder string, first bool, files durable.FileSystem) (server *control.Server, stop func()) {
	g.t.Helper()
	server, err := control.New(control.Config{
		Instance: core.InstanceID(at.Addr().String()), RPC: at, Seeds: func() []netip.AddrPort { return g.seeds }, First: first, Folder: folder,
		Files: files, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
	})
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	g.t.Cleanup(func() {
		cancel()
		<-done
	})
	return server, func() {
		cancel()
		done <- <-done
	}
}

// sync makes a sync call to an instance.
func (g *group) sync(i int, revision core.Revision) (wire.SyncReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	client := wire.NewClient(g.seeds[i])
	defer client.Close()
	var reply wire.SyncReply
	err := client.Call(ctx, wire.MethodSync, wire.SyncRequest{Instance: "x", Revision: revision}, &reply)
	return reply, err
}

func configuration(version uint64) route.Configuration {
	return route.Configuration{Version: version, Source: []byte{byte(version)}}
}

// eventually repeats a command until it succeeds, as an operator does.
func eventually(t *testing.T, command func() error) {
	t.Helper()
	gomega.NewWithT(t).Eventually(command, 20*time.Second, 50*time.Millisecond).Should(gomega.Succeed())
}

// A command submitted to a follower was committed repeatedly and never acknowledged:
// the leader's reply was decoded into the follower's own reply, and encoding/gob omits
// false, so that NotLeader stayed set.
func TestCommandIsAcknowledgedByEveryInstance(t *testing.T) {
	g := gomega.NewWithT(t)
	group := startGroup(t, 3)
	eventually(t, func() error {
		_, err := group.servers[0].Configure(context.Background(), configuration(1))
		return err
	})
	for i, server := range group.servers {
		version := uint64(10 + i)
		eventually(t, func() error {
			_, err := server.Configure(context.Background(), configuration(version))
			return err
		})
		for _, reader := range group.servers {
			eventually(t, func() error { _, err := reader.Newest(context.Background()); return err })
			source, err := reader.Newest(context.Background())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(source).To(gomega.Equal([]byte{byte(version)}))
		}
	}
}

// A fourth instance with an empty folder becomes a member and accepts commands.
func TestInstanceWithoutStateJoins(t *testing.T) {
	g := gomega.NewWithT(t)
	group := startGroup(t, 3)
	eventually(t, func() error {
		_, err := group.servers[0].Configure(context.Background(), configuration(5))
		return err
	})
	joined, _ := group.start(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 20}), group.seeds[0].Port()), t.TempDir(), false, durable.Disk{})
	eventually(t, func() error {
		_, err := joined.Configure(context.Background(), configuration(6))
		return err
	})
	source, err := joined.Newest(context.Background())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(source).To(gomega.Equal([]byte{6}))
}

// An instance with a stalled disk receives the commit index but can't apply the
// commands. It must report that it is behind, so that entry instances and companions
// switch to another one instead of keeping an old view.
func TestInstanceWithStalledDiskReportsBehind(t *testing.T) {
	g := gomega.NewWithT(t)
	group := startGroup(t, 3)
	eventually(t, func() error {
		_, err := group.servers[0].Configure(context.Background(), configuration(5))
		return err
	})
	sync := func(i int, revision core.Revision) wire.SyncReply {
		reply, err := group.sync(i, revision)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return reply
	}
	for i := range group.servers {
		g.Eventually(func() bool { return sync(i, 1).Behind }, 20*time.Second, 20*time.Millisecond).Should(gomega.BeFalse())
	}
	group.stalled[2].Store(true)
	defer group.stalled[2].Store(false)
	version := uint64(6)
	g.Eventually(func() bool {
		// The stalled instance may lead at first, and then transfers leadership.
		_, _ = group.servers[0].Configure(context.Background(), configuration(version))
		version++
		return sync(2, 1).Behind && !sync(0, 1).Behind
	}, 30*time.Second, 50*time.Millisecond).Should(gomega.BeTrue())
}

// heartbeat sends a companion's heartbeat to every instance of the group.
func (g *group) heartbeat(companion netip.AddrPort, holding hop.Holding) {
	g.t.Helper()
	conn, err := net.ListenUDP("udp4", nil)
	if err != nil {
		g.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	datagram, err := hop.EncodeHeartbeat(hop.Heartbeat{Packets: companion, Companion: true, Holding: holding})
	for _, seed := range g.seeds {
		if err == nil {
			_, err = conn.WriteToUDPAddrPort(datagram, seed)
		}
	}
	if err != nil {
		g.t.Fatal(err)
	}
}

// view returns an instance's view, nil if it has none.
func (g *group) view(i int) (*route.View, error) {
	reply, err := g.sync(i, 0)
	if err != nil {
		return nil, err
	}
	return reply.View.Decode()
}

// companions returns the companions in an instance's view.
func (g *group) companions(i int) []route.Companion {
	view, err := g.view(i)
	if err != nil || view == nil {
		return nil
	}
	return view.Companions
}

// A companion that may hold flows is listed until its heartbeat reports that it holds
// none: entry instances wait for all listed companions before they reset a flow.
func TestCompanionIsListedUntilItDeparts(t *testing.T) {
	g := gomega.NewWithT(t)
	group := startGroup(t, 3)
	companion := netip.MustParseAddrPort("127.0.0.99:8000")
	g.Eventually(func() []route.Companion {
		group.heartbeat(companion, hop.HoldingFlows)
		return group.companions(1)
	}, 20*time.Second, 50*time.Millisecond).Should(gomega.Equal([]route.Companion{{Address: companion}}))
	g.Eventually(func() []route.Companion {
		group.heartbeat(companion, hop.HoldingNone)
		return group.companions(2)
	}, 20*time.Second, 50*time.Millisecond).Should(gomega.BeEmpty())
}

// slowDisk blocks reads until it is released.
type slowDisk struct {
	durable.Disk
	released chan struct{}
}

func (d slowDisk) ReadFile(name string) ([]byte, error) {
	<-d.released
	return d.Disk.ReadFile(name)
}

// A sync call without a view waits while the data folder is read, and returns the view
// that was in force before the start.
func TestSyncWithoutViewWaitsForDataFolder(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	alone := &group{t: t, seeds: []netip.AddrPort{freeAddress(t)}}
	before, stop := alone.start(alone.seeds[0], folder, true, durable.Disk{})
	// The commit of a command is stored with the next command.
	for _, version := range []uint64{4, 5} {
		eventually(t, func() error {
			_, err := before.Configure(context.Background(), configuration(version))
			return err
		})
	}
	stop()
	disk := slowDisk{released: make(chan struct{})}
	alone.start(alone.seeds[0], folder, false, disk)
	replies := make(chan wire.SyncReply, 1)
	go func() {
		reply, _ := alone.sync(0, 0)
		replies <- reply
	}()
	g.Consistently(replies, 200*time.Millisecond).ShouldNot(gomega.Receive())
	close(disk.released)
	var reply wire.SyncReply
	g.Eventually(replies, 20*time.Second).Should(gomega.Receive(&reply))
	view, err := reply.View.Decode()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(view).NotTo(gomega.BeNil())
	g.Expect(view.Version).To(gomega.BeNumerically(">=", 4))
}

// A control instance that had lost its disk answered every call of an instance without a
// view at once with nothing. After an outage hundreds of instances called it again and
// again, and it took half a second to join the others.
func TestSyncWithoutViewWaitsForTheFirstState(t *testing.T) {
	g := gomega.NewWithT(t)
	absent := freeAddress(t)
	alone := &group{t: t, seeds: []netip.AddrPort{absent}}
	empty := freeAddress(t)
	alone.start(empty, t.TempDir(), false, durable.Disk{})
	alone.seeds = []netip.AddrPort{empty}
	eventually(t, func() error {
		_, err := alone.sync(0, 0)
		return err
	})
	called := make(chan wire.SyncReply, 1)
	go func() {
		reply, _ := alone.sync(0, 0)
		called <- reply
	}()
	g.Consistently(called, 200*time.Millisecond).ShouldNot(gomega.Receive())
	var reply wire.SyncReply
	g.Eventually(called, 20*time.Second).Should(gomega.Receive(&reply))
	g.Expect(reply.Behind).To(gomega.BeTrue())
	g.Expect(reply.View).To(gomega.BeEmpty())
}
