package waitqueue

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// maxWaiting is the most requests that wait. It bounds the time that an estimate takes; at
// the usual run times the expected wait is a tighter bound.
const maxWaiting = 64

// entry is a waiting request, or one that is offered.
type entry struct {
	Request
	// joined is when it joined the queue, and number orders entries that joined at the
	// same time.
	joined time.Time
	number uint64
	// arrived is when its packet arrived, as time since the queue's epoch.
	arrived time.Duration
	// groups are its route, its origin and its caller, nil where none is known yet, and
	// virtual their virtual times as of the last classification.
	groups  [kindCount]*group
	virtual [kindCount]float64
	// slack is how long it may wait and be in time, and left how long it may wait at all,
	// as of the last classification. late is set if it has no slack.
	slack, left time.Duration
	late        bool
	// ahead is the last estimate of what goes before it.
	ahead ahead
}

// Queue holds the requests that wait at one backend server. It must be used by one
// goroutine only.
type Queue struct {
	weights map[string]float64
	waiting []*entry
	// displaced are those that had to leave for others that joined.
	displaced []*entry
	usage     usage
	// pressure is kept while nothing waits.
	pressure pressure
	number   uint64
	// epoch is when the first request was offered. Times since then are compared with less
	// effort than a time.Time.
	epoch time.Time
	// inTime and late count the waiting requests as of the last classification.
	inTime, late int
	ranking      uint64
	// offered, peers and planned are used within one call, and kept to save allocations.
	offered entry
	peers   []*entry
	planned []*entry
	out     []Outcome
}

// CheckWeights reports an error for a weight that is out of range or has no route.
func CheckWeights(weights map[string]float64) error {
	for name, weight := range weights {
		if name == "" {
			return errors.New("weight of a route without a name")
		}
		if !(weight >= minWeight && weight <= maxWeight) {
			return fmt.Errorf("weight %v of route %q is not between %v and %v", weight, name, minWeight, maxWeight)
		}
	}
	return nil
}

// minWeight and maxWeight bound the weights, so that the virtual times stay exact.
const (
	minWeight = 0.001
	maxWeight = 1000
)

// New returns an empty Queue. weights are the routes' weights by name; a route without
// one has the weight 1.
func New(weights map[string]float64) *Queue { return &Queue{weights: weights} }

// Len returns how many requests wait.
func (q *Queue) Len() int { return len(q.waiting) }

// Offer decides about a request that isn't in the queue. After a Wait others may have been
// displaced, which Displaced returns.
func (q *Queue) Offer(now time.Time, r Request, room Room) (Verdict, Reason) {
	if len(q.waiting) == 0 && room.Free() {
		q.pressure.started(r.Priority)
		return Start, ReasonPlaceFree
	}
	e := &q.offered
	if q.epoch.IsZero() {
		q.epoch = now
	}
	*e = entry{Request: r, joined: now, number: q.number + 1, arrived: r.Arrived.Sub(q.epoch)}
	e.groups = [kindCount]*group{
		q.usage.routes.groups[r.Route], q.usage.origins.groups[r.Origin], q.usage.callers.groups[r.Key.Caller.Addr()],
	}
	q.classify(e, now.Sub(q.epoch), room.needed(), room)
	if e.left < 0 {
		return Refuse, ReasonAbandoned
	}
	q.prepare(now, room)
	e.ahead = q.position(e)
	turn := q.turn(e, e.ahead, room)
	reason := e.refusal(turn, room)
	if reason == ReasonNone && q.waitsTooLong(e, turn) {
		reason = ReasonNoChance
	}
	if reason != ReasonNone {
		return Refuse, reason
	}
	last := q.excess(e, room)
	if last == e {
		return Refuse, ReasonFull
	}
	q.join(*e)
	if last != nil {
		q.remove(last)
		q.displaced = append(q.displaced, last)
	}
	return Wait, ReasonNoPlace
}

// waitsTooLong reports whether a request that can be in time would wait too long to join
// the queue. It joins in any case if others of a lower priority wait.
func (q *Queue) waitsTooLong(e *entry, turn time.Duration) bool {
	if e.late || e.Objective <= 0 || turn <= time.Duration(q.pressure.waitShare(e.Priority)*float64(e.Objective)) {
		return false
	}
	return !slices.ContainsFunc(q.waiting, func(other *entry) bool { return !other.late && other.Priority > e.Priority })
}

// excess returns the request for which there is no room if e joins, nil if there is room
// for all. While the interval between answers isn't known, the number of requests with an
// objective is what bounds their wait.
func (q *Queue) excess(e *entry, room Room) *entry {
	if len(q.waiting) >= maxWaiting {
		return q.last(e, func(*entry) bool { return true })
	}
	if e.late && q.late >= lateQueue*room.Slots {
		return q.last(e, func(other *entry) bool { return other.late })
	}
	if room.Interval > 0 || e.Objective <= 0 {
		return nil
	}
	limited := 0
	for _, other := range q.waiting {
		if other.Objective > 0 {
			limited++
		}
	}
	if limited < unmeasuredQueue*room.Slots-room.Taken {
		return nil
	}
	return q.last(e, func(other *entry) bool { return other.Objective > 0 })
}

// last returns the last in the order of e and of those that wait and are included. Within
// a class it uses the last estimates, since each waiting request's own would take as long
// as that of e.
func (q *Queue) last(e *entry, included func(*entry) bool) *entry {
	last := e
	for _, other := range q.waiting {
		if included(other) && cmp.Or(compareClass(other, last), cmp.Compare(other.ahead.all, last.ahead.all), compare(other, last)) > 0 {
			last = other
		}
	}
	return last
}

// Displaced removes and returns the requests that had to leave for others that joined.
// The result is valid until the next call.
func (q *Queue) Displaced(now time.Time) []Outcome {
	q.out = q.out[:0]
	for i, e := range q.displaced {
		q.out = append(q.out, e.outcome(now, ReasonFull))
		q.displaced[i] = nil
	}
	q.displaced = q.displaced[:0]
	return q.out
}

// Next removes and returns the request to start next. It reports false if no place is
// free or nothing waits.
func (q *Queue) Next(now time.Time, room Room) (Outcome, bool) {
	if len(q.waiting) == 0 || !room.Free() {
		return Outcome{}, false
	}
	q.prepare(now, room)
	e, reason := q.pick(q.waiting)
	if e == nil {
		return Outcome{}, false
	}
	q.remove(e)
	q.usage.served(e, q.waiting)
	q.pressure.started(e.Priority)
	q.resetIfEmpty()
	return e.outcome(now, reason), true
}

// Expire removes and returns the requests that are to be refused now, with those that were
// displaced. The result is valid until the next call.
func (q *Queue) Expire(now time.Time, room Room) []Outcome {
	q.Displaced(now)
	if len(q.waiting) == 0 {
		return q.out
	}
	q.prepare(now, room)
	q.planned = append(q.planned[:0], q.waiting...)
	for _, e := range q.planned {
		e.ahead = q.position(e)
	}
	slices.SortStableFunc(q.planned, func(a, b *entry) int { return cmp.Compare(a.ahead.all, b.ahead.all) })
	// A refusal brings those behind it nearer to their turn.
	var refused ahead
	for _, e := range q.planned {
		e.ahead.subtract(refused, e)
		reason := e.refusal(q.turn(e, e.ahead, room), room)
		if reason == ReasonNone {
			continue
		}
		q.out = append(q.out, e.outcome(now, reason))
		if e.left >= 0 {
			refused.add(e)
		}
		q.remove(e)
	}
	q.resetIfEmpty()
	return q.out
}

// refusal returns why a request with that turn is to be refused, ReasonNone if it isn't.
func (e *entry) refusal(turn time.Duration, room Room) Reason {
	switch {
	case e.left < 0 || turn > e.left:
		return ReasonAbandoned
	case !e.late && e.Objective > 0 && turn > e.slack && e.slack > room.Handshake:
		// Another companion can be tried while there is time for another handshake.
		return ReasonNoChance
	default:
		return ReasonNone
	}
}

// Remove removes a request. It reports false if the request doesn't wait.
func (q *Queue) Remove(key core.FlowKey) bool {
	for _, e := range q.waiting {
		if e.Key == key {
			q.remove(e)
			q.resetIfEmpty()
			return true
		}
	}
	return false
}

// Repeated records a further copy of a waiting request's packet, whose caller has waited
// for the given time.
func (q *Queue) Repeated(now time.Time, key core.FlowKey, elapsed time.Duration) {
	for _, e := range q.waiting {
		if e.Key == key && elapsed > e.waited(now) {
			e.Elapsed = elapsed - now.Sub(e.Arrived)
		}
	}
}

// Configure updates the waiting requests after a change of the configuration. change
// edits a request; it keeps its place in time.
func (q *Queue) Configure(change func(*Request)) {
	for _, e := range q.waiting {
		change(&e.Request)
		e.groups[byRoute].leave()
		e.groups[byRoute] = q.usage.routes.join(e.Route, q.weight(e.Route))
	}
}

// Clear removes and returns all requests.
func (q *Queue) Clear(now time.Time) []Outcome {
	q.Displaced(now)
	for _, e := range q.waiting {
		q.out = append(q.out, e.outcome(now, ReasonNotAdmitted))
	}
	q.waiting = q.waiting[:0]
	q.resetIfEmpty()
	return q.out
}

func (q *Queue) weight(name string) float64 {
	weight, known := q.weights[name]
	if !known {
		return 1
	}
	return weight
}

// join adds a request with its groups.
func (q *Queue) join(e entry) {
	q.number = e.number
	e.groups = [kindCount]*group{
		q.usage.routes.join(e.Route, q.weight(e.Route)), q.usage.origins.join(e.Origin, 1), q.usage.callers.join(e.Key.Caller.Addr(), 1),
	}
	q.waiting = append(q.waiting, &e)
}

func (q *Queue) remove(e *entry) {
	i := slices.Index(q.waiting, e)
	q.waiting = slices.Delete(q.waiting, i, i+1)
	for _, g := range e.groups {
		g.leave()
	}
}

// resetIfEmpty forgets what the groups have got once nobody waits.
func (q *Queue) resetIfEmpty() {
	if len(q.waiting) == 0 {
		q.usage.routes.reset()
		q.usage.origins.reset()
		q.usage.callers.reset()
		q.usage.late = group{}
	}
}

func (e *entry) outcome(now time.Time, reason Reason) Outcome {
	return Outcome{Request: e.Request, Reason: reason, Waited: now.Sub(e.joined)}
}

// pick returns the request of those given that goes next, and why; nil for none.
func (q *Queue) pick(waiting []*entry) (*entry, Reason) {
	owed := q.owed(waiting)
	var first *entry
	for _, e := range waiting {
		if e.left < 0 || (owed != nil && !q.belongs(e, owed)) {
			continue
		}
		if first == nil || compare(e, first) < 0 {
			first = e
		}
	}
	switch {
	case first == nil:
		return nil, ReasonNone
	case owed != nil:
		return first, ReasonFloor
	case first.late:
		return first, ReasonLate
	default:
		return first, ReasonInTime
	}
}

// owed returns the group that has got less than its floor by at least one start, nil for
// none. Late requests don't earn their origins a floor of their own: a dozen origins
// with late requests only would take most of the capacity from those that can be in time.
func (q *Queue) owed(waiting []*entry) *group {
	var owed *group
	check := func(g *group) {
		if g.credit >= 1 && (owed == nil || g.credit > owed.credit) {
			owed = g
		}
	}
	for _, e := range waiting {
		if e.left < 0 {
			continue
		}
		check(e.groups[byRoute])
		if e.late {
			check(&q.usage.late)
		} else {
			check(e.groups[byOrigin])
		}
	}
	return owed
}

// belongs reports whether the request is of the group.
func (q *Queue) belongs(e *entry, g *group) bool {
	return e.groups[byRoute] == g || (e.late && g == &q.usage.late) || (!e.late && e.groups[byOrigin] == g)
}
