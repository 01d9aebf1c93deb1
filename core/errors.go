package core

import "fmt"

// Step names what the system was doing when an error arose, for example
// "dial control" or "decode packet".
type Step string

// Peer names the other side of the step at which an error arose: an instance,
// an address or a file. It is empty where the step has no other side.
type Peer string

// StepError is an error with the step and the peer at which it arose.
type StepError struct {
	Step  Step
	Peer  Peer
	Cause error
}

// Error returns "step (peer): cause".
func (e *StepError) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Cause)
	}
	return fmt.Sprintf("%s (%s): %v", e.Step, e.Peer, e.Cause)
}

// Unwrap returns the cause, so that errors.Is and errors.As see it.
func (e *StepError) Unwrap() error {
	return e.Cause
}

// At returns err with the step and the peer at which it arose, and nil when
// err is nil.
func At(step Step, peer Peer, err error) error {
	if err == nil {
		return nil
	}
	return &StepError{Step: step, Peer: peer, Cause: err}
}
