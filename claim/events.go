package claim

import (
	"time"

	"zinniapulley.dev/core"
)

// Event is an input of a Coordinator.
type Event interface{ event() }

// Begin is a keyed request that has a slot and is ready to run.
type Begin struct {
	Attempt core.AttemptID
	Key     Key
	Digest  Digest
}

// Withdrawn cancels a request whose result is no longer needed. It has no effect
// on a request that already runs.
type Withdrawn struct{ Attempt core.AttemptID }

// Ended is the end of a run that Execute started.
type Ended struct {
	Attempt core.AttemptID
	End     End
}

// Resolved is the result of a proposed command.
type Resolved struct {
	Command Command
	Result  Result
}

// Unresolved is a proposed command whose result did not arrive in time. It may
// still be applied.
type Unresolved struct{ Command Command }

// HolderQueried is another companion's query about a holder of this one.
type HolderQueried struct {
	// Requester and Attempt address the reply.
	Requester core.InstanceID
	Attempt   core.AttemptID
	Holder    Holder
}

// HolderAnswered is the reply to QueryHolder, or its timeout.
type HolderAnswered struct {
	Attempt core.AttemptID
	Status  HolderStatus
}

func (Begin) event()          {}
func (Withdrawn) event()      {}
func (Ended) event()          {}
func (Resolved) event()       {}
func (Unresolved) event()     {}
func (HolderQueried) event()  {}
func (HolderAnswered) event() {}

// End is how a keyed run ended.
type End uint8

const (
	// EndAnswered means that the whole answer was recorded.
	EndAnswered End = iota + 1
	// EndAnsweredUnrecorded means that the answer was too large to record.
	EndAnsweredUnrecorded
	// EndNotRun means that the request certainly did not run.
	EndNotRun
	// EndUnknown means that the request may have run, without a whole answer.
	EndUnknown
)

// HolderStatus is the result of a query about a holder.
type HolderStatus uint8

const (
	// HolderActive means that the attempt is in progress, or that its end is
	// being recorded.
	HolderActive HolderStatus = iota + 1
	// HolderIdle means that the companion, in the same incarnation, neither
	// runs the request nor ever will.
	HolderIdle
	// HolderRestarted means that the companion has no record of that
	// incarnation.
	HolderRestarted
	// HolderUnreachable means that the companion did not answer.
	HolderUnreachable
)

// Action is an output of a Coordinator, which its companion carries out.
type Action interface{ action() }

// Propose submits a command to the replicated Table. The companion replies
// with Resolved or, after a timeout of its choice, Unresolved.
type Propose struct{ Command Command }

// Execute runs the request on the backend server, once.
type Execute struct {
	Attempt core.AttemptID
	Holder  Holder
}

// EndAttempt ends an attempt that its claim did not allow to run, or whose key is
// free again.
type EndAttempt struct {
	Attempt core.AttemptID
	Outcome Outcome
	// Holder is the run whose answer was recorded, for OutcomeReplay.
	Holder Holder
}

// QueryHolder queries the holder's companion for the holder's status.
type QueryHolder struct {
	Attempt core.AttemptID
	Holder  Holder
}

// SendHolderStatus is the reply to HolderQueried.
type SendHolderStatus struct {
	Requester core.InstanceID
	Attempt   core.AttemptID
	Status    HolderStatus
}

func (Propose) action()          {}
func (Execute) action()          {}
func (EndAttempt) action()       {}
func (QueryHolder) action()      {}
func (SendHolderStatus) action() {}

// Outcome is the result of a keyed attempt that Settle ends.
type Outcome uint8

const (
	// OutcomeNotClaimed means that the request was not run because its key
	// could not be claimed.
	OutcomeNotClaimed Outcome = iota + 1
	// OutcomeReleased means that the request did not run and that its key is
	// free again.
	OutcomeReleased
	// OutcomeReplay means that the recorded answer is to be sent.
	OutcomeReplay
	// OutcomeDuplicateRunning means that an earlier submission still runs.
	OutcomeDuplicateRunning
	// OutcomeDuplicateUnknown means that an earlier submission has no known
	// outcome or no recorded answer.
	OutcomeDuplicateUnknown
	// OutcomeKeyReused means that the key was used before with another digest.
	OutcomeKeyReused
)

// CoordinatorLimits bounds the resending of commands.
type CoordinatorLimits struct {
	// Resend is the delay before an unresolved command is proposed again. It
	// doubles each time, up to MaxResend.
	Resend    time.Duration
	MaxResend time.Duration
}

// DefaultCoordinatorLimits returns the limits that companions use.
func DefaultCoordinatorLimits() CoordinatorLimits {
	return CoordinatorLimits{Resend: 200 * time.Millisecond, MaxResend: 10 * time.Second}
}
