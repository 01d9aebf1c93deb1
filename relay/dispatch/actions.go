package dispatch

import (
	"time"

	"zinniapulley.dev/claim"
	"zinniapulley.dev/core"
	"zinniapulley.dev/request"
)

// Action is something that the dispatcher asks its companion to do.
type Action interface{ action() }

// ForCaller is an action towards the caller: Deliver, Discard, Finish, Abort or
// Refuse of package request.
type ForCaller struct{ Action request.Action }

// AskReserve asks a peer for a slot.
type AskReserve struct {
	Attempt core.AttemptID
	Peer    core.InstanceID
	Timeout time.Duration
	// Known is the slot count that the choice relied on.
	Known request.Load
}

// AskRun asks a peer to run an attempt.
type AskRun struct {
	Attempt core.AttemptID
	Peer    core.InstanceID
	Timeout time.Duration
	Keyed   *Keyed
}

// AskCancel tells a peer that nobody waits for an attempt.
type AskCancel struct {
	Attempt core.AttemptID
	Peer    core.InstanceID
}

// TellReserved answers a peer's request for a slot.
type TellReserved struct {
	Attempt core.AttemptID
	Asker   core.InstanceID
	Granted bool
	Load    request.Load
}

// TellRun tells a peer how its attempt ended.
type TellRun struct {
	Attempt core.AttemptID
	Asker   core.InstanceID
	Result  request.RunResult
	Load    request.Load
}

// Execute sends an attempt to the own backend server. The answer goes to the
// asker as it comes.
type Execute struct {
	Attempt core.AttemptID
	Asker   core.InstanceID
	Timeout time.Duration
	// Record is the holder under which the answer is to be recorded for
	// resubmissions, nil when it is not.
	Record *claim.Holder
}

// StopExecution cancels an attempt at the own backend server. Its end is still
// reported by Executed.
type StopExecution struct{ Attempt core.AttemptID }

// Replay gives the asker the answer that the holder's companion recorded.
type Replay struct {
	Attempt core.AttemptID
	Asker   core.InstanceID
	Holder  claim.Holder
	Timeout time.Duration
}

// Propose hands a command to the claims.
type Propose struct{ Command claim.Command }

// AskHolder asks the holder's companion about the holder.
type AskHolder struct {
	Attempt core.AttemptID
	Holder  claim.Holder
}

// TellHolder answers a peer's question about a holder.
type TellHolder struct {
	Asker   core.InstanceID
	Attempt core.AttemptID
	Status  claim.HolderStatus
}

func (ForCaller) action()     {}
func (AskReserve) action()    {}
func (AskRun) action()        {}
func (AskCancel) action()     {}
func (TellReserved) action()  {}
func (TellRun) action()       {}
func (Execute) action()       {}
func (StopExecution) action() {}
func (Replay) action()        {}
func (Propose) action()       {}
func (AskHolder) action()     {}
func (TellHolder) action()    {}
