package feed

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/wire"
)

// usableSeed returns a reply that a feed can start with.
type usableSeed struct{ asked chan struct{} }

// Sync answers wire.MethodSync.
func (s usableSeed) Sync(wire.SyncRequest, *wire.SyncReply) error {
	s.asked <- struct{}{}
	return nil
}

func configOf(out io.Writer) Config {
	return Config{Log: slog.New(slog.NewTextHandler(out, nil)), Random: rand.New(rand.NewPCG(1, 1))}
}

// A seed whose view came after that of another was logged as one without a view, with a
// nil error.
func TestSeedThatIsNotNeededIsNotLogged(t *testing.T) {
	g := gomega.NewWithT(t)
	seed := usableSeed{asked: make(chan struct{}, 1)}
	server, err := wire.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(server.Register("Control", seed)).To(gomega.Succeed())
	go server.Serve(t.Context())

	var out bytes.Buffer
	f := &feed{config: configOf(&out)}
	ctx, cancel := context.WithCancel(t.Context())
	polled := make(chan struct{})
	go func() {
		defer close(polled)
		// Nobody takes the answer, as after that of another seed.
		f.pollSeed(ctx, 0, server.Address(), make(chan firstAnswer))
	}()
	<-seed.asked
	// The reply arrives meanwhile; without it, the test doesn't reach the fault.
	time.Sleep(200 * time.Millisecond)
	cancel()
	<-polled
	g.Expect(out.String()).To(gomega.BeEmpty())
}

// A seed whose poll was stopped because another had answered was logged as unreachable.
func TestStoppedPollIsNotLogged(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = listener.Close() }()
	var out bytes.Buffer
	f := &feed{config: configOf(&out)}
	ctx, cancel := context.WithCancel(t.Context())
	polled := make(chan struct{})
	go func() {
		defer close(polled)
		f.pollSeed(ctx, 0, listener.Addr().(*net.TCPAddr).AddrPort(), make(chan firstAnswer))
	}()
	conn, err := listener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	cancel()
	<-polled
	g.Expect(out.String()).To(gomega.BeEmpty())
}
