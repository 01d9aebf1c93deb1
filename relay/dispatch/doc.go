// Package dispatch joins the decisions about requests at one companion: the
// core that places callers' requests (package request), the slots of the own
// backend server (package admission) and the claims of idempotency keys
// (package claim). It does no I/O and reads no clock, so the same code serves
// any front end and any encoding between companions.
//
// A companion is an asker for the requests that it reads from callers' flows,
// and a runner for the requests that run on its backend server. An asker that
// picks its own companion goes through the same steps without a message.
//
// The companion carries messages between dispatchers. Any of them may be lost,
// and any but RunAsked may come twice; it reports a lost reservation answer with
// request.ReserveLost and a lost run with request.RunEnded. It hands RunAsked
// over at most once for each attempt, as a call over TCP does.
package dispatch
