package entry

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/asynclog"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/dispatch"
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
	// relayLinesPerSecond limits those with the counts of relayed lookups.
	relayLinesPerSecond = 1
	// fullLinesPerSecond limits the lines about flows that no backend server can start in
	// time.
	fullLinesPerSecond = 20
	// capacityInterval is the time between two updates of the gauges of the capacity state.
	capacityInterval = time.Second
)

// packetPath handles datagrams of callers and companions, and owns the state for them.
type packetPath struct {
	entry       *Entry
	dispatcher  *dispatch.Dispatcher
	log         *slog.Logger
	routedLimit asynclog.Limit
	failedLimit asynclog.Limit
	relayLimit  asynclog.Limit
	// relays are the counts of relayed lookups that the metrics have, and relaysLogged
	// those of the last log line.
	relays, relaysLogged dispatch.RelayCounts
	fullLimit            asynclog.Limit
	buffer               []byte
	meter                *traffic.Meter
	capacity             capacityMeter
	leftOut              *asynclog.LeftOut
	// placements counts the new flows that stayed in the data centre and those that left.
	placements [dispatch.PlacementCount]metrics.Counter
}

func newPacketPath(e *Entry) *packetPath {
	leftOut := asynclog.NewLeftOut()
	path := &packetPath{
		entry:       e,
		dispatcher:  dispatch.New(time.Now(), e.config.DataCentre),
		log:         e.lines.Logger(),
		routedLimit: asynclog.Limit{PerSecond: routedLinesPerSecond, LeftOut: leftOut},
		failedLimit: asynclog.Limit{PerSecond: failedLinesPerSecond, LeftOut: leftOut},
		relayLimit:  asynclog.Limit{PerSecond: relayLinesPerSecond, LeftOut: leftOut},
		fullLimit:   asynclog.Limit{PerSecond: fullLinesPerSecond, LeftOut: leftOut},
		leftOut:     leftOut,
		meter:       traffic.NewMeter(e.config.Metrics),
		capacity:    newCapacityMeter(e.config.Metrics),
	}
	path.dispatcher.SetNetwork(e.config.Network)
	if e.config.PlanLeaving {
		path.dispatcher.PlanLeaving(e.config.LeavingCost)
	}
	for placement := dispatch.PlacementNone + 1; placement < dispatch.PlacementCount; placement++ {
		path.placements[placement] = metrics.GetOrRegisterCounter("flows."+placement.String(), e.config.Metrics)
	}
	return path
}

// Handle processes one datagram.
func (path *packetPath) Handle(now time.Time, d traffic.Datagram) {
	table := path.entry.table.Load()
	if table != nil && path.dispatcher.SetTable(table) {
		path.execute(now, path.dispatcher.Continue(now))
	}
	if d.Socket == socketCallers {
		path.fromCaller(now, d.Data)
		return
	}
	path.fromCompanion(now, d)
}

// Tick removes expired flows and companions, updates the gauges and logs the counts of
// the lines that were left out.
func (path *packetPath) Tick(now time.Time) {
	path.leftOut.Write(now, path.log)
	path.dispatcher.Sweep(now)
	path.execute(now, path.dispatcher.Continue(now))
	path.entry.companionCount.Store(int64(path.dispatcher.Companions()))
	metrics.GetOrRegisterGauge("flows.cached", path.entry.config.Metrics).Update(int64(path.dispatcher.Flows()))
	path.countRelays(now)
	path.reportPlans()
	path.answerQuestions(now)
	if path.capacity.due(now) {
		path.capacity.update(now, path.dispatcher.Capacity(now))
	}
}

// countRelays updates the counters of relayed lookups and logs what they have grown by.
func (path *packetPath) countRelays(now time.Time) {
	counts := path.dispatcher.Relays()
	if counts != path.relays {
		path.meterRelays("started", counts.Started-path.relays.Started)
		path.meterRelays("concluded", counts.Concluded-path.relays.Concluded)
		path.meterRelays("found", counts.Found-path.relays.Found)
		path.meterRelays("denied", counts.Denied-path.relays.Denied)
		path.meterRelays("repeated", counts.Repeated-path.relays.Repeated)
		path.relays = counts
	}
	if counts == path.relaysLogged {
		return
	}
	_, ok := path.relayLimit.Allow(now, asynclog.Cause{Line: "relayed lookups"})
	if ok {
		before := path.relaysLogged
		path.log.Info("relayed lookups", "started", counts.Started-before.Started, "concluded", counts.Concluded-before.Concluded,
			"found", counts.Found-before.Found, "denied", counts.Denied-before.Denied, "repeated", counts.Repeated-before.Repeated)
		path.relaysLogged = counts
	}
}

func (path *packetPath) meterRelays(name string, count int) {
	metrics.GetOrRegisterCounter("lookups.relayed."+name, path.entry.config.Metrics).Inc(int64(count))
}

func (path *packetPath) fromCaller(now time.Time, datagram []byte) {
	packet, err := path.entry.config.Codec.FromCaller(datagram)
	if err != nil {
		path.meter.Malformed.Inc(1)
		return
	}
	path.execute(now, path.dispatcher.Handle(now, &packet))
}

// fromCompanion processes a datagram from a companion.
func (path *packetPath) fromCompanion(now time.Time, d traffic.Datagram) {
	var err error
	switch hop.KindOf(d.Data) {
	case hop.KindRefused, hop.KindNotHeld:
		err = path.handleReturned(now, d)
	case hop.KindNote:
		var note passthrough.Note
		note, err = hop.DecodeNote(d.Data)
		if err == nil {
			path.execute(now, path.dispatcher.HandleNote(now, d.From, note))
		}
	case hop.KindLoad:
		var load passthrough.Load
		load, err = hop.DecodeLoad(d.Data)
		if err == nil {
			path.execute(now, path.dispatcher.HandleLoad(now, d.From, load))
		}
	case hop.KindPace:
		var pace passthrough.Pace
		pace, err = hop.DecodePace(d.Data)
		if err == nil {
			path.dispatcher.HandlePace(now, d.From, pace)
		}
	case hop.KindSurveyResult:
		var result passthrough.SurveyResult
		result, err = hop.DecodeSurveyResult(d.Data)
		if err == nil {
			path.execute(now, path.dispatcher.HandleSurveyResult(now, d.From, result))
		}
	case hop.KindSurveyAnswer:
		var number uint32
		number, err = hop.DecodeSurveyAnswer(d.Data)
		if err == nil {
			path.execute(now, path.dispatcher.HandleCheckAnswer(now, d.From, number))
		}
	case hop.KindStatus:
		var status passthrough.Status
		status, err = hop.DecodeStatus(d.Data)
		if err == nil {
			path.dispatcher.HandleStatus(now, status)
			path.entry.companionCount.Store(int64(path.dispatcher.Companions()))
		}
	default:
		path.meter.Malformed.Inc(1)
	}
	if err != nil {
		path.meter.Malformed.Inc(1)
		path.log.Warn("malformed datagram from companion", "from", d.From, "error", err)
	}
}

func (path *packetPath) handleReturned(now time.Time, d traffic.Datagram) error {
	envelope, err := hop.DecodeEnvelope(d.Data)
	if err != nil {
		return err
	}
	packet, err := path.entry.config.Codec.FromCaller(envelope.Packet)
	if err != nil {
		return err
	}
	path.logReturned(now, d.From, &packet, envelope)
	if envelope.Kind == hop.KindRefused {
		path.execute(now, path.dispatcher.HandleRefused(now, d.From, envelope.Reason, &packet))
		return nil
	}
	path.execute(now, path.dispatcher.HandleNotHeld(now, d.From, &packet))
	return nil
}

// execute carries out the actions of the dispatcher.
func (path *packetPath) execute(now time.Time, actions []dispatch.Action) {
	for i := range actions {
		a := &actions[i]
		path.meter.CountDecision(a.Reason)
		switch a.Kind {
		case dispatch.Forward:
			path.send(hop.KindForward, a)
			if a.Placement != dispatch.PlacementNone {
				path.placements[a.Placement].Inc(1)
			}
		case dispatch.Lookup:
			path.send(hop.KindLookup, a)
		case dispatch.Query:
			path.sendQuery(a)
		case dispatch.Survey:
			path.sendSurvey(a)
		case dispatch.Relay:
			path.sendRelay(a)
		case dispatch.Check:
			query := passthrough.SurveyQuery{Number: a.Survey.Number, Key: a.Survey.Key, Entry: path.entry.config.Peers}
			path.meter.Send(path.entry.peers, hop.EncodeSurveyQuery(query), a.To)
		case dispatch.RequestStatus:
			path.meter.Send(path.entry.peers, hop.EncodeStatusRequest(), a.To)
		case dispatch.Reset:
			path.reset(a)
		case dispatch.Drop, dispatch.Wait:
		}
		path.logAction(now, a)
	}
}

func (path *packetPath) send(kind hop.Kind, a *dispatch.Action) {
	envelope := hop.Envelope{Kind: kind, Reason: a.Reason, Version: path.dispatcher.Version(), Packet: a.Packet.Data}
	path.buffer = hop.AppendEnvelope(path.buffer[:0], envelope)
	path.meter.Send(path.entry.peers, path.buffer, a.To)
}

func (path *packetPath) sendQuery(a *dispatch.Action) {
	datagram, err := hop.EncodeQuery(a.Packet.Key)
	if err != nil {
		path.log.Error("query not encoded", "flow", a.Packet.Key, "error", err)
		return
	}
	path.meter.Send(path.entry.peers, datagram, a.To)
}

func (path *packetPath) sendSurvey(a *dispatch.Action) {
	datagram, err := hop.EncodeSurvey(a.Survey)
	if err != nil {
		path.log.Error("survey not encoded", "flow", a.Survey.Key, "error", err)
		return
	}
	path.meter.Send(path.entry.peers, datagram, a.To)
}

func (path *packetPath) sendRelay(a *dispatch.Action) {
	var err error
	path.buffer, err = hop.AppendRelay(path.buffer[:0], passthrough.Relay{Number: a.Survey.Number, Ask: a.Survey.Ask, Packet: a.Packet.Data})
	if err != nil {
		path.log.Error("relay not encoded", "flow", a.Survey.Key, "error", err)
		return
	}
	path.meter.Send(path.entry.peers, path.buffer, a.To)
}

func (path *packetPath) reset(a *dispatch.Action) {
	codec := path.entry.config.Codec
	path.meter.Send(path.entry.callers, codec.Reset(a.Packet.Key, a.ResetSeq), codec.Caller(a.Packet.Key))
}

// logAction logs the companion chosen for a new flow, and packets that aren't
// forwarded.
func (path *packetPath) logAction(now time.Time, a *dispatch.Action) {
	switch {
	case a.Kind == dispatch.Forward && a.Reason == passthrough.ReasonChosen:
		leftOut, ok := path.routedLimit.Allow(now, asynclog.Cause{Line: "flow routed", Outcome: "forwarded", Reason: a.Reason.String()})
		if ok {
			path.log.Info("flow routed", "flow", a.Packet.Key, "companion", a.To, "service", a.Status.Service, "server", a.Status.Server,
				"running", a.Status.Running, "flows", a.Status.Flows, "slots", a.Status.Slots, "statusAge", a.Age,
				"placement", a.Placement, "version", path.dispatcher.Version(), "reason", a.Reason, "linesLeftOut", leftOut)
		}
	case a.Room != nil:
		path.capacity.countRefusal(a)
		leftOut, ok := path.fullLimit.Allow(now, asynclog.Cause{Line: "flow not started", Outcome: outcome(a.Kind), Reason: a.Reason.String()})
		if ok {
			path.log.Warn("flow not started", "flow", a.Packet.Key, "copy", a.Packet.Ack, "reset", a.Kind == dispatch.Reset, "waits", a.Kind == dispatch.Wait,
				"servers", a.Room.Servers, "silent", a.Room.Silent, "slots", a.Room.Slots, "running", a.Room.Running, "shortestWait", a.Room.ShortestWait,
				"limit", a.Room.Limit, "stateAge", a.Room.Age, "version", path.dispatcher.Version(), "reason", a.Reason, "linesLeftOut", leftOut)
		}
	case a.Kind == dispatch.Reset || a.Kind == dispatch.Drop || a.Kind == dispatch.Wait:
		leftOut, ok := path.failedLimit.Allow(now, asynclog.Cause{Line: "packet not forwarded", Outcome: outcome(a.Kind), Reason: a.Reason.String()})
		if ok {
			path.log.Warn("packet not forwarded", "flow", a.Packet.Key, "flags", a.Packet.Flags, "reset", a.Kind == dispatch.Reset, "waits", a.Kind == dispatch.Wait,
				"version", path.dispatcher.Version(), "companions", path.dispatcher.Companions(), "reason", a.Reason, "linesLeftOut", leftOut)
		}
	}
}

// outcome names what was done with a packet that wasn't forwarded.
func outcome(kind dispatch.Kind) string {
	switch kind {
	case dispatch.Reset:
		return "reset"
	case dispatch.Wait:
		return "waits"
	default:
		return "dropped"
	}
}

func (path *packetPath) logReturned(now time.Time, from netip.AddrPort, p *passthrough.Packet, envelope hop.Envelope) {
	cause := asynclog.Cause{Line: "packet returned by companion", Outcome: "not held", Reason: envelope.Reason.String()}
	if envelope.Kind == hop.KindRefused {
		cause.Outcome = "refused"
	}
	leftOut, ok := path.failedLimit.Allow(now, cause)
	if ok {
		path.log.Info("packet returned by companion", "flow", p.Key, "companion", from, "opening", envelope.Kind == hop.KindRefused,
			"companionVersion", envelope.Version, "reason", envelope.Reason, "linesLeftOut", leftOut)
	}
}
