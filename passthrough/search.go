package passthrough

import (
	"net/netip"
	"slices"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/route"
)

const (
	// narrowLookup is how many companions, first in the flow's order, are queried
	// first: those that shared the choice at its opening, and two that may have been
	// skipped then.
	narrowLookup = choiceCount + 2
	// queryTimeout is how long answers to queries take at most, unless they are lost.
	// It is below the interval at which callers repeat a packet.
	queryTimeout = 150 * time.Millisecond
	// lookupLifetime is how long the answers to a lookup's queries are valid.
	lookupLifetime = time.Second
	// discoveryTime is how long after its start an entry instance has received a
	// status of every running companion: three intervals between their statuses. A
	// companion that has just started may not be listed yet.
	discoveryTime = time.Second
	// missingLimit is how long after its start an entry instance waits for listed
	// companions: 4 s, after which a machine that is down no longer counts as healthy.
	// A process takes less than that to restart.
	missingLimit = 4 * time.Second
	// departedAfter is the age of the last status at which a companion that has no
	// record of a backend server counts as departed: six intervals between its
	// statuses.
	departedAfter = 2 * time.Second
	// maxQueriesPerSecond is about 2 Mbit/s.
	maxQueriesPerSecond = 4000
	// maxHeldPackets is the most packets held while their flows are looked up.
	maxHeldPackets = 256
)

// flowLookup is the state of the lookup of a flow's owner.
type flowLookup struct {
	began     time.Time
	queriedAt time.Time
	// wide is set once the first companions in the flow's order don't hold the flow.
	wide bool
	// notHeldBy lists the companions that don't hold the flow.
	notHeldBy []netip.AddrPort
	// packet is the newest packet, held until the owner is found; nil for none.
	packet *Packet
	// sentTo lists the companions that the packet was sent to.
	sentTo []netip.AddrPort
	// ack is the caller's last acknowledgement.
	ack uint32
}

// lookUp starts or continues the lookup of the owner of a packet's flow. notHeldAt,
// if valid, has just returned the packet and isn't queried.
func (d *Dispatcher) lookUp(now time.Time, p *Packet, flow *cachedFlow, notHeldAt netip.AddrPort) {
	if flow.lookup == nil || now.Sub(flow.lookup.began) > lookupLifetime {
		d.endLookup(flow)
		flow.lookup = &flowLookup{began: now}
	}
	l := flow.lookup
	l.ack = p.Ack
	d.holdPacket(l, p)
	if notHeldAt.IsValid() {
		l.notHeldBy = append(l.notHeldBy, notHeldAt)
	}
	if now.Sub(l.queriedAt) >= queryTimeout {
		d.sendQueries(now, p.Key, l)
	}
	d.concludeLookup(now, p.Key, flow)
}

// holdPacket holds a copy of the packet until the flow's owner is found.
func (d *Dispatcher) holdPacket(l *flowLookup, p *Packet) {
	if l.packet == nil {
		if d.heldPackets >= maxHeldPackets {
			return
		}
		d.heldPackets++
	}
	held := *p
	held.Data = slices.Clone(p.Data)
	l.packet, l.sentTo = &held, l.sentTo[:0]
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
		flow.lookup = nil
	}
}

// possibleHolders returns the companions whose backend servers may hold a flow, in
// the flow's order: all of them if wide is set, otherwise the first ones.
func (d *Dispatcher) possibleHolders(key core.FlowKey, wide bool) []*companion {
	var r *route.Route
	if d.table != nil {
		r = d.table.Route(key.Service)
	}
	d.ranked = d.ranked[:0]
	for _, c := range d.companions {
		if d.mayHold(c, r) {
			d.ranked = append(d.ranked, c)
		}
	}
	rank(d.ranked, key)
	if !wide && len(d.ranked) > narrowLookup {
		return d.ranked[:narrowLookup]
	}
	return d.ranked
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

// sendQueries queries the companions in the lookup's scope that haven't answered.
func (d *Dispatcher) sendQueries(now time.Time, key core.FlowKey, l *flowLookup) {
	l.queriedAt = now
	for _, c := range d.possibleHolders(key, l.wide) {
		if slices.Contains(l.notHeldBy, c.status.Companion) {
			continue
		}
		if d.queries >= maxQueriesPerSecond {
			d.drop(&Packet{Key: key}, ReasonLookupLimit)
			return
		}
		d.queries++
		d.out = append(d.out, Dispatch{Kind: DispatchQuery, Reason: ReasonUnknownFlow, To: c.status.Companion, Packet: &Packet{Key: key}})
	}
}

// sendHeldToOwner sends the held packet to the flow's owner and ends the lookup.
func (d *Dispatcher) sendHeldToOwner(now time.Time, flow *cachedFlow) {
	l := flow.lookup
	if l != nil && l.packet != nil && !slices.Contains(l.sentTo, flow.owner) {
		d.forward(now, l.packet, flow.owner, ReasonAlreadyTried)
	}
	d.endLookup(flow)
}

// sendLookupCopy sends the held packet to a companion that can't answer without it.
func (d *Dispatcher) sendLookupCopy(flow *cachedFlow, at netip.AddrPort) {
	if flow.owner.IsValid() || flow.lookup == nil || flow.lookup.packet == nil {
		return
	}
	flow.lookup.sentTo = append(flow.lookup.sentTo, at)
	d.out = append(d.out, Dispatch{Kind: DispatchLookup, Reason: ReasonUnknownFlow, To: at, Packet: flow.lookup.packet})
}

// recordNotHeld records that a companion doesn't hold the flow.
func (d *Dispatcher) recordNotHeld(now time.Time, key core.FlowKey, flow *cachedFlow, at netip.AddrPort) {
	if flow.owner.IsValid() || flow.lookup == nil || now.Sub(flow.lookup.began) > lookupLifetime {
		return
	}
	if !slices.Contains(flow.lookup.notHeldBy, at) {
		flow.lookup.notHeldBy = append(flow.lookup.notHeldBy, at)
	}
	d.concludeLookup(now, key, flow)
}

// concludeLookup widens a lookup that has found no owner, and resets a flow that no
// companion holds. A flow whose caller is closing it isn't reset: it may have ended
// normally.
func (d *Dispatcher) concludeLookup(now time.Time, key core.FlowKey, flow *cachedFlow) {
	l := flow.lookup
	if !d.noneHolds(now, key, l) {
		return
	}
	if !l.wide {
		l.wide = true
		d.sendQueries(now, key, l)
		if !d.noneHolds(now, key, l) {
			return
		}
	}
	if flow.closing || d.table == nil || d.table.Route(key.Service) == nil || now.Sub(d.started) < discoveryTime || !d.seenAllListed(now) {
		return
	}
	if len(l.notHeldBy) == 0 {
		return
	}
	ack := l.ack
	d.remove(key, flow)
	d.out = append(d.out, Dispatch{Kind: DispatchReset, Reason: ReasonFlowLost, Packet: &Packet{Key: key}, ResetSeq: ack})
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
	for _, c := range d.possibleHolders(key, l.wide) {
		if !slices.Contains(l.notHeldBy, c.status.Companion) && !c.departedUnused(now) {
			return false
		}
	}
	return true
}

// departedUnused reports whether the companion had no record of a backend server in
// its last status, some time ago: its machine was started and removed again.
func (c *companion) departedUnused(now time.Time) bool {
	return c.status.Service == "" && now.Sub(c.lastSeen) > departedAfter
}
