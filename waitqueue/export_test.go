package waitqueue

import (
	"time"

	"zinniapulley.dev/core"
)

// Turns returns the estimated turns of the waiting requests, and how many go before each.
func (q *Queue) Turns(now time.Time, room Room) (turns map[core.FlowKey]time.Duration, ahead map[core.FlowKey]int) {
	turns, ahead = map[core.FlowKey]time.Duration{}, map[core.FlowKey]int{}
	q.prepare(now, room)
	for _, e := range q.waiting {
		a := q.position(e)
		turns[e.Key], ahead[e.Key] = q.turn(e, a, room), a.all
	}
	return turns, ahead
}
