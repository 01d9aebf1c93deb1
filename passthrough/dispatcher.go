package passthrough

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"zinniapulley.dev/core"
	"zinniapulley.dev/route"
)

const (
	// askAgainAfter is how long an opening packet may stay unanswered before its
	// copy goes to another companion. Callers repeat it after 200 ms.
	askAgainAfter = 150 * time.Millisecond
	// statusFresh is the age up to which a companion's status counts in full. It
	// covers two lost statuses in a row.
	statusFresh = 700 * time.Millisecond
	// statusLimit is the age beyond which a companion is forgotten.
	statusLimit = 70 * time.Second
	// cacheIdle is how long a flow without packets stays in the cache.
	cacheIdle = 25 * time.Second
	// closedIdle is the same once the caller has closed its side.
	closedIdle = 3 * time.Second
	// callerCopies is how many copies of an opening packet a caller sends. Each says
	// in its acknowledgement which one it is.
	callerCopies = 2
	// startGrace is how long after its start an entry instance may not have heard
	// of every companion: three intervals between their statuses, and the time in
	// which they learn of it. An opening packet that finds none is dropped then, so
	// that the caller's copy of it is tried.
	startGrace = 1500 * time.Millisecond
	// pauseLimit is the time between two calls of Sweep, four of its intervals,
	// beyond which the process was held up.
	pauseLimit = time.Second
	// maxAsked is the most companions that one opening packet is tried at.
	maxAsked = 6
)

// DispatchKind says what an entry instance does with a packet.
type DispatchKind uint8

const (
	// DispatchForward sends the packet to one companion.
	DispatchForward DispatchKind = iota + 1
	// DispatchLookup sends a copy of the packet to a companion whose backend server
	// may hold the flow.
	DispatchLookup
	// DispatchQuery asks a companion whether the flow lives there.
	DispatchQuery
	// DispatchReset answers the caller with a reset.
	DispatchReset
	// DispatchDrop discards the packet.
	DispatchDrop
)

// Dispatch is one thing to do with a packet.
type Dispatch struct {
	Kind   DispatchKind
	Reason Reason
	To     netip.AddrPort
	Packet *Packet
	// ResetSeq is the sequence number of the reset.
	ResetSeq uint32
	// Status and Age are what the choice of To relied on, for the log.
	Status Status
	Age    time.Duration
}

// companion is what a Dispatcher knows of one companion.
type companion struct {
	status Status
	heard  time.Time
	// held says that flows may have lived there since it was heard of first.
	held bool
	// hash is that of the companion's address.
	hash uint64
	// assigned counts the flows sent there since the last status.
	assigned int
}

// ask is an opening packet's try at one companion.
type ask struct {
	at       netip.AddrPort
	when     time.Time
	admitted bool
	refused  bool
}

// cached is what a Dispatcher knows of one flow.
type cached struct {
	// owner is the companion where the flow lives; invalid while not known.
	owner netip.AddrPort
	asked []ask
	seen  time.Time
	// busy says that a companion refused the flow only because its answer would come
	// too late.
	busy bool
	// search is set while the flow is sought.
	search *search
	// closing is set once the caller has closed its side.
	closing bool
}

// Dispatcher decides for one entry instance. It belongs to one goroutine.
type Dispatcher struct {
	dataCentre core.DataCentre
	table      *route.Table
	companions map[netip.AddrPort]*companion
	byService  map[core.ServiceName][]*companion
	flows      map[core.FlowKey]*cached
	// started is when this entry instance began to hear of companions: its start, or
	// the end of a pause in which it heard nothing.
	started   time.Time
	ticked    time.Time
	swept     time.Time
	questions int
	// keeping counts the packets kept while their flows are sought.
	keeping int
	ranked  []*companion
	out     []Dispatch
}

// NewDispatcher returns a Dispatcher without a view.
func NewDispatcher(now time.Time, dataCentre core.DataCentre) *Dispatcher {
	return &Dispatcher{
		dataCentre: dataCentre,
		started:    now,
		companions: make(map[netip.AddrPort]*companion),
		byService:  make(map[core.ServiceName][]*companion),
		flows:      make(map[core.FlowKey]*cached),
	}
}

// SetTable puts a newer view in force. Older ones are ignored.
func (d *Dispatcher) SetTable(table *route.Table) {
	if d.table == nil || table.View.Revision > d.table.View.Revision {
		d.table = table
	}
}

// Version returns the configuration in force here, zero for none.
func (d *Dispatcher) Version() uint64 {
	if d.table == nil {
		return 0
	}
	return d.table.View.Version
}

// Companions returns how many companions are known.
func (d *Dispatcher) Companions() int { return len(d.companions) }

// Flows returns how many flows are in the cache.
func (d *Dispatcher) Flows() int { return len(d.flows) }

// Handle decides about a packet from a caller. The result is valid until the
// next call.
func (d *Dispatcher) Handle(now time.Time, p *Packet) []Dispatch {
	d.out = d.out[:0]
	if p.Flags.Opens() {
		d.opening(now, p)
	} else {
		d.following(now, p)
	}
	return d.out
}

// opening decides about a packet that asks for a new flow.
func (d *Dispatcher) opening(now time.Time, p *Packet) {
	if d.table == nil {
		d.drop(p, ReasonNoView)
		return
	}
	flow, known := d.flows[p.Key]
	if known && flow.owner.IsValid() {
		flow.seen = now
		d.forward(now, p, flow.owner, ReasonCached)
		return
	}
	found := d.table.Route(p.Key.Service)
	if found == nil {
		d.reset(p, ReasonNoRoute)
		return
	}
	if !known {
		flow = &cached{}
		d.flows[p.Key] = flow
	}
	flow.seen = now
	again := flow.askedLately(now)
	if again.IsValid() {
		d.forward(now, p, again, ReasonAlreadyTried)
		return
	}
	d.ask(now, p, flow, found)
}

// askedLately returns the companion that a copy of the opening packet goes to:
// the one that admitted the flow, or one that had no time to answer yet.
func (f *cached) askedLately(now time.Time) netip.AddrPort {
	for _, a := range f.asked {
		if a.admitted || (!a.refused && now.Sub(a.when) < askAgainAfter) {
			return a.at
		}
	}
	return netip.AddrPort{}
}

// ask tries the flow at the best companion that it wasn't tried at.
func (d *Dispatcher) ask(now time.Time, p *Packet, flow *cached, found *route.Route) {
	best := d.choose(now, p.Key, flow, found)
	if best == nil || len(flow.asked) >= maxAsked {
		d.exhausted(now, p, flow)
		return
	}
	best.assigned++
	flow.asked = append(flow.asked, ask{at: best.status.Companion, when: now})
	d.out = append(d.out, Dispatch{
		Kind: DispatchForward, Reason: ReasonChosen, To: best.status.Companion, Packet: p,
		Status: best.status, Age: now.Sub(best.heard),
	})
}

// exhausted answers an opening packet that no further companion can take.
func (d *Dispatcher) exhausted(now time.Time, p *Packet, flow *cached) {
	if len(flow.asked) == 0 {
		d.forget(p.Key, flow)
		if now.Sub(d.started) < startGrace {
			d.drop(p, ReasonStarting)
			return
		}
		d.reset(p, ReasonNoCandidate)
		return
	}
	for i := range flow.asked {
		// One that hasn't refused may have admitted the flow.
		if !flow.asked[i].refused {
			flow.asked[i].when = now
			d.forward(now, p, flow.asked[i].at, ReasonAlreadyTried)
			return
		}
	}
	busy := flow.busy && p.Ack < callerCopies
	d.forget(p.Key, flow)
	if busy {
		// The caller's next copy is tried again: by then there may be room.
		d.drop(p, ReasonBusy)
		return
	}
	d.reset(p, ReasonAllRefused)
}

// following decides about a packet of a flow that should be open.
func (d *Dispatcher) following(now time.Time, p *Packet) {
	flow, known := d.flows[p.Key]
	if !known {
		flow = &cached{}
		d.flows[p.Key] = flow
	}
	flow.seen = now
	if p.Flags.Has(core.TCPFin) || p.Flags.Has(core.TCPRst) {
		flow.closing = true
	}
	if flow.owner.IsValid() {
		d.forward(now, p, flow.owner, ReasonCached)
		return
	}
	if flow.search != nil {
		d.seek(now, p, flow, netip.AddrPort{})
		return
	}
	sent := false
	for _, a := range flow.asked {
		if !a.refused {
			d.forward(now, p, a.at, ReasonAlreadyTried)
			sent = true
		}
	}
	if !sent {
		d.seek(now, p, flow, netip.AddrPort{})
	}
}

func (d *Dispatcher) forward(now time.Time, p *Packet, to netip.AddrPort, reason Reason) {
	dispatch := Dispatch{Kind: DispatchForward, Reason: reason, To: to, Packet: p}
	if c, known := d.companions[to]; known {
		dispatch.Status, dispatch.Age = c.status, now.Sub(c.heard)
	}
	d.out = append(d.out, dispatch)
}

// reset answers an opening packet. The sequence number is 0, so that a caller
// whose flow has opened through another entry instance doesn't take it.
func (d *Dispatcher) reset(p *Packet, reason Reason) {
	d.out = append(d.out, Dispatch{Kind: DispatchReset, Reason: reason, Packet: p})
}

func (d *Dispatcher) drop(p *Packet, reason Reason) {
	d.out = append(d.out, Dispatch{Kind: DispatchDrop, Reason: reason, Packet: p})
}

// HandleRefused takes an opening packet back from a companion that didn't admit it.
// The result is valid until the next call.
func (d *Dispatcher) HandleRefused(now time.Time, from netip.AddrPort, reason Reason, p *Packet) []Dispatch {
	d.out = d.out[:0]
	flow, known := d.flows[p.Key]
	if !known || flow.owner.IsValid() || d.table == nil {
		return d.out
	}
	flow.busy = flow.busy || reason == ReasonBusy
	for i := range flow.asked {
		if flow.asked[i].at == from {
			flow.asked[i].refused, flow.asked[i].admitted = true, false
		}
	}
	if flow.askedLately(now).IsValid() {
		return d.out
	}
	found := d.table.Route(p.Key.Service)
	if found == nil {
		d.forget(p.Key, flow)
		d.reset(p, ReasonNoRoute)
		return d.out
	}
	d.ask(now, p, flow, found)
	return d.out
}

// HandleNotHere takes a packet back from a companion whose backend server doesn't hold
// the flow. The result is valid until the next call.
func (d *Dispatcher) HandleNotHere(now time.Time, from netip.AddrPort, p *Packet) []Dispatch {
	d.out = d.out[:0]
	flow, known := d.flows[p.Key]
	if !known {
		flow = &cached{}
		d.flows[p.Key] = flow
	}
	flow.seen = now
	if flow.owner == from {
		flow.owner = netip.AddrPort{}
	}
	if p.Flags.Has(core.TCPFin) || p.Flags.Has(core.TCPRst) {
		flow.closing = true
	}
	waiting := false
	for i := range flow.asked {
		if flow.asked[i].at == from {
			flow.asked[i].refused = true
		}
		waiting = waiting || !flow.asked[i].refused
	}
	if !waiting && !flow.owner.IsValid() {
		d.seek(now, p, flow, from)
	}
	return d.out
}

// HandleNote takes what a companion says about a flow. The result is valid until the
// next call.
func (d *Dispatcher) HandleNote(now time.Time, from netip.AddrPort, note Note) []Dispatch {
	d.out = d.out[:0]
	if c, known := d.companions[from]; known {
		c.status.Running, c.status.Flows = note.Running, note.Flows
	}
	flow, known := d.flows[note.Key]
	if !known {
		return d.out
	}
	switch note.Kind {
	case NoteAdmitted:
		for i := range flow.asked {
			flow.asked[i].admitted = flow.asked[i].admitted || flow.asked[i].at == from
		}
	case NoteOpened:
		flow.owner = from
		flow.asked = nil
		d.found(now, flow)
	case NoteLost:
		flow.closing = true
	case NoteAbsent:
		d.absent(now, note.Key, flow, from)
	case NoteUnsure:
		d.unsure(flow, from)
	}
	return d.out
}

// HandleStatus takes what a companion says about its backend server.
func (d *Dispatcher) HandleStatus(now time.Time, status Status) {
	c, known := d.companions[status.Companion]
	if !known {
		c = &companion{hash: xxhash.Sum64String(status.Companion.String())}
		d.companions[status.Companion] = c
	}
	moved := !known || c.status.Service != status.Service
	c.status = status
	c.heard = now
	c.held = !status.Departed && (c.held || status.Service != "")
	c.assigned = 0
	if moved {
		d.index()
	}
}

// index groups the companions by service.
func (d *Dispatcher) index() {
	clear(d.byService)
	for _, c := range d.companions {
		d.byService[c.status.Service] = append(d.byService[c.status.Service], c)
	}
}

// forget drops a flow from the cache, and what is kept for its search.
func (d *Dispatcher) forget(key core.FlowKey, flow *cached) {
	d.endSearch(flow)
	delete(d.flows, key)
}

// Sweep forgets flows and companions that were not heard of for long. It is called
// several times a second.
func (d *Dispatcher) Sweep(now time.Time) {
	if !d.ticked.IsZero() && now.Sub(d.ticked) > pauseLimit {
		d.started = now
	}
	d.ticked = now
	if now.Sub(d.swept) < sweepInterval {
		return
	}
	d.swept = now
	d.questions = 0
	for key, flow := range d.flows {
		idle := now.Sub(flow.seen)
		if idle > cacheIdle || (flow.closing && idle > closedIdle) {
			d.forget(key, flow)
		}
	}
	gone := false
	for address, c := range d.companions {
		if now.Sub(c.heard) > statusLimit {
			delete(d.companions, address)
			gone = true
		}
	}
	if gone {
		d.index()
	}
}
