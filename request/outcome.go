package request

import (
	"time"

	"zinniapulley.dev/core"
)

// answerStarted delivers the answer of the current attempt and throws away any
// other.
func (c *Core) answerStarted(e AnswerStarted) {
	r := c.current(e.Attempt)
	if r == nil || r.phase != phaseRunning {
		c.discard(e.Attempt)
		return
	}
	r.reached = true
	r.phase = phaseDelivering
	c.do(Deliver{Attempt: r.attemptID()})
}

func (c *Core) discard(attempt core.AttemptID) {
	c.counts.Discarded++
	c.do(Discard{Attempt: attempt})
}

// runEnded takes the end of an attempt. Only the current attempt of a waiting
// request counts.
func (c *Core) runEnded(now time.Time, e RunEnded) {
	r := c.current(e.Attempt)
	if r == nil || (r.phase != phaseRunning && r.phase != phaseDelivering) {
		return
	}
	if e.Load != nil {
		c.peers.learn(now, r.peer, *e.Load)
	}
	if e.Result == RunAnswered {
		c.runTimes.learn(now.Sub(r.started))
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
		r.reached = true
		c.refuse(r, ReasonDeadline)
	default:
		c.broken(now, r)
	}
}

// broken takes an attempt that may have run without an answer. Only a request
// that may be repeated is tried again.
func (c *Core) broken(now time.Time, r *pending) {
	r.reached = true
	if !r.repeatable {
		c.refuse(r, ReasonBroken)
		return
	}
	c.retry(now, r, ReasonBroken)
}

// deliveryEnded ends a request whose caller has a part of the answer. There is
// no second try: another answer's bytes must not follow the first one's.
func (c *Core) deliveryEnded(r *pending, result RunResult) {
	if result == RunAnswered {
		c.counts.Served++
		c.do(Finish{ID: r.id})
		c.forget(r)
		return
	}
	c.cut(r)
}

func (c *Core) cut(r *pending) {
	c.counts.Aborted++
	c.do(Abort{ID: r.id})
	c.forget(r)
}

// retry tries again after a random wait, if the retry budget and the deadline
// allow it.
func (c *Core) retry(now time.Time, r *pending, reason Reason) {
	r.lastReason = reason
	backoff := c.backoff(r.runs)
	r.runs++
	again := now.Add(backoff)
	r.waitUntil = c.waitUntil(again, r)
	if !again.Before(r.waitUntil) || !c.budget.spend() {
		c.refuse(r, reason)
		return
	}
	r.phase = phaseBackoff
	c.set(r, again)
}

// backoff returns a random wait below a bound that doubles with each retry.
func (c *Core) backoff(retries int) time.Duration {
	bound := doubled(c.limits.Backoff, retries, c.limits.MaxBackoff)
	return time.Duration(c.random.Int64N(int64(bound)) + 1)
}

// expired takes the time at which a request was due.
func (c *Core) expired(now time.Time, r *pending) {
	switch r.phase {
	case phaseQueued:
		c.dequeue(r)
		c.refuse(r, r.lastReason)
	case phaseBackoff:
		c.enqueue(now, r)
	case phaseReserving:
		c.giveUpReservation(now, r)
	case phaseRunning:
		r.reached = true
		c.do(Cancel{Attempt: r.attemptID(), Peer: r.peer})
		c.refuse(r, ReasonDeadline)
	case phaseDelivering:
		c.do(Cancel{Attempt: r.attemptID(), Peer: r.peer})
		c.cut(r)
	}
}

// callerGone ends a request nobody waits for. A keyed request that runs is
// left to run, so that its answer is there for a resubmission.
func (c *Core) callerGone(e CallerDisconnected) {
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
		c.do(Cancel{Attempt: r.attemptID(), Peer: r.peer})
	case phaseRunning, phaseDelivering:
		if !r.keyed {
			c.do(Cancel{Attempt: r.attemptID(), Peer: r.peer})
		}
	case phaseBackoff:
		// Nothing is out for it.
	}
	c.forget(r)
}

// refuse gives the caller an answer that is true: "not run" only when no part
// of the request can have reached a backend server that may have run it.
func (c *Core) refuse(r *pending, reason Reason) {
	outcome := NotRun
	if r.reached {
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
	c.do(Refuse{ID: r.id, Outcome: outcome, Reason: reason, RetryAfter: c.limits.RetryAfter + jitter})
	c.forget(r)
}

func (c *Core) forget(r *pending) {
	delete(c.requests, r.id)
}
