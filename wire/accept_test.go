package wire

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// failingListener fails the first calls of Accept.
type failingListener struct {
	net.Listener
	failures atomic.Int64
	calls    atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.calls.Add(1)
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// echoService answers calls.
type echoService struct{}

// Echo returns the request.
func (echoService) Echo(request int, reply *int) error {
	*reply = request
	return nil
}

func serverWithFailures(t *testing.T, failures int64) (*Server, *failingListener) {
	t.Helper()
	server, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err == nil {
		err = server.Register("Test", echoService{})
	}
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{Listener: server.listener}
	failing.failures.Store(failures)
	server.listener = failing
	return server, failing
}

// A server that was out of file descriptors for a moment accepted no connection any more.
func TestServerAcceptsAfterTooManyOpenFiles(t *testing.T) {
	g := gomega.NewWithT(t)
	server, failing := serverWithFailures(t, 3)
	go server.Serve(t.Context())
	client := NewClient(server.Address())
	defer client.Close()
	limited, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var reply int
	g.Expect(client.Call(limited, "Test.Echo", 7, &reply)).To(gomega.Succeed())
	g.Expect(reply).To(gomega.Equal(7))
	g.Expect(failing.calls.Load()).To(gomega.BeNumerically(">", 3))
}

// A server that can't accept must neither use a processor fully nor delay its shutdown.
func TestFailingServerBacksOffAndStops(t *testing.T) {
	const span, most = time.Second, 20
	g := gomega.NewWithT(t)
	server, failing := serverWithFailures(t, 1<<40)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		server.Serve(ctx)
	}()
	time.Sleep(span)
	g.Expect(failing.calls.Load()).To(gomega.BeNumerically("<", most))
	g.Expect(failing.calls.Load()).To(gomega.BeNumerically(">", 1))
	stop()
	g.Eventually(ended, 10*time.Second).Should(gomega.BeClosed())
}
