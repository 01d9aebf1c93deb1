package flow

import (
	"time"

	"zinniapulley.dev/core"
)

// DefaultLease is how long an instance serves without a new confirmation that
// its data centre is in service.
const DefaultLease = 2500 * time.Millisecond

// LeaseState is the state of an instance's own data centre as far as confirmed.
type LeaseState uint8

const (
	// LeaseUnconfirmed means that no recent confirmation has the data centre in
	// service: the instance drops packets without a reset, so that flows survive
	// a short loss of control.
	LeaseUnconfirmed LeaseState = iota
	// LeaseInService means that the data centre is in service.
	LeaseInService
	// LeaseOutOfService means that operators have taken the data centre out of
	// service: the instance resets its flows.
	LeaseOutOfService
)

// String returns the state in words.
func (s LeaseState) String() string {
	switch s {
	case LeaseUnconfirmed:
		return "held"
	case LeaseInService:
		return "in"
	case LeaseOutOfService:
		return "out"
	default:
		return "unknown"
	}
}

// Confirmation reports whether a data centre was in service at some earlier time.
// It may come from any peer, which adds the time that it has held it to Age.
type Confirmation struct {
	// Revision is the revision of the view with this state of the data centre.
	Revision core.Revision
	In       bool
	// Age is an upper bound of the time since control confirmed it: each peer on
	// the way adds its own holding time and the round trip of the call that
	// fetched it.
	Age time.Duration
}

// Lease decides from confirmations whether an instance may serve. A lease of
// zero duration never expires.
type Lease struct {
	duration time.Duration
	revision core.Revision
	in       bool
	until    time.Time
}

// NewLease returns a lease without a confirmation.
func NewLease(duration time.Duration) *Lease {
	return &Lease{duration: duration}
}

// Confirm handles a confirmation that arrived now. One of an older revision may
// extend the lease of a data centre that is in service, but never changes its
// state; a greater age never shortens the lease.
func (l *Lease) Confirm(now time.Time, c Confirmation) {
	if c.Age < 0 {
		return
	}
	l.Learn(c.Revision, c.In)
	if !c.In || !l.in {
		return
	}
	until := now.Add(l.duration - c.Age)
	if until.After(l.until) {
		l.until = until
	}
}

// Learn records the data centre's state in a view. It doesn't extend the lease,
// since a view may be old.
func (l *Lease) Learn(revision core.Revision, in bool) {
	if revision < l.revision {
		return
	}
	l.revision = revision
	l.in = in
	if !in {
		l.until = time.Time{}
	}
}

// State returns the state at the given time.
func (l *Lease) State(now time.Time) LeaseState {
	switch {
	case l.revision > 0 && !l.in:
		return LeaseOutOfService
	case l.duration == 0 && l.in:
		return LeaseInService
	case now.Before(l.until):
		return LeaseInService
	default:
		return LeaseUnconfirmed
	}
}

// Confirmation returns what this instance can confirm to a peer, and false if it
// has no valid confirmation. The peer adds the round trip of its call to the age.
func (l *Lease) Confirmation(now time.Time) (Confirmation, bool) {
	if l.revision > 0 && !l.in {
		return Confirmation{Revision: l.revision}, true
	}
	if !now.Before(l.until) {
		return Confirmation{}, false
	}
	age := l.duration - l.until.Sub(now)
	return Confirmation{Revision: l.revision, In: true, Age: age}, true
}

// Admit returns why an entry instance drops all packets at the given time, or
// DropNone.
func (l *Lease) Admit(now time.Time) DropReason {
	switch l.State(now) {
	case LeaseInService:
		return DropNone
	case LeaseOutOfService:
		return DropDataCentreOut
	default:
		return DropLeaseUnconfirmed
	}
}
