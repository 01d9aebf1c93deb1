package companion

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/core"
	"zinniapulley.dev/flow"
	"zinniapulley.dev/relay"
	"zinniapulley.dev/wire/geneve"
)

const (
	// maxDatagram is the largest datagram read, in bytes.
	maxDatagram = 1 << 16
	// packetQueueSize bounds the datagrams read but not yet handled.
	packetQueueSize = 512
	// closedQueueSize bounds the ends of flows not yet handled.
	closedQueueSize = 4096
)

// trafficState is the part of the control state that the traffic goroutine needs.
type trafficState struct {
	backendServer core.BackendServerID
	service       core.ServiceID
	forwarding    *flow.ForwardingTable
	self          flow.Self
	connections   int
}

// synAck is a SYN-ACK about to be sent. done is closed once the owner has
// recorded it.
type synAck struct {
	event flow.SynAckSent
	done  chan struct{}
}

// traffic is the state of the one goroutine that decides about packets.
type traffic struct {
	conn          *net.UDPConn
	fabric        netip.AddrPort
	log           *slog.Logger
	terminator    relay.Terminator
	decoder       geneve.Decoder
	encoder       *geneve.Encoder
	owner         *flow.Owner
	backendServer core.BackendServerID
	counters      counters
	// service is the service's ID, zero before registration.
	service atomic.Uint32

	free    chan []byte
	packets chan []byte
	synAcks chan synAck
	closed  chan core.FlowKey
	states  chan trafficState
	// ended is closed once run has returned.
	ended chan struct{}
}

// counters counts packets by outcome.
type counters struct {
	delivered     metrics.Counter
	forwarded     metrics.Counter
	refused       metrics.Counter
	admitted      metrics.Counter
	notRegistered metrics.Counter
	queueFull     metrics.Counter
	sendError     metrics.Counter
	notCreated    metrics.Counter
	flows         metrics.Gauge
	malformed     [geneve.DropCount]metrics.Counter
	dropped       [flow.DropReasonCount]metrics.Counter
}

func newCounters(registry metrics.Registry) counters {
	c := counters{
		delivered:     metrics.GetOrRegisterCounter("packets.delivered", registry),
		forwarded:     metrics.GetOrRegisterCounter("packets.passed on", registry),
		refused:       metrics.GetOrRegisterCounter("packets.refused", registry),
		admitted:      metrics.GetOrRegisterCounter("flows.admitted", registry),
		notRegistered: metrics.GetOrRegisterCounter("packets.dropped.not registered", registry),
		queueFull:     metrics.GetOrRegisterCounter("packets.dropped.queue full", registry),
		sendError:     metrics.GetOrRegisterCounter("packets.dropped.send error", registry),
		notCreated:    metrics.GetOrRegisterCounter("flows.not taken", registry),
		flows:         metrics.GetOrRegisterGauge("flows.open", registry),
	}
	for i := range c.malformed {
		c.malformed[i] = metrics.GetOrRegisterCounter("packets.dropped."+geneve.Drop(i).Error(), registry)
	}
	for i := range c.dropped {
		c.dropped[i] = metrics.GetOrRegisterCounter("packets.dropped."+flow.DropReason(i).String(), registry)
	}
	return c
}

func newTraffic(conn *net.UDPConn, config Config) *traffic {
	t := &traffic{
		conn:     conn,
		fabric:   config.FabricReturn,
		log:      config.Log,
		encoder:  geneve.NewEncoder(),
		counters: newCounters(config.Metrics),
		free:     make(chan []byte, packetQueueSize),
		packets:  make(chan []byte, packetQueueSize),
		synAcks:  make(chan synAck),
		closed:   make(chan core.FlowKey, closedQueueSize),
		states:   make(chan trafficState, 1),
		ended:    make(chan struct{}),
	}
	return t
}

// update sends a state to the traffic goroutine and replaces one that it has not
// received yet. Only the control loop calls it.
func (t *traffic) update(state trafficState) {
	select {
	case <-t.states:
	default:
	}
	t.states <- state
}

// read queues datagrams from the socket for the traffic goroutine until the
// socket is closed. Datagrams that find the queue full are dropped.
func (t *traffic) read() {
	for {
		buffer := t.buffer()
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer[:cap(buffer)])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		select {
		case t.packets <- buffer[:n]:
		default:
			t.counters.queueFull.Inc(1)
			t.release(buffer)
		}
	}
}

func (t *traffic) buffer() []byte {
	select {
	case buffer := <-t.free:
		return buffer
	default:
		return make([]byte, maxDatagram)
	}
}

func (t *traffic) release(buffer []byte) {
	select {
	case t.free <- buffer:
	default:
	}
}

// run handles packets, and the events that concern flows, until ctx is done.
func (t *traffic) run(ctx context.Context) {
	defer close(t.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case datagram := <-t.packets:
			t.handlePacket(datagram)
			t.release(datagram)
		case s := <-t.synAcks:
			t.handle(s.event)
			close(s.done)
		case key := <-t.closed:
			t.handle(flow.FlowClosed{Key: key})
		case state := <-t.states:
			t.apply(state)
		case <-t.wake(timer):
			t.handle(flow.DeadlinePassed{})
		}
	}
}

// wake sets the timer to the owner's deadline and returns its channel, which
// is nil when there is no deadline.
func (t *traffic) wake(timer *time.Timer) <-chan time.Time {
	if t.owner == nil {
		return nil
	}
	due, ok := t.owner.Deadline()
	if !ok {
		return nil
	}
	timer.Reset(time.Until(due))
	return timer.C
}

// apply passes a newer control state to the owner. Another registration starts
// with a new owner, without flows.
func (t *traffic) apply(state trafficState) {
	if t.owner == nil || t.backendServer != state.backendServer {
		t.backendServer = state.backendServer
		t.owner = flow.NewOwner(flow.OwnerConfig{
			Self:            state.backendServer,
			Service:         state.service,
			HalfOpenTimeout: flow.DefaultHalfOpenTimeout,
			MaxHalfOpen:     flow.DefaultMaxHalfOpen,
		})
	}
	t.service.Store(uint32(state.service))
	t.handle(flow.ViewChanged{Forwarding: state.forwarding, Self: state.self})
	t.handle(flow.LimitChanged{Connections: state.connections})
}

// handle passes an event other than a packet to the owner.
func (t *traffic) handle(event flow.Event) {
	if t.owner == nil {
		return
	}
	action := t.owner.Handle(time.Now(), event)
	switch action.Kind {
	case flow.ActionDiscardFlows, flow.ActionResetFlows:
		for _, key := range action.Keys {
			t.terminator.Abort(key)
		}
	}
	t.counters.flows.Update(int64(t.owner.Flows()))
}

// handlePacket decodes one datagram from an entry instance or a peer and carries
// out the owner's decision.
func (t *traffic) handlePacket(datagram []byte) {
	envelope, err := t.decoder.DecodePeer(datagram)
	if err != nil {
		t.countMalformed(err)
		return
	}
	if t.owner == nil {
		t.counters.notRegistered.Inc(1)
		return
	}
	inner := envelope.Inner
	action := t.owner.Handle(time.Now(), &flow.Packet{
		Key:      inner.Key,
		Flags:    flagSet(inner.Flags),
		Seq:      inner.Seq,
		Ack:      inner.Ack,
		Service:  envelope.Service,
		Revision: envelope.Revision,
		Hops:     envelope.Hops[:envelope.HopCount],
		Hop:      int(envelope.HopIndex),
	})
	t.logNewFlow(inner, action)
	t.perform(envelope, action)
}

func (t *traffic) perform(envelope geneve.Envelope, action flow.Action) {
	switch action.Kind {
	case flow.ActionDeliver:
		t.counters.delivered.Inc(1)
		t.deliver(envelope.Inner)
	case flow.ActionForward:
		t.counters.forwarded.Inc(1)
		t.forward(envelope, action)
	case flow.ActionRefuse:
		t.counters.refused.Inc(1)
		t.sendReset(envelope.Inner)
	case flow.ActionDrop:
		t.counters.dropped[action.Drop].Inc(1)
	}
}

// deliver passes a packet to the TCP stack.
func (t *traffic) deliver(inner geneve.Inner) {
	err := t.terminator.Deliver(inner.Packet)
	if err != nil {
		t.counters.notCreated.Inc(1)
		t.handle(flow.FlowClosed{Key: inner.Key})
	}
}

// sendReset answers a packet with a TCP reset. Nothing of the packet has reached
// the backend server.
func (t *traffic) sendReset(inner geneve.Inner) {
	packet, err := geneve.Reset(inner)
	if err != nil {
		t.counters.sendError.Inc(1)
		return
	}
	if packet == nil {
		return
	}
	datagram, err := t.encoder.EncodeFabric(t.service.Load(), packet)
	if err != nil {
		t.counters.sendError.Inc(1)
		return
	}
	_, err = t.conn.WriteToUDPAddrPort(datagram, t.fabric)
	if err != nil {
		t.counters.sendError.Inc(1)
	}
}

// forward sends a packet to the next candidate.
func (t *traffic) forward(envelope geneve.Envelope, action flow.Action) {
	envelope.Revision = action.Revision
	envelope.HopIndex = uint8(action.NextHop)
	envelope.HopCount = uint8(copy(envelope.Hops[:], action.Hops))
	datagram, err := t.encoder.EncodePeer(&envelope)
	if err != nil {
		t.counters.sendError.Inc(1)
		return
	}
	_, err = t.conn.WriteToUDPAddrPort(datagram, envelope.Hop())
	if err != nil {
		t.counters.sendError.Inc(1)
	}
}

// logNewFlow logs the decision about a flow's opening packet.
func (t *traffic) logNewFlow(inner geneve.Inner, action flow.Action) {
	if !inner.Flags.Opens() {
		return
	}
	if action.Cause == flow.CauseNewFlow {
		t.counters.admitted.Inc(1)
	}
	t.log.Info("flow decided", "flow", inner.Key, "decision", action.Kind, "bucket", action.Bucket,
		"backendServer", t.backendServer, "revision", action.Revision, "reason", action.Cause)
}

func (t *traffic) countMalformed(err error) {
	var drop geneve.Drop
	if errors.As(err, &drop) {
		t.counters.malformed[drop].Inc(1)
	}
}

// flagSet converts the flags that the owner's decisions depend on.
func flagSet(flags core.TCPFlags) flow.FlagSet {
	var set flow.FlagSet
	if flags.Has(core.TCPSyn) {
		set |= flow.FlagSYN
	}
	if flags.Has(core.TCPAck) {
		set |= flow.FlagACK
	}
	if flags.Has(core.TCPRst) {
		set |= flow.FlagRST
	}
	if flags.Has(core.TCPFin) {
		set |= flow.FlagFIN
	}
	return set
}
