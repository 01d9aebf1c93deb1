package gate

import (
	"time"

	"zinniapulley.dev/passthrough"
)

const (
	// paceWeight is the weight of a new interval in the mean, once there are as many:
	// about the last twenty answers count.
	paceWeight = 0.05
	// maxPaceInterval caps one interval.
	maxPaceInterval = time.Second
	// paceLimit is the age of the last answer beyond which the measures aren't reported. A
	// backend server that was slow gets no flows by which its recovery could be measured.
	paceLimit = 5 * time.Second
)

// pace measures how often a backend server with all slots taken answers.
type pace struct {
	// saturatedSince is the time of the last answer after which all slots remained
	// taken; zero if some slot has been free since the last answer.
	saturatedSince time.Time
	// interval is the mean time between two answers, of so many samples; zero while
	// unknown.
	interval time.Duration
	samples  int
	// run is the mean run time, of runSamples samples since the backend server started;
	// zero while unknown. measuredAt is when the last sample was added.
	run        time.Duration
	runSamples int
	measuredAt time.Time
}

// answered records an answer. took is the time that it took, slots is how many requests
// the backend server runs at once, and running how many were running until then. waited
// is set if all slots were taken when the request began.
func (p *pace) answered(now time.Time, took time.Duration, waited bool, running, slots int) {
	switch {
	case !p.saturatedSince.IsZero():
		p.add(now.Sub(p.saturatedSince))
		// No request begins without waiting now; one that slows down must show nevertheless.
		p.addRun(now, now.Sub(p.saturatedSince)*time.Duration(slots))
	case !waited && slots > 0:
		p.add(took / time.Duration(slots))
		p.addRun(now, took)
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

func (p *pace) addRun(now time.Time, run time.Duration) {
	p.runSamples++
	p.run = smooth(p.run, run, max(paceWeight, 1/float64(p.runSamples)))
	p.measuredAt = now
}

// serverStarted forgets the run time of the backend server that ran before: one that has
// just started is cold.
func (p *pace) serverStarted() { p.run, p.runSamples = 0, 0 }

// Pace returns what the backend server is measured to sustain.
func (g *Gate) Pace(now time.Time) passthrough.Pace {
	pace := passthrough.Pace{Waiting: max(g.running-g.target.Slots, 0) + g.queue.Len()}
	measured := g.paceAt(now)
	if measured.runSamples > 0 && now.Sub(measured.measuredAt) <= paceLimit {
		pace.Run, pace.Interval = measured.run, measured.interval
	}
	return pace
}

// smooth returns the moving average after another sample of the weight.
func smooth(mean, sample time.Duration, weight float64) time.Duration {
	return mean + time.Duration(weight*float64(sample-mean))
}
