package feed_test

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/roles/feed"
	"zinniapulley.dev/route"
	"zinniapulley.dev/wire"
)

// seed is a control instance whose replies the test defines.
type seed struct {
	sync func(request wire.SyncRequest, reply *wire.SyncReply) error
}

// Sync answers wire.MethodSync.
func (s *seed) Sync(request wire.SyncRequest, reply *wire.SyncReply) error {
	return s.sync(request, reply)
}

// unresponsiveSeed accepts connections and never replies.
type unresponsiveSeed struct {
	address netip.AddrPort
	// open counts the connections that clients keep open.
	open atomic.Int64
}

func startUnresponsiveSeed(t *testing.T) *unresponsiveSeed {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &unresponsiveSeed{address: listener.Addr().(*net.TCPAddr).AddrPort()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.open.Add(1)
			go func() {
				_, _ = io.Copy(io.Discard, conn)
				s.open.Add(-1)
			}()
		}
	}()
	return s
}

func startSeed(t *testing.T, ctx context.Context, sync func(wire.SyncRequest, *wire.SyncReply) error) netip.AddrPort {
	t.Helper()
	server, err := wire.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err == nil {
		err = server.Register("Control", &seed{sync: sync})
	}
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(ctx)
	return server.Address()
}

// feedConfig configures a feed that sends its updates to the channel.
func feedConfig(updates chan<- feed.Update, seeds ...netip.AddrPort) feed.Config {
	return feed.Config{
		Instance: "x", Seeds: func() []netip.AddrPort { return seeds },
		Log: slog.New(slog.DiscardHandler), Random: rand.New(rand.NewPCG(1, 1)),
		Post: func(_ context.Context, update feed.Update) error {
			select {
			case updates <- update:
			default:
			}
			return nil
		},
	}
}

// TestSeedsArePolledConcurrentlyAtStart has one seed that never replies and one that
// is behind except while the first is being polled.
func TestSeedsArePolledConcurrentlyAtStart(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	unresponsive := startUnresponsiveSeed(t)
	view, err := wire.EncodeView(&route.View{Revision: 5, Version: 3})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	answering := startSeed(t, ctx, func(request wire.SyncRequest, reply *wire.SyncReply) error {
		reply.Behind = unresponsive.open.Load() == 0
		if request.Revision == 0 && !reply.Behind {
			reply.View = view
		}
		return nil
	})
	updates := make(chan feed.Update, 100)
	go feed.Run(ctx, feedConfig(updates, unresponsive.address, answering))
	var first feed.Update
	g.Eventually(updates, 20*time.Second).Should(gomega.Receive(&first))
	g.Expect(first.View).NotTo(gomega.BeNil())
	g.Expect(first.View.Revision).To(gomega.BeEquivalentTo(5))
}

// TestSeedIsPolledAgainOnTheSameConnection has a seed without a view until the fourth
// call.
func TestSeedIsPolledAgainOnTheSameConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	view, err := wire.EncodeView(&route.View{Revision: 5})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var calls, opened atomic.Int64
	proxy := &countingProxy{}
	seed := startSeed(t, ctx, func(_ wire.SyncRequest, reply *wire.SyncReply) error {
		reply.Behind = true
		if calls.Add(1) == 4 {
			reply.View = view
			opened.Store(proxy.opened.Load())
		}
		return nil
	})
	proxy.forward(t, ctx, seed)
	updates := make(chan feed.Update, 100)
	go feed.Run(ctx, feedConfig(updates, proxy.address))
	g.Eventually(updates, 20*time.Second).Should(gomega.Receive())
	g.Expect(opened.Load()).To(gomega.BeEquivalentTo(1))
}

// countingProxy forwards connections and counts them.
type countingProxy struct {
	address netip.AddrPort
	opened  atomic.Int64
}

// forward listens and forwards connections to the given address.
func (c *countingProxy) forward(t *testing.T, ctx context.Context, to netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	c.address = listener.Addr().(*net.TCPAddr).AddrPort()
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			c.opened.Add(1)
			onward, err := net.Dial("tcp4", to.String())
			if err != nil {
				_ = from.Close()
				continue
			}
			go func() { _, _ = io.Copy(onward, from); _ = onward.Close() }()
			go func() { _, _ = io.Copy(from, onward); _ = from.Close() }()
		}
	}()
}

// After an outage all instances polled all seeds at once, each of which answered all of
// them, and the first views took three times as long.
func TestOneAnsweringSeedIsEnoughAtStart(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	view, err := wire.EncodeView(&route.View{Revision: 5})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var polls atomic.Int64
	answer := func(request wire.SyncRequest, reply *wire.SyncReply) error {
		if request.Revision == 0 {
			polls.Add(1)
			reply.View = view
		}
		return nil
	}
	updates := make(chan feed.Update, 100)
	go feed.Run(ctx, feedConfig(updates, startSeed(t, ctx, answer), startSeed(t, ctx, answer), startSeed(t, ctx, answer)))
	g.Eventually(updates, 20*time.Second).Should(gomega.Receive())
	g.Consistently(polls.Load, 300*time.Millisecond).Should(gomega.BeEquivalentTo(1))
}
