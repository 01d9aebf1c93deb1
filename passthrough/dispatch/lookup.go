package dispatch

import (
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
	// queryLen is the length of a query in bytes, with the headers of UDP and IPv4.
	queryLen = 52
	// addressesPerQuery is how many companions of a survey are as long as a query.
	addressesPerQuery = 13
	// maxHeldPackets is the most packets held while their flows are looked up.
	maxHeldPackets = 256
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
	began  time.Time
	// retryAt is when the queries without an answer are repeated.
	retryAt time.Time
	// scope is what companions are asked.
	scope scope
	// notHeldBy holds the companions that don't hold the flow.
	notHeldBy map[netip.AddrPort]bool
	// surveys holds the companions asked by the last survey of each conductor.
	surveys map[netip.AddrPort][]netip.AddrPort
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
		flow.lookup = &flowLookup{}
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
	l.scope, l.notHeldBy = scopeLikely, make(map[netip.AddrPort]bool)
	l.surveys = make(map[netip.AddrPort][]netip.AddrPort)
}

// retryLookups repeats the queries without an answer, without waiting for the caller to
// repeat its packet. It no longer waits for companions that don't answer before it asks
// further ones.
func (d *Dispatcher) retryLookups(now time.Time) {
	d.refillQueries(now)
	for l, key := range d.active {
		if l.packet == nil || now.Sub(l.heldAt) > holdLimit || now.Before(l.retryAt) {
			continue
		}
		if l.expired(now) {
			d.beginLookup(now, l)
		}
		l.scope = max(l.scope, d.scopeAfter(now, now.Sub(l.began)))
		d.sendQueries(now, key, l)
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

// refillQueries adds to the messages that lookups may send.
func (d *Dispatcher) refillQueries(now time.Time) {
	elapsed := min(now.Sub(d.refilledAt), time.Second)
	d.refilledAt = now
	d.queries = min(d.queries+(1-burstShare)*d.maxQueries*elapsed.Seconds(), burstShare*d.maxQueries)
}

// SetNetwork sets what this entry instance may send a second, and receive, in bytes; zero
// if it is unknown.
func (d *Dispatcher) SetNetwork(bytesPerSecond int) {
	if bytesPerSecond <= 0 || bytesPerSecond > maxNetwork {
		bytesPerSecond = maxNetwork
	}
	d.maxQueries = lookupShare * float64(bytesPerSecond) / queryLen
	d.queries = burstShare * d.maxQueries
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

// sendQueries queries the companions in the lookup's scope that haven't answered, by
// surveys if they are many.
func (d *Dispatcher) sendQueries(now time.Time, key core.FlowKey, l *flowLookup) {
	l.retryAt = now.Add(queryTimeout)
	asked := slices.DeleteFunc(d.possibleHolders(key, l.scope), func(c *companion) bool { return l.notHeldBy[c.status.Companion] })
	if l.scope == scopeAll && len(asked) > directQueries {
		l.retryAt = now.Add(surveyLimit)
		d.sendSurveys(now, key, l, asked)
		return
	}
	d.queryEach(key, asked)
}

func (d *Dispatcher) queryEach(key core.FlowKey, companions []*companion) {
	for _, c := range companions {
		if !d.takeQueries(key, 1) {
			return
		}
		d.out = append(d.out, Action{Kind: Query, Reason: passthrough.ReasonUnknownFlow, To: c.status.Companion, Packet: &passthrough.Packet{Key: key}})
	}
}

// takeQueries reports whether a message of a lookup that is as long as so many queries
// may be sent, and counts it. The lookup is continued by retryLookups if not.
func (d *Dispatcher) takeQueries(key core.FlowKey, count float64) bool {
	if d.queries < count {
		d.drop(&passthrough.Packet{Key: key}, passthrough.ReasonLookupLimit)
		return false
	}
	d.queries -= count
	return true
}

// sendHeldToOwner sends the held packet to the flow's owner and ends the lookup.
func (d *Dispatcher) sendHeldToOwner(now time.Time, flow *cachedFlow) {
	l := flow.lookup
	if l != nil && l.packet != nil && !slices.Contains(l.sentTo, flow.owner) {
		d.forward(now, l.packet, flow.owner, passthrough.ReasonAlreadyTried)
	}
	d.endLookup(flow)
}

// sendLookupCopy sends the held packet to a companion that can't answer without it.
func (d *Dispatcher) sendLookupCopy(flow *cachedFlow, at netip.AddrPort) {
	if flow.owner.IsValid() || flow.lookup == nil || flow.lookup.packet == nil || !d.takeQueries(flow.lookup.packet.Key, 1) {
		return
	}
	flow.lookup.sentTo = append(flow.lookup.sentTo, at)
	d.out = append(d.out, Action{Kind: Lookup, Reason: passthrough.ReasonUnknownFlow, To: at, Packet: flow.lookup.packet})
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
		l.scope++
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
