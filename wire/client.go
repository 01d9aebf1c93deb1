package wire

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"zinniapulley.dev/core"
)

// dialTimeout bounds the set-up of a connection: three round trips between regions
// 20 ms apart. A machine without power doesn't answer at all, and after a lost
// packet a new attempt is faster than the kernel's retransmission.
const dialTimeout = 120 * time.Millisecond

// Client calls one peer over net/rpc and dials again after a failure. It must be
// used by one goroutine only.
type Client struct {
	address netip.AddrPort
	conn    *rpc.Client
}

// NewClient returns a client for the peer at the TCP address. It does not dial
// until the first call.
func NewClient(address netip.AddrPort) *Client {
	return &Client{address: address}
}

// Peer returns the peer's name in errors.
func (c *Client) Peer() core.Peer {
	return core.Peer(c.address.String())
}

// Call sends the request and waits for the reply, a pointer, until ctx is done.
// After a connection error the next call dials again; an error that the peer
// returned leaves the connection open.
func (c *Client) Call(ctx context.Context, method string, request, reply any) error {
	err := c.dial(ctx)
	if err != nil {
		return core.At("dial", c.Peer(), err)
	}
	call := c.conn.Go(method, request, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return core.At(core.Step("call "+method), c.Peer(), c.finish(call.Error))
	case <-ctx.Done():
		c.Close()
		// A reply that has arrived may still be decoded into reply. On the closed
		// connection the call ends soon.
		<-call.Done
		return core.At(core.Step("call "+method), c.Peer(), ctx.Err())
	}
}

// Close closes the connection, if there is one.
func (c *Client) Close() {
	if c.conn == nil {
		return
	}
	_ = c.conn.Close()
	c.conn = nil
}

func (c *Client) dial(ctx context.Context) error {
	if c.conn != nil {
		return nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", c.address.String())
	if err != nil {
		return err
	}
	c.conn = rpc.NewClient(conn)
	return nil
}

// finish closes the connection after any error except one that the peer returned.
func (c *Client) finish(err error) error {
	if err == nil {
		return nil
	}
	if _, answered := err.(rpc.ServerError); !answered {
		c.Close()
	}
	return err
}
