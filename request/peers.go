package request

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// Candidate is one companion that may have a free slot.
type Candidate struct {
	Peer core.InstanceID
	// Self is true for the companion that chooses.
	Self bool
	// Fresh is false when the slot count is too old to be relied on.
	Fresh bool
	Load  Load
}

// freeShare returns the share of its slots that are free, and a middling value
// when that is not known.
func (c Candidate) freeShare() float64 {
	const unknown = 0.5
	if !c.Fresh {
		return unknown
	}
	if c.Load.Bound == 0 {
		return 0
	}
	return float64(c.Load.Free) / float64(c.Load.Bound)
}

// Chooser picks the companion to ask for a slot.
type Chooser interface {
	// Choose returns an index into candidates, which is never empty.
	Choose(candidates []Candidate, random *rand.Rand) int
}

// PowerOfTwo picks the freer of two random candidates. The choosing companion
// itself is preferred unless the other has far more room, because passing a
// request on costs a hop.
type PowerOfTwo struct {
	// HopCost is by how much the other's share of free slots must exceed the
	// own one's, from 0 to 1.
	HopCost float64
}

// DefaultChooser returns the way in which a companion chooses.
func DefaultChooser() PowerOfTwo {
	return PowerOfTwo{HopCost: 0.3}
}

// Choose implements Chooser.
func (p PowerOfTwo) Choose(candidates []Candidate, random *rand.Rand) int {
	best := random.IntN(len(candidates))
	other := random.IntN(len(candidates))
	if candidates[other].freeShare() > candidates[best].freeShare() {
		best = other
	}
	for i, candidate := range candidates {
		if candidate.Self && candidate.freeShare()+p.HopCost >= candidates[best].freeShare() {
			return i
		}
	}
	return best
}

// peer is what is known of one companion's slots.
type peer struct {
	id   core.InstanceID
	load Load
	// staleAt is when the load is no longer relied on.
	staleAt time.Time
	// full counts the slot counts in a row without a free slot.
	full int
}

// peers is what is known of all companions of the service, ordered by name.
type peers struct {
	self   core.InstanceID
	limits Limits
	random *rand.Rand
	list   []*peer
}

// set replaces the list and keeps what is known of those that stay.
func (p *peers) set(ids []core.InstanceID) {
	list := make([]*peer, 0, len(ids))
	for _, id := range ids {
		known := p.find(id)
		if known == nil {
			known = &peer{id: id}
		}
		list = append(list, known)
	}
	slices.SortFunc(list, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	p.list = list
}

func (p *peers) find(id core.InstanceID) *peer {
	for _, known := range p.list {
		if known.id == id {
			return known
		}
	}
	return nil
}

// learn takes a companion's own slot count.
func (p *peers) learn(now time.Time, id core.InstanceID, load Load) {
	known := p.find(id)
	if known == nil {
		return
	}
	known.load = load
	if load.Free > 0 {
		known.full = 0
	} else {
		known.full++
	}
	known.staleAt = now.Add(p.freshFor(known.full))
}

// lost takes the loss of an answer: the companion counts as full for a while.
func (p *peers) lost(now time.Time, id core.InstanceID) {
	p.learn(now, id, Load{})
}

// freshFor returns how long a count is relied on, with jitter so that many
// companions don't ask one peer at the same moment.
func (p *peers) freshFor(full int) time.Duration {
	window := doubled(p.limits.FreshFor, max(0, full-1), p.limits.MaxFreshFor)
	return window/2 + time.Duration(p.random.Int64N(int64(window)))
}

// taken counts a slot that was just asked for, until the companion answers.
func (p *peers) taken(now time.Time, known *peer) {
	if !p.fresh(now, known) {
		known.load = Load{}
		known.staleAt = now.Add(p.limits.ReserveTimeout)
		return
	}
	known.load.Free--
}

func (p *peers) fresh(now time.Time, known *peer) bool {
	return known.id == p.self || now.Before(known.staleAt)
}

// candidates returns the companions that have or may have a free slot.
func (p *peers) candidates(now time.Time) []Candidate {
	var list []Candidate
	for _, known := range p.list {
		fresh := p.fresh(now, known)
		if fresh && known.load.Free <= 0 {
			continue
		}
		list = append(list, Candidate{Peer: known.id, Self: known.id == p.self, Fresh: fresh, Load: known.load})
	}
	return list
}

// nextStale returns when the next full companion may be asked again.
func (p *peers) nextStale(now time.Time) (time.Time, bool) {
	var due time.Time
	for _, known := range p.list {
		if known.id == p.self || !p.fresh(now, known) || known.load.Free > 0 {
			continue
		}
		if due.IsZero() || known.staleAt.Before(due) {
			due = known.staleAt
		}
	}
	return due, !due.IsZero()
}

// doubled returns base doubled the given number of times, at most limit.
func doubled(base time.Duration, times int, limit time.Duration) time.Duration {
	for range times {
		base *= 2
		if base >= limit {
			return limit
		}
	}
	return base
}
