package wire_test

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"testing"

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
