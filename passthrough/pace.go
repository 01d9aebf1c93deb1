package passthrough

import (
	"time"
)

const (
	// paceWeight is the weight of a new interval in the mean: about the last twenty
	// answers count.
	paceWeight = 0.05
	// maxPaceInterval caps one interval, so that a pause doesn't count as work.
	maxPaceInterval = time.Second
	// urgentPriority is the lowest priority whose requests may use urgentShare of the
	// time in which callers expect their answer.
	urgentPriority = 1
	// urgentShare and otherShare are the parts of that time that requests may wait, so
	// that urgent ones are still admitted when others aren't.
	urgentShare = 0.9
	otherShare  = 0.6
	// repeatShare is the same for a flow whose caller has sent a copy of its opening
	// packet: its answer is late already, and it yields to those that aren't late.
	repeatShare = 0.2
	// freeQueue is how many requests per slot, running or expected, are admitted
	// regardless of their wait.
	freeQueue = 2
)

// pace measures the rate of answers while all slots of a backend server are taken.
type pace struct {
	last time.Time
	// interval is the mean time between two answers; zero while unknown.
	interval time.Duration
}

// answered records an answer. saturated is set if all slots were taken before it.
func (p *pace) answered(now time.Time, saturated bool) {
	if !saturated {
		p.last = time.Time{}
		return
	}
	if !p.last.IsZero() {
		interval := min(now.Sub(p.last), maxPaceInterval)
		if p.interval == 0 {
			p.interval = interval
		}
		p.interval += time.Duration(paceWeight * float64(interval-p.interval))
	}
	p.last = now
}

// busy reports whether the first request of a new flow would wait so long that its
// answer would miss the route's objective. Refusing it is better than delaying all
// requests behind it. While the pace is unknown, as after a start, nothing is
// admitted beyond the free queue.
func (g *Gate) busy(p *Packet) bool {
	ahead := g.running + g.halfOpen
	if ahead < freeQueue*g.target.Slots {
		return false
	}
	r := g.table.Route(p.Key.Service)
	if r == nil || r.Objective <= 0 {
		return false
	}
	share := otherShare
	if r.Priority <= urgentPriority {
		share = urgentShare
	}
	if p.Ack > 0 {
		share = repeatShare
	}
	return g.pace.interval == 0 || float64(ahead)*float64(g.pace.interval) > share*float64(r.Objective)
}
