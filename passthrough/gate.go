package passthrough

import (
	"net/netip"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/route"
)

const (
	// silentAfter is how long a backend server that was sent opening packets may
	// say nothing at all before it counts as silent. It answers within
	// milliseconds even with all slots taken.
	silentAfter = 250 * time.Millisecond
	// suspectAfter is how long a backend server may owe an answer before it is looked
	// at: a few times what most requests take.
	suspectAfter = 150 * time.Millisecond
	// probeInterval is the time between opening packets to a silent one.
	probeInterval = 500 * time.Millisecond
	// coldWindow is the span over which a cold backend server's new flows are
	// counted: a second, and what an arrival may be off.
	coldWindow = 1100 * time.Millisecond
	// coldReserve is how many fewer new flows than its bound a cold backend
	// server gets in a window.
	coldReserve = 2
	// halfOpenLimit is how long a flow may wait for its caller's confirmation.
	halfOpenLimit = 3 * time.Second
	// closedLimit is how long a closed flow is remembered for late packets.
	closedLimit = 4 * time.Second
	// idleMargin is added to the idle time after which a flow is forgotten.
	idleMargin = 10 * time.Second
	// defaultIdle holds while the configuration names no idle time.
	defaultIdle = 30 * time.Second
)

// GateConfig sets up a Gate.
type GateConfig struct {
	DataCentre core.DataCentre
	// AnnouncementLimit is how long a backend server may be silent about itself before it
	// gets no new flows.
	AnnouncementLimit time.Duration
	// FirstAnnouncementLimit is how long after the companion's start a backend server that
	// runs has announced itself.
	FirstAnnouncementLimit time.Duration
	// ColdFactor and ColdSlack bound the new flows of a cold backend server in a
	// second: its rate times the factor, plus the slack.
	ColdFactor float64
	ColdSlack  int
	// MaxFlowAge is how old a flow may grow before it may be forgotten. A Gate
	// that was started later than a flow doesn't know it.
	MaxFlowAge time.Duration
}

// GateKind says what a companion does with a packet.
type GateKind uint8

const (
	// GateDeliver hands the packet to the backend server.
	GateDeliver GateKind = iota + 1
	// GateAnswer sends the packet of the backend server to the caller.
	GateAnswer
	// GateRefuse gives an opening packet back to the entry instance.
	GateRefuse
	// GateNotHere gives a packet back to the entry instance because the flow
	// doesn't live here.
	GateNotHere
	// GateReset answers the caller with a reset.
	GateReset
	// GateNote tells the entry instance about the flow.
	GateNote
	// GateDrop discards the packet.
	GateDrop
)

// GateAction is one thing to do with a packet.
type GateAction struct {
	Kind   GateKind
	Reason Reason
	// To is the entry instance of GateRefuse, GateNotHere and GateNote.
	To     netip.AddrPort
	Packet *Packet
	// ResetSeq is the sequence number of the reset.
	ResetSeq uint32
	Note     Note
}

// stage is how far a flow has come.
type stage uint8

const (
	// stageHalfOpen: the opening packet was delivered.
	stageHalfOpen stage = iota + 1
	// stageOpen: caller and backend server have the flow.
	stageOpen
	// stageProbing: the backend server was asked by delivering a packet.
	stageProbing
	// stageClosed: the flow has ended.
	stageClosed
	// stageAbsent: the backend server has given a packet of the flow back.
	stageAbsent
)

// gateFlow is what a Gate knows of one flow.
type gateFlow struct {
	stage stage
	// entry is where the flow's last packet came from.
	entry netip.AddrPort
	// sought says that it came as a copy that others got too.
	sought bool
	// answered says that synAck, the sequence number with which the backend
	// server opened the flow, is known.
	answered bool
	synAck   uint32
	// proven says that the backend server has sent something on the open flow.
	proven bool
	// sent says that data of the caller was seen, up to sentTo.
	sent   bool
	sentTo uint32
	// acked says that ack, what the caller acknowledged last, is known.
	acked bool
	ack   uint32
	// waiting says that a request waits for its answer, since then.
	waiting   bool
	since     time.Time
	callerFin bool
	serverFin bool
	seen      time.Time
}

// Gate decides for one companion. It belongs to one goroutine.
type Gate struct {
	config  GateConfig
	table   *route.Table
	started time.Time
	target  Target
	flows   map[core.FlowKey]*gateFlow
	running int
	open    int
	// halfOpen counts the flows whose first request is about to come.
	halfOpen int
	pace     pace
	health   health
	// delivered holds when the newest opening packets were delivered.
	delivered []time.Time
	// unanswered is when the first opening packet was delivered after the backend
	// server was heard of last; zero for none.
	unanswered time.Time
	probed     time.Time
	// owing is when the first packet that asks for an answer was delivered after the
	// backend server was heard of last; zero for none.
	owing time.Time
	// returned is when the data centre was put in again; zero if it never was out.
	returned time.Time
	stopping bool
	swept    time.Time
	out      []GateAction
	// Served is called with a flow and the time from its request to the beginning of
	// the answer, if set.
	Served func(core.FlowKey, time.Duration)
}

// NewGate returns a Gate that admits nothing until it has a view and has heard of
// its backend server.
func NewGate(now time.Time, config GateConfig) *Gate {
	return &Gate{config: config, started: now, flows: make(map[core.FlowKey]*gateFlow)}
}

// SetTable puts a newer view in force. Older ones are ignored.
func (g *Gate) SetTable(now time.Time, table *route.Table) {
	if g.table != nil && table.View.Revision <= g.table.View.Revision {
		return
	}
	if g.table != nil && g.table.DataCentreOut(g.config.DataCentre) && !table.DataCentreOut(g.config.DataCentre) {
		g.returned = now
	}
	g.table = table
}

// Version returns the configuration in force here, zero for none.
func (g *Gate) Version() uint64 {
	if g.table == nil {
		return 0
	}
	return g.table.View.Version
}

// Stop lets the Gate admit no more flows.
func (g *Gate) Stop() { g.stopping = true }

// Running returns how many requests wait for an answer.
func (g *Gate) Running() int { return g.running }

// FromEntry decides about a caller's packet that an entry instance sent. sought
// says that others got a copy. version is the configuration in force at the entry
// instance. The result is valid until the next call.
func (g *Gate) FromEntry(now time.Time, entry netip.AddrPort, sought bool, version uint64, p *Packet) []GateAction {
	g.out = g.out[:0]
	flow, known := g.flows[p.Key]
	if known && flow.stage == stageAbsent && p.Flags.Opens() {
		delete(g.flows, p.Key)
		flow, known = nil, false
	}
	if known {
		flow.entry, flow.sought, flow.seen = entry, sought, now
	}
	switch {
	case p.Flags.Opens():
		g.opening(now, entry, version, p, flow)
	case !known:
		g.unknown(now, entry, sought, p)
	case flow.stage == stageAbsent:
		g.notHere(entry, sought, p, ReasonNotHere)
	case flow.stage == stageHalfOpen:
		g.confirming(now, p, flow)
	default:
		g.following(now, p, flow)
	}
	return g.out
}

// Query answers an entry instance that looks for a flow. The result is valid
// until the next call.
func (g *Gate) Query(now time.Time, entry netip.AddrPort, key core.FlowKey) []GateAction {
	g.out = g.out[:0]
	flow, known := g.flows[key]
	switch {
	case known && (flow.stage == stageOpen || flow.stage == stageClosed):
		g.note(NoteOpened, ReasonOpened, key, entry)
	case known && flow.stage == stageAbsent, !known && (g.knowsAll(now) || !g.mayHold(key)):
		g.note(NoteAbsent, ReasonNotHere, key, entry)
	default:
		g.note(NoteUnsure, ReasonUnknownFlow, key, entry)
	}
	return g.out
}

// opening decides about a packet that asks for a new flow, or a copy of one.
func (g *Gate) opening(now time.Time, entry netip.AddrPort, version uint64, p *Packet, flow *gateFlow) {
	if flow != nil {
		g.act(GateDeliver, ReasonAlreadyTried, p)
		return
	}
	reason := g.unfit(now, version, p)
	if reason != ReasonNone {
		g.out = append(g.out, GateAction{Kind: GateRefuse, Reason: reason, To: entry, Packet: p})
		return
	}
	g.flows[p.Key] = &gateFlow{stage: stageHalfOpen, entry: entry, seen: now}
	g.open++
	g.halfOpen++
	g.delivered = append(g.delivered, now)
	if g.unanswered.IsZero() {
		g.unanswered = now
	}
	g.owe(now)
	g.act(GateDeliver, ReasonAdmitted, p)
	g.note(NoteAdmitted, ReasonAdmitted, p.Key, entry)
}

// unknown decides about a packet of a flow that isn't known here. Its backend
// server is asked only while it may hold flows older than this Gate.
func (g *Gate) unknown(now time.Time, entry netip.AddrPort, sought bool, p *Packet) {
	if g.knowsAll(now) || !g.mayHold(p.Key) {
		g.notHere(entry, sought, p, ReasonNotHere)
		return
	}
	if sought && !g.target.Known {
		// What is there may be about to start, or another service's: it isn't asked
		// before it has said what it is. The caller repeats the packet.
		g.act(GateDrop, ReasonNoTarget, p)
		return
	}
	g.flows[p.Key] = &gateFlow{stage: stageProbing, entry: entry, sought: sought, seen: now}
	g.act(GateDeliver, ReasonUnknownFlow, p)
}

// knowsAll reports whether every flow of the backend server is known here.
func (g *Gate) knowsAll(now time.Time) bool {
	return g.target.StartedAfterCompanion || g.alone(now) || now.Sub(g.started) > g.config.MaxFlowAge
}

// alone reports whether no backend server runs beside the companion.
func (g *Gate) alone(now time.Time) bool {
	return g.target.NoServer(now, g.started, g.config.FirstAnnouncementLimit)
}

// mayHold reports whether the backend server's service may hold the flow.
func (g *Gate) mayHold(key core.FlowKey) bool {
	if g.table == nil || !g.target.Known {
		return true
	}
	found := g.table.Route(key.Service)
	return found == nil || found.MayHold(g.target.Service)
}

// notHere gives a packet back whose flow surely doesn't live here. One that others
// got too is only answered.
func (g *Gate) notHere(entry netip.AddrPort, sought bool, p *Packet, reason Reason) {
	if sought {
		g.note(NoteAbsent, reason, p.Key, entry)
		return
	}
	g.out = append(g.out, GateAction{Kind: GateNotHere, Reason: reason, To: entry, Packet: p})
}

func (g *Gate) act(kind GateKind, reason Reason, p *Packet) {
	g.out = append(g.out, GateAction{Kind: kind, Reason: reason, Packet: p})
}

func (g *Gate) note(kind NoteKind, reason Reason, key core.FlowKey, entry netip.AddrPort) {
	if !entry.IsValid() {
		return
	}
	note := Note{Kind: kind, Key: key, Running: g.running, Flows: g.open}
	g.out = append(g.out, GateAction{Kind: GateNote, Reason: reason, To: entry, Note: note})
}
