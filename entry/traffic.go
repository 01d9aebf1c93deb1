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

// quietPeriod is how long an entry instance that stops must receive no packet
// before it assumes that the fabric no longer sends packets here.
const quietPeriod = time.Second

// traffic is the state of the one goroutine that forwards packets.
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
	// stopDeadline is when the goroutine ends at the latest, in nanoseconds since
	// 1970. It is zero until stop is called.
	stopDeadline atomic.Int64
	// packetsSinceStop counts the packets received since stop was called.
	packetsSinceStop int64
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

// stop makes the goroutine end once no packet has been received for quietPeriod,
// or at the given time.
func (t *traffic) stop(at time.Time) {
	t.stopDeadline.Store(at.UnixNano())
	_ = t.conn.SetReadDeadline(t.quietDeadline(at))
}

// quietDeadline returns when the goroutine ends if it receives no further packet.
func (t *traffic) quietDeadline(at time.Time) time.Time {
	quiet := time.Now().Add(quietPeriod)
	if quiet.Before(at) {
		return quiet
	}
	return at
}

// run forwards packets until it is stopped or the socket is closed. It reports
// whether packets were still arriving at the end.
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
		stopAt := t.stopDeadline.Load()
		if stopAt != 0 {
			busy = t.extendQuietPeriod(time.Unix(0, stopAt))
		}
	}
}

// extendQuietPeriod restarts the quiet period after a packet, and reports whether
// the stop deadline comes first.
func (t *traffic) extendQuietPeriod(at time.Time) bool {
	t.packetsSinceStop++
	end := t.quietDeadline(at)
	_ = t.conn.SetReadDeadline(end)
	return end.Equal(at)
}

// forward sends one packet from the fabric to its first candidate.
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

// encode returns the datagram for the first candidate. It is valid until the next
// call.
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

// logNewFlow logs the routing decision for a flow's opening packet.
func (t *traffic) logNewFlow(inner geneve.Inner, route flow.Route) {
	if !inner.Flags.Opens() {
		return
	}
	t.counters.flows.Inc(1)
	t.log.Info("flow routed", "flow", inner.Key, "service", route.Service, "bucket", route.Bucket,
		"backendServer", route.Hops[0].BackendServer, "revision", route.Revision, "reason", "bucket owner")
}
