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

// Options sets a Terminator up. Zero values stand for the defaults.
type Options struct {
	// MTU is the size in bytes of the largest IPv4 packet to a caller.
	MTU uint32
	// MaxPending is the most handshakes in progress at once.
	MaxPending int
	// HandshakeTimeout is how long a caller may take to confirm a flow.
	HandshakeTimeout time.Duration
}

const (
	// DefaultMaxPending is the default of Options.Pending.
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

	// mu guards the fields below. It is taken when a flow begins or ends, not
	// for each packet of a flow.
	mu      sync.Mutex
	flows   map[core.FlowKey]*flow
	pending int
	closed  bool
}

var _ relay.Terminator = (*Terminator)(nil)

// New returns a Terminator that gives flows and packets to the handler.
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
	// Handshakes are bounded here, where a refusal can be told.
	t.forwarder = tcp.NewForwarder(link.Stack, bufferDefault, math.MaxInt, t.open)
	link.Stack.SetTransportProtocolHandler(tcp.ProtocolNumber, t.unknown)
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
	if f == nil || f.ended {
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

// Dropped returns how many packets for callers found the queue full.
func (t *Terminator) Dropped() int64 {
	return t.link.Dropped()
}

// abortEndpoint resets a flow, or gives up its handshake.
func (t *Terminator) abortEndpoint(key core.FlowKey) {
	endpoint := t.link.Stack.FindTransportEndpoint(
		header.IPv4ProtocolNumber, header.TCPProtocolNumber, endpointID(key), NIC)
	if endpoint != nil {
		endpoint.Abort()
	}
}

// unknown takes each packet that belongs to no connection of the stack. It
// reports whether it has dealt with the packet; the stack answers others with a
// reset.
func (t *Terminator) unknown(id stack.TransportEndpointID, p *stack.PacketBuffer) bool {
	flags := core.TCPFlags(header.TCP(p.TransportHeader().Slice()).Flags())
	if !flags.Opens() {
		return false
	}
	key := flowKey(id)
	if !t.begin(key) {
		// Left without an answer, so that the caller sends it again.
		return true
	}
	if !t.forwarder.HandlePacket(id, p) {
		t.forget(key)
		return false
	}
	return true
}

// begin registers a new flow. It reports false if the key is still taken, too
// many handshakes are pending, or the terminator closes.
func (t *Terminator) begin(key core.FlowKey) bool {
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

// forget removes a flow whose first packet the stack didn't take.
func (t *Terminator) forget(key core.FlowKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.flows, key)
	t.pending--
	t.running.Done()
}

// open completes a flow's handshake and serves the flow. It runs in the flow's
// own goroutine.
func (t *Terminator) open(request *tcp.ForwarderRequest) {
	defer t.running.Done()
	key := flowKey(request.ID())
	queue := new(waiter.Queue)
	timer := time.AfterFunc(t.options.HandshakeTimeout, func() { t.abortEndpoint(key) })
	endpoint, err := request.CreateEndpoint(queue)
	timer.Stop()
	request.Complete(false)
	f := t.settle(key)
	if err == nil {
		f.attach(queue, endpoint)
		t.handler.Accept(f)
		f.Close()
		<-f.gone
	}
	t.end(f)
}

// settle notes that a flow's handshake is over.
func (t *Terminator) settle(key core.FlowKey) *flow {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending--
	return t.flows[key]
}

// end reports that a flow is gone, and frees its key after that.
func (t *Terminator) end(f *flow) {
	t.mu.Lock()
	f.ended = true
	t.mu.Unlock()
	t.handler.Closed(f.key)
	t.mu.Lock()
	delete(t.flows, f.key)
	t.mu.Unlock()
}

// send gives out a packet that leaves.
func (t *Terminator) send(packet []byte) {
	segment, ok := parse(packet)
	if !ok {
		return
	}
	segment.Key = core.FlowKey{Caller: segment.Key.Service, Service: segment.Key.Caller}
	t.handler.Send(segment)
}
