// Package claim decides whether a request that may not be repeated may run:
// each idempotency key is claimed before its request runs, and a duplicate
// gets the recorded outcome. It does no I/O and reads no clock.
package claim
