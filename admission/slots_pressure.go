package admission

import "time"

// baselineWeight is the share, as one over its value, of a new latency in the
// running mean of latencies.
const baselineWeight = 16

// fairFactor is how many times the usual latency a request must have run for
// its time-out to count as a slow answer.
const fairFactor = 2

// pressure is the bound on running requests that a backend server's answers
// support. Answers in time raise it by one at a time; refusals, broken
// connections and a run of slow answers cut it at once.
type pressure struct {
	limits SlotLimits
	bound  int
	// baseline is the running mean of latencies of answers in time.
	baseline time.Duration
	// inTime counts answers in time since the bound last changed, given while
	// the bound was in full use; slow counts slow answers in a row.
	inTime int
	slow   int
	// pausedUntil is zero unless nothing is admitted for a while; pause is
	// the length of the next pause.
	pausedUntil time.Time
	pause       time.Duration
}

func newPressure(limits SlotLimits) pressure {
	return pressure{limits: limits, bound: limits.Cold, pause: limits.Pause}
}

func (p *pressure) pausedAt(now time.Time) bool {
	return now.Before(p.pausedUntil)
}

func (p *pressure) boundAt(now time.Time) int {
	if p.pausedAt(now) {
		return 0
	}
	return p.bound
}

func (p *pressure) endPause(now time.Time) {
	if !p.pausedAt(now) {
		p.pausedUntil = time.Time{}
	}
}

// saw takes one request's end, with how long it ran and how many requests,
// itself included, were running.
func (p *pressure) saw(now time.Time, end SlotEnd, latency time.Duration, running int) {
	switch end {
	case SlotAnswered:
		p.answered(latency, running)
	case SlotShed:
		p.shed(now, running)
	case SlotUnreachable, SlotBroken:
		p.fall()
		p.startPause(now)
	case SlotTimedOut:
		p.timedOut(latency)
	case SlotCancelled, SlotWithdrawn:
		// Says nothing about the backend server.
	}
}

func (p *pressure) answered(latency time.Duration, running int) {
	p.pause = p.limits.Pause
	if p.isSlow(latency) {
		p.learn(latency)
		p.slowAnswer()
		return
	}
	p.learn(latency)
	p.slow = 0
	if running < p.bound {
		return
	}
	p.inTime++
	if p.inTime >= p.limits.RaiseAfter {
		p.setBound(p.bound + 1)
	}
}

// timedOut counts a request that got no answer in time as slow. One that had
// hardly any time says nothing about the backend server.
func (p *pressure) timedOut(after time.Duration) {
	if after >= p.baseline*fairFactor {
		p.slowAnswer()
	}
}

func (p *pressure) isSlow(latency time.Duration) bool {
	return p.baseline > 0 && latency > p.baseline*time.Duration(p.limits.SlowFactor)
}

func (p *pressure) learn(latency time.Duration) {
	if p.baseline == 0 {
		p.baseline = latency
		return
	}
	p.baseline += (latency - p.baseline) / baselineWeight
}

// shed sets the bound below the number that was running when the backend
// server refused. One that refuses its only request gets nothing for a while.
func (p *pressure) shed(now time.Time, running int) {
	if running <= 1 {
		p.fall()
		p.startPause(now)
		return
	}
	p.setBound(min(p.bound, running-1))
}

func (p *pressure) slowAnswer() {
	p.slow++
	if p.slow >= p.limits.SlowAnswers {
		p.fall()
	}
}

// fall puts the backend server back into cold start.
func (p *pressure) fall() {
	p.setBound(p.limits.Cold)
	p.slow = 0
}

func (p *pressure) setBound(bound int) {
	p.bound = min(max(bound, p.limits.Cold), p.limits.Hard)
	p.inTime = 0
}

func (p *pressure) startPause(now time.Time) {
	p.pausedUntil = now.Add(p.pause)
	p.pause = min(p.pause*2, p.limits.MaxPause)
}
