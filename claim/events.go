package claim

import (
	"time"

	"zinniapulley.dev/core"
)

// Event is something that happened to a keyed request at its companion.
type Event interface{ event() }

// Begin is a keyed request that has a slot and wants to run.
type Begin struct {
	Attempt core.AttemptID
	Key     Key
	Digest  Digest
}

// Withdrawn is a request that must not run any more because nobody waits for
// it. It has no effect on a request that runs already.
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

// Unresolved is a proposed command whose result did not come. It may be
// applied yet.
type Unresolved struct{ Command Command }

// HolderQueried is another companion's question about a holder of this one.
type HolderQueried struct {
	// Asker and Attempt say whom to answer.
	Asker   core.InstanceID
	Attempt core.AttemptID
	Holder  Holder
}

// HolderAnswered is the answer to AskHolder.
type HolderAnswered struct {
	Attempt core.AttemptID
	Status  HolderStatus
}

func (Begin) event()          {}
func (Withdrawn) event()      {}
func (Ended) event()          {}
func (Resolved) event()       {}
func (Unresolved) event()     {}
func (HolderQueried) event()    {}
func (HolderAnswered) event() {}

// End says how a keyed run ended.
type End uint8

const (
	// EndAnswered is a whole answer that was recorded.
	EndAnswered End = iota + 1
	// EndAnsweredUnrecorded is a whole answer too large to record.
	EndAnsweredUnrecorded
	// EndNotRun is a request that surely did not run.
	EndNotRun
	// EndUnknown is a request that may have run and has no whole answer.
	EndUnknown
)

// HolderStatus is what a companion knows of one of its holders.
type HolderStatus uint8

const (
	// HolderActive means that the run goes on, or that its end is being
	// recorded.
	HolderActive HolderStatus = iota + 1
	// HolderIdle means that the companion, in the same incarnation, neither
	// runs the request nor ever will.
	HolderIdle
	// HolderRestarted means that the companion has no memory of that
	// incarnation.
	HolderRestarted
	// HolderUnreachable means that the companion did not answer.
	HolderUnreachable
)

// Action is something that the keeper asks its companion to do.
type Action interface{ action() }

// Propose hands a command to the claims. The companion answers with Resolved
// or, after a time of its own, Unresolved.
type Propose struct{ Command Command }

// Execute runs the request on the backend server, once.
type Execute struct {
	Attempt core.AttemptID
	Holder  Holder
}

// Settle ends an attempt that does not run, or whose run is recorded.
type Settle struct {
	Attempt core.AttemptID
	Outcome Outcome
	// Holder is whose companion has the answer, for OutcomeReplay.
	Holder Holder
}

// QueryHolder asks the holder's companion about it.
type QueryHolder struct {
	Attempt core.AttemptID
	Holder  Holder
}

// SendHolderStatus answers HolderAsked.
type SendHolderStatus struct {
	Asker   core.InstanceID
	Attempt core.AttemptID
	Status  HolderStatus
}

func (Propose) action()    {}
func (Execute) action()    {}
func (Settle) action()     {}
func (QueryHolder) action()  {}
func (SendHolderStatus) action() {}

// Outcome says what became of a keyed attempt.
type Outcome uint8

const (
	// OutcomeNotClaimed means that the request was not run because its key
	// could not be claimed.
	OutcomeNotClaimed Outcome = iota + 1
	// OutcomeReleased means that the request did not run and that its key is
	// free again.
	OutcomeReleased
	// OutcomeReplay means that the recorded answer is to be given.
	OutcomeReplay
	// OutcomeDuplicateRunning means that an earlier submission still runs.
	OutcomeDuplicateRunning
	// OutcomeDuplicateUnknown means that an earlier submission has no known
	// outcome or no recorded answer.
	OutcomeDuplicateUnknown
	// OutcomeKeyReused means that the key came before with another digest.
	OutcomeKeyReused
)

// CoordinatorLimits bounds the resending of commands.
type CoordinatorLimits struct {
	// Resend is how long after an unresolved command it is proposed again. It
	// doubles up to MaxResend.
	Resend    time.Duration
	MaxResend time.Duration
}

// DefaultCoordinatorLimits returns the limits of a companion.
func DefaultCoordinatorLimits() CoordinatorLimits {
	return CoordinatorLimits{Resend: 200 * time.Millisecond, MaxResend: 10 * time.Second}
}
