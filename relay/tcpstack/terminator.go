package tcpstack

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/waiter"
	"zinniapulley.dev/core"
	"zinniapulley.dev/relay"
)

// Options configures a Terminator. Zero values stand for the defaults.
type Options struct {
	// MTU is the largest size in bytes of an IPv4 packet to a caller.
	MTU uint32
	// MaxPending is the maximum number of concurrent handshakes.
	MaxPending int
	// HandshakeTimeout is how long a caller may take to complete a handshake.
	HandshakeTimeout time.Duration
}

const (
	// DefaultMaxPending is the default of Options.MaxPending.
	DefaultMaxPending = 1024
	// DefaultHandshakeTimeout is the default of Options.HandshakeTimeout.
	DefaultHandshakeTimeout = 10 * time.Second
)

// Terminator implements relay.Terminator.
type Terminator struct {
	options   Options
	handler   relay.Handler
	link      *Link
	forwarder *tcp.Forwarder
	// running counts the flows' goroutines.
	running sync.WaitGroup

	// mu guards the fields below. It is locked when a flow begins or ends, not
	// for each packet of a flow.
	mu      sync.Mutex
	flows   map[core.FlowKey]*flow
	pending int
	closed  bool
}

var _ relay.Terminator = (*Terminator)(nil)

// New returns a Terminator that passes flows and packets to the handler.
func New(options Options, handler relay.Handler) (*Terminator, error) {
	t := &Terminator{
		options: withDefaults(options),
		handler: handler,
		flows:   make(map[core.FlowKey]*flow),
	}
	link, err := NewLink(t.options.MTU, t.send)
	if err != nil {
		return nil, err
	}
	t.link = link
	// The limit of the forwarder is disabled: register bounds handshakes, so that
	// Deliver can report a refusal.
	t.forwarder = tcp.NewForwarder(link.Stack, bufferDefault, math.MaxInt, t.serve)
	link.Stack.SetTransportProtocolHandler(tcp.ProtocolNumber, t.handleUnmatched)
	return t, nil
}

func withDefaults(options Options) Options {
	if options.MTU == 0 {
		options.MTU = DefaultMTU
	}
	if options.MaxPending == 0 {
		options.MaxPending = DefaultMaxPending
	}
	if options.HandshakeTimeout == 0 {
		options.HandshakeTimeout = DefaultHandshakeTimeout
	}
	return options
}

// Deliver implements relay.Terminator.
func (t *Terminator) Deliver(packet []byte) error {
	t.link.Deliver(packet)
	segment, ok := parse(packet)
	if !ok || !segment.Flags.Opens() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[segment.Key]
	if f == nil || f.closing {
		return relay.ErrFlowNotCreated
	}
	return nil
}

// Flows implements relay.Terminator.
func (t *Terminator) Flows() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.flows)
}

// Abort implements relay.Terminator.
func (t *Terminator) Abort(key core.FlowKey) bool {
	t.mu.Lock()
	_, known := t.flows[key]
	t.mu.Unlock()
	if known {
		t.abortEndpoint(key)
	}
	return known
}

// Close implements relay.Terminator.
func (t *Terminator) Close() {
	t.mu.Lock()
	t.closed = true
	keys := slices.Collect(maps.Keys(t.flows))
	t.mu.Unlock()
	for _, key := range keys {
		t.abortEndpoint(key)
	}
	t.running.Wait()
	t.link.Close()
}

// Dropped returns how many packets to callers were dropped because the queue was
// full.
func (t *Terminator) Dropped() int64 {
	return t.link.Dropped()
}

// abortEndpoint resets a flow or aborts its handshake.
func (t *Terminator) abortEndpoint(key core.FlowKey) {
	endpoint := t.link.Stack.FindTransportEndpoint(
		header.IPv4ProtocolNumber, header.TCPProtocolNumber, endpointID(key), NIC)
	if endpoint != nil {
		endpoint.Abort()
	}
}

// handleUnmatched handles a packet that belongs to no connection of the stack. It
// reports whether it has handled the packet; if not, the stack answers with a
// reset.
func (t *Terminator) handleUnmatched(id stack.TransportEndpointID, p *stack.PacketBuffer) bool {
	flags := core.TCPFlags(header.TCP(p.TransportHeader().Slice()).Flags())
	if !flags.Opens() {
		return false
	}
	key := flowKey(id)
	if !t.register(key) {
		// The packet gets no answer, so that the caller retransmits it.
		return true
	}
	if !t.forwarder.HandlePacket(id, p) {
		t.unregister(key)
		return false
	}
	return true
}

// register adds a new flow. It returns false if the key is still in use, too many
// handshakes are pending, or the terminator is closing.
func (t *Terminator) register(key core.FlowKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, taken := t.flows[key]
	if taken || t.closed || t.pending >= t.options.MaxPending {
		return false
	}
	t.flows[key] = &flow{key: key}
	t.pending++
	t.running.Add(1)
	return true
}

// unregister removes a flow whose opening packet the stack rejected.
func (t *Terminator) unregister(key core.FlowKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.flows, key)
	t.pending--
	t.running.Done()
}

// serve completes a flow's handshake and serves the flow. It runs in the flow's
// own goroutine.
func (t *Terminator) serve(request *tcp.ForwarderRequest) {
	defer t.running.Done()
	key := flowKey(request.ID())
	queue := new(waiter.Queue)
	timer := time.AfterFunc(t.options.HandshakeTimeout, func() { t.abortEndpoint(key) })
	endpoint, err := request.CreateEndpoint(queue)
	timer.Stop()
	request.Complete(false)
	f := t.handshakeDone(key)
	if err == nil {
		f.attach(queue, endpoint)
		t.handler.Accept(f)
		f.Close()
		<-f.terminated
	}
	t.finish(f)
}

// handshakeDone records that a flow's handshake has ended, successful or not.
func (t *Terminator) handshakeDone(key core.FlowKey) *flow {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending--
	return t.flows[key]
}

// finish reports the end of a flow and then frees its key.
func (t *Terminator) finish(f *flow) {
	t.mu.Lock()
	f.closing = true
	t.mu.Unlock()
	t.handler.Closed(f.key)
	t.mu.Lock()
	delete(t.flows, f.key)
	t.mu.Unlock()
}

// send passes an outgoing packet to the handler.
func (t *Terminator) send(packet []byte) {
	segment, ok := parse(packet)
	if !ok {
		return
	}
	segment.Key = core.FlowKey{Caller: segment.Key.Service, Service: segment.Key.Caller}
	t.handler.Send(segment)
}
