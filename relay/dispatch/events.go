package dispatch

import (
	"time"

	"zinniapulley.dev/claim"
	"zinniapulley.dev/core"
	"zinniapulley.dev/request"
)

// Event is something that happened to a request, a peer or the backend server.
type Event interface{ event() }

// Keyed is what a request with an idempotency key adds to it.
type Keyed struct {
	Key    claim.Key
	Digest claim.Digest
}

// Submitted is a request read from a caller's flow.
type Submitted struct {
	ID         core.RequestID
	Deadline   time.Time
	Repeatable bool
	// Keyed is nil for a request without an idempotency key.
	Keyed *Keyed
}

// RequestEvent is an event for the core that places callers' requests: the end
// of a caller's flow, a peer's answer, the head or the end of an answer from a
// peer.
type RequestEvent struct{ Event request.Event }

// ClaimEvent is an event for the keeper of claims: the result of a command or a
// word from another companion.
type ClaimEvent struct{ Event claim.Event }

// ReserveRequested is an asker's request for a slot.
type ReserveRequested struct {
	Attempt core.AttemptID
	Requester   core.InstanceID
}

// RunRequested is an asker's request to run an attempt that has a slot.
type RunRequested struct {
	Attempt  core.AttemptID
	Requester    core.InstanceID
	Deadline time.Time
	Keyed    *Keyed
}

// CancelRequested says that the asker no longer waits for an attempt.
type CancelRequested struct{ Attempt core.AttemptID }

// Executed is the end of an attempt that Execute started.
type Executed struct {
	Attempt core.AttemptID
	Result  request.RunResult
	// Recorded is true when the whole answer was recorded.
	Recorded bool
}

// Replayed is the end of Replay.
type Replayed struct {
	Attempt core.AttemptID
	// Complete is true when the whole recorded answer was given.
	Complete bool
	// Started is true when a part of it was given.
	Started bool
}

// BackendChanged is what is announced of the own backend server.
type BackendChanged struct {
	StartID core.StartID
	// Draining is true while it takes no new requests.
	Draining bool
}

func (Submitted) event()      {}
func (RequestEvent) event()    {}
func (ClaimEvent) event()      {}
func (ReserveRequested) event()   {}
func (RunRequested) event()       {}
func (CancelRequested) event()    {}
func (Executed) event()       {}
func (Replayed) event()       {}
func (BackendChanged) event() {}
