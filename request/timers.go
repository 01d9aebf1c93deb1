package request

import (
	"container/heap"
	"time"

	"zinniapulley.dev/core"
)

// timer is the time at which a request must be looked at again. It is void
// when the request has another time by then.
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

// set makes the request due at the given time and voids its earlier timer.
func (c *Core) set(r *pending, due time.Time) {
	r.due = due
	heap.Push(&c.timers, timer{due: due, id: r.id})
}

// earliest drops void timers and returns the first good one.
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
