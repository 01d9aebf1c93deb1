package passthrough

import (
	"net/netip"
	"slices"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/route"
)

const (
	// narrowSearch is how many companions, first in the flow's order, are asked
	// first: those among which its opening was decided, and two that may have been
	// passed over then.
	narrowSearch = choices + 2
	// answersWithin is how long answers to questions take at the most, but for
	// lost ones. It is below the interval at which callers repeat a packet.
	answersWithin = 150 * time.Millisecond
	// searchSpan is how long the answers to a search count.
	searchSpan = time.Second
	// completeAfter is how long after its start an entry instance has heard of
	// every companion that runs: three intervals between their statuses. A companion
	// that has just started may not be listed yet.
	completeAfter = time.Second
	// missingLimit is how long after its start an entry instance waits for listed
	// companions: the time after which a machine that is down no longer counts as
	// sound, 4 s, which is longer than a process takes to come back.
	missingLimit = 4 * time.Second
	// goneAfter is how long a companion that knows no backend server may be silent
	// before it is taken to be gone: six intervals between its statuses.
	goneAfter = 2 * time.Second
	// maxQuestions is the most questions in one second: about 2 Mbit/s.
	maxQuestions = 4000
	// maxKept is the most packets kept while their flows are sought.
	maxKept = 256
)

// search is what is known of a flow that is sought.
type search struct {
	began time.Time
	asked time.Time
	// wide is set once the first companions in the flow's order don't have it.
	wide bool
	// absent lists the companions that surely don't have it.
	absent []netip.AddrPort
	// packet is the newest packet, kept until the flow is found; nil for none.
	packet *Packet
	// given lists the companions that have got the packet.
	given []netip.AddrPort
	// ack is the caller's last acknowledgement.
	ack uint32
}

// seek looks for the companion of a packet's flow. A companion that has just said
// that it doesn't have the flow isn't asked.
func (d *Dispatcher) seek(now time.Time, p *Packet, flow *cached, but netip.AddrPort) {
	if flow.search == nil || now.Sub(flow.search.began) > searchSpan {
		d.endSearch(flow)
		flow.search = &search{began: now}
	}
	s := flow.search
	s.ack = p.Ack
	d.keep(s, p)
	if but.IsValid() {
		s.absent = append(s.absent, but)
	}
	if now.Sub(s.asked) >= answersWithin {
		d.question(now, p.Key, s)
	}
	d.concludeSearch(now, p.Key, flow)
}

// keep keeps a copy of the packet until the flow is found.
func (d *Dispatcher) keep(s *search, p *Packet) {
	if s.packet == nil {
		if d.keeping >= maxKept {
			return
		}
		d.keeping++
	}
	kept := *p
	kept.Data = slices.Clone(p.Data)
	s.packet, s.given = &kept, s.given[:0]
}

func (d *Dispatcher) dropKept(s *search) {
	if s.packet != nil {
		s.packet = nil
		d.keeping--
	}
}

func (d *Dispatcher) endSearch(flow *cached) {
	if flow.search != nil {
		d.dropKept(flow.search)
		flow.search = nil
	}
}

// holders returns the companions whose backend servers may hold a flow, in the
// flow's order: all of them, or the first ones.
func (d *Dispatcher) holders(key core.FlowKey, wide bool) []*companion {
	var found *route.Route
	if d.table != nil {
		found = d.table.Route(key.Service)
	}
	d.ranked = d.ranked[:0]
	for _, c := range d.companions {
		if d.mayHold(c, found) {
			d.ranked = append(d.ranked, c)
		}
	}
	rank(d.ranked, key)
	if !wide && len(d.ranked) > narrowSearch {
		return d.ranked[:narrowSearch]
	}
	return d.ranked
}

// mayHold reports whether a flow of the route may live at the companion. One that has
// just started doesn't know yet what its backend server serves, but if one has run
// there before, the companion is listed.
func (d *Dispatcher) mayHold(c *companion, found *route.Route) bool {
	switch {
	case c.status.Departed:
		return false
	case c.status.Service == "":
		return c.held || d.table == nil || d.table.Listed(c.status.Companion)
	default:
		return found == nil || found.MayHold(c.status.Service)
	}
}

// question asks all companions in the search's reach that haven't answered.
func (d *Dispatcher) question(now time.Time, key core.FlowKey, s *search) {
	s.asked = now
	for _, c := range d.holders(key, s.wide) {
		if slices.Contains(s.absent, c.status.Companion) {
			continue
		}
		if d.questions >= maxQuestions {
			d.drop(&Packet{Key: key}, ReasonLookupLimit)
			return
		}
		d.questions++
		d.out = append(d.out, Dispatch{Kind: DispatchQuery, Reason: ReasonUnknownFlow, To: c.status.Companion, Packet: &Packet{Key: key}})
	}
}

// found sends the kept packet to the flow's companion.
func (d *Dispatcher) found(now time.Time, flow *cached) {
	s := flow.search
	if s != nil && s.packet != nil && !slices.Contains(s.given, flow.owner) {
		d.forward(now, s.packet, flow.owner, ReasonAlreadyTried)
	}
	d.endSearch(flow)
}

// unsure sends the kept packet to a companion that can't tell without it.
func (d *Dispatcher) unsure(flow *cached, at netip.AddrPort) {
	if flow.owner.IsValid() || flow.search == nil || flow.search.packet == nil {
		return
	}
	flow.search.given = append(flow.search.given, at)
	d.out = append(d.out, Dispatch{Kind: DispatchLookup, Reason: ReasonUnknownFlow, To: at, Packet: flow.search.packet})
}

// absent notes that a flow surely doesn't live at a companion.
func (d *Dispatcher) absent(now time.Time, key core.FlowKey, flow *cached, at netip.AddrPort) {
	if flow.owner.IsValid() || flow.search == nil || now.Sub(flow.search.began) > searchSpan {
		return
	}
	if !slices.Contains(flow.search.absent, at) {
		flow.search.absent = append(flow.search.absent, at)
	}
	d.concludeSearch(now, key, flow)
}

// concludeSearch widens a search that has found nothing, and resets a flow that
// lives nowhere. A caller that closes is left alone: its flow may have ended in
// good order.
func (d *Dispatcher) concludeSearch(now time.Time, key core.FlowKey, flow *cached) {
	s := flow.search
	if !d.allAbsent(now, key, s) {
		return
	}
	if !s.wide {
		s.wide = true
		d.question(now, key, s)
		if !d.allAbsent(now, key, s) {
			return
		}
	}
	if flow.closing || d.table == nil || d.table.Route(key.Service) == nil || now.Sub(d.started) < completeAfter || !d.knowsAll(now) {
		return
	}
	if len(s.absent) == 0 {
		return
	}
	ack := s.ack
	d.forget(key, flow)
	d.out = append(d.out, Dispatch{Kind: DispatchReset, Reason: ReasonFlowLost, Packet: &Packet{Key: key}, ResetSeq: ack})
}

// knowsAll reports whether every companion that may hold flows has been heard of
// since the start. One that is missing for long has no flow that a caller still waits
// for, and one whose backend server was about to leave hardly any.
func (d *Dispatcher) knowsAll(now time.Time) bool {
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

// allAbsent reports whether every companion in the search's reach has said that it
// doesn't have the flow.
func (d *Dispatcher) allAbsent(now time.Time, key core.FlowKey, s *search) bool {
	for _, c := range d.holders(key, s.wide) {
		if !slices.Contains(s.absent, c.status.Companion) && !c.cameAndWent(now) {
			return false
		}
	}
	return true
}

// cameAndWent reports whether a companion had not heard of any backend server when
// it was heard of last, some time ago: its machine was started and taken away again.
func (c *companion) cameAndWent(now time.Time) bool {
	return c.status.Service == "" && now.Sub(c.heard) > goneAfter
}
