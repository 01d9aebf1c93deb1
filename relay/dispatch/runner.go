package dispatch

import (
	"slices"
	"time"

	"zinniapulley.dev/admission"
	"zinniapulley.dev/claim"
	"zinniapulley.dev/core"
	"zinniapulley.dev/request"
)

// executionPhase is how far an attempt has come at its runner.
type executionPhase uint8

const (
	// phaseClaiming waits for the claim of the idempotency key.
	phaseClaiming executionPhase = iota + 1
	// phaseExecuting runs on the backend server.
	phaseExecuting
	// phaseReleasing waits until the key of a request that did not run is free.
	phaseReleasing
	// phaseReplaying gives the recorded answer.
	phaseReplaying
)

// execution is an attempt that was started at this companion.
type execution struct {
	attempt  core.AttemptID
	asker    core.InstanceID
	deadline time.Time
	keyed    *Keyed
	phase    executionPhase
	// result is how the run ended, in phaseReleasing.
	result request.RunResult
}

func (d *Dispatcher) reserveAsked(now time.Time, e ReserveRequested) {
	granted := d.slots.Reserve(now, e.Attempt) == admission.SlotGranted
	load := d.load(now)
	if e.Requester == d.self {
		d.request(now, request.ReserveAnswered{Attempt: e.Attempt, Peer: d.self, Granted: granted, Load: load})
		return
	}
	d.do(SendReserveReply{Attempt: e.Attempt, Requester: e.Requester, Granted: granted, Load: load})
}

// runAsked starts an attempt in its reserved slot, once. A keyed one is
// claimed first.
func (d *Dispatcher) runAsked(now time.Time, e RunRequested) {
	started := d.slots.Start(now, e.Attempt)
	if started == admission.SlotAlreadyStarted {
		return
	}
	x := &execution{attempt: e.Attempt, asker: e.Requester, deadline: e.Deadline, keyed: e.Keyed}
	if started != admission.SlotGranted {
		d.tellRun(now, x, request.RunNotStarted)
		return
	}
	d.executions[x.attempt] = x
	if x.keyed == nil {
		d.execute(now, x, nil)
		return
	}
	x.phase = phaseClaiming
	begin := claim.Begin{Attempt: x.attempt, Key: x.keyed.Key, Digest: x.keyed.Digest}
	d.claims(now, d.keeper.Handle(now, begin))
}

func (d *Dispatcher) execute(now time.Time, x *execution, record *claim.Holder) {
	x.phase = phaseExecuting
	d.do(Execute{
		Attempt: x.attempt,
		Requester:   x.asker,
		Timeout: x.deadline.Sub(now),
		Record:  record,
	})
}

// cancelAsked gives up an attempt: its reservation, its claim, or its run. A
// keyed run goes on to its deadline, so that its answer can be recorded.
func (d *Dispatcher) cancelAsked(now time.Time, e CancelRequested) {
	if d.slots.Cancel(e.Attempt) {
		return
	}
	x, ok := d.executions[e.Attempt]
	if !ok {
		return
	}
	switch x.phase {
	case phaseClaiming:
		d.claims(now, d.keeper.Handle(now, claim.Withdrawn{Attempt: x.attempt}))
	case phaseExecuting:
		if x.keyed == nil {
			d.do(StopExecution{Attempt: x.attempt})
		}
	}
}

// executed takes the end of a run at the backend server.
func (d *Dispatcher) executed(now time.Time, e Executed) {
	x, ok := d.executions[e.Attempt]
	if !ok || x.phase != phaseExecuting {
		return
	}
	d.slots.Finish(now, x.attempt, slotEnd(e.Result))
	if x.keyed == nil {
		d.close(now, x, e.Result)
		return
	}
	end := keyedEnd(e)
	if end == claim.EndNotRun {
		x.phase = phaseReleasing
		x.result = e.Result
	} else {
		d.close(now, x, e.Result)
	}
	d.claims(now, d.keeper.Handle(now, claim.Ended{Attempt: x.attempt, End: end}))
}

// close ends an execution and tells its asker.
func (d *Dispatcher) close(now time.Time, x *execution, result request.RunResult) {
	delete(d.executions, x.attempt)
	d.tellRun(now, x, result)
}

func (d *Dispatcher) tellRun(now time.Time, x *execution, result request.RunResult) {
	load := d.load(now)
	if x.asker == d.self {
		d.request(now, request.RunEnded{Attempt: x.attempt, Result: result, Load: &load})
		return
	}
	d.do(SendRunResult{Attempt: x.attempt, Requester: x.asker, Result: result, Load: load})
}

// claims carries out the keeper's actions.
func (d *Dispatcher) claims(now time.Time, actions []claim.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case claim.Propose:
			d.do(Propose(a))
		case claim.QueryHolder:
			d.do(QueryHolder(a))
		case claim.SendHolderStatus:
			d.do(SendHolderStatus(a))
		case claim.Execute:
			d.execute(now, d.executions[a.Attempt], &a.Holder)
		case claim.Settle:
			d.settled(now, a)
		}
	}
}

// settled ends an attempt whose claim did not let it run, or whose key is free
// again.
func (d *Dispatcher) settled(now time.Time, a claim.Settle) {
	x, ok := d.executions[a.Attempt]
	if !ok {
		return
	}
	d.slots.Finish(now, x.attempt, admission.SlotWithdrawn)
	switch a.Outcome {
	case claim.OutcomeReleased:
		d.close(now, x, x.result)
	case claim.OutcomeReplay:
		x.phase = phaseReplaying
		d.do(Replay{Attempt: x.attempt, Requester: x.asker, Holder: a.Holder, Timeout: x.deadline.Sub(now)})
	case claim.OutcomeDuplicateRunning:
		d.close(now, x, request.RunDuplicateRunning)
	case claim.OutcomeDuplicateUnknown:
		d.close(now, x, request.RunDuplicateUnknown)
	case claim.OutcomeKeyReused:
		d.close(now, x, request.RunKeyReused)
	default:
		d.close(now, x, request.RunNotClaimed)
	}
}

// replayed takes the end of a recorded answer. One that could not be had at
// all leaves the duplicate without a known outcome.
func (d *Dispatcher) replayed(now time.Time, e Replayed) {
	x, ok := d.executions[e.Attempt]
	if !ok || x.phase != phaseReplaying {
		return
	}
	switch {
	case e.Complete:
		d.close(now, x, request.RunAnswered)
	case e.Started:
		d.close(now, x, request.RunBroken)
	default:
		d.close(now, x, request.RunDuplicateUnknown)
	}
}

// withdrawLate gives up the claims of attempts whose deadline has passed.
func (d *Dispatcher) withdrawLate(now time.Time) {
	var late []core.AttemptID
	for id, x := range d.executions {
		if x.phase == phaseClaiming && !now.Before(x.deadline) {
			late = append(late, id)
		}
	}
	slices.SortFunc(late, core.AttemptID.Compare)
	for _, id := range late {
		d.claims(now, d.keeper.Handle(now, claim.Withdrawn{Attempt: id}))
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

func keyedEnd(e Executed) claim.End {
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
