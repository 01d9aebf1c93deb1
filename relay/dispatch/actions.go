package dispatch

import (
	"time"

	"zinniapulley.dev/claim"
	"zinniapulley.dev/core"
	"zinniapulley.dev/request"
)

// Action is an output of the dispatcher, which its companion carries out.
type Action interface{ action() }

// CallerAction is an action that concerns a caller: Deliver, Discard, Finish, Abort
// or Refuse of package request.
type CallerAction struct{ Action request.Action }

// SendReserve requests a slot from a peer.
type SendReserve struct {
	Attempt core.AttemptID
	Peer    core.InstanceID
	Timeout time.Duration
	// AssumedLoad is the slot count on which the choice of Peer is based.
	AssumedLoad request.Load
}

// SendRun sends an attempt to the peer where it has a slot.
type SendRun struct {
	Attempt core.AttemptID
	Peer    core.InstanceID
	Timeout time.Duration
	Keyed   *Keyed
}

// SendCancel cancels an attempt at a peer.
type SendCancel struct {
	Attempt core.AttemptID
	Peer    core.InstanceID
}

// SendReserveReply is the reply to ReserveRequested.
type SendReserveReply struct {
	Attempt   core.AttemptID
	Requester core.InstanceID
	Granted   bool
	Load      request.Load
}

// SendRunResult reports the end of an attempt to its requester.
type SendRunResult struct {
	Attempt   core.AttemptID
	Requester core.InstanceID
	Result    request.RunResult
	Load      request.Load
}

// Execute sends an attempt to this companion's backend server. The answer is
// streamed to the requester.
type Execute struct {
	Attempt   core.AttemptID
	Requester core.InstanceID
	Timeout   time.Duration
	// Record is the holder under which the answer must be recorded for
	// resubmissions. It is nil if the answer need not be recorded.
	Record *claim.Holder
}

// StopExecution cancels an attempt at this companion's backend server. Executed
// still reports its end.
type StopExecution struct{ Attempt core.AttemptID }

// Replay sends the requester the answer that the holder's companion recorded.
type Replay struct {
	Attempt   core.AttemptID
	Requester core.InstanceID
	Holder    claim.Holder
	Timeout   time.Duration
}

// Propose submits a command to the replicated claim table.
type Propose struct{ Command claim.Command }

// QueryHolder queries the holder's companion for the holder's status.
type QueryHolder struct {
	Attempt core.AttemptID
	Holder  claim.Holder
}

// SendHolderStatus is the reply to claim.HolderQueried.
type SendHolderStatus struct {
	Requester core.InstanceID
	Attempt   core.AttemptID
	Status    claim.HolderStatus
}

func (CallerAction) action()     {}
func (SendReserve) action()      {}
func (SendRun) action()          {}
func (SendCancel) action()       {}
func (SendReserveReply) action() {}
func (SendRunResult) action()    {}
func (Execute) action()          {}
func (StopExecution) action()    {}
func (Replay) action()           {}
func (Propose) action()          {}
func (QueryHolder) action()      {}
func (SendHolderStatus) action() {}
