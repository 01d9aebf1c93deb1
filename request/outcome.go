package request

import (
	"time"

	"zinniapulley.dev/core"
)

// answerStarted delivers the answer of the current attempt and discards any
// other.
func (c *Core) answerStarted(e AnswerStarted) {
	r := c.current(e.Attempt)
	if r == nil || r.phase != phaseRunning {
		c.discard(e.Attempt)
		return
	}
	r.mayHaveRun = true
	r.phase = phaseDelivering
	c.emit(Deliver{Attempt: r.attemptID()})
}

func (c *Core) discard(attempt core.AttemptID) {
	c.counts.Discarded++
	c.emit(Discard{Attempt: attempt})
}

// runEnded handles the end of an attempt. Only the current attempt of a waiting
// request counts.
func (c *Core) runEnded(now time.Time, e RunEnded) {
	r := c.current(e.Attempt)
	if r == nil || (r.phase != phaseRunning && r.phase != phaseDelivering) {
		return
	}
	if e.Load != nil {
		c.peers.update(now, r.peer, *e.Load)
	}
	if e.Result == RunAnswered {
		c.runTimes.observe(now.Sub(r.started))
	}
	if r.phase == phaseDelivering {
		c.deliveryEnded(r, e.Result)
		return
	}
	switch e.Result {
	case RunNotStarted:
		c.enqueue(now, r)
	case RunShed:
		c.retry(now, r, ReasonShed)
	case RunUnreachable:
		c.retry(now, r, ReasonUnreachable)
	case RunNotClaimed:
		c.retry(now, r, ReasonNoClaim)
	case RunDuplicateRunning:
		c.refuseAs(r, StillRunning, ReasonDuplicate)
	case RunDuplicateUnknown:
		c.refuseAs(r, OutcomeUnknown, ReasonDuplicate)
	case RunKeyReused:
		c.refuseAs(r, KeyReused, ReasonDuplicate)
	case RunTimedOut:
		r.mayHaveRun = true
		c.refuse(r, ReasonDeadline)
	default:
		c.broken(now, r)
	}
}

// broken handles an attempt that may have run without a whole answer. Only a
// repeatable request is retried.
func (c *Core) broken(now time.Time, r *pending) {
	r.mayHaveRun = true
	if !r.repeatable {
		c.refuse(r, ReasonBroken)
		return
	}
	c.retry(now, r, ReasonBroken)
}

// deliveryEnded ends a request whose caller has received a part of the answer.
// It is not retried: another answer's bytes must not follow the first one's.
func (c *Core) deliveryEnded(r *pending, result RunResult) {
	if result == RunAnswered {
		c.counts.Served++
		c.emit(Finish{ID: r.id})
		c.remove(r)
		return
	}
	c.abort(r)
}

func (c *Core) abort(r *pending) {
	c.counts.Aborted++
	c.emit(Abort{ID: r.id})
	c.remove(r)
}

// retry schedules a retry after a random backoff, if the retry budget and the
// deadline allow it.
func (c *Core) retry(now time.Time, r *pending, reason Reason) {
	r.lastReason = reason
	backoff := c.backoff(r.failedRuns)
	r.failedRuns++
	retryAt := now.Add(backoff)
	r.waitUntil = c.waitUntil(retryAt, r)
	if !retryAt.Before(r.waitUntil) || !c.budget.spend() {
		c.refuse(r, reason)
		return
	}
	r.phase = phaseBackoff
	c.schedule(r, retryAt)
}

// backoff returns a random wait below a bound that doubles with each retry.
func (c *Core) backoff(retries int) time.Duration {
	bound := doubled(c.limits.Backoff, retries, c.limits.MaxBackoff)
	return time.Duration(c.random.Int64N(int64(bound)) + 1)
}

// timerFired handles a request that is due.
func (c *Core) timerFired(now time.Time, r *pending) {
	switch r.phase {
	case phaseQueued:
		c.dequeue(r)
		c.refuse(r, r.lastReason)
	case phaseBackoff:
		c.enqueue(now, r)
	case phaseReserving:
		c.cancelReservation(now, r)
	case phaseRunning:
		r.mayHaveRun = true
		c.emit(Cancel{Attempt: r.attemptID(), Peer: r.peer})
		c.refuse(r, ReasonDeadline)
	case phaseDelivering:
		c.emit(Cancel{Attempt: r.attemptID(), Peer: r.peer})
		c.abort(r)
	}
}

// callerDisconnected ends a request whose caller has disconnected. A keyed run is not
// cancelled, so that its answer is recorded for a resubmission.
func (c *Core) callerDisconnected(e CallerDisconnected) {
	r, ok := c.requests[e.ID]
	if !ok {
		return
	}
	c.counts.Disconnected++
	switch r.phase {
	case phaseQueued:
		c.dequeue(r)
	case phaseReserving:
		c.reserving--
		c.emit(Cancel{Attempt: r.attemptID(), Peer: r.peer})
	case phaseRunning, phaseDelivering:
		if !r.keyed {
			c.emit(Cancel{Attempt: r.attemptID(), Peer: r.peer})
		}
	case phaseBackoff:
		// No reservation or run is pending.
	}
	c.remove(r)
}

// refuse answers "not run" only when no part of the request can have reached a
// backend server that may have run it.
func (c *Core) refuse(r *pending, reason Reason) {
	outcome := NotRun
	if r.mayHaveRun {
		outcome = OutcomeUnknown
	}
	c.refuseAs(r, outcome, reason)
}

func (c *Core) refuseAs(r *pending, outcome Outcome, reason Reason) {
	switch outcome {
	case NotRun:
		c.counts.RefusedNotRun++
	case OutcomeUnknown:
		c.counts.RefusedUnknown++
	default:
		c.counts.RefusedKey++
	}
	jitter := time.Duration(c.random.Int64N(int64(c.limits.RetryAfter)))
	c.emit(Refuse{ID: r.id, Outcome: outcome, Reason: reason, RetryAfter: c.limits.RetryAfter + jitter})
	c.remove(r)
}

func (c *Core) remove(r *pending) {
	delete(c.requests, r.id)
}
