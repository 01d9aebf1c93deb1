package dispatch

import (
	"time"

	"zinniapulley.dev/claim"
	"zinniapulley.dev/core"
	"zinniapulley.dev/request"
)

// Action is something that the dispatcher asks its companion to do.
type Action interface{ action() }

// CallerAction is an action towards the caller: Deliver, Discard, Finish, Abort or
// Refuse of package request.
type CallerAction struct{ Action request.Action }

// SendReserve asks a peer for a slot.
type SendReserve struct {
	Attempt core.AttemptID
	Peer    core.InstanceID
	Timeout time.Duration
	// AssumedLoad is the slot count that the choice relied on.
	AssumedLoad request.Load
}

// SendRun asks a peer to run an attempt.
type SendRun struct {
	Attempt core.AttemptID
	Peer    core.InstanceID
	Timeout time.Duration
	Keyed   *Keyed
}

// SendCancel tells a peer that nobody waits for an attempt.
type SendCancel struct {
	Attempt core.AttemptID
	Peer    core.InstanceID
}

// SendReserveReply answers a peer's request for a slot.
type SendReserveReply struct {
	Attempt core.AttemptID
	Requester   core.InstanceID
	Granted bool
	Load    request.Load
}

// SendRunResult tells a peer how its attempt ended.
type SendRunResult struct {
	Attempt core.AttemptID
	Requester   core.InstanceID
	Result  request.RunResult
	Load    request.Load
}

// Execute sends an attempt to the own backend server. The answer goes to the
// asker as it comes.
type Execute struct {
	Attempt core.AttemptID
	Requester   core.InstanceID
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
	Requester   core.InstanceID
	Holder  claim.Holder
	Timeout time.Duration
}

// Propose hands a command to the claims.
type Propose struct{ Command claim.Command }

// QueryHolder asks the holder's companion about the holder.
type QueryHolder struct {
	Attempt core.AttemptID
	Holder  claim.Holder
}

// SendHolderStatus answers a peer's question about a holder.
type SendHolderStatus struct {
	Requester   core.InstanceID
	Attempt core.AttemptID
	Status  claim.HolderStatus
}

func (CallerAction) action()     {}
func (SendReserve) action()    {}
func (SendRun) action()        {}
func (SendCancel) action()     {}
func (SendReserveReply) action()  {}
func (SendRunResult) action()       {}
func (Execute) action()       {}
func (StopExecution) action() {}
func (Replay) action()        {}
func (Propose) action()       {}
func (QueryHolder) action()     {}
func (SendHolderStatus) action()    {}
