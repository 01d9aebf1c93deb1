package waitqueue

import (
	"cmp"
	"math"
	"time"
)

// The kinds of groups, from the outermost to the innermost in the order of service.
const (
	byRoute = iota
	byOrigin
	byCaller
	kindCount
)

// ahead counts the waiting requests that go before one.
type ahead struct {
	all int
	// route, origin and late count those of its route, those of its origin that can be in
	// time, and the late ones.
	route, origin, late int
}

// prepare classifies the waiting requests and sets their groups' virtual times.
func (q *Queue) prepare(now time.Time, room Room) {
	needed, since := room.needed(), now.Sub(q.epoch)
	q.inTime, q.late = 0, 0
	for _, e := range q.waiting {
		q.classify(e, since, needed, room)
		switch {
		case e.left < 0:
		case e.late:
			q.late++
		default:
			q.inTime++
		}
	}
}

// classify finds out whether a request is late, and sets its groups' virtual times. since
// is the time since the queue's epoch.
func (q *Queue) classify(e *entry, since, needed time.Duration, room Room) {
	waited := e.Elapsed + since - e.arrived
	e.slack = e.Objective - waited - needed
	e.late = e.Objective > 0 && e.slack < 0
	e.left = room.limit(waited, e.Timeout)
	e.virtual = [kindCount]float64{
		q.usage.routes.virtual(e.groups[byRoute]), q.usage.origins.virtual(e.groups[byOrigin]), q.usage.callers.virtual(e.groups[byCaller]),
	}
}

// position estimates how many of the classified requests go before e, which need not wait
// yet. It counts from the innermost kind of groups to the outermost: the n-th request of a
// group goes at the group's virtual time plus n starts, and before it go those of the
// sibling groups that have a lower time then. Floors aren't considered.
func (q *Queue) position(e *entry) ahead {
	var a ahead
	q.peers = q.peers[:0]
	for _, other := range q.waiting {
		if other == e || other.left < 0 {
			continue
		}
		c := compareClass(other, e)
		if c < 0 {
			a.count(other, e)
		} else if c == 0 {
			q.peers = append(q.peers, other)
		}
	}
	n := 0
	for kind := kindCount; kind >= 0; kind-- {
		n = q.interleave(e, kind, n)
		switch kind {
		case byCaller:
			a.origin += n
		case byOrigin:
			a.route += n
		}
	}
	a.all += n
	if e.late {
		a.late += n
	}
	return a
}

// count adds a request that goes before e because of its class.
func (a *ahead) count(other, e *entry) {
	a.all++
	if other.late {
		a.late++
	}
	if other.groups[byRoute] == e.groups[byRoute] {
		a.route++
	}
	if other.groups[byOrigin] == e.groups[byOrigin] && !other.late {
		a.origin++
	}
}

// add counts a request that is refused among those that go before others.
func (a *ahead) add(e *entry) {
	a.all++
	if e.late {
		a.late++
	}
}

// subtract takes back those refused, as far as they were counted before e.
func (a *ahead) subtract(refused ahead, e *entry) {
	a.all = max(a.all-refused.all, 0)
	if e.late {
		a.late = max(a.late-refused.late, 0)
	}
}

// interleave adds those peers to n, the number of peers in e's group of a kind that go
// before e, that belong to the sibling groups of this kind and go before e. The kind
// kindCount is that of single requests.
func (q *Queue) interleave(e *entry, kind, n int) int {
	q.ranking++
	own, mine := 0., (*group)(nil)
	if kind < kindCount {
		mine = e.groups[kind]
		own = e.virtual[kind] + float64(n)*mine.cost()
	}
	for _, other := range q.peers {
		if !other.sharesOuter(e, kind) {
			continue
		}
		c := 0
		if kind < kindCount {
			g := other.groups[kind]
			if g == mine {
				continue
			}
			c = cmp.Compare(other.virtual[kind]+float64(g.nextRank(q.ranking))*g.cost(), own)
		}
		if c < 0 || (c == 0 && compareFrom(other, e, kind+1) < 0) {
			n++
		}
	}
	return n
}

// sharesOuter reports whether two requests are of the same groups of the kinds outside
// the given one.
func (e *entry) sharesOuter(other *entry, kind int) bool {
	for outer := range kind {
		if e.groups[outer] != other.groups[outer] {
			return false
		}
	}
	return true
}

// turn estimates the wait until the start of a request with so many before it.
func (q *Queue) turn(e *entry, a ahead, room Room) time.Duration {
	if e.late && q.inTime > 0 {
		// Further ones that can be in time will come, and leave only the floor.
		return q.usage.late.floorTurn(a.late, room)
	}
	turn := time.Duration(float64(room.turn(a.all)) / (1 - q.pressure.above(e.Priority)))
	if e.late {
		return turn
	}
	turn = min(turn, e.groups[byRoute].floorTurn(a.route, room))
	return min(turn, e.groups[byOrigin].floorTurn(a.origin, room))
}

// floorTurn returns when the floor alone starts a request of the group that goes after so
// many others of it.
func (g *group) floorTurn(ahead int, room Room) time.Duration {
	credit := 0.
	if g != nil {
		credit = g.credit
	}
	return room.turn(max(int(math.Ceil((float64(ahead+1)-credit)/floorShare))-1, 0))
}

// compareClass orders two requests by what goes before all shares: those that can be in
// time first, then by priority.
func compareClass(a, b *entry) int {
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.Priority, b.Priority)
}

// compareFrom orders two requests of a class by what their groups have got, from the
// given kind to the innermost, and by the slack.
func compareFrom(a, b *entry, kind int) int {
	for ; kind < kindCount; kind++ {
		if a.virtual[kind] != b.virtual[kind] {
			return cmp.Compare(a.virtual[kind], b.virtual[kind])
		}
	}
	return cmp.Or(compareSlack(a, b), cmp.Compare(a.number, b.number))
}

// compare orders two classified requests: those that can be in time first, then by
// priority, by what their route, their origin and their caller have got, and by the slack.
func compare(a, b *entry) int {
	return cmp.Or(compareClass(a, b), compareFrom(a, b, byRoute))
}

// compareSlack orders requests without an objective last.
func compareSlack(a, b *entry) int {
	if (a.Objective > 0) != (b.Objective > 0) {
		if a.Objective > 0 {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.slack, b.slack)
}
