package control

import (
	"fmt"
	"time"

	"zinniapulley.dev/control/state"
	"zinniapulley.dev/core"
)

// Log orders commands and applies them to the machine once they are durable. It
// is driven by the control loop only, and calls back on it.
type Log interface {
	// Propose hands in one command. done is called once: with the result of
	// applying the command, or with an error when the command was not accepted
	// or its outcome is unknown. NotLeaderError says that it was not accepted.
	Propose(now time.Time, command state.Command, done func(state.Result, error))
	// Confirm asks a quorum whether this instance leads. done is called once:
	// without an error when the machine holds all that was accepted before the
	// call.
	Confirm(now time.Time, done func(error))
	// Leading reports whether this instance leads its group, as far as it
	// knows.
	Leading() bool
	// Leader returns the instance that leads as far as this one knows; empty if
	// it knows none.
	Leader() core.InstanceID
}

// StateMachine is the deterministic state that the log's commands change.
type StateMachine interface {
	// Apply carries out one command. All instances apply the same commands in
	// the same order and come to the same state.
	Apply(command state.Command) state.Result
	// Snapshot returns the whole state.
	Snapshot() state.Snapshot
	// Restore replaces the whole state.
	Restore(snapshot state.Snapshot) error
}

// NotLeaderError refuses what only the leader does. Nothing was changed.
type NotLeaderError struct {
	// Leader is the leader as far as this instance knows; empty if unknown.
	Leader core.InstanceID
}

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this control instance doesn't lead, and knows of no leader; ask another one"
	}
	return fmt.Sprintf("this control instance doesn't lead; ask %s", e.Leader)
}

// LocalLog applies each command at once, for a group of one instance without
// durable state.
type LocalLog struct {
	machine StateMachine
	self    core.InstanceID
}

// NewLocalLog returns a log that applies commands to the machine.
func NewLocalLog(self core.InstanceID, machine StateMachine) *LocalLog {
	return &LocalLog{machine: machine, self: self}
}

// Propose applies the command and reports its result.
func (l *LocalLog) Propose(_ time.Time, command state.Command, done func(state.Result, error)) {
	done(l.machine.Apply(command), nil)
}

// Confirm reports at once: the one instance is the quorum.
func (l *LocalLog) Confirm(_ time.Time, done func(error)) {
	done(nil)
}

// Leading reports true: the one instance leads.
func (l *LocalLog) Leading() bool {
	return true
}

// Leader returns the one instance.
func (l *LocalLog) Leader() core.InstanceID {
	return l.self
}
