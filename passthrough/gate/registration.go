package gate

import "time"

// Registration tracks the announcements of a companion's backend server. It must be
// used by the control goroutine only.
type Registration struct {
	target Target
	// processStart is when this companion's process began, by the clock that backend
	// servers report their start by.
	processStart time.Time
	// announcementLimit is the age of the last announcement beyond which a backend
	// server with an earlier start replaces the known one: clocks jump back.
	announcementLimit time.Duration
}

// startSlack is how much earlier than its companion a backend server may have
// started without an earlier companion process having run: both start with their
// machine. A companion process that ends alone takes longer than that to restart.
const startSlack = 100 * time.Millisecond

// maxInitialNumber is the highest announcement number of a backend server that has
// just started; its first announcements may have reached no companion.
const maxInitialNumber = 5

// NewRegistration returns a Registration without a backend server, for a process
// that began at the given time. limit is Config.AnnouncementLimit.
func NewRegistration(began time.Time, limit time.Duration) *Registration {
	return &Registration{processStart: began, announcementLimit: limit}
}

// Target returns the state of the backend server.
func (r *Registration) Target() Target { return r.target }

// Announce records an announcement. It reports false for one that is outdated: of
// an earlier start, or overtaken by a later one.
func (r *Registration) Announce(now time.Time, a Announcement) (Target, bool) {
	t := r.target
	same := t.Known && t.Server == a.Server && t.Born == a.Born
	expired := now.Sub(t.LastSeen) > r.announcementLimit
	if t.Known && !expired && ((same && a.Number <= t.Number) || (!same && a.Born < t.Born)) {
		return t, false
	}
	if !same {
		t = Target{Known: true, StartCount: t.StartCount + 1, StartedAfterCompanion: t.Known || t.Ended || r.startedAfterCompanion(a)}
	}
	t.Ended = false
	// A backend server that drains doesn't resume before it is started again.
	a.Draining = a.Draining || (same && t.Draining)
	t.Announcement = a
	t.LastSeen = now
	if a.ColdFor > 0 {
		t.ColdUntil = now.Add(a.ColdFor)
	}
	r.target = t
	return t, true
}

// startedAfterCompanion reports whether the announcing backend server started no
// earlier than this companion. The announcement number rules out a long-running
// server whose clock has jumped.
func (r *Registration) startedAfterCompanion(a Announcement) bool {
	return a.Number <= maxInitialNumber && !time.UnixMilli(a.Born).Before(r.processStart.Add(-startSlack))
}

// Depart records a backend server's departure. It reports false if another server
// is known here.
func (r *Registration) Depart(server string) (Target, bool) {
	if !r.target.Known || r.target.Server != server {
		return r.target, false
	}
	r.target.Departed = true
	return r.target, true
}

// ConnectionRefused records that a connection to the backend server's address, begun
// at the given time, was refused. It reports false if that changes nothing.
func (r *Registration) ConnectionRefused(began time.Time) (Target, bool) {
	if r.target.Departed || r.target.Ended || !r.target.LastSeen.Before(began) {
		return r.target, false
	}
	r.target.Ended, r.target.EndedAt, r.target.Reachable = true, began, false
	return r.target, true
}

// ConnectionAccepted records that a connection to the backend server's address was
// accepted. It reports false if that changes nothing.
func (r *Registration) ConnectionAccepted() (Target, bool) {
	if r.target.Known || r.target.Reachable {
		return r.target, false
	}
	r.target.Reachable, r.target.Ended = true, false
	return r.target, true
}
