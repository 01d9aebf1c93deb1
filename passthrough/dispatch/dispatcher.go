// Package dispatch decides for an entry instance which companion each packet of a caller
// goes to. It does no I/O and reads no clock.
package dispatch

import (
	"net/netip"
	"time"

	"zinniapulley.dev/capacity"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/route"
)

const (
	// retryElsewhereAfter is how long an opening packet may stay unanswered before its
	// next copy goes to another companion. Callers repeat it after 200 ms.
	retryElsewhereAfter = 150 * time.Millisecond
	// statusLimit is the age of the last status beyond which a companion is removed.
	statusLimit = 70 * time.Second
	// cacheIdle is how long a flow without packets stays in the cache.
	cacheIdle = 25 * time.Second
	// closedIdle replaces cacheIdle once the caller has closed its side.
	closedIdle = 3 * time.Second
	// startGrace is how long after its start an entry instance may have received no
	// status from some companions: three status intervals, and the time until control
	// lists the instance to companions. An opening packet without a candidate waits
	// during that time.
	startGrace = 1500 * time.Millisecond
	// pauseLimit is the time between two calls of Sweep, ten of its intervals,
	// beyond which the process counts as having been paused.
	pauseLimit = time.Second
	// maxAttempts is the most companions that one opening packet is tried at.
	maxAttempts = 6
)

// Kind is what an entry instance does with a packet.
type Kind uint8

const (
	// Forward sends the packet to one companion.
	Forward Kind = iota + 1
	// Lookup sends a copy of the packet to a companion whose backend server
	// may hold the flow.
	Lookup
	// Query sends a companion a query whether it holds the flow.
	Query
	// Survey has a companion query others whether they hold the flow.
	Survey
	// Relay has a companion pass copies of the packet to others. Survey lists these.
	Relay
	// Check sends a companion a numbered query whether it still holds a flow, in Survey.
	Check
	// RequestStatus requests a companion's full status.
	RequestStatus
	// Reset answers the caller with a reset.
	Reset
	// Wait keeps the packet until it can be decided about.
	Wait
	// Drop discards the packet.
	Drop
)

var kindNames = [Drop + 1]string{
	0: "none", Forward: "forward", Lookup: "lookup", Query: "query", Survey: "survey", Relay: "relay", Check: "check",
	RequestStatus: "request status", Reset: "reset", Wait: "wait", Drop: "drop",
}

// String returns the kind in words.
func (k Kind) String() string {
	if k > Drop {
		return "unknown"
	}
	return kindNames[k]
}

// Action is one action on a packet.
type Action struct {
	Kind   Kind
	Reason passthrough.Reason
	To     netip.AddrPort
	Packet *passthrough.Packet
	// ResetSeq is the sequence number of the reset.
	ResetSeq uint32
	Survey   passthrough.Survey
	// Status and Age are what the choice of To was based on, for the log.
	Status passthrough.Status
	Age    time.Duration
	// Room holds the figures by which no backend server can start the flow in time, nil
	// otherwise.
	Room *capacity.Room
	// Placement is whether the flow stays in this data centre, and why.
	Placement Placement
}

// attempt is one companion that an opening packet was sent to.
type attempt struct {
	companion netip.AddrPort
	sentAt    time.Time
	admitted  bool
	refused   bool
	// repeated is set once the packet was sent there again, so that a response may
	// belong to either.
	repeated bool
}

// cachedFlow is a Dispatcher's record of one flow.
type cachedFlow struct {
	// owner is the companion that holds the flow; invalid while unknown.
	owner    netip.AddrPort
	attempts []attempt
	lastSeen time.Time
	// busy is set when a companion refused the flow only because its answer would
	// come too late.
	busy bool
	// ownerEpoch is the owner's epoch when it confirmed the flow, zero for unknown.
	ownerEpoch uint32
	// ack is the caller's last acknowledgement, valid if acked is set.
	ack   uint32
	acked bool
	// lookup is set while the flow's owner is looked up.
	lookup *flowLookup
	// closing is set once the caller has closed its side.
	closing bool
}

// Dispatcher decides for one entry instance. It must be used by one goroutine only.
type Dispatcher struct {
	dataCentre core.DataCentre
	table      *route.Table
	companions map[netip.AddrPort]*companion
	byService  map[core.ServiceName]*serviceState
	// ways has the network delay to each data centre; ownWay is that to this one.
	ways   map[core.DataCentre]*way
	ownWay *way
	flows  map[core.FlowKey]*cachedFlow
	// created is when this entry instance started; started is when it began to receive
	// statuses: its start, or the end of a pause in which it received nothing.
	created time.Time
	started time.Time
	// lastSweepCall is when Sweep was last called, lastSweep when it last removed flows.
	lastSweepCall time.Time
	lastSweep     time.Time
	// maxLookupBytes is how many bytes lookups may send in any second, and lookupBytes how
	// many they may send as of refilledAt.
	maxLookupBytes float64
	lookupBytes    float64
	refilledAt     time.Time
	// backlog is set while a lookup waits for its turn to send: others queue behind it.
	backlog bool
	// firstRequestAt and requestedAt are when statuses were first and last requested.
	firstRequestAt time.Time
	requestedAt    time.Time
	// lookups counts the lookups and relays; active holds the lookups that await answers.
	lookups uint32
	active  map[*flowLookup]core.FlowKey
	// due and lookupMessages are reused: the lookups to continue, and the messages of one.
	due            []*flowLookup
	lookupMessages []Action
	relays         RelayCounts
	checks         checks
	// waiting holds the opening packets that can't be decided yet, by flow.
	waiting map[core.FlowKey]waitingPacket
	// retries bounds the further tries of refused opening packets.
	retries retryBudget
	// heldPackets counts the packets held while their flows are looked up.
	heldPackets int
	// sites is reused by Capacity.
	sites []capacity.Site
	// ranked, local and firsts are reused by the choices.
	ranked, local, firsts []*companion
	out                   []Action
	leaving               leaving
}

// New returns a Dispatcher without a view.
func New(now time.Time, dataCentre core.DataCentre) *Dispatcher {
	d := &Dispatcher{
		dataCentre: dataCentre,
		created:    now,
		started:    now,
		refilledAt: now,
		companions: make(map[netip.AddrPort]*companion),
		byService:  make(map[core.ServiceName]*serviceState),
		ways:       make(map[core.DataCentre]*way),
		flows:      make(map[core.FlowKey]*cachedFlow),
		active:     make(map[*flowLookup]core.FlowKey),
		waiting:    make(map[core.FlowKey]waitingPacket),
		checks:     newChecks(),
	}
	d.ownWay = d.wayTo(dataCentre)
	d.SetNetwork(0)
	return d
}

// SetTable puts a newer view in force. It ignores an older one. It reports whether the
// view is the first.
func (d *Dispatcher) SetTable(table *route.Table) bool {
	first := d.table == nil
	if first || table.View.Revision > d.table.View.Revision {
		d.table = table
	}
	return first
}

// Version returns the version of the configuration in force, zero for none.
func (d *Dispatcher) Version() uint64 {
	if d.table == nil {
		return 0
	}
	return d.table.View.Version
}

// Companions returns how many companions are tracked.
func (d *Dispatcher) Companions() int { return len(d.companions) }

// Flows returns how many flows are in the cache.
func (d *Dispatcher) Flows() int { return len(d.flows) }

// Handle decides about a packet from a caller. The result is valid until the next
// call of a method.
func (d *Dispatcher) Handle(now time.Time, p *passthrough.Packet) []Action {
	d.out = d.out[:0]
	if p.Flags.Opens() {
		d.openingPacket(now, p)
	} else {
		d.laterPacket(now, p)
	}
	return d.out
}

// openingPacket decides about a packet that requests a new flow.
func (d *Dispatcher) openingPacket(now time.Time, p *passthrough.Packet) {
	flow, known := d.flows[p.Key]
	if !known {
		flow = &cachedFlow{}
	}
	flow.lastSeen = now
	d.applyOpening(now, p, flow, d.judgeOpening(now, p, flow))
}

// activeCompanion returns the companion that a copy of the opening packet goes to:
// the one that admitted the flow, or one that may still answer.
func (d *Dispatcher) activeCompanion(now time.Time, f *cachedFlow) netip.AddrPort {
	for _, a := range f.attempts {
		if (a.admitted && d.responds(now, a.companion)) || (!a.refused && now.Sub(a.sentAt) < retryElsewhereAfter) {
			return a.companion
		}
	}
	return netip.AddrPort{}
}

// responds reports whether nothing shows that the companion has died. One that has died
// after it admitted the flow may have kept the opening packet waiting.
func (d *Dispatcher) responds(now time.Time, at netip.AddrPort) bool {
	c, known := d.companions[at]
	return known && c.fresh(now) && !c.unreachable(now)
}

// laterPacket decides about a packet of a flow that should be open.
func (d *Dispatcher) laterPacket(now time.Time, p *passthrough.Packet) {
	flow, known := d.flows[p.Key]
	if !known {
		flow = &cachedFlow{}
		d.flows[p.Key] = flow
	}
	flow.lastSeen = now
	flow.ack, flow.acked = p.Ack, p.Flags.Has(core.TCPAck)
	if p.Flags.Has(core.TCPFin) || p.Flags.Has(core.TCPRst) {
		flow.closing = true
	}
	if flow.owner.IsValid() {
		d.forward(now, p, flow.owner, passthrough.ReasonCached)
		return
	}
	if flow.lookup != nil {
		d.lookUp(now, p, flow, netip.AddrPort{})
		return
	}
	sent := false
	for _, a := range flow.attempts {
		if !a.refused {
			d.forward(now, p, a.companion, passthrough.ReasonAlreadyTried)
			sent = true
		}
	}
	if !sent {
		d.lookUp(now, p, flow, netip.AddrPort{})
	}
}

func (d *Dispatcher) forward(now time.Time, p *passthrough.Packet, to netip.AddrPort, reason passthrough.Reason) {
	dispatch := Action{Kind: Forward, Reason: reason, To: to, Packet: p}
	if c, known := d.companions[to]; known {
		dispatch.Status, dispatch.Age = c.status, now.Sub(c.lastSeen)
	}
	d.out = append(d.out, dispatch)
}

// reset answers an opening packet. The sequence number is 0, so that a caller
// whose flow has opened through another entry instance ignores it.
func (d *Dispatcher) reset(p *passthrough.Packet, reason passthrough.Reason) {
	d.out = append(d.out, Action{Kind: Reset, Reason: reason, Packet: p})
}

func (d *Dispatcher) drop(p *passthrough.Packet, reason passthrough.Reason) {
	d.out = append(d.out, Action{Kind: Drop, Reason: reason, Packet: p})
}

// HandleRefused handles an opening packet that a companion returned without
// admitting it. The result is valid until the next call of a method.
func (d *Dispatcher) HandleRefused(now time.Time, from netip.AddrPort, reason passthrough.Reason, p *passthrough.Packet) []Action {
	d.out = d.out[:0]
	c, tracked := d.companions[from]
	if tracked {
		c.unansweredSince = time.Time{}
	}
	flow, known := d.flows[p.Key]
	if !known || flow.owner.IsValid() || d.table == nil {
		return d.out
	}
	r := d.table.Route(p.Key.Service)
	if reason == passthrough.ReasonBusy {
		flow.busy = true
		if tracked && r != nil {
			c.refusedBusy(now, passthrough.UrgencyOf(p, r))
		}
	}
	d.measureWay(now, from, flow)
	for i := range flow.attempts {
		if flow.attempts[i].companion == from {
			flow.attempts[i].refused, flow.attempts[i].admitted = true, false
		}
	}
	if d.activeCompanion(now, flow).IsValid() {
		return d.out
	}
	if r == nil {
		d.remove(p.Key, flow)
		d.reset(p, passthrough.ReasonNoRoute)
		return d.out
	}
	if reason == passthrough.ReasonBusy && !d.retries.take(passthrough.UrgencyOf(p, r)) {
		d.applyOpening(now, p, flow, d.judgeExhausted(now, p, flow, true))
		return d.out
	}
	d.applyOpening(now, p, flow, d.judgeNext(now, p, flow, r))
	return d.out
}

// HandleNotHeld handles a packet that a companion returned because its backend
// server doesn't hold the flow. The result is valid until the next call of a method.
func (d *Dispatcher) HandleNotHeld(now time.Time, from netip.AddrPort, p *passthrough.Packet) []Action {
	d.out = d.out[:0]
	flow, known := d.flows[p.Key]
	if !known {
		flow = &cachedFlow{}
		d.flows[p.Key] = flow
	}
	flow.lastSeen = now
	if flow.owner == from {
		flow.owner = netip.AddrPort{}
	}
	if p.Flags.Has(core.TCPFin) || p.Flags.Has(core.TCPRst) {
		flow.closing = true
	}
	waiting := false
	for i := range flow.attempts {
		if flow.attempts[i].companion == from {
			flow.attempts[i].refused = true
		}
		waiting = waiting || !flow.attempts[i].refused
	}
	if !waiting && !flow.owner.IsValid() {
		d.lookUp(now, p, flow, from)
	}
	return d.out
}

// HandleNote handles a companion's message about a flow. The result is valid until
// the next call of a method.
func (d *Dispatcher) HandleNote(now time.Time, from netip.AddrPort, note passthrough.Note) []Action {
	d.out = d.out[:0]
	if c, known := d.companions[from]; known {
		c.setLoad(now, note.Running, note.Flows)
		c.unansweredSince = time.Time{}
	}
	flow, known := d.flows[note.Key]
	if !known {
		return d.out
	}
	switch note.Kind {
	case passthrough.NoteAdmitted:
		d.retries.admitted()
		d.measureWay(now, from, flow)
		for i := range flow.attempts {
			flow.attempts[i].admitted = flow.attempts[i].admitted || flow.attempts[i].companion == from
		}
	case passthrough.NoteHeld:
		flow.owner, flow.ownerEpoch = from, d.epochOf(from)
		flow.attempts = nil
		d.sendHeldToOwner(now, flow)
	case passthrough.NoteLost:
		flow.closing = true
	case passthrough.NoteNotHeld:
		d.recordNotHeld(now, note.Key, flow, from)
	case passthrough.NoteUnsure:
		d.noteUnsure(now, note.Key, flow, from)
	}
	return d.out
}

// Continue continues what waits: requests for statuses, opening packets and lookups. The
// caller calls it with the first view and at short intervals. The result is valid until
// the next call of a method.
func (d *Dispatcher) Continue(now time.Time) []Action {
	d.out = d.out[:0]
	d.requestStatuses(now)
	d.updatePlans(now)
	d.retryWaiting(now)
	d.retryLookups(now)
	d.continueChecks(now)
	return d.out
}

// remove deletes a flow from the cache and ends its lookup.
func (d *Dispatcher) remove(key core.FlowKey, flow *cachedFlow) {
	d.endLookup(flow)
	delete(d.flows, key)
}

// Sweep removes flows and companions whose last packet or status is older than the
// limits. The caller runs it several times a second.
func (d *Dispatcher) Sweep(now time.Time) {
	if !d.lastSweepCall.IsZero() && now.Sub(d.lastSweepCall) > pauseLimit {
		d.started = now
		d.checks.clear()
	}
	d.lastSweepCall = now
	if now.Sub(d.lastSweep) < passthrough.SweepInterval {
		return
	}
	d.lastSweep = now
	for key, flow := range d.flows {
		idle := now.Sub(flow.lastSeen)
		if idle > cacheIdle || (flow.closing && idle > closedIdle) {
			d.remove(key, flow)
		}
	}
	expired := false
	for address, c := range d.companions {
		if now.Sub(c.paceAt) > paceLifetime {
			c.pace = passthrough.Pace{}
		}
		if now.Sub(c.lastSeen) > statusLimit {
			delete(d.companions, address)
			expired = true
		}
	}
	if expired {
		d.index()
	}
}
