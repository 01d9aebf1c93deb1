package admission

import "time"

// baselineDivisor is the inverse weight of a new latency in the moving average of
// latencies.
const baselineDivisor = 16

// timeoutSlowFactor is the multiple of the baseline for which a request must have
// run for its time-out to count as a slow answer.
const timeoutSlowFactor = 2

// adaptiveBound limits running requests according to a backend server's answers.
// Answers in time raise it by one at a time; refusals, broken connections and a run
// of slow answers cut it at once.
type adaptiveBound struct {
	limits SlotLimits
	bound  int
	// baseline is the moving average of the latencies of answers, slow ones
	// included.
	baseline time.Duration
	// inTime counts answers in time since the bound last changed, given while
	// the bound was fully used; slowRun counts slow answers in a row.
	inTime  int
	slowRun int
	// pausedUntil is the end of the current pause, zero without one; pause is the
	// length of the next pause.
	pausedUntil time.Time
	pause       time.Duration
}

func newAdaptiveBound(limits SlotLimits) adaptiveBound {
	return adaptiveBound{limits: limits, bound: limits.Cold, pause: limits.Pause}
}

func (b *adaptiveBound) pausedAt(now time.Time) bool {
	return now.Before(b.pausedUntil)
}

func (b *adaptiveBound) boundAt(now time.Time) int {
	if b.pausedAt(now) {
		return 0
	}
	return b.bound
}

func (b *adaptiveBound) endPause(now time.Time) {
	if !b.pausedAt(now) {
		b.pausedUntil = time.Time{}
	}
}

// record adjusts the bound to a request's end, given how long it ran and how many
// requests, itself included, were running.
func (b *adaptiveBound) record(now time.Time, end SlotEnd, latency time.Duration, running int) {
	switch end {
	case SlotAnswered:
		b.answered(latency, running)
	case SlotShed:
		b.shed(now, running)
	case SlotUnreachable, SlotBroken:
		b.fallBackToCold()
		b.startPause(now)
	case SlotTimedOut:
		b.timedOut(latency)
	case SlotCancelled, SlotWithdrawn:
		// No information about the backend server.
	}
}

func (b *adaptiveBound) answered(latency time.Duration, running int) {
	b.pause = b.limits.Pause
	if b.isSlow(latency) {
		b.updateBaseline(latency)
		b.slowAnswer()
		return
	}
	b.updateBaseline(latency)
	b.slowRun = 0
	if running < b.bound {
		return
	}
	b.inTime++
	if b.inTime >= b.limits.RaiseAfter {
		b.setBound(b.bound + 1)
	}
}

// timedOut counts a request without an answer in time as slow, unless its time was
// too short to indicate overload.
func (b *adaptiveBound) timedOut(latency time.Duration) {
	if latency >= b.baseline*timeoutSlowFactor {
		b.slowAnswer()
	}
}

func (b *adaptiveBound) isSlow(latency time.Duration) bool {
	return b.baseline > 0 && latency > b.baseline*time.Duration(b.limits.SlowFactor)
}

func (b *adaptiveBound) updateBaseline(latency time.Duration) {
	if b.baseline == 0 {
		b.baseline = latency
		return
	}
	b.baseline += (latency - b.baseline) / baselineDivisor
}

// shed sets the bound below the number of requests that were running when the
// backend server refused. After a refusal of its only request, admission pauses.
func (b *adaptiveBound) shed(now time.Time, running int) {
	if running <= 1 {
		b.fallBackToCold()
		b.startPause(now)
		return
	}
	b.setBound(min(b.bound, running-1))
}

func (b *adaptiveBound) slowAnswer() {
	b.slowRun++
	if b.slowRun >= b.limits.SlowAnswers {
		b.fallBackToCold()
	}
}

// fallBackToCold returns to the cold bound.
func (b *adaptiveBound) fallBackToCold() {
	b.setBound(b.limits.Cold)
	b.slowRun = 0
}

func (b *adaptiveBound) setBound(bound int) {
	b.bound = min(max(bound, b.limits.Cold), b.limits.Hard)
	b.inTime = 0
}

func (b *adaptiveBound) startPause(now time.Time) {
	b.pausedUntil = now.Add(b.pause)
	b.pause = min(b.pause*2, b.limits.MaxPause)
}
