package entry

import (
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/flow"
	"zinniapulley.dev/wire/geneve"
)

// quietTime is how long no packet must have come before an entry instance that
// stops takes the fabric to have turned elsewhere.
const quietTime = time.Second

// traffic is the state of the one goroutine that moves packets.
type traffic struct {
	conn       *net.UDPConn
	self       netip.AddrPort
	network    uint32
	forwarding *atomic.Pointer[flow.ForwardingTable]
	log        *slog.Logger
	decoder    geneve.Decoder
	encoder    *geneve.Encoder
	envelope   geneve.Envelope
	counters   counters
	// stopAt is when the goroutine ends at the latest, in nanoseconds since
	// 1970; zero until the instance is to stop.
	stopAt atomic.Int64
	// late counts the packets forwarded since then.
	late int64
}

func newTraffic(conn *net.UDPConn, forwarding *atomic.Pointer[flow.ForwardingTable], config Config, log *slog.Logger) *traffic {
	return &traffic{
		conn:       conn,
		self:       conn.LocalAddr().(*net.UDPAddr).AddrPort(),
		network:    config.Network,
		forwarding: forwarding,
		log:        log,
		encoder:    geneve.NewEncoder(),
		counters:   newCounters(config.Metrics),
	}
}

// stop has the goroutine end once no packet has come for quietTime, or at the
// given time.
func (t *traffic) stop(at time.Time) {
	t.stopAt.Store(at.UnixNano())
	_ = t.conn.SetReadDeadline(t.quietEnd(at))
}

// quietEnd returns when the goroutine ends if no more packet comes.
func (t *traffic) quietEnd(at time.Time) time.Time {
	quiet := time.Now().Add(quietTime)
	if quiet.Before(at) {
		return quiet
	}
	return at
}

// run moves packets until it is stopped or the socket is closed. It reports
// whether packets still came at the end.
func (t *traffic) run() bool {
	buffer := make([]byte, geneve.MaxDatagram)
	busy := false
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			return busy
		}
		if err != nil {
			continue
		}
		t.forward(buffer[:n])
		stopAt := t.stopAt.Load()
		if stopAt != 0 {
			busy = t.stopping(time.Unix(0, stopAt))
		}
	}
}

// stopping prolongs the wait for a quiet time after a packet, and reports
// whether the latest end comes before it.
func (t *traffic) stopping(at time.Time) bool {
	t.late++
	end := t.quietEnd(at)
	_ = t.conn.SetReadDeadline(end)
	return end.Equal(at)
}

// forward sends one packet from the fabric on to its first candidate.
func (t *traffic) forward(datagram []byte) {
	packet, err := t.decoder.DecodeFabric(datagram)
	if err != nil {
		t.counters.countMalformed(err)
		return
	}
	if packet.Network != t.network {
		t.counters.wrongNetwork.Inc(1)
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
	datagram, err := t.encode(inner, route)
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

// encode returns the datagram for the first candidate, which is valid until the
// next call.
func (t *traffic) encode(inner geneve.Inner, route flow.Route) ([]byte, error) {
	t.envelope.Service = route.Service
	t.envelope.Revision = route.Revision
	t.envelope.HopIndex = 0
	t.envelope.HopCount = uint8(len(route.Hops))
	for i, hop := range route.Hops {
		t.envelope.Hops[i] = hop.Packets
	}
	t.envelope.Entry = t.self
	t.envelope.Inner = inner
	return t.encoder.EncodePeer(&t.envelope)
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
