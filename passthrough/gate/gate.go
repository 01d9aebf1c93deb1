// Package gate decides for a companion what its backend server gets, and what entry
// instances are told about it. It does no I/O and reads no clock.
package gate

import (
	"net/netip"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/route"
	"zinniapulley.dev/waitqueue"
)

const (
	// unresponsiveAfter is how long a backend server may send nothing at all after it
	// was sent an opening packet before it counts as unresponsive. It answers within
	// milliseconds even with all slots taken.
	unresponsiveAfter = 250 * time.Millisecond
	// overdueAfter is how long a backend server's response may be overdue before its
	// port is probed: a few times what most requests take.
	overdueAfter = 150 * time.Millisecond
	// probeInterval is the time between opening packets to an unresponsive server.
	probeInterval = 500 * time.Millisecond
	// coldWindow is the span over which a cold backend server's new flows are
	// counted: a second, plus the jitter of arrivals.
	coldWindow = 1100 * time.Millisecond
	// coldReserve is how many fewer new flows than its limit a cold backend server
	// gets in a window.
	coldReserve = 2
	// halfOpenLimit is how long a flow may wait for its caller's confirmation.
	halfOpenLimit = 3 * time.Second
	// closedRetention is how long a closed flow is kept to handle late packets.
	closedRetention = 4 * time.Second
	// idleMargin is how much longer than the idle timeout an idle flow is kept.
	idleMargin = 10 * time.Second
	// defaultIdleRetention applies while the configuration has no idle timeout, and to
	// flows that are older than any flow gets, whose callers have vanished.
	defaultIdleRetention = 30 * time.Second
)

// Config configures a Gate.
type Config struct {
	DataCentre core.DataCentre
	// AnnouncementLimit is the age of a backend server's last announcement beyond
	// which it gets no new flows.
	AnnouncementLimit time.Duration
	// FirstAnnouncementLimit is the time after the companion's start within which a
	// running backend server announces itself.
	FirstAnnouncementLimit time.Duration
	// ColdFactor and ColdSlack limit the new flows of a cold backend server in a
	// second: its rate times the factor, plus the slack.
	ColdFactor float64
	ColdSlack  int
	// MaxFlowAge is the age that no flow exceeds. A Gate that has run for longer
	// tracks every flow; one that was started after a flow doesn't track it.
	MaxFlowAge time.Duration
	// RouteWeights are the routes' weights for their shares of the capacity, by name; 1 for
	// a route that isn't listed.
	RouteWeights map[string]float64
}

// Kind is what a companion does with a packet.
type Kind uint8

const (
	// Deliver hands the packet to the backend server.
	Deliver Kind = iota + 1
	// Answer sends the backend server's packet to the caller.
	Answer
	// Refuse returns an opening packet to the entry instance.
	Refuse
	// NotHeld returns a packet to the entry instance because the backend server
	// doesn't hold the flow.
	NotHeld
	// Reset answers the caller with a reset.
	Reset
	// SendNote sends the entry instance a note about the flow.
	SendNote
	// AnswerSurvey tells the companion that conducts a survey that the flow isn't
	// held here.
	AnswerSurvey
	// Queue keeps an opening packet until a place is free.
	Queue
	// Drop discards the packet.
	Drop
)

// Action is one action on a packet.
type Action struct {
	Kind   Kind
	Reason passthrough.Reason
	// Order is why a packet was queued or left the queue.
	Order waitqueue.Reason
	// To is the entry instance of Refuse, NotHeld and SendNote, and the companion
	// of AnswerSurvey.
	To     netip.AddrPort
	Packet *passthrough.Packet
	// ResetSeq is the sequence number of the reset.
	ResetSeq uint32
	Note     passthrough.Note
	// SurveyNumber is the number of the query of AnswerSurvey.
	SurveyNumber uint32
	// Waited is how long a packet that leaves the queue was there.
	Waited time.Duration
}

// stage is the state of a flow.
type stage uint8

const (
	// stageHalfOpen: the opening packet was delivered.
	stageHalfOpen stage = iota + 1
	// stageOpen: caller and backend server hold the flow.
	stageOpen
	// stageUnconfirmed: a packet of an untracked flow was delivered; the backend
	// server hasn't shown yet whether it holds the flow.
	stageUnconfirmed
	// stageClosed: the flow has ended.
	stageClosed
	// stageNotHeld: the backend server has returned a packet of the flow, or answered a
	// lookup copy with a reset.
	stageNotHeld
)

// gateFlow is a Gate's record of one flow.
type gateFlow struct {
	stage stage
	// entry is the entry instance that sent the flow's last packet.
	entry netip.AddrPort
	// lookupCopy is set when that packet was a lookup copy, sent to others too.
	lookupCopy bool
	// relayed is the relay that the copy belongs to, if any.
	relayed relayOrigin
	// openingAt is when the flow's last opening packet was delivered, or when the flow was
	// first seen if none was.
	openingAt time.Time
	// admittedAt is when the flow was admitted here; expected is set while its first
	// request is expected.
	admittedAt time.Time
	expected   bool
	// synAckSeen is set once synAckSeq, the sequence number with which the backend
	// server opened the flow, is valid.
	synAckSeen bool
	synAckSeq  uint32
	// serverSent is set once the backend server has sent something on the open flow.
	serverSent bool
	// callerSent is set once the caller has sent data, up to callerSentTo.
	callerSent   bool
	callerSentTo uint32
	// callerAcked is set while callerAck, the caller's last acknowledgement, is valid.
	callerAcked bool
	callerAck   uint32
	// awaitingAnswer is set while a request, begun at requestStart, has no answer.
	awaitingAnswer bool
	requestStart   time.Time
	// waited is set if all slots were taken then.
	waited    bool
	callerFin bool
	serverFin bool
	lastSeen  time.Time
}

// Gate decides for one companion. It must be used by one goroutine only.
type Gate struct {
	config  Config
	table   *route.Table
	started time.Time
	target  Target
	flows   map[core.FlowKey]*gateFlow
	running int
	open    int
	// expected counts the flows whose first request is expected.
	expected expectations
	pace     pace
	health   health
	// queue orders the opening packets that wait, which queued holds.
	queue  *waitqueue.Queue
	queued map[core.FlowKey]*queuedPacket
	// coldPace is the pace while the backend server is cold.
	coldPace pace
	// delivered holds the delivery times of the newest opening packets.
	delivered []time.Time
	// openingUnanswered is when the first opening packet was delivered since the
	// backend server last sent anything; zero for none.
	openingUnanswered time.Time
	lastProbe         time.Time
	// responseDueSince is when the first packet that needs a response was delivered
	// since the backend server last sent anything; zero for none.
	responseDueSince time.Time
	// backInService is when the data centre returned to service; zero if it never
	// was out of service.
	backInService time.Time
	// replaced is set when another backend server has announced itself, until the flows
	// of the earlier one are reset.
	replaced  bool
	stopping  bool
	lastSweep time.Time
	out       []Action
	// Served, if set, is called with a flow and the time from its request to the
	// beginning of the answer.
	Served func(core.FlowKey, time.Duration)
}

// New returns a Gate that admits nothing until it has a view and its backend
// server has announced itself.
func New(now time.Time, config Config) *Gate {
	return &Gate{
		config: config, started: now, flows: make(map[core.FlowKey]*gateFlow),
		queue: waitqueue.New(config.RouteWeights), queued: make(map[core.FlowKey]*queuedPacket),
	}
}

// SetTable puts a newer view in force. It ignores an older one.
func (g *Gate) SetTable(now time.Time, table *route.Table) {
	if g.table != nil && table.View.Revision <= g.table.View.Revision {
		return
	}
	if g.table != nil && g.table.DataCentreOut(g.config.DataCentre) && !table.DataCentreOut(g.config.DataCentre) {
		g.backInService = now
	}
	g.table = table
	g.configureQueue()
}

// Version returns the version of the configuration in force, zero for none.
func (g *Gate) Version() uint64 {
	if g.table == nil {
		return 0
	}
	return g.table.View.Version
}

// Stop makes the Gate admit no more flows.
func (g *Gate) Stop() { g.stopping = true }

// Running returns how many requests wait for an answer.
func (g *Gate) Running() int { return g.running }

// FromEntry decides about a caller's packet that an entry instance sent.
// lookupCopy is set when other companions got a copy. version is the version of
// the configuration in force at the entry instance. The result is valid until the
// next call of a method.
func (g *Gate) FromEntry(now time.Time, entry netip.AddrPort, lookupCopy bool, version uint64, p *passthrough.Packet) []Action {
	g.out = g.out[:0]
	g.fromEntry(now, entry, lookupCopy, relayOrigin{}, version, p)
	return g.out
}

func (g *Gate) fromEntry(now time.Time, entry netip.AddrPort, lookupCopy bool, relayed relayOrigin, version uint64, p *passthrough.Packet) {
	flow, known := g.flows[p.Key]
	if known && flow.stage == stageNotHeld && p.Flags.Opens() {
		delete(g.flows, p.Key)
		flow, known = nil, false
	}
	if known {
		flow.entry, flow.lookupCopy, flow.relayed, flow.lastSeen = entry, lookupCopy, relayed, now
	}
	if len(g.queued) > 0 && !p.Flags.Opens() {
		g.leaveQueue(p.Key)
	}
	switch {
	case p.Flags.Opens():
		g.openingPacket(now, entry, version, p, flow)
	case !known:
		g.unknownFlow(now, entry, lookupCopy, relayed, p)
	case flow.stage == stageNotHeld:
		g.returnPacket(entry, lookupCopy, relayed, p, passthrough.ReasonNotHeld)
	case flow.stage == stageHalfOpen:
		g.confirmation(now, p, flow)
	default:
		g.laterPacket(now, p, flow)
	}
	if len(g.queued) > 0 {
		g.startNext(now)
	}
}

// HandleQuery answers an entry instance that looks up a flow. The result is valid until
// the next call of a method.
func (g *Gate) HandleQuery(now time.Time, entry netip.AddrPort, key core.FlowKey) []Action {
	g.out = g.out[:0]
	flow, known := g.flows[key]
	switch {
	case known && (flow.stage == stageOpen || flow.stage == stageClosed):
		g.note(passthrough.NoteHeld, passthrough.ReasonOpened, key, entry)
	case known && flow.stage == stageNotHeld, !known && (g.tracksAllFlows(now) || !g.mayHold(key)):
		g.note(passthrough.NoteNotHeld, passthrough.ReasonNotHeld, key, entry)
	default:
		g.note(passthrough.NoteUnsure, passthrough.ReasonUnknownFlow, key, entry)
	}
	return g.out
}

// openingPacket decides about a packet that requests a new flow, or a copy of one.
func (g *Gate) openingPacket(now time.Time, entry netip.AddrPort, version uint64, p *passthrough.Packet, flow *gateFlow) {
	if flow != nil {
		flow.openingAt = now
		g.act(Deliver, passthrough.ReasonAlreadyTried, p)
		return
	}
	if g.requeue(now, entry, version, p) {
		return
	}
	reason := g.refusalReason(now, version, p.Key)
	if reason == passthrough.ReasonNone && !g.placeFree(now, entry, version, p) {
		return
	}
	if reason == passthrough.ReasonNone {
		reason = g.startReason(now)
	}
	if reason != passthrough.ReasonNone {
		g.refuse(reason, entry, p)
		return
	}
	g.admit(now, entry, p)
}

func (g *Gate) refuse(reason passthrough.Reason, entry netip.AddrPort, p *passthrough.Packet) {
	g.out = append(g.out, Action{Kind: Refuse, Reason: reason, To: entry, Packet: p})
}

// admit delivers the opening packet of a new flow.
func (g *Gate) admit(now time.Time, entry netip.AddrPort, p *passthrough.Packet) {
	flow := &gateFlow{stage: stageHalfOpen, entry: entry, openingAt: now, lastSeen: now}
	g.flows[p.Key] = flow
	g.open++
	g.expected.admitted(now, flow)
	g.delivered = append(g.delivered, now)
	if g.openingUnanswered.IsZero() {
		g.openingUnanswered = now
	}
	g.expectResponse(now)
	g.act(Deliver, passthrough.ReasonAdmitted, p)
	g.note(passthrough.NoteAdmitted, passthrough.ReasonAdmitted, p.Key, entry)
}

// unknownFlow decides about a packet of a flow that isn't tracked here. It is
// delivered only while the backend server may hold flows older than this Gate.
func (g *Gate) unknownFlow(now time.Time, entry netip.AddrPort, lookupCopy bool, relayed relayOrigin, p *passthrough.Packet) {
	if g.tracksAllFlows(now) || !g.mayHold(p.Key) {
		g.returnPacket(entry, lookupCopy, relayed, p, passthrough.ReasonNotHeld)
		return
	}
	if lookupCopy && !g.target.Known {
		// A server at this address may be about to start, or may serve another service:
		// nothing is delivered before it has announced itself. The caller repeats the
		// packet.
		g.act(Drop, passthrough.ReasonNoTarget, p)
		return
	}
	g.flows[p.Key] = &gateFlow{stage: stageUnconfirmed, entry: entry, lookupCopy: lookupCopy, relayed: relayed, openingAt: now, lastSeen: now}
	g.act(Deliver, passthrough.ReasonUnknownFlow, p)
}

// tracksAllFlows reports whether every flow of the backend server is tracked here.
func (g *Gate) tracksAllFlows(now time.Time) bool {
	return g.target.StartedAfterCompanion || g.noServer(now) || now.Sub(g.started) > g.config.MaxFlowAge
}

// noServer reports whether no backend server runs beside the companion.
func (g *Gate) noServer(now time.Time) bool {
	return g.target.NoServer(now, g.started, g.config.FirstAnnouncementLimit)
}

// mayHold reports whether the backend server's service may hold the flow.
func (g *Gate) mayHold(key core.FlowKey) bool {
	if g.table == nil || !g.target.Known {
		return true
	}
	r := g.table.Route(key.Service)
	return r == nil || r.MayHold(g.target.Service)
}

// returnPacket returns a packet to the entry instance because the backend server
// doesn't hold its flow. A lookup copy is only answered with a note, and a relayed one
// with an answer to its conductor.
func (g *Gate) returnPacket(entry netip.AddrPort, lookupCopy bool, relayed relayOrigin, p *passthrough.Packet, reason passthrough.Reason) {
	if relayed.conductor.IsValid() {
		g.out = append(g.out, Action{Kind: AnswerSurvey, Reason: reason, To: relayed.conductor, SurveyNumber: relayed.number})
		return
	}
	if lookupCopy {
		g.note(passthrough.NoteNotHeld, reason, p.Key, entry)
		return
	}
	g.out = append(g.out, Action{Kind: NotHeld, Reason: reason, To: entry, Packet: p})
}

func (g *Gate) act(kind Kind, reason passthrough.Reason, p *passthrough.Packet) {
	g.out = append(g.out, Action{Kind: kind, Reason: reason, Packet: p})
}

func (g *Gate) note(kind passthrough.NoteKind, reason passthrough.Reason, key core.FlowKey, entry netip.AddrPort) {
	if !entry.IsValid() {
		return
	}
	note := passthrough.Note{Kind: kind, Key: key, Running: g.running + g.queue.Len(), Flows: g.open}
	g.out = append(g.out, Action{Kind: SendNote, Reason: reason, To: entry, Note: note})
}
