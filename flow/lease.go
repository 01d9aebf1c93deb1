package flow

import (
	"time"

	"zinniapulley.dev/core"
)

// DefaultLease is how long an instance serves without a fresh confirmation
// that its data centre is in.
const DefaultLease = 2500 * time.Millisecond

// LeaseState is what an instance knows of its own data centre.
type LeaseState uint8

const (
	// LeaseUnconfirmed means that nothing fresh confirms that the data centre is
	// in: the instance drops packets silently, so that flows survive a short
	// loss of control.
	LeaseUnconfirmed LeaseState = iota
	// LeaseInService means that the data centre is in.
	LeaseInService
	// LeaseOutOfService means that operators have taken the data centre out: the
	// instance gives its flows up.
	LeaseOutOfService
)

// String returns the standing in words.
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

// Confirmation says whether a data centre was in at some time past. It may
// come from any peer, which adds the time for which it has had it to Age.
type Confirmation struct {
	// Revision is the revision of the view that has this state of the data
	// centre.
	Revision core.Revision
	In       bool
	// Age is how long ago control confirmed it, at most: each peer on the way
	// adds its own holding time and the round trip of the call that fetched it.
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

// NewLease returns a lease that nothing has confirmed yet.
func NewLease(duration time.Duration) *Lease {
	return &Lease{duration: duration}
}

// Confirm takes a confirmation that arrived now. One of an older revision may
// extend the lease of a data centre that is in, but never changes its state;
// an older age never shortens the lease.
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

// Learn takes the data centre's state from a view. It extends no lease, since
// a view may be old.
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

// State returns what is known at the given time.
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

// Confirmation returns what this instance can tell a peer, and false when it
// has nothing fresh. The peer adds the round trip of its call to the age.
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
