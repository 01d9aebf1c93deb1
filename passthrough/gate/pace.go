package gate

import "time"

const (
	// paceWeight is the weight of a new interval in the mean, once there are as many:
	// about the last twenty answers count.
	paceWeight = 0.05
	// maxPaceInterval caps one interval.
	maxPaceInterval = time.Second
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
