package passthrough

import (
	"time"

	"zinniapulley.dev/route"
)

const (
	// paceWeight is the weight of a new interval in the mean, once there are as many:
	// about the last twenty answers count.
	paceWeight = 0.05
	// maxPaceInterval caps one interval.
	maxPaceInterval = time.Second
	// urgentPriority is the lowest priority whose requests are urgent.
	urgentPriority = 1
	// freeQueue is how many requests per slot, running or expected, are admitted
	// regardless of their wait.
	freeQueue = 2
)

// urgency orders opening packets by how much of a queue they may wait for.
type urgency uint8

const (
	// urgencyRepeated: the caller has sent a copy of the packet. Its answer is late already,
	// and it yields to those that aren't late.
	urgencyRepeated urgency = iota
	urgencyOrdinary
	urgencyHigh
	urgencyCount
)

// waitShares holds, for each urgency, the part of the time in which callers expect their
// answer that requests may wait, so that urgent ones are still admitted when others
// aren't.
var waitShares = [urgencyCount]float64{urgencyRepeated: 0.2, urgencyOrdinary: 0.6, urgencyHigh: 0.9}

// urgencyOf returns the urgency of an opening packet.
func urgencyOf(p *Packet, r *route.Route) urgency {
	switch {
	case p.Ack > 0:
		return urgencyRepeated
	case r.Priority <= urgentPriority:
		return urgencyHigh
	default:
		return urgencyOrdinary
	}
}

// pace measures how often a backend server with all slots taken answers.
type pace struct {
	// saturatedSince is the time of the last answer after which all slots remained
	// taken; zero if some slot has been free since the last answer.
	saturatedSince time.Time
	// interval is the mean time between two answers, of so many samples; zero while
	// unknown.
	interval time.Duration
	samples  int
}

// answered records an answer. took is the time that it took, slots is how many requests
// the backend server runs at once, and running how many were running until then. waited
// is set if all slots were taken when the request began.
func (p *pace) answered(now time.Time, took time.Duration, waited bool, running, slots int) {
	switch {
	case !p.saturatedSince.IsZero():
		p.add(now.Sub(p.saturatedSince))
	case !waited && slots > 0:
		p.add(took / time.Duration(slots))
	}
	p.saturatedSince = time.Time{}
	if running > slots {
		p.saturatedSince = now
	}
}

func (p *pace) add(interval time.Duration) {
	p.samples++
	weight := max(paceWeight, 1/float64(p.samples))
	p.interval = smooth(p.interval, min(interval, maxPaceInterval), weight)
}

// smooth returns the moving average after another sample of the weight.
func smooth(mean, sample time.Duration, weight float64) time.Duration {
	return mean + time.Duration(weight*float64(sample-mean))
}

// busy reports whether the first request of a new flow would wait so long that its
// answer would miss the route's objective. Refusing it is better than delaying all
// requests behind it. While the pace is unknown, as after a start, nothing is
// admitted beyond the free queue.
func (g *Gate) busy(now time.Time, p *Packet) bool {
	g.expected.expire(now)
	ahead := g.running + g.expected.count
	if ahead < freeQueue*g.target.Slots {
		return false
	}
	r := g.table.Route(p.Key.Service)
	if r == nil || r.Objective <= 0 {
		return false
	}
	allowed := waitShares[urgencyOf(p, r)] * float64(r.Objective)
	return g.pace.interval == 0 || float64(ahead)*float64(g.pace.interval) > allowed
}
