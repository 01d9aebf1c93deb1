package request

import (
	"time"

	"zinniapulley.dev/core"
)

// Event is an input of a Core.
type Event interface{ event() }

// Arrived is a request read from a caller's flow.
type Arrived struct {
	ID core.RequestID
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
	// Repeatable is true when the request may safely run twice.
	Repeatable bool
	// Keyed is true when the request carries an idempotency key. The key is
	// claimed where the request runs, and the run continues if the caller
	// disconnects, so that its answer is recorded for a resubmission.
	Keyed bool
}

// CallerDisconnected is the end of the caller's flow before the whole answer.
type CallerDisconnected struct{ ID core.RequestID }

// ReserveAnswered is a companion's reply to Reserve.
type ReserveAnswered struct {
	Attempt core.AttemptID
	Peer    core.InstanceID
	Granted bool
	Load    Load
}

// ReserveLost is a Reserve whose reply did not arrive.
type ReserveLost struct{ Attempt core.AttemptID }

// AnswerStarted is the head of the backend server's answer to an attempt.
type AnswerStarted struct{ Attempt core.AttemptID }

// RunEnded is the end of an attempt.
type RunEnded struct {
	Attempt core.AttemptID
	Result  RunResult
	// Load is the slot count after the attempt, nil if unknown.
	Load *Load
}

// PeersChanged lists all companions of the service that may run requests,
// this one included.
type PeersChanged struct{ Peers []core.InstanceID }

// PeerLoad is a companion's slot count, received outside a reservation.
type PeerLoad struct {
	Peer core.InstanceID
	Load Load
}

func (Arrived) event()            {}
func (CallerDisconnected) event() {}
func (ReserveAnswered) event()    {}
func (ReserveLost) event()        {}
func (AnswerStarted) event()      {}
func (RunEnded) event()           {}
func (PeersChanged) event()       {}
func (PeerLoad) event()           {}

// Load is a companion's slot count.
type Load struct {
	// Free is how many more requests it accepts; Bound is the concurrency
	// limit of its backend server.
	Free  int
	Bound int
}

// RunResult is how an attempt ended.
type RunResult uint8

const (
	// RunAnswered is a whole answer.
	RunAnswered RunResult = iota + 1
	// RunNotStarted is an attempt whose reservation was no longer valid.
	// Nothing reached the backend server.
	RunNotStarted
	// RunUnreachable is a backend server that accepted no connection. Nothing
	// reached it.
	RunUnreachable
	// RunShed is a backend server that reported not having run the request.
	RunShed
	// RunNotClaimed is a keyed request whose claim could not be committed. It
	// was not run.
	RunNotClaimed
	// RunBroken is an attempt of which a part may have reached the backend
	// server and whose answer is missing or incomplete.
	RunBroken
	// RunTimedOut is an attempt without a whole answer at its deadline.
	RunTimedOut
	// RunCancelled is an attempt that was cancelled while it ran. The backend
	// server may have run it.
	RunCancelled
	// RunDuplicateRunning is a keyed request whose first submission still runs.
	RunDuplicateRunning
	// RunDuplicateUnknown is a keyed request that was submitted before with an
	// unknown outcome or an unrecorded answer.
	RunDuplicateUnknown
	// RunKeyReused is a key that was used before with another body.
	RunKeyReused
)

// String returns the result's name.
func (r RunResult) String() string {
	names := [...]string{
		"", "answered", "not started", "unreachable", "shed", "not claimed",
		"broken", "timed out", "cancelled", "duplicate running", "duplicate unknown", "key reused",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}
