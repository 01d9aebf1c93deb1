package claim

import "time"

// resolved handles the result of a command that this coordinator proposed. A
// result for a holder that has ended is ignored, and even a granted claim is not
// released, since the holder may have run. If it has not, the next submission
// takes the claim over.
func (c *Coordinator) resolved(now time.Time, e Resolved) {
	r, ok := c.holders[e.Command.Holder]
	if !ok {
		return
	}
	switch r.phase {
	case phaseClaiming:
		c.claimResolved(now, r, e)
	case phaseSettling:
		c.settleResolved(r, e)
	}
}

func (c *Coordinator) claimResolved(now time.Time, r *run, e Resolved) {
	if e.Command.Kind != ClaimKey && e.Command.Kind != TakeOver {
		return
	}
	switch e.Result.Verdict {
	case Granted:
		r.phase = phaseExecuting
		c.emit(Execute{Attempt: r.attempt, Holder: r.holder})
	case Held:
		c.held(now, r, e.Result.Record)
	case Fenced:
		c.fenced(r)
	default:
		c.finishUnclaimed(r, OutcomeNotClaimed, Holder{})
	}
}

// fenced starts a new incarnation after this one was recorded as lost.
func (c *Coordinator) fenced(r *run) {
	if r.holder.Incarnation == c.incarnation {
		c.incarnation++
	}
	c.finishUnclaimed(r, OutcomeNotClaimed, Holder{})
}

// held ends or continues an attempt whose key has a record, depending on the
// record.
func (c *Coordinator) held(now time.Time, r *run, record Record) {
	switch {
	case record.Digest != r.digest:
		c.finishUnclaimed(r, OutcomeKeyReused, Holder{})
	case record.State == Done && record.AnswerKept:
		c.finishUnclaimed(r, OutcomeReplay, record.Holder)
	case record.State != Running:
		c.finishUnclaimed(r, OutcomeDuplicateUnknown, Holder{})
	case r.triedTakeOver:
		c.finishUnclaimed(r, OutcomeDuplicateRunning, Holder{})
	case record.Holder.Companion == c.self:
		r.queried = record.Holder
		c.applyHolderStatus(now, r, c.holderStatus(record.Holder))
	default:
		r.phase = phaseQuerying
		r.queried = record.Holder
		c.emit(QueryHolder{Attempt: r.attempt, Holder: record.Holder})
	}
}

func (c *Coordinator) holderAnswered(now time.Time, e HolderAnswered) {
	r, ok := c.runs[e.Attempt]
	if !ok || r.phase != phaseQuerying {
		return
	}
	c.applyHolderStatus(now, r, e.Status)
}

// applyHolderStatus handles the status of a running claim's holder. The claim
// is taken over only if the holder is known never to run the request.
func (c *Coordinator) applyHolderStatus(now time.Time, r *run, status HolderStatus) {
	switch status {
	case HolderActive:
		c.finishUnclaimed(r, OutcomeDuplicateRunning, Holder{})
	case HolderIdle:
		r.phase = phaseClaiming
		r.triedTakeOver = true
		c.propose(r, Command{Kind: TakeOver, Key: r.key, Digest: r.digest, Holder: r.holder, Expect: r.queried, At: now})
	default:
		c.finishUnclaimed(r, OutcomeDuplicateUnknown, Holder{})
	}
}

// holderStatus returns the status of a holder of this companion. Holders are
// tracked from before their claim is proposed until their end is recorded, so
// an untracked one of this incarnation never runs.
func (c *Coordinator) holderStatus(holder Holder) HolderStatus {
	if _, ok := c.holders[holder]; ok {
		return HolderActive
	}
	if holder.Companion == c.self && holder.Incarnation == c.incarnation {
		return HolderIdle
	}
	return HolderRestarted
}

func (c *Coordinator) settleResolved(r *run, e Resolved) {
	if e.Command.Kind != r.settle.Kind {
		return
	}
	delete(c.holders, r.holder)
	if r.awaitsRelease {
		c.finish(r, OutcomeReleased, Holder{})
	}
}

// unresolved handles a command whose result did not arrive. An unresolved
// claim is abandoned; a settling command is proposed again until it is applied.
func (c *Coordinator) unresolved(now time.Time, e Unresolved) {
	r, ok := c.holders[e.Command.Holder]
	if !ok {
		return
	}
	switch r.phase {
	case phaseClaiming:
		c.abandon(now, r)
	case phaseSettling:
		c.scheduleResend(now, r)
	}
}

func (c *Coordinator) scheduleResend(now time.Time, r *run) {
	wait := c.limits.Resend << min(r.resends, 16)
	r.resends++
	r.resendAt = now.Add(min(wait, c.limits.MaxResend))
}
