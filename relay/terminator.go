// Package relay terminates callers' flows in a companion and relays their bytes
// to the backend server.
//
// A Terminator receives callers' packets and emits packets to callers. The
// companion decides which packets it receives. Package tcpstack implements it with
// a TCP stack library.
package relay

import (
	"context"
	"net"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
)

const (
	// ErrReset is returned by a flow's reads and writes once the caller has reset
	// the flow.
	ErrReset = errors.ConstError("flow reset by the caller")
	// ErrTimeout is returned by a flow's reads and writes once the caller has left
	// packets unacknowledged after all retransmissions.
	ErrTimeout = errors.ConstError("caller does not acknowledge")
	// ErrFlowNotCreated is returned for an opening packet for which no flow was
	// created: it is malformed, too many handshakes are pending, or the end of an
	// earlier flow with this key isn't reported yet.
	ErrFlowNotCreated = errors.ConstError("new flow not taken")
)

// Segment is a packet to a caller.
type Segment struct {
	Key   core.FlowKey
	Flags core.TCPFlags
	Seq   uint32
	Ack   uint32
	// Packet is the whole IPv4 packet. It is valid during the call only.
	Packet []byte
}

// Flow is an established flow, as a connection to the caller. Read returns io.EOF
// once the caller has closed its side.
type Flow interface {
	net.Conn
	// Key returns the flow's key.
	Key() core.FlowKey
	// WaitReadable returns once a Read would not block, so that an idle flow
	// needs no buffer. It returns the context's cause if the context ends first.
	WaitReadable(ctx context.Context) error
	// CloseWrite closes the direction to the caller.
	CloseWrite() error
	// Abort resets the flow.
	Abort()
}

// Handler receives the packets and flows of a Terminator.
type Handler interface {
	// Send sends a packet to a caller. It is called by one goroutine.
	Send(Segment)
	// Accept serves a flow whose handshake is complete. It is called in the flow's
	// own goroutine. When it returns, the flow is closed unless it is already.
	Accept(Flow)
	// Closed reports that a flow has ended, or that its handshake has failed, and
	// that none of its state is left. It is called once for each flow that Deliver
	// created, after Accept has returned.
	Closed(core.FlowKey)
}

// Terminator terminates callers' TCP flows. Its methods may be called by any number
// of goroutines.
type Terminator interface {
	// Deliver processes an IPv4 packet from a caller and keeps no reference to it.
	// It returns ErrFlowNotCreated for an opening packet without effect. Any other
	// packet of an unknown flow is answered with a reset.
	Deliver(packet []byte) error
	// Flows returns the number of flows, pending handshakes included.
	Flows() int
	// Abort resets a flow. It reports whether the terminator has the flow.
	Abort(key core.FlowKey) bool
	// Close resets all flows and returns when all goroutines have ended.
	Close()
}
