package dispatch

import (
	"time"

	"zinniapulley.dev/claim"
	"zinniapulley.dev/core"
	"zinniapulley.dev/request"
)

// Event is an input of the dispatcher: something that happened to a request, a peer
// or the backend server.
type Event interface{ event() }

// Keyed identifies a request with an idempotency key: the key, and the digest that
// distinguishes a resubmission from another request under the same key.
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

// RequestEvent is an event for the request core: the end of a caller's flow, a
// peer's reply, the head or the end of an answer from a peer.
type RequestEvent struct{ Event request.Event }

// ClaimEvent is an event for the claim coordinator: the result of a command or a
// message from another companion.
type ClaimEvent struct{ Event claim.Event }

// ReserveRequested is a peer's request for a slot.
type ReserveRequested struct {
	Attempt   core.AttemptID
	Requester core.InstanceID
}

// RunRequested is a peer's request to run an attempt that has a slot.
type RunRequested struct {
	Attempt   core.AttemptID
	Requester core.InstanceID
	Deadline  time.Time
	Keyed     *Keyed
}

// CancelRequested is a requester's cancellation of an attempt.
type CancelRequested struct{ Attempt core.AttemptID }

// Executed is the end of an attempt that Execute started.
type Executed struct {
	Attempt core.AttemptID
	Result  request.RunResult
	// Recorded is true if the whole answer was recorded.
	Recorded bool
}

// Replayed is the end of Replay.
type Replayed struct {
	Attempt core.AttemptID
	// Complete is true if the whole recorded answer was sent.
	Complete bool
	// Started is true if any part of it was sent.
	Started bool
}

// BackendChanged is the announced state of this companion's backend server.
type BackendChanged struct {
	StartID core.StartID
	// Draining is true while the backend server accepts no new requests.
	Draining bool
}

func (Submitted) event()        {}
func (RequestEvent) event()     {}
func (ClaimEvent) event()       {}
func (ReserveRequested) event() {}
func (RunRequested) event()     {}
func (CancelRequested) event()  {}
func (Executed) event()         {}
func (Replayed) event()         {}
func (BackendChanged) event()   {}
