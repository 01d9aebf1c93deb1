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
	// gone is closed when the stack holds nothing of the flow any longer.
	gone     chan struct{}
	goneOnce sync.Once
	hangup   waiter.Entry
	// ended says that the flow is gone and its end is being reported. The
	// terminator's mutex guards it.
	ended bool
}

var _ relay.Flow = (*flow)(nil)

// attach gives the flow its established endpoint.
func (f *flow) attach(queue *waiter.Queue, endpoint tcpip.Endpoint) {
	f.TCPConn = gonet.NewTCPConn(queue, endpoint)
	f.endpoint = endpoint
	f.queue = queue
	f.gone = make(chan struct{})
	f.hangup = waiter.NewFunctionEntry(waiter.EventHUp, func(waiter.EventMask) { f.checkGone() })
	queue.EventRegister(&f.hangup)
	f.checkGone()
}

// checkGone closes f.gone if the endpoint has reached its end.
func (f *flow) checkGone() {
	switch tcp.EndpointState(f.endpoint.State()) {
	case tcp.StateClose, tcp.StateError:
		f.goneOnce.Do(func() { close(f.gone) })
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

// readableEvents are the events after which a read doesn't block.
const readableEvents = waiter.ReadableEvents | waiter.EventHUp | waiter.EventErr

func (f *flow) readable() bool {
	return f.endpoint.Readiness(readableEvents) != 0
}

// Read implements net.Conn.
func (f *flow) Read(b []byte) (int, error) {
	n, err := f.TCPConn.Read(b)
	return n, typed(err)
}

// Write implements net.Conn.
func (f *flow) Write(b []byte) (int, error) {
	n, err := f.TCPConn.Write(b)
	return n, typed(err)
}

// Abort implements relay.Flow.
func (f *flow) Abort() {
	f.endpoint.Abort()
}

// typed returns relay's error for the library's, which are texts.
func typed(err error) error {
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
