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
	// admittedLines and failedLines are the most log lines in a second about flows
	// that were admitted and about packets that weren't delivered.
	admittedLines = 20
	failedLines   = 60
	// requestLines and lateLines are the same about requests that begin and about
	// answers that come later than callers count on.
	requestLines = 30
	lateLines    = 60
	// maxRequests is the most requests whose identity is kept for the log.
	maxRequests = 4096
	// restInterval is the longest time between statuses while nothing changes.
	restInterval = 300 * time.Millisecond
	// sampleSize and sampleAlpha shape the sample of service times.
	sampleSize  = 512
	sampleAlpha = 0.015
)

// owner has the state of the packet path.
type owner struct {
	companion *Companion
	gate      *passthrough.Gate
	state     *state
	log       *slog.Logger
	admitted  asynclog.Limit
	failed    asynclog.Limit
	began     asynclog.Limit
	late      asynclog.Limit
	// requests names the requests that wait for an answer, by flow.
	requests map[core.FlowKey]string
	now      time.Time
	buffer   []byte
	sent     passthrough.Status
	sentAt   time.Time
	sentTo   int
	meter    *traffic.Meter
}

func newOwner(c *Companion) *owner {
	registry := c.config.Metrics
	o := &owner{
		companion: c,
		gate:      passthrough.NewGate(time.Now(), c.config.Gate),
		state:     c.state.Load(),
		log:       c.lines.Logger(),
		admitted:  asynclog.Limit{PerSecond: admittedLines},
		failed:    asynclog.Limit{PerSecond: failedLines},
		began:     asynclog.Limit{PerSecond: requestLines},
		late:      asynclog.Limit{PerSecond: lateLines},
		requests:  make(map[core.FlowKey]string),
		meter:     traffic.NewMeter(registry),
	}
	served := metrics.GetOrRegisterHistogram("requests.microseconds", registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	o.gate.Served = func(key core.FlowKey, took time.Duration) {
		served.Update(took.Microseconds())
		o.answered(key, took)
	}
	return o
}

// refresh takes the newest state of the control goroutine.
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
	o.carryOut(now, o.gate.ResetFlows())
}

// Handle takes one datagram.
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
	if hop.KindOf(d.Data) == hop.KindQuestion {
		key, err := hop.DecodeQuestion(d.Data)
		if err == nil {
			o.carryOut(now, o.gate.Query(now, d.From, key))
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
	o.carryOut(now, o.gate.FromEntry(now, d.From, envelope.Kind == hop.KindSeek, envelope.Version, &packet))
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
	o.carryOut(now, o.gate.FromServer(now, &packet))
	return nil
}

// Tick tells the entry instances how the backend server stands.
func (o *owner) Tick(now time.Time) {
	o.refresh(now)
	if o.companion.stopping.Load() {
		o.gate.Stop()
	}
	o.gate.Sweep(now)
	if o.gate.ResponseOverdue(now) {
		o.suspect()
	}
	status := o.gate.Status(now)
	status.Companion = o.companion.config.Packets
	if status == o.sent && len(o.state.entries) == o.sentTo && now.Sub(o.sentAt) < restInterval {
		return
	}
	if status.Failing != o.sent.Failing {
		o.log.Warn("health of the backend server", "server", status.Server, "failing", status.Failing, "running", status.Running,
			"flows", status.Flows, "slots", status.Slots)
	}
	o.sent, o.sentAt, o.sentTo = status, now, len(o.state.entries)
	datagram, err := hop.EncodeStatus(status)
	if err != nil {
		o.log.Error("status not sent", "error", err)
		return
	}
	for _, entry := range o.state.entries {
		o.write(datagram, entry)
	}
}

// suspect has the backend server looked at.
func (o *owner) suspect() {
	err := o.companion.loop.Post(suspected{})
	if err != nil {
		o.log.Warn("backend server not looked at", "server", o.state.target.Server, "error", err)
	}
}

// carryOut does what was decided.
func (o *owner) carryOut(now time.Time, actions []passthrough.GateAction) {
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
			o.giveBack(hop.KindRefused, a)
		case passthrough.GateNotHere:
			o.giveBack(hop.KindNotHere, a)
		case passthrough.GateNote:
			o.tell(a)
		case passthrough.GateDrop:
		}
		o.logAction(now, a)
	}
}

// begins notes the identity of a request for the lines about what becomes of it.
func (o *owner) begins(now time.Time, a *passthrough.GateAction) {
	request := o.companion.config.Codec.Request(a.Packet.Data)
	if len(o.requests) >= maxRequests {
		clear(o.requests)
	}
	o.requests[a.Packet.Key] = request
	leftOut, ok := o.began.Allow(now)
	if ok {
		o.log.Info("request delivered", "request", request, "flow", a.Packet.Key, "server", o.state.target.Server,
			"running", o.gate.Running(), "slots", o.state.target.Slots, "version", o.gate.Version(), "linesLeftOut", leftOut)
	}
}

// answered writes a line about an answer that comes later than callers count on.
func (o *owner) answered(key core.FlowKey, took time.Duration) {
	request := o.requests[key]
	delete(o.requests, key)
	if o.state.table == nil {
		return
	}
	found := o.state.table.Route(key.Service)
	if found == nil || took <= found.Objective {
		return
	}
	leftOut, ok := o.late.Allow(o.now)
	if ok {
		o.log.Warn("request answered late", "request", request, "flow", key, "took", took, "objective", found.Objective,
			"server", o.state.target.Server, "running", o.gate.Running(), "slots", o.state.target.Slots, "linesLeftOut", leftOut)
	}
}

func (o *owner) giveBack(kind hop.Kind, a *passthrough.GateAction) {
	o.buffer = hop.AppendEnvelope(o.buffer[:0], hop.Envelope{Kind: kind, Reason: a.Reason, Version: o.gate.Version(), Packet: a.Packet.Data})
	o.write(o.buffer, a.To)
}

func (o *owner) tell(a *passthrough.GateAction) {
	datagram, err := hop.EncodeNote(a.Note)
	if err != nil {
		o.log.Error("note not sent", "flow", a.Note.Key, "error", err)
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

// logAction writes a line for an admitted flow and for what isn't delivered.
func (o *owner) logAction(now time.Time, a *passthrough.GateAction) {
	switch {
	case a.Kind == passthrough.GateDeliver && a.Reason == passthrough.ReasonRequest:
		o.begins(now, a)
	case a.Kind == passthrough.GateNote && a.Note.Kind == passthrough.NoteAdmitted:
		leftOut, ok := o.admitted.Allow(now)
		if ok {
			o.log.Info("flow admitted", "flow", a.Note.Key, "entry", a.To, "server", o.state.target.Server, "running", a.Note.Running,
				"flows", a.Note.Flows, "announcementAge", now.Sub(o.state.target.LastSeen), "version", o.gate.Version(), "linesLeftOut", leftOut)
		}
	case a.Kind == passthrough.GateRefuse || a.Kind == passthrough.GateNotHere || a.Kind == passthrough.GateReset:
		leftOut, ok := o.failed.Allow(now)
		if ok {
			o.log.Warn("packet not delivered", "flow", a.Packet.Key, "request", o.requests[a.Packet.Key], "flags", a.Packet.Flags, "entry", a.To,
				"reset", a.Kind == passthrough.GateReset, "reason", a.Reason, "server", o.state.target.Server,
				"announcementAge", now.Sub(o.state.target.LastSeen), "version", o.gate.Version(), "linesLeftOut", leftOut)
		}
	}
}
