package waitqueue

import (
	"time"
)

// plan classifies the waiting requests and puts them in the order in which they would be
// started if no others came, with their turns. It runs the same selection as Next and
// restores the shares afterwards.
func (q *Queue) plan(now time.Time, room Room) {
	q.classify(now, room)
	q.save()
	q.planned = append(q.planned[:0], q.waiting...)
	inTime, late := 0, 0
	for i := range q.planned {
		e, _ := q.pick(q.planned[i:])
		if e == nil {
			// Only abandoned ones are left.
			break
		}
		for j := i; ; j++ {
			if q.planned[j] == e {
				q.planned[i], q.planned[j] = q.planned[j], q.planned[i]
				break
			}
		}
		e.turn = time.Duration(float64(room.turn(i)) / (1 - q.pressure.above(e.Priority)))
		q.usage.served(e, q.planned[i+1:])
		if e.late {
			late++
		} else {
			inTime++
		}
	}
	q.restore()
	if inTime > 0 && late > 0 {
		q.planLate(room)
	}
}

// planLate corrects the turns of late requests while others wait that can be in time:
// further ones of these will come, and leave only the floor.
func (q *Queue) planLate(room Room) {
	late := 0
	for _, e := range q.planned {
		if e.late {
			late++
			e.turn = max(e.turn, time.Duration(float64(late)*float64(room.Interval)/floorShare))
		}
	}
}

// save keeps the state of the groups that requests wait of.
func (q *Queue) save() {
	q.saved = append(q.saved[:0], q.usage.late)
	for _, e := range q.waiting {
		q.saved = append(q.saved, *e.route, *e.origin, *e.caller)
	}
	q.times = [3]float64{q.usage.routes.time, q.usage.origins.time, q.usage.callers.time}
}

// restore puts the saved state back.
func (q *Queue) restore() {
	q.usage.late = q.saved[0]
	for i, e := range q.waiting {
		saved := q.saved[1+3*i:]
		*e.route, *e.origin, *e.caller = saved[0], saved[1], saved[2]
	}
	q.usage.routes.time, q.usage.origins.time, q.usage.callers.time = q.times[0], q.times[1], q.times[2]
}
