package request

import (
	"container/heap"
	"time"

	"zinniapulley.dev/core"
)

// timer is the time at which a request is due. It is stale if the request has
// been scheduled for another time since.
type timer struct {
	due time.Time
	id  core.RequestID
}

// timers is a heap of timers, the earliest first.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due.Before(t[j].due) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	popped := (*t)[last]
	*t = (*t)[:last]
	return popped
}

// schedule sets the request's timer; an earlier one becomes stale.
func (c *Core) schedule(r *pending, due time.Time) {
	r.due = due
	heap.Push(&c.timers, timer{due: due, id: r.id})
}

// earliest drops stale timers and returns the first current one.
func (c *Core) earliest() (timer, bool) {
	for len(c.timers) > 0 {
		first := c.timers[0]
		if r, ok := c.requests[first.id]; ok && r.due.Equal(first.due) {
			return first, true
		}
		heap.Pop(&c.timers)
	}
	return timer{}, false
}
