// Package request decides the fate of one request: deadlines, retries under
// a budget, refusals, and to which peer a request without a free slot is
// passed. It does no I/O and reads no clock.
package request
