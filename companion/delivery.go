package companion

import (
	"context"
	"log/slog"
	"net"
	"net/netip"

	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/core"
	"zinniapulley.dev/flow"
	"zinniapulley.dev/relay"
	"zinniapulley.dev/wire/geneve"
)

// delivery takes what the TCP stack gives out: packets for callers, accepted
// flows and the ends of flows.
type delivery struct {
	conn    *net.UDPConn
	fabric  netip.AddrPort
	backend netip.AddrPort
	traffic *traffic
	log     *slog.Logger
	encoder *geneve.Encoder
	metrics metrics.Registry
}

func newDelivery(conn *net.UDPConn, config Config, t *traffic) *delivery {
	return &delivery{
		conn:    conn,
		fabric:  config.FabricReturn,
		backend: config.BackendServer,
		traffic: t,
		log:     config.Log,
		encoder: geneve.NewEncoder(),
		metrics: config.Metrics,
	}
}

// Send sends a packet to its caller by way of the fabric. The traffic
// goroutine learns of a SYN-ACK before it leaves.
func (d *delivery) Send(segment relay.Segment) {
	if segment.Flags.Has(core.TCPSyn | core.TCPAck) {
		d.noteSynAck(segment)
	}
	datagram, err := d.encoder.EncodeFabric(d.traffic.service.Load(), segment.Packet)
	if err != nil {
		d.traffic.counters.sendError.Inc(1)
		return
	}
	_, err = d.conn.WriteToUDPAddrPort(datagram, d.fabric)
	if err != nil {
		d.traffic.counters.sendError.Inc(1)
	}
}

func (d *delivery) noteSynAck(segment relay.Segment) {
	note := synAck{
		event: flow.SynAckSent{Key: segment.Key, Seq: segment.Seq},
		done:  make(chan struct{}),
	}
	select {
	case d.traffic.synAcks <- note:
		<-note.done
	case <-d.traffic.ended:
	}
}

// Accept relays a flow to the backend server until both have ended.
func (d *delivery) Accept(accepted relay.Flow) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(context.Background(), "tcp4", d.backend.String())
	if err != nil {
		err = core.At("dial backend server", core.Peer(d.backend.String()), err)
		d.count(relay.CauseBackendReset)
		d.log.Warn("flow cut", "flow", accepted.Key(), "reason", relay.CauseBackendReset, "error", err)
		accepted.Abort()
		return
	}
	end := relay.Splice(context.Background(), accepted, conn.(*net.TCPConn))
	d.count(end.Cause)
	d.log.Info("flow ended", "flow", accepted.Key(), "cause", end.Cause, "fromCaller", end.FromCaller,
		"toCaller", end.ToCaller, "error", end.Err)
}

func (d *delivery) count(cause relay.Cause) {
	metrics.GetOrRegisterCounter("flows.ended."+cause.String(), d.metrics).Inc(1)
}

// Closed tells the traffic goroutine that nothing is left of a flow.
func (d *delivery) Closed(key core.FlowKey) {
	select {
	case d.traffic.closed <- key:
	case <-d.traffic.ended:
	}
}
