package tcpstack

import (
	"context"
	"net"
	"sync"

	"github.com/juju/errors"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/waiter"
	"zinniapulley.dev/core"
	"zinniapulley.dev/relay"
)

// flow implements relay.Flow.
type flow struct {
	*gonet.TCPConn
	key      core.FlowKey
	endpoint tcpip.Endpoint
	queue    *waiter.Queue
	// terminated is closed once the stack holds no state of the flow.
	terminated     chan struct{}
	terminatedOnce sync.Once
	hangup         waiter.Entry
	// closing is set once the flow has terminated and its end is being reported.
	// The terminator's mutex guards it.
	closing bool
}

var _ relay.Flow = (*flow)(nil)

// attach sets the flow's established endpoint.
func (f *flow) attach(queue *waiter.Queue, endpoint tcpip.Endpoint) {
	f.TCPConn = gonet.NewTCPConn(queue, endpoint)
	f.endpoint = endpoint
	f.queue = queue
	f.terminated = make(chan struct{})
	f.hangup = waiter.NewFunctionEntry(waiter.EventHUp, func(waiter.EventMask) { f.checkTerminated() })
	queue.EventRegister(&f.hangup)
	f.checkTerminated()
}

// checkTerminated closes f.terminated if the endpoint is in a final state.
func (f *flow) checkTerminated() {
	switch tcp.EndpointState(f.endpoint.State()) {
	case tcp.StateClose, tcp.StateError:
		f.terminatedOnce.Do(func() { close(f.terminated) })
	default:
	}
}

// Key implements relay.Flow.
func (f *flow) Key() core.FlowKey {
	return f.key
}

// WaitReadable implements relay.Flow.
func (f *flow) WaitReadable(ctx context.Context) error {
	if f.readable() {
		return nil
	}
	entry, ready := waiter.NewChannelEntry(readableEvents)
	f.queue.EventRegister(&entry)
	defer f.queue.EventUnregister(&entry)
	for !f.readable() {
		select {
		case <-ready:
		case <-ctx.Done():
			return errors.Trace(context.Cause(ctx))
		}
	}
	return nil
}

// readableEvents are the events after which a read does not block.
const readableEvents = waiter.ReadableEvents | waiter.EventHUp | waiter.EventErr

func (f *flow) readable() bool {
	return f.endpoint.Readiness(readableEvents) != 0
}

// Read implements net.Conn.
func (f *flow) Read(b []byte) (int, error) {
	n, err := f.TCPConn.Read(b)
	return n, relayError(err)
}

// Write implements net.Conn.
func (f *flow) Write(b []byte) (int, error) {
	n, err := f.TCPConn.Write(b)
	return n, relayError(err)
}

// Abort implements relay.Flow.
func (f *flow) Abort() {
	f.endpoint.Abort()
}

// relayError adds the error type of package relay to an error of the library. The
// library's errors differ only in their texts.
func relayError(err error) error {
	var op *net.OpError
	if !errors.As(err, &op) {
		return err
	}
	switch op.Err.Error() {
	case (&tcpip.ErrConnectionReset{}).String():
		return errors.WithType(err, relay.ErrReset)
	case (&tcpip.ErrTimeout{}).String():
		return errors.WithType(err, relay.ErrTimeout)
	default:
		return err
	}
}
