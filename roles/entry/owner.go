package entry

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/asynclog"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/roles/traffic"
	"zinniapulley.dev/wire/hop"
)

const (
	// socketCallers is the index of the socket for callers' packets.
	socketCallers = 0
	// routedLinesPerSecond and failedLinesPerSecond limit the log lines about routed
	// flows, and about packets that weren't forwarded or that companions returned.
	routedLinesPerSecond = 20
	failedLinesPerSecond = 60
)

// owner owns the state of the packet path.
type owner struct {
	entry       *Entry
	dispatcher  *passthrough.Dispatcher
	log         *slog.Logger
	routedLimit asynclog.Limit
	failedLimit asynclog.Limit
	buffer      []byte
	meter       *traffic.Meter
}

func newOwner(e *Entry) *owner {
	return &owner{
		entry:       e,
		dispatcher:  passthrough.NewDispatcher(time.Now(), e.config.DataCentre),
		log:         e.lines.Logger(),
		routedLimit: asynclog.Limit{PerSecond: routedLinesPerSecond},
		failedLimit: asynclog.Limit{PerSecond: failedLinesPerSecond},
		meter:       traffic.NewMeter(e.config.Metrics),
	}
}

// Handle processes one datagram.
func (o *owner) Handle(now time.Time, d traffic.Datagram) {
	table := o.entry.table.Load()
	if table != nil {
		o.dispatcher.SetTable(table)
	}
	if d.Socket == socketCallers {
		o.fromCaller(now, d.Data)
		return
	}
	o.fromCompanion(now, d)
}

// Tick removes expired flows and companions and updates the gauges.
func (o *owner) Tick(now time.Time) {
	o.dispatcher.Sweep(now)
	o.entry.companionCount.Store(int64(o.dispatcher.Companions()))
	metrics.GetOrRegisterGauge("flows.cached", o.entry.config.Metrics).Update(int64(o.dispatcher.Flows()))
}

func (o *owner) fromCaller(now time.Time, datagram []byte) {
	packet, err := o.entry.config.Codec.FromCaller(datagram)
	if err != nil {
		o.meter.Malformed.Inc(1)
		return
	}
	o.execute(now, o.dispatcher.Handle(now, &packet))
}

// fromCompanion processes a datagram from a companion.
func (o *owner) fromCompanion(now time.Time, d traffic.Datagram) {
	var err error
	switch hop.KindOf(d.Data) {
	case hop.KindRefused, hop.KindNotHeld:
		err = o.handleReturned(now, d)
	case hop.KindNote:
		var note passthrough.Note
		note, err = hop.DecodeNote(d.Data)
		if err == nil {
			o.execute(now, o.dispatcher.HandleNote(now, d.From, note))
		}
	case hop.KindStatus:
		var status passthrough.Status
		status, err = hop.DecodeStatus(d.Data)
		if err == nil {
			o.dispatcher.HandleStatus(now, status)
			o.entry.companionCount.Store(int64(o.dispatcher.Companions()))
		}
	default:
		o.meter.Malformed.Inc(1)
	}
	if err != nil {
		o.meter.Malformed.Inc(1)
		o.log.Warn("malformed datagram from companion", "from", d.From, "error", err)
	}
}

func (o *owner) handleReturned(now time.Time, d traffic.Datagram) error {
	envelope, err := hop.DecodeEnvelope(d.Data)
	if err != nil {
		return err
	}
	packet, err := o.entry.config.Codec.FromCaller(envelope.Packet)
	if err != nil {
		return err
	}
	o.logReturned(now, d.From, &packet, envelope)
	if envelope.Kind == hop.KindRefused {
		o.execute(now, o.dispatcher.HandleRefused(now, d.From, envelope.Reason, &packet))
		return nil
	}
	o.execute(now, o.dispatcher.HandleNotHeld(now, d.From, &packet))
	return nil
}

// execute carries out the actions of the dispatcher.
func (o *owner) execute(now time.Time, actions []passthrough.Dispatch) {
	for i := range actions {
		a := &actions[i]
		o.meter.CountDecision(a.Reason)
		switch a.Kind {
		case passthrough.DispatchForward:
			o.send(hop.KindForward, a)
		case passthrough.DispatchLookup:
			o.send(hop.KindLookup, a)
		case passthrough.DispatchQuery:
			o.sendQuery(a)
		case passthrough.DispatchReset:
			o.reset(a)
		case passthrough.DispatchDrop:
		}
		o.logAction(now, a)
	}
}

func (o *owner) send(kind hop.Kind, a *passthrough.Dispatch) {
	envelope := hop.Envelope{Kind: kind, Reason: a.Reason, Version: o.dispatcher.Version(), Packet: a.Packet.Data}
	o.buffer = hop.AppendEnvelope(o.buffer[:0], envelope)
	o.meter.Send(o.entry.peers, o.buffer, a.To)
}

func (o *owner) sendQuery(a *passthrough.Dispatch) {
	datagram, err := hop.EncodeQuery(a.Packet.Key)
	if err != nil {
		o.log.Error("query not encoded", "flow", a.Packet.Key, "error", err)
		return
	}
	o.meter.Send(o.entry.peers, datagram, a.To)
}

func (o *owner) reset(a *passthrough.Dispatch) {
	codec := o.entry.config.Codec
	o.meter.Send(o.entry.callers, codec.Reset(a.Packet.Key, a.ResetSeq), codec.Caller(a.Packet.Key))
}

// logAction logs the companion chosen for a new flow, and packets that aren't
// forwarded.
func (o *owner) logAction(now time.Time, a *passthrough.Dispatch) {
	switch {
	case a.Kind == passthrough.DispatchForward && a.Reason == passthrough.ReasonChosen:
		leftOut, ok := o.routedLimit.Allow(now)
		if ok {
			o.log.Info("flow routed", "flow", a.Packet.Key, "companion", a.To, "service", a.Status.Service, "server", a.Status.Server,
				"running", a.Status.Running, "flows", a.Status.Flows, "slots", a.Status.Slots, "statusAge", a.Age,
				"version", o.dispatcher.Version(), "reason", a.Reason, "linesLeftOut", leftOut)
		}
	case a.Kind == passthrough.DispatchReset || a.Kind == passthrough.DispatchDrop:
		leftOut, ok := o.failedLimit.Allow(now)
		if ok {
			o.log.Warn("packet not forwarded", "flow", a.Packet.Key, "flags", a.Packet.Flags, "reset", a.Kind == passthrough.DispatchReset,
				"version", o.dispatcher.Version(), "companions", o.dispatcher.Companions(), "reason", a.Reason, "linesLeftOut", leftOut)
		}
	}
}

func (o *owner) logReturned(now time.Time, from netip.AddrPort, p *passthrough.Packet, envelope hop.Envelope) {
	leftOut, ok := o.failedLimit.Allow(now)
	if ok {
		o.log.Info("packet returned by companion", "flow", p.Key, "companion", from, "opening", envelope.Kind == hop.KindRefused,
			"companionVersion", envelope.Version, "reason", envelope.Reason, "linesLeftOut", leftOut)
	}
}
