package passthrough

import (
	"time"
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
	// repeatShare is the same for a flow whose caller has sent a copy of its opening
	// packet: its answer is late already, and goes behind those that aren't.
	repeatShare = 0.2
	// freeQueue is how many requests per slot, running or about to come, are let in
	// whatever their wait.
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
// at the cost of all behind it. As long as the pace isn't known, as after a start,
// nothing is let in beyond the free queue.
func (g *Gate) busy(p *Packet) bool {
	ahead := g.running + g.halfOpen
	if ahead < freeQueue*g.target.Slots {
		return false
	}
	found := g.table.Route(p.Key.Service)
	if found == nil || found.Objective <= 0 {
		return false
	}
	share := otherShare
	if found.Priority <= urgentPriority {
		share = urgentShare
	}
	if p.Ack > 0 {
		share = repeatShare
	}
	return g.pace.interval == 0 || float64(ahead)*float64(g.pace.interval) > share*float64(found.Objective)
}
