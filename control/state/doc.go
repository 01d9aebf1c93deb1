// Package state holds the replicated state of a control group: the accepted
// configuration, the registered backend servers and the tables, and the view
// published from them.
//
// It is deterministic: every instance applies the same commands in the same
// order and reaches the same state. Time comes only from the commands. The
// package does no I/O.
package state
