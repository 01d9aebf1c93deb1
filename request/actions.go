package request

import (
	"time"

	"zinniapulley.dev/core"
)

// Action is an output of a Core, which its companion carries out.
type Action interface{ action() }

// Reserve requests a slot from a companion, which may be this one.
type Reserve struct {
	Attempt core.AttemptID
	Peer    core.InstanceID
	// Timeout is how long the answer may take.
	Timeout time.Duration
	// AssumedLoad is the slot count on which the choice of Peer is based.
	AssumedLoad Load
}

// Run sends the request to the companion that granted the slot.
type Run struct {
	Attempt core.AttemptID
	Peer    core.InstanceID
	// Timeout is how long the answer may take: the time left before the caller's
	// deadline, less HopMargin if the peer is another companion.
	Timeout time.Duration
}

// Cancel cancels an attempt at a companion. It releases the attempt's reservation
// or ends its run.
type Cancel struct {
	Attempt core.AttemptID
	Peer    core.InstanceID
}

// Deliver streams the answer of an attempt to the caller.
type Deliver struct{ Attempt core.AttemptID }

// Discard drops an answer that belongs to no waiting request.
type Discard struct{ Attempt core.AttemptID }

// Finish ends a request whose caller has the whole answer.
type Finish struct{ ID core.RequestID }

// Abort breaks the caller's flow in the middle of an answer, so that the answer
// never looks complete.
type Abort struct{ ID core.RequestID }

// Refuse answers the caller in place of a backend server.
type Refuse struct {
	ID      core.RequestID
	Outcome Outcome
	Reason  Reason
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}

func (Reserve) action() {}
func (Run) action()     {}
func (Cancel) action()  {}
func (Deliver) action() {}
func (Discard) action() {}
func (Finish) action()  {}
func (Abort) action()   {}
func (Refuse) action()  {}

// Outcome is what a refusal reports to the caller about the request's execution.
type Outcome uint8

const (
	// NotRun means that the request did not run on any backend server.
	NotRun Outcome = iota + 1
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
	// StillRunning means that an earlier submission of the key still runs.
	StillRunning
	// KeyReused means that the key was used before with another body. This
	// body did not run.
	KeyReused
)

// String returns the outcome's name.
func (o Outcome) String() string {
	names := [...]string{"", "not run", "outcome unknown", "still running", "key reused"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// Reason is why a request was refused.
type Reason uint8

const (
	// ReasonQueueFull means that too many requests were waiting.
	ReasonQueueFull Reason = iota + 1
	// ReasonNoSlot means that no slot became free in time.
	ReasonNoSlot
	// ReasonShed means that a backend server shed the request and that it can't be
	// retried within the retry budget and the deadline.
	ReasonShed
	// ReasonUnreachable means that a backend server accepted no connection and
	// that the request can't be retried within the retry budget and the deadline.
	ReasonUnreachable
	// ReasonNoClaim means that the idempotency key could not be claimed.
	ReasonNoClaim
	// ReasonBroken means that the backend server's answer was lost.
	ReasonBroken
	// ReasonDeadline means that the deadline passed while the request ran.
	ReasonDeadline
	// ReasonDuplicate means that the idempotency key was submitted before.
	ReasonDuplicate
)

// String returns the reason as callers and logs see it.
func (r Reason) String() string {
	names := [...]string{
		"", "queue full", "no slot in time", "shed", "backend server unreachable",
		"idempotency key not claimed", "answer lost", "deadline passed", "duplicate of an earlier request",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}
