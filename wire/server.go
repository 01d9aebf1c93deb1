package wire

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
)

// acceptBackoffMin and acceptBackoffMax bound the delay after a failed Accept.
const (
	acceptBackoffMin = 5 * time.Millisecond
	acceptBackoffMax = time.Second
)

// Server answers net/rpc calls on one TCP address.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server
}

// Listen opens the TCP address. Calls are answered once Serve runs.
func Listen(address netip.AddrPort) (*Server, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, core.At("listen for rpc", core.Peer(address.String()), err)
	}
	return &Server{listener: listener, rpc: rpc.NewServer()}, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Register makes the exported methods of receiver callable under name.
func (s *Server) Register(name string, receiver any) error {
	return core.At("register rpc", core.Peer(name), s.rpc.RegisterName(name, receiver))
}

// Close closes the address of a server whose Serve isn't called.
func (s *Server) Close() { _ = s.listener.Close() }

// Serve answers calls until ctx is done, then closes every connection. The address is
// free once it has returned. Errors such as "too many open files" don't end it.
func (s *Server) Serve(ctx context.Context) {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		_ = s.listener.Close()
	})
	defer func() {
		if !stop() {
			// Accept fails before Close has released the address.
			<-closed
		}
	}()
	backoff := acceptBackoffMin
	for {
		conn, err := s.listener.Accept()
		if err == nil {
			backoff = acceptBackoffMin
			go s.serveConn(ctx, conn)
			continue
		}
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, acceptBackoffMax)
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	s.rpc.ServeConn(conn)
}
