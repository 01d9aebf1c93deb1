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
	// routedLines and failedLines are the most log lines in a second about flows
	// that were routed and about those that weren't.
	routedLines = 20
	failedLines = 60
)

// owner has the state of the packet path.
type owner struct {
	entry      *Entry
	dispatcher *passthrough.Dispatcher
	log        *slog.Logger
	routed     asynclog.Limit
	failed     asynclog.Limit
	buffer     []byte
	meter      *traffic.Meter
}

func newOwner(e *Entry) *owner {
	return &owner{
		entry:      e,
		dispatcher: passthrough.NewDispatcher(time.Now(), e.config.DataCentre),
		log:        e.lines.Logger(),
		routed:     asynclog.Limit{PerSecond: routedLines},
		failed:     asynclog.Limit{PerSecond: failedLines},
		meter:      traffic.NewMeter(e.config.Metrics),
	}
}

// Handle takes one datagram.
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

// Tick forgets what is old and counts what is known.
func (o *owner) Tick(now time.Time) {
	o.dispatcher.Sweep(now)
	o.entry.known.Store(int64(o.dispatcher.Companions()))
	metrics.GetOrRegisterGauge("flows.cached", o.entry.config.Metrics).Update(int64(o.dispatcher.Flows()))
}

func (o *owner) fromCaller(now time.Time, datagram []byte) {
	packet, err := o.entry.config.Codec.FromCaller(datagram)
	if err != nil {
		o.meter.Malformed.Inc(1)
		return
	}
	o.carryOut(now, o.dispatcher.Handle(now, &packet))
}

// fromCompanion takes a datagram of a companion.
func (o *owner) fromCompanion(now time.Time, d traffic.Datagram) {
	var err error
	switch hop.KindOf(d.Data) {
	case hop.KindRefused, hop.KindNotHere:
		err = o.givenBack(now, d)
	case hop.KindNote:
		var note passthrough.Note
		note, err = hop.DecodeNote(d.Data)
		if err == nil {
			o.carryOut(now, o.dispatcher.HandleNote(now, d.From, note))
		}
	case hop.KindStatus:
		var status passthrough.Status
		status, err = hop.DecodeStatus(d.Data)
		if err == nil {
			o.dispatcher.HandleStatus(now, status)
			o.entry.known.Store(int64(o.dispatcher.Companions()))
		}
	default:
		o.meter.Malformed.Inc(1)
	}
	if err != nil {
		o.meter.Malformed.Inc(1)
		o.log.Warn("datagram not taken", "from", d.From, "error", err)
	}
}

func (o *owner) givenBack(now time.Time, d traffic.Datagram) error {
	envelope, err := hop.DecodeEnvelope(d.Data)
	if err != nil {
		return err
	}
	packet, err := o.entry.config.Codec.FromCaller(envelope.Packet)
	if err != nil {
		return err
	}
	o.logGivenBack(now, d.From, &packet, envelope)
	if envelope.Kind == hop.KindRefused {
		o.carryOut(now, o.dispatcher.HandleRefused(now, d.From, envelope.Reason, &packet))
		return nil
	}
	o.carryOut(now, o.dispatcher.HandleNotHere(now, d.From, &packet))
	return nil
}

// carryOut does what was decided.
func (o *owner) carryOut(now time.Time, actions []passthrough.Dispatch) {
	for i := range actions {
		a := &actions[i]
		o.meter.CountDecision(a.Reason)
		switch a.Kind {
		case passthrough.DispatchForward:
			o.send(hop.KindForward, a)
		case passthrough.DispatchLookup:
			o.send(hop.KindSeek, a)
		case passthrough.DispatchQuery:
			o.question(a)
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

func (o *owner) question(a *passthrough.Dispatch) {
	datagram, err := hop.EncodeQuestion(a.Packet.Key)
	if err != nil {
		o.log.Error("question not sent", "flow", a.Packet.Key, "error", err)
		return
	}
	o.meter.Send(o.entry.peers, datagram, a.To)
}

func (o *owner) reset(a *passthrough.Dispatch) {
	codec := o.entry.config.Codec
	o.meter.Send(o.entry.callers, codec.Reset(a.Packet.Key, a.ResetSeq), codec.Caller(a.Packet.Key))
}

// logAction writes a line for a new flow's choice and for what isn't forwarded.
func (o *owner) logAction(now time.Time, a *passthrough.Dispatch) {
	switch {
	case a.Kind == passthrough.DispatchForward && a.Reason == passthrough.ReasonChosen:
		leftOut, ok := o.routed.Allow(now)
		if ok {
			o.log.Info("flow routed", "flow", a.Packet.Key, "companion", a.To, "service", a.Status.Service, "server", a.Status.Server,
				"running", a.Status.Running, "flows", a.Status.Flows, "slots", a.Status.Slots, "statusAge", a.Age,
				"version", o.dispatcher.Version(), "reason", a.Reason, "linesLeftOut", leftOut)
		}
	case a.Kind == passthrough.DispatchReset || a.Kind == passthrough.DispatchDrop:
		leftOut, ok := o.failed.Allow(now)
		if ok {
			o.log.Warn("packet not forwarded", "flow", a.Packet.Key, "flags", a.Packet.Flags, "reset", a.Kind == passthrough.DispatchReset,
				"version", o.dispatcher.Version(), "companions", o.dispatcher.Companions(), "reason", a.Reason, "linesLeftOut", leftOut)
		}
	}
}

func (o *owner) logGivenBack(now time.Time, from netip.AddrPort, p *passthrough.Packet, envelope hop.Envelope) {
	leftOut, ok := o.failed.Allow(now)
	if ok {
		o.log.Info("packet given back", "flow", p.Key, "companion", from, "opening", envelope.Kind == hop.KindRefused,
			"companionVersion", envelope.Version, "reason", envelope.Reason, "linesLeftOut", leftOut)
	}
}
