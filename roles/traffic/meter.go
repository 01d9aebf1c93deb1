package traffic

import (
	"net"
	"net/netip"

	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/passthrough"
)

// Meter counts the datagrams and decisions of a packet path.
type Meter struct {
	// Malformed counts datagrams that couldn't be decoded.
	Malformed metrics.Counter
	reasons   [passthrough.ReasonCount]metrics.Counter
	notSent   metrics.Counter
}

// NewMeter returns a Meter whose counters are in the registry.
func NewMeter(registry metrics.Registry) *Meter {
	m := &Meter{
		Malformed: metrics.GetOrRegisterCounter("packets.malformed", registry),
		notSent:   metrics.GetOrRegisterCounter("packets.notSent", registry),
	}
	for reason := range m.reasons {
		m.reasons[reason] = metrics.GetOrRegisterCounter("packets."+passthrough.Reason(reason).String(), registry)
	}
	return m
}

// CountDecision counts a decision by its reason.
func (m *Meter) CountDecision(reason passthrough.Reason) { m.reasons[reason].Inc(1) }

// Send writes a datagram. It counts a failed write.
func (m *Meter) Send(socket *net.UDPConn, datagram []byte, to netip.AddrPort) {
	_, err := socket.WriteToUDPAddrPort(datagram, to)
	if err != nil {
		m.notSent.Inc(1)
	}
}
