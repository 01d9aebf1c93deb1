package entry

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/flow"
	"zinniapulley.dev/wire/geneve"
)

// maxDatagram is the largest datagram read, in bytes.
const maxDatagram = 1 << 16

// traffic is the state of the one goroutine that moves packets.
type traffic struct {
	conn       *net.UDPConn
	self       netip.AddrPort
	forwarding *atomic.Pointer[flow.Forwarding]
	log        *slog.Logger
	decoder    geneve.Decoder
	encoder    *geneve.Encoder
	envelope   geneve.Envelope
	counters   counters
}

// counters count packets by what became of them.
type counters struct {
	sent      metrics.Counter
	flows     metrics.Counter
	sendError metrics.Counter
	noView    metrics.Counter
	malformed [geneve.DropCount]metrics.Counter
	unrouted  [flow.DropReasonCount]metrics.Counter
}

func newCounters(registry metrics.Registry) counters {
	c := counters{
		sent:      metrics.GetOrRegisterCounter("packets.sent", registry),
		flows:     metrics.GetOrRegisterCounter("flows.routed", registry),
		sendError: metrics.GetOrRegisterCounter("packets.dropped.send error", registry),
		noView:    metrics.GetOrRegisterCounter("packets.dropped.no view", registry),
	}
	for i := range c.malformed {
		name := "packets.dropped." + geneve.Drop(i).Error()
		c.malformed[i] = metrics.GetOrRegisterCounter(name, registry)
	}
	for i := range c.unrouted {
		name := "packets.dropped." + flow.DropReason(i).String()
		c.unrouted[i] = metrics.GetOrRegisterCounter(name, registry)
	}
	return c
}

func newTraffic(conn *net.UDPConn, forwarding *atomic.Pointer[flow.Forwarding], config Config) *traffic {
	return &traffic{
		conn:       conn,
		self:       conn.LocalAddr().(*net.UDPAddr).AddrPort(),
		forwarding: forwarding,
		log:        config.Log,
		encoder:    geneve.NewEncoder(),
		counters:   newCounters(config.Metrics),
	}
}

// run moves packets until the socket's read deadline or its end.
func (t *traffic) run() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		t.forward(buffer[:n])
	}
}

// forward sends one packet from the fabric on to its first candidate.
func (t *traffic) forward(datagram []byte) {
	packet, err := t.decoder.DecodeFabric(datagram)
	if err != nil {
		t.countMalformed(err)
		return
	}
	forwarding := t.forwarding.Load()
	if forwarding == nil {
		t.counters.noView.Inc(1)
		return
	}
	route, reason := forwarding.Lookup(packet.Inner.Key)
	if reason != flow.DropNone {
		t.counters.unrouted[reason].Inc(1)
		return
	}
	t.logNewFlow(packet.Inner, route)
	t.send(packet.Inner, route)
}

func (t *traffic) send(inner geneve.Inner, route flow.Route) {
	t.envelope.Service = route.Service
	t.envelope.Revision = route.Revision
	t.envelope.HopIndex = 0
	t.envelope.HopCount = uint8(len(route.Hops))
	for i, hop := range route.Hops {
		t.envelope.Hops[i] = hop.Packets
	}
	t.envelope.Entry = t.self
	t.envelope.Inner = inner
	datagram, err := t.encoder.EncodePeer(&t.envelope)
	if err != nil {
		t.counters.sendError.Inc(1)
		return
	}
	_, err = t.conn.WriteToUDPAddrPort(datagram, route.Hops[0].Packets)
	if err != nil {
		t.counters.sendError.Inc(1)
		return
	}
	t.counters.sent.Inc(1)
}

// logNewFlow writes the routing decision of a flow's first packet.
func (t *traffic) logNewFlow(inner geneve.Inner, route flow.Route) {
	if !inner.Flags.Opens() {
		return
	}
	t.counters.flows.Inc(1)
	t.log.Info("flow routed", "flow", inner.Key, "service", route.Service, "bucket", route.Bucket,
		"backendServer", route.Hops[0].BackendServer, "revision", route.Revision, "reason", "bucket owner")
}

func (t *traffic) countMalformed(err error) {
	var drop geneve.Drop
	if errors.As(err, &drop) {
		t.counters.malformed[drop].Inc(1)
	}
}
