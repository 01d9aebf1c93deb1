package waitqueue

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// maxWaiting is the most requests that wait. It bounds the time that planning takes; at
// the usual run times the expected wait is a tighter bound.
const maxWaiting = 64

// entry is a waiting request.
type entry struct {
	Request
	// joined is when it joined the queue, and number orders entries that joined at the
	// same time.
	joined                time.Time
	number                uint64
	route, origin, caller *group
	// slack is how long it may wait and be in time, and left how long it may wait at all,
	// as of the last classification. late is set if it has no slack.
	slack, left time.Duration
	late        bool
	// turn is the planned wait until its start.
	turn time.Duration
	// pushedOut is set if the queue has no room for it.
	pushedOut bool
}

// Queue holds the requests that wait at one backend server. It must be used by one
// goroutine only.
type Queue struct {
	weights map[string]float64
	waiting []*entry
	usage   usage
	// pressure is kept while nothing waits.
	pressure pressure
	number   uint64
	saved    []group
	times    [3]float64
	planned  []*entry
	out      []Outcome
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

// Offer decides about a request that isn't in the queue. After a Wait others may have to
// be refused, which Expire returns.
func (q *Queue) Offer(now time.Time, r Request, room Room) (Verdict, Reason) {
	if len(q.waiting) == 0 && room.Free() {
		q.pressure.started(r.Priority)
		return Start, ReasonPlaceFree
	}
	if room.limit(now, &r) < 0 {
		return Refuse, ReasonAbandoned
	}
	e := q.join(now, r)
	q.plan(now, room)
	reason := q.refusal(e, room)
	if reason == ReasonNone && q.waitsTooLong(e) {
		reason = ReasonNoChance
	}
	last := q.excess(room)
	if reason == ReasonNone && last != nil {
		last.pushedOut = true
		reason = q.refusal(e, room)
	}
	if reason != ReasonNone {
		q.remove(e)
		return Refuse, reason
	}
	return Wait, ReasonNoPlace
}

// waitsTooLong reports whether a planned request that can be in time would wait too long
// to join the queue. It joins in any case if others of a lower priority wait.
func (q *Queue) waitsTooLong(e *entry) bool {
	if e.late || e.Objective <= 0 || e.turn <= time.Duration(maxWaitShare*float64(e.Objective)) {
		return false
	}
	return !slices.ContainsFunc(q.waiting, func(other *entry) bool { return !other.late && other.Priority > e.Priority })
}

// excess returns the request for which a planned queue has no room, the last one, nil if
// there is room for all. While the interval between answers isn't known, the number of
// requests with an objective is what bounds their wait.
func (q *Queue) excess(room Room) *entry {
	if len(q.waiting) > maxWaiting {
		return q.planned[len(q.planned)-1]
	}
	if room.Interval > 0 {
		return nil
	}
	bound := max(unmeasuredQueue*room.Slots-room.Taken, 0)
	var last *entry
	for _, e := range q.planned {
		if e.Objective > 0 {
			bound--
			last = e
		}
	}
	if bound >= 0 {
		return nil
	}
	return last
}

// Next removes and returns the request to start next. It reports false if no place is
// free or nothing waits.
func (q *Queue) Next(now time.Time, room Room) (Outcome, bool) {
	if len(q.waiting) == 0 || !room.Free() {
		return Outcome{}, false
	}
	q.classify(now, room)
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

// Expire removes and returns the requests that are to be refused now. The result is valid
// until the next call.
func (q *Queue) Expire(now time.Time, room Room) []Outcome {
	q.out = q.out[:0]
	if len(q.waiting) == 0 {
		return q.out
	}
	q.plan(now, room)
	// A refusal brings those behind it nearer to their turn, so only the first one without a
	// chance is removed before the next plan.
	for {
		e, reason := q.firstRefused(room)
		if e == nil {
			break
		}
		q.out = append(q.out, e.outcome(now, reason))
		q.remove(e)
		q.plan(now, room)
	}
	q.resetIfEmpty()
	return q.out
}

// firstRefused returns the first request of the plan that is to be refused, nil for none.
func (q *Queue) firstRefused(room Room) (*entry, Reason) {
	for _, e := range q.planned {
		reason := q.refusal(e, room)
		if reason != ReasonNone {
			return e, reason
		}
	}
	return nil, ReasonNone
}

// refusal returns why a planned request is to be refused, ReasonNone if it isn't.
func (q *Queue) refusal(e *entry, room Room) Reason {
	switch {
	case e.pushedOut:
		return ReasonFull
	case e.left < 0 || e.turn > e.left:
		return ReasonAbandoned
	case !e.late && e.Objective > 0 && e.turn > e.slack && e.slack > room.Handshake:
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
		e.route.leave()
		e.route = q.usage.routes.join(e.Route, q.weight(e.Route))
	}
}

// Clear removes and returns all requests.
func (q *Queue) Clear(now time.Time) []Outcome {
	q.out = q.out[:0]
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

func (q *Queue) join(now time.Time, r Request) *entry {
	q.number++
	e := &entry{
		Request: r, joined: now, number: q.number, route: q.usage.routes.join(r.Route, q.weight(r.Route)),
		origin: q.usage.origins.join(r.Origin, 1), caller: q.usage.callers.join(r.Key.Caller.Addr(), 1),
	}
	q.waiting = append(q.waiting, e)
	return e
}

func (q *Queue) remove(e *entry) {
	i := slices.Index(q.waiting, e)
	q.waiting = slices.Delete(q.waiting, i, i+1)
	e.route.leave()
	e.origin.leave()
	e.caller.leave()
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

// classify finds out which requests are late.
func (q *Queue) classify(now time.Time, room Room) {
	for _, e := range q.waiting {
		slack, limited := room.slack(now, &e.Request)
		e.slack, e.late, e.left = slack, limited && slack < 0, room.limit(now, &e.Request)
	}
}

// pick returns the request of those given that goes next, and why; nil for none.
func (q *Queue) pick(waiting []*entry) (*entry, Reason) {
	owed := q.owed(waiting)
	var first *entry
	for _, e := range waiting {
		if e.left < 0 || (owed != nil && !q.belongs(e, owed)) {
			continue
		}
		if first == nil || q.compare(e, first) < 0 {
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
		check(e.route)
		if e.late {
			check(&q.usage.late)
		} else {
			check(e.origin)
		}
	}
	return owed
}

// belongs reports whether the request is of the group.
func (q *Queue) belongs(e *entry, g *group) bool {
	return e.route == g || (e.late && g == &q.usage.late) || (!e.late && e.origin == g)
}

// compare orders two requests: those that can be in time first, then by priority, by
// what their route, their origin and their caller have got, and by the slack.
func (q *Queue) compare(a, b *entry) int {
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(q.usage.routes.virtual(a.route), q.usage.routes.virtual(b.route)),
		cmp.Compare(q.usage.origins.virtual(a.origin), q.usage.origins.virtual(b.origin)),
		cmp.Compare(q.usage.callers.virtual(a.caller), q.usage.callers.virtual(b.caller)),
		compareSlack(a, b),
		cmp.Compare(a.number, b.number),
	)
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
