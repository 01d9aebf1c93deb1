package wire_test

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/wire"
)

// An instance that restarted in the same process found its address still in use: Serve
// had returned before the listener's descriptor was closed.
func TestAddressIsFreeOnceServeHasReturned(t *testing.T) {
	const restarts = 500
	g := gomega.NewWithT(t)
	address := netip.MustParseAddrPort("127.0.0.1:0")
	for range restarts {
		server, err := wire.Listen(address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		address = server.Address()
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			server.Serve(ctx)
		}()
		// The server accepts by now.
		conn, err := net.Dial("tcp4", address.String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = conn.Write([]byte{0})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		runtime.Gosched()
		stop()
		g.Expect(conn.Close()).To(gomega.Succeed())
		<-done
	}
}

// SlowReply is a reply whose decoding takes time after it has begun.
type SlowReply struct{ state *replyState }

type replyState struct {
	begun   chan struct{}
	decoded atomic.Bool
}

// GobEncode implements gob.GobEncoder.
func (SlowReply) GobEncode() ([]byte, error) { return []byte{1}, nil }

// GobDecode implements gob.GobDecoder.
func (r *SlowReply) GobDecode([]byte) error {
	close(r.state.begun)
	time.Sleep(100 * time.Millisecond)
	r.state.decoded.Store(true)
	return nil
}

type slowService struct{}

// Get answers with a SlowReply.
func (slowService) Get(int, *SlowReply) error { return nil }

// A call that timed out returned while its reply was still written; the race detector
// found the caller reading it (roles/systemtest under load).
func TestReplyIsNotWrittenAfterACallHasTimedOut(t *testing.T) {
	g := gomega.NewWithT(t)
	server, err := wire.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(server.Register("Slow", slowService{})).To(gomega.Succeed())
	go server.Serve(t.Context())
	client := wire.NewClient(server.Address())
	defer client.Close()
	reply := SlowReply{state: &replyState{begun: make(chan struct{})}}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-reply.state.begun
		cancel()
	}()
	g.Expect(client.Call(ctx, "Slow.Get", 0, &reply)).To(gomega.MatchError(context.Canceled))
	g.Expect(reply.state.decoded.Load()).To(gomega.BeTrue(), "the reply is still being decoded")
}
