package passthrough

import (
	"time"

	"zinniapulley.dev/core"
)

const (
	// paceWeight is the weight of a new interval in the mean: about the last
	// twenty answers count.
	paceWeight = 0.05
	// paceLimit bounds one interval, so that a pause doesn't count as work.
	paceLimit = time.Second
	// urgentPriority is the lowest priority whose requests may use the whole time
	// in which callers want their answer.
	urgentPriority = 1
	// urgentShare and otherShare are the parts of that time that requests may
	// wait, so that urgent ones still find room when others don't.
	urgentShare = 0.9
	otherShare  = 0.6
	// freeQueue is how many requests per slot are let in whatever their wait.
	freeQueue = 2
)

// pace measures how fast a backend server answers while all its slots are taken.
type pace struct {
	last time.Time
	// interval is the mean time between two answers; zero while not known.
	interval time.Duration
}

// answered takes an answer, and whether all slots were taken before it.
func (p *pace) answered(now time.Time, allTaken bool) {
	if !allTaken {
		p.last = time.Time{}
		return
	}
	if !p.last.IsZero() {
		interval := min(now.Sub(p.last), paceLimit)
		if p.interval == 0 {
			p.interval = interval
		}
		p.interval += time.Duration(paceWeight * float64(interval-p.interval))
	}
	p.last = now
}

// busy reports whether the first request of a new flow would wait so long that its
// answer comes later than callers count on. It is better refused than served late
// at the cost of all behind it.
func (g *Gate) busy(key core.FlowKey) bool {
	if g.running < freeQueue*g.target.Slots {
		return false
	}
	found := g.table.Route(key.Service)
	if found == nil || found.Objective <= 0 {
		return false
	}
	share := otherShare
	if found.Priority <= urgentPriority {
		share = urgentShare
	}
	return float64(g.running)*float64(g.pace.interval) > share*float64(found.Objective)
}
