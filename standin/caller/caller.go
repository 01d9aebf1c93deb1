// Package caller is a stand-in for callers: a user-space TCP stack that sends its
// packets to a fabric.
package caller

import (
	"context"
	"net"
	"net/netip"

	"github.com/juju/errors"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"zinniapulley.dev/core"
	"zinniapulley.dev/relay/tcpstack"
)

// Stack is the TCP stack of any number of callers.
type Stack struct {
	link *tcpstack.Link
}

// Conn is a caller's side of a flow.
type Conn struct {
	*gonet.TCPConn
	key  core.FlowKey
	link *tcpstack.Link
}

// New returns a stack that passes its packets to send. One goroutine calls send; the
// packet is valid during the call.
func New(send func(packet []byte)) (*Stack, error) {
	link, err := tcpstack.NewLink(tcpstack.DefaultMTU, send)
	if err != nil {
		return nil, core.At("start caller", "", err)
	}
	return &Stack{link: link}, nil
}

// Deliver passes a copy of an IPv4 packet to the callers.
func (s *Stack) Deliver(packet []byte) {
	s.link.Deliver(packet)
}

// Dial opens a flow from the caller's address to the service.
func (s *Stack) Dial(ctx context.Context, caller netip.Addr, service netip.AddrPort) (*Conn, error) {
	return s.DialFrom(ctx, netip.AddrPortFrom(caller, 0), service)
}

// DialFrom opens a flow from the caller's address and port to the service. For port
// zero the stack chooses one.
func (s *Stack) DialFrom(ctx context.Context, caller, service netip.AddrPort) (*Conn, error) {
	conn, err := gonet.DialTCPWithBind(ctx, s.link.Stack, fullAddress(caller), fullAddress(service), ipv4.ProtocolNumber)
	if err != nil {
		return nil, core.At("open flow", core.Peer(service.String()), err)
	}
	local, ok := conn.LocalAddr().(*net.TCPAddr)
	if !ok {
		return nil, errors.Errorf("flow to %v has no local address", service)
	}
	bound := netip.AddrPortFrom(caller.Addr(), uint16(local.Port))
	return &Conn{TCPConn: conn, key: core.FlowKey{Caller: bound, Service: service}, link: s.link}, nil
}

// CheckReleased returns an error while the stack still has an endpoint for the flow,
// so that the key can't be reused yet.
func (s *Stack) CheckReleased(key core.FlowKey) error {
	if findEndpoint(s.link, key) != nil {
		return errors.AlreadyExistsf("flow %v", key)
	}
	return nil
}

// Close drops all flows without notifying the services.
func (s *Stack) Close() {
	s.link.Close()
}

// Key returns the flow's key.
func (c *Conn) Key() core.FlowKey {
	return c.key
}

// Abort resets the flow.
func (c *Conn) Abort() {
	endpoint := findEndpoint(c.link, c.key)
	if endpoint != nil {
		endpoint.Abort()
	}
}

func fullAddress(addr netip.AddrPort) tcpip.FullAddress {
	return tcpip.FullAddress{NIC: tcpstack.NIC, Addr: tcpip.AddrFrom4(addr.Addr().As4()), Port: addr.Port()}
}

// findEndpoint returns the stack's endpoint for a flow, or nil.
func findEndpoint(link *tcpstack.Link, key core.FlowKey) stack.TransportEndpoint {
	id := stack.TransportEndpointID{
		LocalAddress:  tcpip.AddrFrom4(key.Caller.Addr().As4()),
		LocalPort:     key.Caller.Port(),
		RemoteAddress: tcpip.AddrFrom4(key.Service.Addr().As4()),
		RemotePort:    key.Service.Port(),
	}
	return link.Stack.FindTransportEndpoint(ipv4.ProtocolNumber, tcp.ProtocolNumber, id, tcpstack.NIC)
}
