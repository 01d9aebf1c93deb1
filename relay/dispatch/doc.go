// Package dispatch combines the decisions about requests at one companion: where
// callers' requests run (package request), which slots of its own backend server
// they occupy (package admission) and who holds the claims of idempotency keys
// (package claim). It does no I/O and reads no clock, so it works with any front
// end and any encoding of messages between companions.
//
// A companion is the requester of the requests that it reads from callers' flows,
// and the runner of those that run on its backend server. A requester that chooses
// itself as runner takes the same steps without a message.
//
// The companion carries messages between dispatchers. Any of them may be lost, and
// any but RunRequested may be delivered twice. The companion reports a lost reply to
// a reservation with request.ReserveLost and a lost run with request.RunEnded. It
// delivers RunRequested at most once for each attempt, as a call over TCP does.
package dispatch
