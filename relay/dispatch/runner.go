package dispatch

import (
	"slices"
	"time"

	"zinniapulley.dev/admission"
	"zinniapulley.dev/claim"
	"zinniapulley.dev/core"
	"zinniapulley.dev/request"
)

// executionPhase is the phase of an attempt at its runner.
type executionPhase uint8

const (
	// phaseClaiming waits for the claim of the idempotency key.
	phaseClaiming executionPhase = iota + 1
	// phaseExecuting runs on the backend server.
	phaseExecuting
	// phaseReleasing waits for the release of the key of a request that did not
	// run.
	phaseReleasing
	// phaseReplaying sends the recorded answer.
	phaseReplaying
)

// execution is an attempt that was started at this companion.
type execution struct {
	attempt   core.AttemptID
	requester core.InstanceID
	deadline  time.Time
	keyed     *Keyed
	phase     executionPhase
	// result is the run's result, set in phaseReleasing.
	result request.RunResult
}

func (d *Dispatcher) reserveRequested(now time.Time, e ReserveRequested) {
	granted := d.slots.Reserve(now, e.Attempt) == admission.SlotGranted
	load := d.load(now)
	if e.Requester == d.self {
		d.handleRequestEvent(now, request.ReserveAnswered{Attempt: e.Attempt, Peer: d.self, Granted: granted, Load: load})
		return
	}
	d.emit(SendReserveReply{Attempt: e.Attempt, Requester: e.Requester, Granted: granted, Load: load})
}

// runRequested starts an attempt in its reserved slot, once. A keyed attempt must
// first claim its key.
func (d *Dispatcher) runRequested(now time.Time, e RunRequested) {
	started := d.slots.Start(now, e.Attempt)
	if started == admission.SlotAlreadyStarted {
		return
	}
	x := &execution{attempt: e.Attempt, requester: e.Requester, deadline: e.Deadline, keyed: e.Keyed}
	if started != admission.SlotGranted {
		d.sendRunResult(now, x, request.RunNotStarted)
		return
	}
	d.executions[x.attempt] = x
	if x.keyed == nil {
		d.execute(now, x, nil)
		return
	}
	x.phase = phaseClaiming
	begin := claim.Begin{Attempt: x.attempt, Key: x.keyed.Key, Digest: x.keyed.Digest}
	d.performClaimActions(now, d.coordinator.Handle(now, begin))
}

func (d *Dispatcher) execute(now time.Time, x *execution, record *claim.Holder) {
	x.phase = phaseExecuting
	d.emit(Execute{
		Attempt:   x.attempt,
		Requester: x.requester,
		Timeout:   x.deadline.Sub(now),
		Record:    record,
	})
}

// cancelRequested cancels an attempt's reservation, claim or run. A keyed run
// continues until its deadline, so that its answer can be recorded.
func (d *Dispatcher) cancelRequested(now time.Time, e CancelRequested) {
	if d.slots.Cancel(e.Attempt) {
		return
	}
	x, ok := d.executions[e.Attempt]
	if !ok {
		return
	}
	switch x.phase {
	case phaseClaiming:
		d.performClaimActions(now, d.coordinator.Handle(now, claim.Withdrawn{Attempt: x.attempt}))
	case phaseExecuting:
		if x.keyed == nil {
			d.emit(StopExecution{Attempt: x.attempt})
		}
	}
}

// executed handles the end of a run at the backend server.
func (d *Dispatcher) executed(now time.Time, e Executed) {
	x, ok := d.executions[e.Attempt]
	if !ok || x.phase != phaseExecuting {
		return
	}
	d.slots.Finish(now, x.attempt, slotEnd(e.Result))
	if x.keyed == nil {
		d.endExecution(now, x, e.Result)
		return
	}
	end := claimEnd(e)
	if end == claim.EndNotRun {
		x.phase = phaseReleasing
		x.result = e.Result
	} else {
		d.endExecution(now, x, e.Result)
	}
	d.performClaimActions(now, d.coordinator.Handle(now, claim.Ended{Attempt: x.attempt, End: end}))
}

// endExecution removes an execution and sends its result to the requester.
func (d *Dispatcher) endExecution(now time.Time, x *execution, result request.RunResult) {
	delete(d.executions, x.attempt)
	d.sendRunResult(now, x, result)
}

func (d *Dispatcher) sendRunResult(now time.Time, x *execution, result request.RunResult) {
	load := d.load(now)
	if x.requester == d.self {
		d.handleRequestEvent(now, request.RunEnded{Attempt: x.attempt, Result: result, Load: &load})
		return
	}
	d.emit(SendRunResult{Attempt: x.attempt, Requester: x.requester, Result: result, Load: load})
}

// performClaimActions carries out the claim coordinator's actions.
func (d *Dispatcher) performClaimActions(now time.Time, actions []claim.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case claim.Propose:
			d.emit(Propose(a))
		case claim.QueryHolder:
			d.emit(QueryHolder(a))
		case claim.SendHolderStatus:
			d.emit(SendHolderStatus(a))
		case claim.Execute:
			d.execute(now, d.executions[a.Attempt], &a.Holder)
		case claim.EndAttempt:
			d.attemptEnded(now, a)
		}
	}
}

// attemptEnded handles claim.EndAttempt. It ends the execution, or replays the
// recorded answer.
func (d *Dispatcher) attemptEnded(now time.Time, a claim.EndAttempt) {
	x, ok := d.executions[a.Attempt]
	if !ok {
		return
	}
	d.slots.Finish(now, x.attempt, admission.SlotWithdrawn)
	switch a.Outcome {
	case claim.OutcomeReleased:
		d.endExecution(now, x, x.result)
	case claim.OutcomeReplay:
		x.phase = phaseReplaying
		d.emit(Replay{Attempt: x.attempt, Requester: x.requester, Holder: a.Holder, Timeout: x.deadline.Sub(now)})
	case claim.OutcomeDuplicateRunning:
		d.endExecution(now, x, request.RunDuplicateRunning)
	case claim.OutcomeDuplicateUnknown:
		d.endExecution(now, x, request.RunDuplicateUnknown)
	case claim.OutcomeKeyReused:
		d.endExecution(now, x, request.RunKeyReused)
	default:
		d.endExecution(now, x, request.RunNotClaimed)
	}
}

// replayed handles the end of a replay. If no part of the recorded answer could be
// sent, the outcome of the duplicate is unknown.
func (d *Dispatcher) replayed(now time.Time, e Replayed) {
	x, ok := d.executions[e.Attempt]
	if !ok || x.phase != phaseReplaying {
		return
	}
	switch {
	case e.Complete:
		d.endExecution(now, x, request.RunAnswered)
	case e.Started:
		d.endExecution(now, x, request.RunBroken)
	default:
		d.endExecution(now, x, request.RunDuplicateUnknown)
	}
}

// withdrawExpired withdraws the claims of attempts whose deadline has passed.
func (d *Dispatcher) withdrawExpired(now time.Time) {
	var expired []core.AttemptID
	for id, x := range d.executions {
		if x.phase == phaseClaiming && !now.Before(x.deadline) {
			expired = append(expired, id)
		}
	}
	slices.SortFunc(expired, core.AttemptID.Compare)
	for _, id := range expired {
		d.performClaimActions(now, d.coordinator.Handle(now, claim.Withdrawn{Attempt: id}))
	}
}

// claimDeadline returns the earliest deadline of an attempt that waits for its
// claim.
func (d *Dispatcher) claimDeadline() (time.Time, bool) {
	var due time.Time
	for _, x := range d.executions {
		if x.phase == phaseClaiming && (due.IsZero() || x.deadline.Before(due)) {
			due = x.deadline
		}
	}
	return due, !due.IsZero()
}

func slotEnd(result request.RunResult) admission.SlotEnd {
	switch result {
	case request.RunAnswered:
		return admission.SlotAnswered
	case request.RunShed:
		return admission.SlotShed
	case request.RunUnreachable:
		return admission.SlotUnreachable
	case request.RunTimedOut:
		return admission.SlotTimedOut
	case request.RunCancelled:
		return admission.SlotCancelled
	default:
		return admission.SlotBroken
	}
}

func claimEnd(e Executed) claim.End {
	switch e.Result {
	case request.RunAnswered:
		if e.Recorded {
			return claim.EndAnswered
		}
		return claim.EndAnsweredUnrecorded
	case request.RunShed, request.RunUnreachable:
		return claim.EndNotRun
	default:
		return claim.EndUnknown
	}
}
