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

// delivery implements relay.Handler. It sends packets to callers, relays accepted
// flows and reports the ends of flows.
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

// Send sends a packet to its caller through the fabric. A SYN-ACK is recorded by
// the traffic goroutine before it is sent.
func (d *delivery) Send(segment relay.Segment) {
	if segment.Flags.Has(core.TCPSyn | core.TCPAck) {
		d.reportSynAck(segment)
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

func (d *delivery) reportSynAck(segment relay.Segment) {
	report := synAck{
		event: flow.SynAckSent{Key: segment.Key, Seq: segment.Seq},
		done:  make(chan struct{}),
	}
	select {
	case d.traffic.synAcks <- report:
		<-report.done
	case <-d.traffic.ended:
	}
}

// Accept relays a flow to the backend server until both sides have ended.
func (d *delivery) Accept(accepted relay.Flow) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(context.Background(), "tcp4", d.backend.String())
	if err != nil {
		err = core.At("dial backend server", core.Peer(d.backend.String()), err)
		d.count(relay.CauseBackendReset)
		d.log.Warn("flow aborted", "flow", accepted.Key(), "reason", relay.CauseBackendReset, "error", err)
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

// Closed reports the end of a flow to the traffic goroutine.
func (d *delivery) Closed(key core.FlowKey) {
	select {
	case d.traffic.closed <- key:
	case <-d.traffic.ended:
	}
}
