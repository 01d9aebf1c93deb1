package companion

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/asynclog"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/gate"
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
	// sampleSize and sampleAlpha are the size of the sample of service times and its
	// exponential decay factor.
	sampleSize  = 512
	sampleAlpha = 0.015
)

// packetPath handles datagrams of entry instances and the backend server, and owns
// the state for them.
type packetPath struct {
	companion     *Companion
	gate          *gate.Gate
	state         *state
	log           *slog.Logger
	admittedLimit asynclog.Limit
	failedLimit   asynclog.Limit
	requestLimit  asynclog.Limit
	lateLimit     asynclog.Limit
	leftOut       *asynclog.LeftOut
	// requests holds the identities of requests that wait for a response, by flow.
	requests map[core.FlowKey]string
	now      time.Time
	buffer   []byte
	reports  *gate.Reports
	surveys  *gate.Surveys
	// fullTickDue is when all of the work of a tick is due again; while packets wait, ticks
	// are more frequent.
	fullTickDue time.Time
	// stopped is set once the gate has been stopped.
	stopped bool
	// failing is whether requests failed or stalled at the last tick.
	failing bool
	meter   *traffic.Meter
	queue   queueMeter
}

func newPacketPath(c *Companion) *packetPath {
	registry := c.config.Metrics
	leftOut := asynclog.NewLeftOut()
	path := &packetPath{
		companion:     c,
		gate:          gate.New(time.Now(), c.config.Gate),
		state:         c.state.Load(),
		log:           c.lines.Logger(),
		admittedLimit: asynclog.Limit{PerSecond: admittedLinesPerSecond, LeftOut: leftOut},
		failedLimit:   asynclog.Limit{PerSecond: failedLinesPerSecond, LeftOut: leftOut},
		requestLimit:  asynclog.Limit{PerSecond: requestLinesPerSecond, LeftOut: leftOut},
		lateLimit:     asynclog.Limit{PerSecond: lateLinesPerSecond, LeftOut: leftOut},
		leftOut:       leftOut,
		requests:      make(map[core.FlowKey]string),
		reports:       gate.NewReports(),
		surveys:       gate.NewSurveys(),
		meter:         traffic.NewMeter(registry),
		queue:         newQueueMeter(registry, leftOut),
	}
	served := metrics.GetOrRegisterHistogram("requests.microseconds", registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	path.gate.Served = func(key core.FlowKey, took time.Duration) {
		served.Update(took.Microseconds())
		path.requestAnswered(key, took)
	}
	return path
}

// refresh applies the newest state published by the control goroutine.
func (path *packetPath) refresh(now time.Time) {
	path.now = now
	if path.companion.stopping.Load() && !path.stopped {
		path.stopped = true
		path.gate.Stop()
		path.execute(now, path.gate.Continue(now))
	}
	s := path.companion.state.Load()
	if s == path.state {
		return
	}
	path.state = s
	if s.table != nil {
		path.gate.SetTable(now, s.table)
	}
	path.gate.SetTarget(s.target)
	path.execute(now, path.gate.ResetFlows())
	path.execute(now, path.gate.Continue(now))
}

// Handle processes one datagram.
func (path *packetPath) Handle(now time.Time, d traffic.Datagram) {
	path.refresh(now)
	var err error
	if d.Socket == socketPeers {
		err = path.fromEntry(now, d)
	} else {
		err = path.fromServer(now, d.Data)
	}
	if err != nil {
		path.meter.Malformed.Inc(1)
	}
}

func (path *packetPath) fromEntry(now time.Time, d traffic.Datagram) error {
	switch hop.KindOf(d.Data) {
	case hop.KindStatusRequest:
		report := path.reports.HandleRequest(now, d.From, path.status(now), path.companions())
		path.sendReport(report)
		path.sendPace(path.reports.PaceFor(now, path.gate.Pace(now)), report.To)
		return nil
	case hop.KindSurvey, hop.KindSurveyQuery, hop.KindSurveyAnswer:
		return path.fromSurvey(now, d)
	case hop.KindRelay:
		return path.relay(now, d)
	case hop.KindRelayedCopy:
		return path.fromRelay(now, d)
	case hop.KindQuery:
		key, err := hop.DecodeQuery(d.Data)
		if err == nil {
			path.execute(now, path.gate.HandleQuery(now, d.From, key))
		}
		return err
	case hop.KindForward, hop.KindLookup:
	default:
		return errors.NotSupportedf("datagram of kind %d", hop.KindOf(d.Data))
	}
	envelope, err := hop.DecodeEnvelope(d.Data)
	if err != nil {
		return err
	}
	packet, err := path.companion.config.Codec.FromCaller(envelope.Packet)
	if err != nil {
		return err
	}
	path.reports.HandlePacket(now, d.From, packet.Flags.Opens())
	path.execute(now, path.gate.FromEntry(now, d.From, envelope.Kind == hop.KindLookup, envelope.Version, &packet))
	return nil
}

func (path *packetPath) fromServer(now time.Time, datagram []byte) error {
	packet, err := path.companion.config.Codec.FromServer(datagram)
	if err != nil {
		return err
	}
	if packet.Returned {
		path.companion.config.Codec.Restore(datagram)
	}
	path.execute(now, path.gate.FromServer(now, &packet))
	return nil
}

// Tick continues with the packets that wait. At tickInterval it also removes expired state,
// requests a probe if a response is overdue, sends the entry instances the report that is
// due, and logs the counts of the lines that were left out.
func (path *packetPath) Tick(now time.Time) {
	path.refresh(now)
	path.execute(now, path.gate.Continue(now))
	if now.Before(path.fullTickDue) {
		return
	}
	path.fullTickDue = now.Add(tickInterval - queueTickInterval/2)
	path.leftOut.Write(now, path.log)
	path.gate.Sweep(now)
	for _, finished := range path.surveys.Expire(now) {
		path.sendResult(finished)
	}
	if path.gate.ResponseOverdue(now) {
		path.requestProbe()
	}
	status := path.status(now)
	if status.Failing != path.failing {
		path.failing = status.Failing
		path.log.Warn("health of the backend server", "server", status.Server, "failing", status.Failing, "running", status.Running,
			"flows", status.Flows, "slots", status.Slots)
	}
	report := path.reports.Due(now, status, path.state.entries, path.companions())
	path.sendReport(report)
	path.sendPace(path.reports.DuePace(now, report, path.gate.Pace(now), path.state.entries, path.companions()))
}

// companions returns how many companions the view lists.
func (path *packetPath) companions() int {
	if path.state.table == nil {
		return 0
	}
	return len(path.state.table.View.Companions)
}

func (path *packetPath) status(now time.Time) passthrough.Status {
	status := path.gate.Status(now)
	status.Companion = path.companion.config.Packets
	return status
}

func (path *packetPath) sendReport(r gate.Report) {
	if len(r.To) == 0 {
		return
	}
	datagram := hop.AppendLoad(nil, r.Status.Load())
	if r.Full {
		var err error
		datagram, err = hop.EncodeStatus(r.Status)
		if err != nil {
			path.log.Error("status not encoded", "error", err)
			return
		}
	}
	for _, entry := range r.To {
		path.sendToEntry(datagram, entry)
	}
}

// sendPace sends what the backend server is measured to sustain.
func (path *packetPath) sendPace(pace passthrough.Pace, to []netip.AddrPort) {
	datagram := hop.AppendPace(nil, pace)
	for _, entry := range to {
		path.sendToEntry(datagram, entry)
	}
}

// requestProbe makes the control goroutine probe the backend server.
func (path *packetPath) requestProbe() {
	err := path.companion.loop.Post(responseOverdue{})
	if err != nil {
		path.log.Warn("probe of the backend server not requested", "server", path.state.target.Server, "error", err)
	}
}

// execute carries out the actions of the gate.
func (path *packetPath) execute(now time.Time, actions []gate.Action) {
	codec := path.companion.config.Codec
	for i := range actions {
		a := &actions[i]
		path.meter.CountDecision(a.Reason)
		switch a.Kind {
		case gate.Deliver:
			path.sendOutbound(a.Packet.Data, path.companion.config.Server)
		case gate.Answer:
			path.sendOutbound(a.Packet.Data, codec.Caller(a.Packet.Key))
		case gate.Reset:
			path.sendOutbound(codec.Reset(a.Packet.Key, a.ResetSeq), codec.Caller(a.Packet.Key))
		case gate.Refuse:
			path.returnPacket(hop.KindRefused, a)
		case gate.NotHeld:
			path.returnPacket(hop.KindNotHeld, a)
		case gate.SendNote:
			path.sendNote(a)
		case gate.AnswerSurvey:
			path.meter.Send(path.companion.peers, hop.EncodeSurveyAnswer(a.SurveyNumber), a.To)
		case gate.Queue, gate.Drop:
		}
		path.logAction(now, a)
		path.recordQueue(now, a)
	}
	path.queue.length.Update(int64(path.gate.Queued()))
}

// requestBegan records the identity of a request for later log lines about its flow.
func (path *packetPath) requestBegan(now time.Time, a *gate.Action) {
	request := path.companion.config.Codec.Request(a.Packet.Data)
	if len(path.requests) >= maxRequests {
		clear(path.requests)
	}
	path.requests[a.Packet.Key] = request
	leftOut, ok := path.requestLimit.Allow(now, asynclog.Cause{Line: "request delivered", Outcome: "delivered", Reason: a.Reason.String()})
	if ok {
		path.log.Info("request delivered", "request", request, "flow", a.Packet.Key, "server", path.state.target.Server,
			"running", path.gate.Running(), "slots", path.state.target.Slots, "version", path.gate.Version(), "linesLeftOut", leftOut)
	}
}

// requestAnswered removes the request of the flow, and logs a response that took longer
// than the route's objective.
func (path *packetPath) requestAnswered(key core.FlowKey, took time.Duration) {
	request := path.requests[key]
	delete(path.requests, key)
	if path.state.table == nil {
		return
	}
	route := path.state.table.Route(key.Service)
	if route == nil || took <= route.Objective {
		return
	}
	leftOut, ok := path.lateLimit.Allow(path.now, asynclog.Cause{Line: "request answered late", Outcome: "answered"})
	if ok {
		path.log.Warn("request answered late", "request", request, "flow", key, "took", took, "objective", route.Objective,
			"server", path.state.target.Server, "running", path.gate.Running(), "slots", path.state.target.Slots, "linesLeftOut", leftOut)
	}
}

func (path *packetPath) returnPacket(kind hop.Kind, a *gate.Action) {
	path.buffer = hop.AppendEnvelope(path.buffer[:0], hop.Envelope{Kind: kind, Reason: a.Reason, Version: path.gate.Version(), Packet: a.Packet.Data})
	path.sendToEntry(path.buffer, a.To)
}

func (path *packetPath) sendNote(a *gate.Action) {
	datagram, err := hop.EncodeNote(a.Note)
	if err != nil {
		path.log.Error("note not encoded", "flow", a.Note.Key, "error", err)
		return
	}
	path.sendToEntry(datagram, a.To)
}

func (path *packetPath) sendToEntry(datagram []byte, to netip.AddrPort) {
	path.meter.Send(path.companion.peers, datagram, to)
}

func (path *packetPath) sendOutbound(datagram []byte, to netip.AddrPort) {
	path.meter.Send(path.companion.outbound, datagram, to)
}

// logAction logs delivered requests, admitted flows and packets that weren't delivered.
func (path *packetPath) logAction(now time.Time, a *gate.Action) {
	switch {
	case a.Kind == gate.Deliver && a.Reason == passthrough.ReasonRequest:
		path.requestBegan(now, a)
	case a.Kind == gate.SendNote && a.Note.Kind == passthrough.NoteAdmitted && a.Reason == passthrough.ReasonAdmitted:
		leftOut, ok := path.admittedLimit.Allow(now, asynclog.Cause{Line: "flow admitted", Outcome: "admitted", Reason: a.Reason.String()})
		if ok {
			path.log.Info("flow admitted", "flow", a.Note.Key, "entry", a.To, "server", path.state.target.Server, "running", a.Note.Running,
				"flows", a.Note.Flows, "announcementAge", now.Sub(path.state.target.LastSeen), "version", path.gate.Version(), "linesLeftOut", leftOut)
		}
	case a.Kind == gate.Refuse || a.Kind == gate.NotHeld || a.Kind == gate.Reset:
		leftOut, ok := path.failedLimit.Allow(now, asynclog.Cause{Line: "packet not delivered", Outcome: outcome(a.Kind), Reason: a.Reason.String()})
		if ok {
			path.log.Warn("packet not delivered", "flow", a.Packet.Key, "request", path.requests[a.Packet.Key], "flags", a.Packet.Flags, "entry", a.To,
				"reset", a.Kind == gate.Reset, "reason", a.Reason, "server", path.state.target.Server,
				"announcementAge", now.Sub(path.state.target.LastSeen), "version", path.gate.Version(), "linesLeftOut", leftOut)
		}
	}
}

// outcome names what was done with a packet that wasn't delivered.
func outcome(kind gate.Kind) string {
	switch kind {
	case gate.Reset:
		return "reset"
	case gate.NotHeld:
		return "not held"
	default:
		return "refused"
	}
}
