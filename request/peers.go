package request

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// Candidate is a companion that may have a free slot.
type Candidate struct {
	Peer core.InstanceID
	// Self is true for the choosing companion itself.
	Self bool
	// Fresh is false when the slot count is too old to be relied on.
	Fresh bool
	Load  Load
}

// freeShare returns the share of slots that are free, and one half if that is
// unknown.
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

// Chooser selects the companion from which a slot is requested.
type Chooser interface {
	// Choose returns an index into candidates, which is never empty.
	Choose(candidates []Candidate, random *rand.Rand) int
}

// PowerOfTwo selects the candidate with the larger share of free slots out of two
// random ones. The choosing companion itself is preferred unless its share is
// smaller by more than HopCost, because forwarding a request costs a hop.
type PowerOfTwo struct {
	// HopCost is the excess of the other's share of free slots over the own share,
	// from 0 to 1, above which the request is forwarded.
	HopCost float64
}

// DefaultChooser returns the chooser that companions use.
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

// peer is the last known state of one companion's slots.
type peer struct {
	id   core.InstanceID
	load Load
	// staleAt is when the load is no longer relied on.
	staleAt time.Time
	// fullStreak is the number of consecutive counts without a free slot.
	fullStreak int
}

// peers tracks the slots of all companions of the service, ordered by name.
type peers struct {
	self   core.InstanceID
	limits Limits
	random *rand.Rand
	list   []*peer
}

// set replaces the list and keeps the slot counts of companions that remain.
func (p *peers) set(ids []core.InstanceID) {
	list := make([]*peer, 0, len(ids))
	for _, id := range ids {
		companion := p.find(id)
		if companion == nil {
			companion = &peer{id: id}
		}
		list = append(list, companion)
	}
	slices.SortFunc(list, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	p.list = list
}

func (p *peers) find(id core.InstanceID) *peer {
	for _, companion := range p.list {
		if companion.id == id {
			return companion
		}
	}
	return nil
}

// update records a slot count that a companion reported.
func (p *peers) update(now time.Time, id core.InstanceID, load Load) {
	companion := p.find(id)
	if companion == nil {
		return
	}
	companion.load = load
	if load.Free > 0 {
		companion.fullStreak = 0
	} else {
		companion.fullStreak++
	}
	companion.staleAt = now.Add(p.freshFor(companion.fullStreak))
}

// markFull counts a companion that did not answer as full until the count is stale.
func (p *peers) markFull(now time.Time, id core.InstanceID) {
	p.update(now, id, Load{})
}

// freshFor returns how long a count is relied on, with jitter so that
// companions don't all send Reserve to one peer at the same time.
func (p *peers) freshFor(fullStreak int) time.Duration {
	window := doubled(p.limits.FreshFor, max(0, fullStreak-1), p.limits.MaxFreshFor)
	return window/2 + time.Duration(p.random.Int64N(int64(window)))
}

// countReserved deducts the slot of a pending Reserve. A companion without a
// fresh count is treated as full until it answers or ReserveTimeout has passed.
func (p *peers) countReserved(now time.Time, companion *peer) {
	if !p.fresh(now, companion) {
		companion.load = Load{}
		companion.staleAt = now.Add(p.limits.ReserveTimeout)
		return
	}
	companion.load.Free--
}

func (p *peers) fresh(now time.Time, companion *peer) bool {
	return companion.id == p.self || now.Before(companion.staleAt)
}

// candidates returns the companions that have or may have a free slot.
func (p *peers) candidates(now time.Time) []Candidate {
	var list []Candidate
	for _, companion := range p.list {
		fresh := p.fresh(now, companion)
		if fresh && companion.load.Free <= 0 {
			continue
		}
		list = append(list, Candidate{Peer: companion.id, Self: companion.id == p.self, Fresh: fresh, Load: companion.load})
	}
	return list
}

// nextFullStale returns when the count of a full companion next becomes stale.
func (p *peers) nextFullStale(now time.Time) (time.Time, bool) {
	var due time.Time
	for _, companion := range p.list {
		if companion.id == p.self || !p.fresh(now, companion) || companion.load.Free > 0 {
			continue
		}
		if due.IsZero() || companion.staleAt.Before(due) {
			due = companion.staleAt
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
