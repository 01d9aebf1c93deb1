package dispatch

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/route"
)

const (
	// skippedCount is how many companions a lookup asks beyond those that shared the
	// choice at the flow's opening: they may have been skipped then.
	skippedCount = 2
	// beyondLikely and beyondFirst are how long a lookup waits for the likely companions
	// before it asks the first ones too, and for these before it asks all.
	beyondLikely = 120 * time.Millisecond
	beyondFirst  = 300 * time.Millisecond
	// queryTimeout is how long answers to queries take at most, unless they are lost, and
	// surveyLimit the same for results of surveys.
	queryTimeout = 60 * time.Millisecond
	surveyLimit  = 150 * time.Millisecond
	// directQueries is the most companions that a lookup of all queries itself; more are
	// queried by surveys.
	directQueries = 8
	// lookupLifetime is how long the answers to a lookup's queries are valid, and
	// holdLimit how long the owner of a held packet's flow is looked up.
	lookupLifetime = time.Second
	holdLimit      = 2 * time.Second
	// discoveryTime is how long after its start an entry instance has received a
	// status of every running companion: three intervals between their statuses. A
	// companion that has just started may not be listed yet.
	discoveryTime = time.Second
	// missingLimit is how long after its start an entry instance waits for listed
	// companions: 4 s, after which a machine that is down no longer counts as healthy.
	// A process takes less than that to restart.
	missingLimit = 4 * time.Second
	// departedAfter is the least age of the last report at which a companion that has no
	// record of a backend server counts as departed.
	departedAfter = 2 * time.Second
	// lookupShare is the part of an entry instance's network that the messages of lookups
	// may use in any second; callers' packets need the rest. burstShare is the part of that
	// which may be used at once.
	lookupShare = 1. / 3
	burstShare  = 3. / 8
	// maxNetwork is the most of a network that is counted, in bytes a second, also where
	// it is unknown: beyond it lookups are bounded by the processor.
	maxNetwork = 1_250_000
	// maxExamined is how many companions are examined for the lookups that one call of
	// Continue continues: 650 lookups at 61 companions, 12 at 3,300. With 100,000 a call
	// took up to 43 ms, and calls are 50 ms apart.
	maxExamined = 40_000
	// maxHeldPackets is the most packets held while their flows are looked up: as many as
	// relays of short packets fit the bound within holdLimit. They take 2.6 MB at most.
	maxHeldPackets = 2048
)

// scope is which companions a lookup asks.
type scope uint8

const (
	// scopeLikely: those of this data centre that shared the choice at the flow's opening,
	// and the first of all data centres.
	scopeLikely scope = iota
	// scopeFirst: all that shared the choice, and some that may have been skipped.
	scopeFirst
	// scopeAll: all that may hold the flow.
	scopeAll
)

// flowLookup is the state of the lookup of a flow's owner.
type flowLookup struct {
	// number identifies the lookup.
	number uint32
	// began is when the lookup began, or began anew; since is when it first did, and
	// order its number then. Lookups get their turn in this order.
	began time.Time
	since time.Time
	order uint32
	// sentAt is when its first message was sent, zero for none; sent is set once the
	// messages for its scope were sent. limited is set once it had to wait for its turn.
	sentAt  time.Time
	sent    bool
	limited bool
	// idle is set while there is nobody to ask: those that haven't answered aren't ready to.
	idle bool
	// unsure is set once a companion in this scope couldn't tell without the packet.
	unsure bool
	// retryAt is when the queries without an answer are repeated.
	retryAt time.Time
	// scope is what companions are asked.
	scope scope
	// notHeldBy holds the companions that don't hold the flow.
	notHeldBy map[netip.AddrPort]bool
	// surveys holds the companions asked by the last survey of each conductor.
	surveys map[netip.AddrPort][]netip.AddrPort
	// relays holds the relays sent, by number; relayed counts them since the flow's lookup
	// first began, and repeats those since its scope last changed.
	relays  map[uint32]*relaySent
	relayed int
	repeats int
	// packet is the newest packet, held since heldAt until the owner is found; nil for
	// none.
	packet *passthrough.Packet
	heldAt time.Time
	// sentTo lists the companions that the packet was sent to.
	sentTo []netip.AddrPort
	// ack is the caller's last acknowledgement.
	ack uint32
}

// expired reports whether answers to the lookup's queries are too old to count.
func (l *flowLookup) expired(now time.Time) bool { return now.Sub(l.began) > lookupLifetime }

// lookUp starts or continues the lookup of the owner of a packet's flow. notHeldAt,
// if valid, has just returned the packet and isn't queried.
func (d *Dispatcher) lookUp(now time.Time, p *passthrough.Packet, flow *cachedFlow, notHeldAt netip.AddrPort) {
	if flow.lookup == nil {
		flow.lookup = &flowLookup{since: now, order: d.lookups}
		d.active[flow.lookup] = p.Key
	}
	l := flow.lookup
	if l.expired(now) {
		d.beginLookup(now, l)
	}
	l.ack = p.Ack
	d.holdPacket(now, l, p)
	if notHeldAt.IsValid() {
		l.notHeldBy[notHeldAt] = true
	}
	if !now.Before(l.retryAt) {
		d.sendQueries(now, p.Key, l)
	}
	d.concludeLookup(now, p.Key, flow)
}

// beginLookup starts the lookup anew, without the answers of an earlier one.
func (d *Dispatcher) beginLookup(now time.Time, l *flowLookup) {
	d.lookups++
	l.number, l.began, l.retryAt = d.lookups, now, now
	l.notHeldBy = make(map[netip.AddrPort]bool)
	l.surveys = make(map[netip.AddrPort][]netip.AddrPort)
	l.relays = make(map[uint32]*relaySent)
	l.sentAt = time.Time{}
	l.setScope(scopeLikely)
}

func (l *flowLookup) setScope(s scope) { l.scope, l.sent, l.unsure, l.repeats = s, false, false, 0 }

// retryLookups sends the messages that waited for their turn, and repeats those without an
// answer, without waiting for the caller to repeat its packet. A lookup whose messages were
// sent no longer waits for companions that don't answer before it asks further ones.
func (d *Dispatcher) retryLookups(now time.Time) {
	d.refillLookupBytes(now)
	d.backlog = false
	d.due = d.due[:0]
	for l := range d.active {
		if l.packet == nil || now.Sub(l.heldAt) > holdLimit || now.Before(l.retryAt) {
			continue
		}
		if l.expired(now) {
			d.beginLookup(now, l)
		}
		if l.sent {
			widened := d.scopeAfter(now, now.Sub(l.sentAt))
			if widened > l.scope {
				l.setScope(widened)
			}
		}
		d.due = append(d.due, l)
	}
	slices.SortFunc(d.due, compareLookups)
	examined := 0
	for _, l := range d.due {
		if examined > maxExamined || !d.sendQueries(now, d.active[l], l) {
			break
		}
		examined += len(d.companions)
	}
	clear(d.due)
}

// compareLookups orders lookups by their turn: those that wait to ask for the first time,
// the oldest first; then those that repeat it, or had nobody to ask when they were last
// examined, in the order in which they are due again.
func compareLookups(a, b *flowLookup) int {
	if a.waits() && b.waits() {
		return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.order, b.order))
	}
	return cmp.Or(compareBools(b.waits(), a.waits()), a.retryAt.Compare(b.retryAt), cmp.Compare(a.order, b.order))
}

// waits reports whether the lookup waits to ask for the first time in its scope.
func (l *flowLookup) waits() bool { return !l.sent && !l.idle }

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// scopeAfter returns whom a lookup asks at least after the given time.
func (d *Dispatcher) scopeAfter(now time.Time, elapsed time.Duration) scope {
	switch {
	case elapsed >= beyondFirst && d.asksAll(now):
		return scopeAll
	case elapsed >= beyondLikely:
		return scopeFirst
	default:
		return scopeLikely
	}
}

// refillLookupBytes adds to the bytes that lookups may send.
func (d *Dispatcher) refillLookupBytes(now time.Time) {
	elapsed := min(now.Sub(d.refilledAt), time.Second)
	d.refilledAt = now
	d.lookupBytes = min(d.lookupBytes+(1-burstShare)*d.maxLookupBytes*elapsed.Seconds(), burstShare*d.maxLookupBytes)
}

// SetNetwork sets what this entry instance may send a second, and receive, in bytes; zero
// if it is unknown.
func (d *Dispatcher) SetNetwork(bytesPerSecond int) {
	if bytesPerSecond <= 0 || bytesPerSecond > maxNetwork {
		bytesPerSecond = maxNetwork
	}
	d.maxLookupBytes = lookupShare * float64(bytesPerSecond)
	d.lookupBytes = burstShare * d.maxLookupBytes
}

// discovered reports whether this entry instance has received reports for long enough to
// know all companions. Before that, no flow is reset.
func (d *Dispatcher) discovered(now time.Time) bool { return now.Sub(d.started) >= discoveryTime }

// asksAll reports whether lookups may ask all companions. In its first second an entry
// instance has no cache, and needs its network for its first flows.
func (d *Dispatcher) asksAll(now time.Time) bool { return now.Sub(d.created) >= discoveryTime }

// holdPacket holds a copy of the packet until the flow's owner is found.
func (d *Dispatcher) holdPacket(now time.Time, l *flowLookup, p *passthrough.Packet) {
	if l.packet == nil {
		if d.heldPackets >= maxHeldPackets {
			d.drop(p, passthrough.ReasonLookupLimit)
			return
		}
		d.heldPackets++
	}
	held := p.Clone()
	l.packet, l.heldAt, l.sentTo = &held, now, l.sentTo[:0]
}

func (d *Dispatcher) dropHeldPacket(l *flowLookup) {
	if l.packet != nil {
		l.packet = nil
		d.heldPackets--
	}
}

func (d *Dispatcher) endLookup(flow *cachedFlow) {
	if flow.lookup != nil {
		d.dropHeldPacket(flow.lookup)
		delete(d.active, flow.lookup)
		flow.lookup = nil
	}
}

// possibleHolders returns the companions whose backend servers may hold a flow, in
// the flow's order, that are in the scope.
func (d *Dispatcher) possibleHolders(key core.FlowKey, asked scope) []*companion {
	r := d.routeOf(key)
	d.ranked = d.ranked[:0]
	for _, c := range d.companions {
		if d.mayHold(c, r) {
			d.ranked = append(d.ranked, c)
		}
	}
	switch asked {
	case scopeLikely:
		return d.first(d.ranked, key, skippedCount, localCount)
	case scopeFirst:
		return d.first(d.ranked, key, choiceCount+skippedCount, localCount+skippedCount)
	default:
		rank(d.ranked, key)
		return d.ranked
	}
}

// routeOf returns the route of a flow, nil if there is none.
func (d *Dispatcher) routeOf(key core.FlowKey) *route.Route {
	if d.table == nil {
		return nil
	}
	return d.table.Route(key.Service)
}

// mayHold reports whether the companion may hold a flow of the route. One that has
// just started has no record yet of the service of its backend server, but if one
// has run there before, the companion is listed.
func (d *Dispatcher) mayHold(c *companion, r *route.Route) bool {
	switch {
	case c.status.Departed:
		return false
	case c.status.Service == "":
		return c.hadService || d.table == nil || d.table.Listed(c.status.Companion)
	default:
		return r == nil || r.MayHold(c.status.Service)
	}
}

// sendQueries asks the companions in the lookup's scope that haven't answered: by relays if
// their records can't tell whether they hold the flow, by surveys if they are many, and
// by queries otherwise. It reports false if the lookup has to wait for its turn.
func (d *Dispatcher) sendQueries(now time.Time, key core.FlowKey, l *flowLookup) bool {
	if d.settling(now) {
		return true
	}
	if l.sentAt.IsZero() && now.Sub(l.began) > queryTimeout {
		// It has waited: its answers are valid from now on.
		d.beginLookup(now, l)
	}
	if l.scope == scopeLikely && l.packet != nil && slices.ContainsFunc(d.possibleHolders(key, scopeFirst), func(c *companion) bool { return c.needsCopy(now) }) {
		l.setScope(scopeFirst)
	}
	asked := slices.DeleteFunc(d.possibleHolders(key, l.scope), func(c *companion) bool { return l.notHeldBy[c.status.Companion] })
	d.lookupMessages = d.lookupMessages[:0]
	asked = d.planRelays(now, key, l, asked)
	relays := len(d.lookupMessages)
	timeout := queryTimeout
	if l.scope == scopeAll && len(asked) > directQueries {
		timeout = surveyLimit
		d.planSurveys(now, key, l, asked)
	} else {
		d.planQueries(key, asked)
	}
	if !d.takeMessages(key, l) {
		return false
	}
	if relays > 0 {
		timeout = surveyLimit << min(l.repeats, maxRelayBackoff)
	}
	l.retryAt = now.Add(timeout)
	l.idle = len(d.lookupMessages) == 0
	if l.idle {
		return true
	}
	if relays > 0 {
		d.countRelays(now, l)
	}
	for _, a := range d.lookupMessages {
		d.sendLookupMessage(now, l, a)
	}
	if l.sentAt.IsZero() {
		l.sentAt = now
	}
	l.sent = true
	return true
}

// sendLookupMessage sends a message of a lookup that takeMessages has counted.
func (d *Dispatcher) sendLookupMessage(now time.Time, l *flowLookup, a Action) {
	switch a.Kind {
	case Survey:
		l.surveys[a.To] = a.Survey.Ask
	case Relay:
		d.lookups++
		a.Survey.Number = d.lookups
		l.relays[a.Survey.Number] = &relaySent{conductor: a.To, asked: a.Survey.Ask}
		l.sentTo = append(l.sentTo, a.Survey.Ask...)
	}
	d.out = append(d.out, a)
}

func (d *Dispatcher) planQueries(key core.FlowKey, companions []*companion) {
	for _, c := range companions {
		d.lookupMessages = append(d.lookupMessages, Action{Kind: Query, Reason: passthrough.ReasonUnknownFlow, To: c.status.Companion, Packet: &passthrough.Packet{Key: key}})
	}
}

// takeMessages reports whether the planned messages of a lookup may be sent, and counts
// their bytes. If not, retryLookups sends them in their turn.
func (d *Dispatcher) takeMessages(key core.FlowKey, l *flowLookup) bool {
	total := 0
	for i := range d.lookupMessages {
		total += messageLen(&d.lookupMessages[i])
	}
	if d.takeBytes(total) {
		return true
	}
	if !l.limited {
		l.limited = true
		d.out = append(d.out, Action{Kind: Wait, Reason: passthrough.ReasonLookupLimit, Packet: &passthrough.Packet{Key: key}})
	}
	return false
}

// takeBytes reports whether lookups may send so many bytes now, and counts them. Nothing
// is sent while an earlier lookup waits.
func (d *Dispatcher) takeBytes(count int) bool {
	if count == 0 {
		return true
	}
	// Messages longer than the whole allowance wait until it is full.
	if d.backlog || d.lookupBytes < min(float64(count), burstShare*d.maxLookupBytes) {
		d.backlog = true
		return false
	}
	d.lookupBytes -= float64(count)
	return true
}

// sendHeldToOwner sends the held packet to the flow's owner and ends the lookup.
func (d *Dispatcher) sendHeldToOwner(now time.Time, flow *cachedFlow) {
	l := flow.lookup
	if l != nil && l.packet != nil && !slices.Contains(l.sentTo, flow.owner) {
		d.forward(now, l.packet, flow.owner, passthrough.ReasonAlreadyTried)
	}
	if l != nil && l.relayed > 0 {
		d.relays.Found++
	}
	d.endLookup(flow)
}

// noteUnsure records that a companion can't tell without the packet whether it holds the
// flow, and sends it the packet: by a relay to all that haven't answered if it supports
// relays. Those that can't tell either are in the same relay.
func (d *Dispatcher) noteUnsure(now time.Time, key core.FlowKey, flow *cachedFlow, at netip.AddrPort) {
	c, known := d.companions[at]
	if known {
		c.unsureAt = now
	}
	if known && c.status.Relays {
		l := flow.lookup
		if l != nil && !flow.owner.IsValid() && l.packet != nil && !l.unsure {
			l.unsure = true
			d.sendQueries(now, key, l)
		}
		return
	}
	d.sendLookupCopy(flow, at)
}

// sendLookupCopy sends the held packet to a companion that can't answer without it.
func (d *Dispatcher) sendLookupCopy(flow *cachedFlow, at netip.AddrPort) {
	if flow.owner.IsValid() || flow.lookup == nil || flow.lookup.packet == nil {
		return
	}
	d.lookupMessages = append(d.lookupMessages[:0], Action{Kind: Lookup, Reason: passthrough.ReasonUnknownFlow, To: at, Packet: flow.lookup.packet})
	if d.takeMessages(flow.lookup.packet.Key, flow.lookup) {
		flow.lookup.sentTo = append(flow.lookup.sentTo, at)
		d.out = append(d.out, d.lookupMessages...)
	}
}

// recordNotHeld records that a companion doesn't hold the flow.
func (d *Dispatcher) recordNotHeld(now time.Time, key core.FlowKey, flow *cachedFlow, at netip.AddrPort) {
	if flow.owner.IsValid() || flow.lookup == nil || flow.lookup.expired(now) {
		return
	}
	flow.lookup.notHeldBy[at] = true
	d.concludeLookup(now, key, flow)
}

// concludeLookup widens a lookup that has found no owner, and resets a flow that no
// companion holds. A flow whose caller is closing it isn't reset: it may have ended
// normally.
func (d *Dispatcher) concludeLookup(now time.Time, key core.FlowKey, flow *cachedFlow) {
	l := flow.lookup
	for d.noneHolds(now, key, l) {
		if l.scope == scopeAll {
			d.resetLost(now, key, flow)
			return
		}
		if l.scope == scopeFirst && !d.asksAll(now) {
			return
		}
		l.setScope(l.scope + 1)
		l.retryAt = now
		d.sendQueries(now, key, l)
	}
}

// resetLost resets a flow that every companion has denied, once this entry instance knows
// all companions.
func (d *Dispatcher) resetLost(now time.Time, key core.FlowKey, flow *cachedFlow) {
	if flow.closing || d.table == nil || d.table.Route(key.Service) == nil || !d.discovered(now) || !d.seenAllListed(now) {
		return
	}
	if len(flow.lookup.notHeldBy) == 0 {
		return
	}
	ack := flow.lookup.ack
	if flow.lookup.relayed > 0 {
		d.relays.Denied++
	}
	d.remove(key, flow)
	d.out = append(d.out, Action{Kind: Reset, Reason: passthrough.ReasonFlowLost, Packet: &passthrough.Packet{Key: key}, ResetSeq: ack})
}

// seenAllListed reports whether a status of every listed companion was received
// since the start. A companion missing for longer than missingLimit has no flow
// that a caller still waits for, and one with a draining backend server hardly any.
func (d *Dispatcher) seenAllListed(now time.Time) bool {
	if now.Sub(d.started) > missingLimit {
		return true
	}
	for _, listed := range d.table.View.Companions {
		if _, known := d.companions[listed.Address]; !known && !listed.Draining {
			return false
		}
	}
	return true
}

// noneHolds reports whether every companion in the lookup's scope has answered that
// it doesn't hold the flow.
func (d *Dispatcher) noneHolds(now time.Time, key core.FlowKey, l *flowLookup) bool {
	holds := func(c *companion) bool { return !l.notHeldBy[c.status.Companion] && !c.departedUnused(now) }
	if l.scope != scopeAll {
		return !slices.ContainsFunc(d.possibleHolders(key, l.scope), holds)
	}
	r := d.routeOf(key)
	for _, c := range d.companions {
		if d.mayHold(c, r) && holds(c) {
			return false
		}
	}
	return true
}

// departedUnused reports whether the companion had no record of a backend server in
// its last status, some time ago: its machine was started and removed again.
func (c *companion) departedUnused(now time.Time) bool {
	return c.status.Service == "" && now.Sub(c.lastSeen) > departedAfter && !c.fresh(now)
}
