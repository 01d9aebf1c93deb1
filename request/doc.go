// Package request decides deadlines, retries under a budget, refusals, and
// which companion runs a request. It does no I/O and reads no clock.
package request
