// Package state is the replicated state of a control group: the accepted
// configuration, the registered backend servers and the tables, with the view
// that is published of them.
//
// It is deterministic: every instance applies the same commands in the same
// order and comes to the same state. Time enters only with the commands. The
// package does no I/O.
package state
