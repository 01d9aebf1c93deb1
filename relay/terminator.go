// Package relay terminates callers' flows in a companion and relays their bytes
// to the backend server.
//
// A Terminator takes callers' packets in and gives packets for callers out.
// Which packets it is given is the companion's decision. Package tcpstack
// implements it with a TCP stack library.
package relay

import (
	"context"
	"net"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
)

const (
	// ErrReset is the error of a flow's reads and writes once the caller has
	// reset the flow.
	ErrReset = errors.ConstError("flow reset by the caller")
	// ErrTimeout is the error of a flow's reads and writes once the caller has
	// left packets unacknowledged for too long.
	ErrTimeout = errors.ConstError("caller does not acknowledge")
	// ErrFlowNotCreated is the error of a packet that asks for a flow and that the
	// terminator doesn't take: it is malformed, or too many handshakes are
	// pending, or the flow's end isn't reported yet.
	ErrFlowNotCreated = errors.ConstError("new flow not taken")
)

// Segment is a packet that leaves for a caller.
type Segment struct {
	Key   core.FlowKey
	Flags core.TCPFlags
	Seq   uint32
	Ack   uint32
	// Packet is the whole IPv4 packet. It is valid during the call only.
	Packet []byte
}

// Flow is an established flow as the companion's side sees it: reads give what
// the caller sent, writes go to the caller. Read returns io.EOF once the caller
// has closed its side.
type Flow interface {
	net.Conn
	// Key returns the flow's key.
	Key() core.FlowKey
	// WaitReadable returns once a Read would not block, so that an idle flow
	// needs no buffer. It returns the context's error if that ends first.
	WaitReadable(ctx context.Context) error
	// CloseWrite tells the caller that no more bytes follow.
	CloseWrite() error
	// Abort resets the flow.
	Abort()
}

// Handler takes what a Terminator gives out.
type Handler interface {
	// Send takes a packet that leaves for a caller. It is called by one
	// goroutine.
	Send(Segment)
	// Accept takes a flow that the caller has confirmed. It is called in the
	// flow's own goroutine and returns when the companion is done with it; the
	// flow is then closed, unless it is already.
	Accept(Flow)
	// Closed says that nothing is left of a flow, or of one that its caller
	// never confirmed. It is called once for each new flow that Deliver took,
	// after Accept has returned.
	Closed(core.FlowKey)
}

// Terminator ends callers' flows. Its methods may be called by any number of
// goroutines.
type Terminator interface {
	// Deliver takes an IPv4 packet of a caller; the packet's memory is the
	// caller's again when Deliver returns. A packet that asks for a new flow
	// gives ErrNotTaken if it had no effect. Another packet of a flow that the
	// terminator doesn't know is answered with a reset.
	Deliver(packet []byte) error
	// Flows returns the number of flows, pending handshakes included.
	Flows() int
	// Abort resets a flow. It reports whether the terminator knows the flow.
	Abort(key core.FlowKey) bool
	// Close resets all flows and returns when all goroutines have ended.
	Close()
}
