// Package claim runs requests with an idempotency key at most once: each key
// is claimed before its request runs, and a duplicate gets the recorded
// outcome. It does no I/O and reads no clock.
package claim
