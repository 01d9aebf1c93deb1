// Package consensus is the core of the replicated log that the control
// instances agree on. It does no I/O and reads no clock: its driver hands
// it typed events and carries out the actions that it returns.
package consensus
