package claim

import "time"

// resolved takes the result of a command that this keeper proposed. A result
// for a holder that is over says nothing new: the holder may have run, so even
// a grant is not released. If it has not run, the next submission takes over.
func (k *Coordinator) resolved(now time.Time, e Resolved) {
	r, ok := k.holders[e.Command.Holder]
	if !ok {
		return
	}
	switch r.phase {
	case phaseClaiming:
		k.claimResolved(now, r, e)
	case phaseSettling:
		k.settleResolved(r, e)
	}
}

func (k *Coordinator) claimResolved(now time.Time, r *run, e Resolved) {
	if e.Command.Kind != ClaimKey && e.Command.Kind != TakeOver {
		return
	}
	switch e.Result.Verdict {
	case Granted:
		r.phase = phaseExecuting
		k.do(Execute{Attempt: r.attempt, Holder: r.holder})
	case Held:
		k.held(now, r, e.Result.Record)
	case Fenced:
		k.fenced(r)
	default:
		k.drop(r, OutcomeNotClaimed, Holder{})
	}
}

// fenced starts a new incarnation after the claims took this one for lost.
func (k *Coordinator) fenced(r *run) {
	if r.holder.Incarnation == k.incarnation {
		k.incarnation++
	}
	k.drop(r, OutcomeNotClaimed, Holder{})
}

// held decides what a duplicate gets.
func (k *Coordinator) held(now time.Time, r *run, record Record) {
	switch {
	case record.Digest != r.digest:
		k.drop(r, OutcomeKeyReused, Holder{})
	case record.State == Done && record.AnswerKept:
		k.drop(r, OutcomeReplay, record.Holder)
	case record.State != Running:
		k.drop(r, OutcomeDuplicateUnknown, Holder{})
	case r.tookOver:
		k.drop(r, OutcomeDuplicateRunning, Holder{})
	case record.Holder.Companion == k.self:
		r.asked = record.Holder
		k.decide(now, r, k.status(record.Holder))
	default:
		r.phase = phaseAsking
		r.asked = record.Holder
		k.do(QueryHolder{Attempt: r.attempt, Holder: record.Holder})
	}
}

func (k *Coordinator) holderAnswered(now time.Time, e HolderAnswered) {
	r, ok := k.runs[e.Attempt]
	if !ok || r.phase != phaseAsking {
		return
	}
	k.decide(now, r, e.Status)
}

// decide takes what the holder's companion says of a running claim. Only a
// holder that says it never will run the request is replaced.
func (k *Coordinator) decide(now time.Time, r *run, status HolderStatus) {
	switch status {
	case HolderActive:
		k.drop(r, OutcomeDuplicateRunning, Holder{})
	case HolderIdle:
		r.phase = phaseClaiming
		r.tookOver = true
		k.propose(r, Command{Kind: TakeOver, Key: r.key, Digest: r.digest, Holder: r.holder, Expect: r.asked, At: now})
	default:
		k.drop(r, OutcomeDuplicateUnknown, Holder{})
	}
}

// status tells what this companion knows of a holder of its own. Holders are
// known from before their claim is proposed until their end is recorded, so an
// unknown one of this incarnation will never run.
func (k *Coordinator) status(holder Holder) HolderStatus {
	if _, ok := k.holders[holder]; ok {
		return HolderActive
	}
	if holder.Companion == k.self && holder.Incarnation == k.incarnation {
		return HolderIdle
	}
	return HolderRestarted
}

func (k *Coordinator) settleResolved(r *run, e Resolved) {
	if e.Command.Kind != r.settle.Kind {
		return
	}
	delete(k.holders, r.holder)
	if r.release {
		k.finish(r, OutcomeReleased, Holder{})
	}
}

// unresolved takes the loss of a command's result. An unresolved claim is
// given up; a settling command is proposed again until it is applied.
func (k *Coordinator) unresolved(now time.Time, e Unresolved) {
	r, ok := k.holders[e.Command.Holder]
	if !ok {
		return
	}
	switch r.phase {
	case phaseClaiming:
		k.abandon(now, r)
	case phaseSettling:
		k.resendLater(now, r)
	}
}

func (k *Coordinator) resendLater(now time.Time, r *run) {
	wait := k.limits.Resend << min(r.resends, 16)
	r.resends++
	r.resendAt = now.Add(min(wait, k.limits.MaxResend))
}
