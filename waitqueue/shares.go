package waitqueue

import (
	"net/netip"
)

const (
	// floorShare is the part of the starts that each route, each origin with requests that
	// can be in time, and the late requests get at least while they wait.
	floorShare = 0.05
	// maxGroups is how many groups of one kind are kept after their last request has left
	// the queue.
	maxGroups = 256
)

// group is what shares capacity with others of its kind: a route, an origin, a caller
// address, or the late requests.
type group struct {
	// weight is its share in relation to the others' shares.
	weight float64
	// tag is the group's virtual time: the sum of its starts, each divided by the weight.
	tag float64
	// credit is the number of starts that the floor has earned it while it waited.
	credit  float64
	waiting int
	// mark is the number of the last start that its credit was updated for.
	mark uint64
	// rank counts its requests while an estimate goes through the queue; ranking is the
	// number of the pass that it is valid in.
	rank    int
	ranking uint64
}

// cost returns what a start adds to the group's virtual time.
func (g *group) cost() float64 {
	if g == nil {
		return 1
	}
	return 1 / g.weight
}

// nextRank returns how often it has been called in the pass of that number.
func (g *group) nextRank(ranking uint64) int {
	if g.ranking != ranking {
		g.rank, g.ranking = 0, ranking
	}
	g.rank++
	return g.rank - 1
}

// shares keeps the groups of one kind. A group that asks for less than its share gets
// all; the remainder goes to the others (start-time fair queueing).
type shares[K comparable] struct {
	groups map[K]*group
	// time is the virtual time: that of the last group that was served. A group that
	// returns after a while doesn't get what it hasn't asked for.
	time float64
}

// join returns the group of the key, with one more request waiting.
func (s *shares[K]) join(key K, weight float64) *group {
	g, known := s.groups[key]
	if !known {
		if s.groups == nil {
			s.groups = make(map[K]*group)
		}
		if len(s.groups) >= maxGroups {
			s.prune()
		}
		g = &group{weight: weight}
		s.groups[key] = g
	}
	g.waiting++
	return g
}

// prune removes the groups of which no request waits.
func (s *shares[K]) prune() {
	for key, g := range s.groups {
		if g.waiting == 0 {
			delete(s.groups, key)
		}
	}
}

// virtual returns the group's virtual time. nil stands for a group that isn't known.
func (s *shares[K]) virtual(g *group) float64 {
	if g == nil {
		return s.time
	}
	return max(g.tag, s.time)
}

// served records a start of the group.
func (s *shares[K]) served(g *group) {
	s.time = s.virtual(g)
	g.tag = s.time + g.cost()
}

func (s *shares[K]) reset() {
	clear(s.groups)
	s.time = 0
}

func (g *group) leave() {
	g.waiting--
	if g.waiting == 0 {
		g.credit = 0
	}
}

// usage holds the shares of all kinds.
type usage struct {
	routes  shares[string]
	origins shares[netip.AddrPort]
	callers shares[netip.Addr]
	late    group
	starts  uint64
}

// served records the start of an entry. others are the entries that wait on.
func (u *usage) served(e *entry, others []*entry) {
	u.routes.served(e.groups[byRoute])
	u.origins.served(e.groups[byOrigin])
	u.callers.served(e.groups[byCaller])
	u.starts++
	for _, g := range e.groups[:byCaller] {
		g.credit, g.mark = max(g.credit-1, 0), u.starts
	}
	if e.late {
		u.late.credit, u.late.mark = max(u.late.credit-1, 0), u.starts
	}
	for _, other := range others {
		u.earn(other.groups[byRoute])
		if other.late {
			u.earn(&u.late)
		} else {
			u.earn(other.groups[byOrigin])
		}
	}
}

// earn adds the floor of one start to the group's credit, once for each start.
func (u *usage) earn(g *group) {
	if g.mark != u.starts {
		g.credit += floorShare
		g.mark = u.starts
	}
}
