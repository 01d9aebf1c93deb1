package control

import "time"

// Log orders commands and applies them to the state machine once they are
// durable. It is driven by the control loop only.
type Log interface {
	// Propose hands in one command. done is called once, on the control loop:
	// with the result of applying the command, or with an error when the
	// command was not accepted or its outcome is unknown.
	Propose(now time.Time, command Command, done func(Result, error))
}

// Machine is the deterministic state that the log's commands change.
type Machine interface {
	// Apply carries out one command. All instances apply the same commands in
	// the same order and come to the same state.
	Apply(command Command) Result
}

// LocalLog applies each command at once, for a group of one instance without
// durable state.
type LocalLog struct {
	machine Machine
}

// NewLocalLog returns a log that applies commands to the machine.
func NewLocalLog(machine Machine) *LocalLog {
	return &LocalLog{machine: machine}
}

// Propose applies the command and reports its result.
func (l *LocalLog) Propose(_ time.Time, command Command, done func(Result, error)) {
	done(l.machine.Apply(command), nil)
}
