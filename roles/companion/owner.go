package companion

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/asynclog"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/roles/traffic"
	"zinniapulley.dev/wire/hop"
)

const (
	// socketPeers is the index of the socket for entry instances.
	socketPeers = 0
	// admittedLinesPerSecond and failedLinesPerSecond limit the log lines about admitted
	// flows and about packets that weren't delivered.
	admittedLinesPerSecond = 20
	failedLinesPerSecond   = 60
	// requestLinesPerSecond and lateLinesPerSecond limit those about delivered requests
	// and about responses that took longer than the route's objective.
	requestLinesPerSecond = 30
	lateLinesPerSecond    = 60
	// maxRequests is the maximum number of requests whose identity is kept for the log.
	maxRequests = 4096
	// idleStatusInterval is the time between statuses while nothing changes.
	idleStatusInterval = 300 * time.Millisecond
	// sampleSize and sampleAlpha are the size of the sample of service times and its
	// exponential decay factor.
	sampleSize  = 512
	sampleAlpha = 0.015
)

// owner owns the state of the packet path.
type owner struct {
	companion     *Companion
	gate          *passthrough.Gate
	state         *state
	log           *slog.Logger
	admittedLimit asynclog.Limit
	failedLimit   asynclog.Limit
	requestLimit  asynclog.Limit
	lateLimit     asynclog.Limit
	// requests holds the identities of requests that wait for a response, by flow.
	requests          map[core.FlowKey]string
	now               time.Time
	buffer            []byte
	lastStatus        passthrough.Status
	lastStatusAt      time.Time
	lastStatusEntries int
	meter             *traffic.Meter
}

func newOwner(c *Companion) *owner {
	registry := c.config.Metrics
	o := &owner{
		companion:     c,
		gate:          passthrough.NewGate(time.Now(), c.config.Gate),
		state:         c.state.Load(),
		log:           c.lines.Logger(),
		admittedLimit: asynclog.Limit{PerSecond: admittedLinesPerSecond},
		failedLimit:   asynclog.Limit{PerSecond: failedLinesPerSecond},
		requestLimit:  asynclog.Limit{PerSecond: requestLinesPerSecond},
		lateLimit:     asynclog.Limit{PerSecond: lateLinesPerSecond},
		requests:      make(map[core.FlowKey]string),
		meter:         traffic.NewMeter(registry),
	}
	served := metrics.GetOrRegisterHistogram("requests.microseconds", registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	o.gate.Served = func(key core.FlowKey, took time.Duration) {
		served.Update(took.Microseconds())
		o.requestAnswered(key, took)
	}
	return o
}

// refresh applies the newest state published by the control goroutine.
func (o *owner) refresh(now time.Time) {
	o.now = now
	s := o.companion.state.Load()
	if s == o.state {
		return
	}
	o.state = s
	if s.table != nil {
		o.gate.SetTable(now, s.table)
	}
	o.gate.SetTarget(s.target)
	o.execute(now, o.gate.ResetFlows())
}

// Handle processes one datagram.
func (o *owner) Handle(now time.Time, d traffic.Datagram) {
	o.refresh(now)
	var err error
	if d.Socket == socketPeers {
		err = o.fromEntry(now, d)
	} else {
		err = o.fromServer(now, d.Data)
	}
	if err != nil {
		o.meter.Malformed.Inc(1)
	}
}

func (o *owner) fromEntry(now time.Time, d traffic.Datagram) error {
	if hop.KindOf(d.Data) == hop.KindQuery {
		key, err := hop.DecodeQuery(d.Data)
		if err == nil {
			o.execute(now, o.gate.HandleQuery(now, d.From, key))
		}
		return err
	}
	envelope, err := hop.DecodeEnvelope(d.Data)
	if err != nil {
		return err
	}
	packet, err := o.companion.config.Codec.FromCaller(envelope.Packet)
	if err != nil {
		return err
	}
	o.execute(now, o.gate.FromEntry(now, d.From, envelope.Kind == hop.KindLookup, envelope.Version, &packet))
	return nil
}

func (o *owner) fromServer(now time.Time, datagram []byte) error {
	packet, err := o.companion.config.Codec.FromServer(datagram)
	if err != nil {
		return err
	}
	if packet.Returned {
		o.companion.config.Codec.Restore(datagram)
	}
	o.execute(now, o.gate.FromServer(now, &packet))
	return nil
}

// Tick removes expired state, requests a probe if a response is overdue, and sends the
// entry instances a status if it has changed or the last one is too old.
func (o *owner) Tick(now time.Time) {
	o.refresh(now)
	if o.companion.stopping.Load() {
		o.gate.Stop()
	}
	o.gate.Sweep(now)
	if o.gate.ResponseOverdue(now) {
		o.requestProbe()
	}
	status := o.gate.Status(now)
	status.Companion = o.companion.config.Packets
	if status == o.lastStatus && len(o.state.entries) == o.lastStatusEntries && now.Sub(o.lastStatusAt) < idleStatusInterval {
		return
	}
	if status.Failing != o.lastStatus.Failing {
		o.log.Warn("health of the backend server", "server", status.Server, "failing", status.Failing, "running", status.Running,
			"flows", status.Flows, "slots", status.Slots)
	}
	o.lastStatus, o.lastStatusAt, o.lastStatusEntries = status, now, len(o.state.entries)
	datagram, err := hop.EncodeStatus(status)
	if err != nil {
		o.log.Error("status not encoded", "error", err)
		return
	}
	for _, entry := range o.state.entries {
		o.write(datagram, entry)
	}
}

// requestProbe makes the control goroutine probe the backend server.
func (o *owner) requestProbe() {
	err := o.companion.loop.Post(responseOverdue{})
	if err != nil {
		o.log.Warn("probe of the backend server not requested", "server", o.state.target.Server, "error", err)
	}
}

// execute carries out the actions of the gate.
func (o *owner) execute(now time.Time, actions []passthrough.GateAction) {
	codec := o.companion.config.Codec
	for i := range actions {
		a := &actions[i]
		o.meter.CountDecision(a.Reason)
		switch a.Kind {
		case passthrough.GateDeliver:
			o.writeOut(a.Packet.Data, o.companion.config.Server)
		case passthrough.GateAnswer:
			o.writeOut(a.Packet.Data, codec.Caller(a.Packet.Key))
		case passthrough.GateReset:
			o.writeOut(codec.Reset(a.Packet.Key, a.ResetSeq), codec.Caller(a.Packet.Key))
		case passthrough.GateRefuse:
			o.returnPacket(hop.KindRefused, a)
		case passthrough.GateNotHeld:
			o.returnPacket(hop.KindNotHeld, a)
		case passthrough.GateNote:
			o.sendNote(a)
		case passthrough.GateDrop:
		}
		o.logAction(now, a)
	}
}

// requestBegan records the identity of a request for later log lines about its flow.
func (o *owner) requestBegan(now time.Time, a *passthrough.GateAction) {
	request := o.companion.config.Codec.Request(a.Packet.Data)
	if len(o.requests) >= maxRequests {
		clear(o.requests)
	}
	o.requests[a.Packet.Key] = request
	leftOut, ok := o.requestLimit.Allow(now)
	if ok {
		o.log.Info("request delivered", "request", request, "flow", a.Packet.Key, "server", o.state.target.Server,
			"running", o.gate.Running(), "slots", o.state.target.Slots, "version", o.gate.Version(), "linesLeftOut", leftOut)
	}
}

// requestAnswered removes the request of the flow, and logs a response that took longer
// than the route's objective.
func (o *owner) requestAnswered(key core.FlowKey, took time.Duration) {
	request := o.requests[key]
	delete(o.requests, key)
	if o.state.table == nil {
		return
	}
	route := o.state.table.Route(key.Service)
	if route == nil || took <= route.Objective {
		return
	}
	leftOut, ok := o.lateLimit.Allow(o.now)
	if ok {
		o.log.Warn("request answered late", "request", request, "flow", key, "took", took, "objective", route.Objective,
			"server", o.state.target.Server, "running", o.gate.Running(), "slots", o.state.target.Slots, "linesLeftOut", leftOut)
	}
}

func (o *owner) returnPacket(kind hop.Kind, a *passthrough.GateAction) {
	o.buffer = hop.AppendEnvelope(o.buffer[:0], hop.Envelope{Kind: kind, Reason: a.Reason, Version: o.gate.Version(), Packet: a.Packet.Data})
	o.write(o.buffer, a.To)
}

func (o *owner) sendNote(a *passthrough.GateAction) {
	datagram, err := hop.EncodeNote(a.Note)
	if err != nil {
		o.log.Error("note not encoded", "flow", a.Note.Key, "error", err)
		return
	}
	o.write(datagram, a.To)
}

func (o *owner) write(datagram []byte, to netip.AddrPort) {
	o.meter.Send(o.companion.peers, datagram, to)
}

func (o *owner) writeOut(datagram []byte, to netip.AddrPort) {
	o.meter.Send(o.companion.outbound, datagram, to)
}

// logAction logs delivered requests, admitted flows and packets that weren't delivered.
func (o *owner) logAction(now time.Time, a *passthrough.GateAction) {
	switch {
	case a.Kind == passthrough.GateDeliver && a.Reason == passthrough.ReasonRequest:
		o.requestBegan(now, a)
	case a.Kind == passthrough.GateNote && a.Note.Kind == passthrough.NoteAdmitted:
		leftOut, ok := o.admittedLimit.Allow(now)
		if ok {
			o.log.Info("flow admitted", "flow", a.Note.Key, "entry", a.To, "server", o.state.target.Server, "running", a.Note.Running,
				"flows", a.Note.Flows, "announcementAge", now.Sub(o.state.target.LastSeen), "version", o.gate.Version(), "linesLeftOut", leftOut)
		}
	case a.Kind == passthrough.GateRefuse || a.Kind == passthrough.GateNotHeld || a.Kind == passthrough.GateReset:
		leftOut, ok := o.failedLimit.Allow(now)
		if ok {
			o.log.Warn("packet not delivered", "flow", a.Packet.Key, "request", o.requests[a.Packet.Key], "flags", a.Packet.Flags, "entry", a.To,
				"reset", a.Kind == passthrough.GateReset, "reason", a.Reason, "server", o.state.target.Server,
				"announcementAge", now.Sub(o.state.target.LastSeen), "version", o.gate.Version(), "linesLeftOut", leftOut)
		}
	}
}
