package control

import (
	"fmt"
	"time"

	"zinniapulley.dev/control/state"
	"zinniapulley.dev/core"
)

// Log is the replicated log. It orders commands and applies them to the state
// machine once they are durable. Only the control loop calls it, and it calls back
// on that loop.
type Log interface {
	// Propose proposes one command. done is called once: with the result of
	// applying the command, or with an error if the command was not accepted or
	// its outcome is unknown. NotLeaderError means that it was not accepted.
	Propose(now time.Time, command state.Command, done func(state.Result, error))
	// Confirm has a quorum confirm that this instance is the leader. done is
	// called once, without an error when the state machine has applied all
	// commands that were accepted before the call.
	Confirm(now time.Time, done func(error))
	// Leading reports whether this instance believes that it is the leader.
	Leading() bool
	// Leader returns the last leader known to this instance; empty if there is
	// none.
	Leader() core.InstanceID
}

// StateMachine is the deterministic state that the log's commands change.
type StateMachine interface {
	// Apply applies one command. All instances apply the same commands in the
	// same order and reach the same state.
	Apply(command state.Command) state.Result
	// Snapshot returns the whole state.
	Snapshot() state.Snapshot
	// Restore replaces the whole state.
	Restore(snapshot state.Snapshot) error
}

// NotLeaderError refuses a request that only the leader serves. Nothing was
// changed.
type NotLeaderError struct {
	// Leader is the last leader known to the instance; empty if there is none.
	Leader core.InstanceID
}

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this control instance is not the leader and the leader is unknown; try another control instance"
	}
	return fmt.Sprintf("this control instance is not the leader; try %s", e.Leader)
}

// LocalLog is the Log of a group of one instance without durable state. It
// applies each command at once.
type LocalLog struct {
	machine  StateMachine
	instance core.InstanceID
}

// NewLocalLog returns a log that applies commands to the machine.
func NewLocalLog(self core.InstanceID, machine StateMachine) *LocalLog {
	return &LocalLog{machine: machine, instance: self}
}

// Propose applies the command and reports its result.
func (l *LocalLog) Propose(_ time.Time, command state.Command, done func(state.Result, error)) {
	done(l.machine.Apply(command), nil)
}

// Confirm succeeds at once: the one instance is the quorum.
func (l *LocalLog) Confirm(_ time.Time, done func(error)) {
	done(nil)
}

// Leading reports true: the one instance leads.
func (l *LocalLog) Leading() bool {
	return true
}

// Leader returns the one instance.
func (l *LocalLog) Leader() core.InstanceID {
	return l.instance
}
