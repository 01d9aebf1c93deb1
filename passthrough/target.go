package passthrough

import (
	"time"

	"zinniapulley.dev/core"
)

// Announcement is what a backend server says of itself.
type Announcement struct {
	// Server is its name for itself.
	Server     string
	Service    core.ServiceName
	DataCentre core.DataCentre
	// Born is when it started, in milliseconds since 1970 by its own clock; zero if
	// it doesn't say.
	Born int64
	// Number counts its announcements since its start.
	Number uint64
	Slots  int
	// Draining says that it is about to leave.
	Draining bool
	// ColdFor is how much longer it stays cold.
	ColdFor time.Duration
}

// Target is what is known of a companion's backend server. It is immutable once
// it has been handed out.
type Target struct {
	Announcement
	Known bool
	// Departed says that it has said goodbye.
	Departed bool
	// Ended says that nothing runs at its address: a connection to it, begun at
	// EndedAt, was refused. It is set of one that isn't known, too.
	Ended   bool
	EndedAt time.Time
	// Reachable says that something runs at its address, of one that isn't known: a
	// connection to it was accepted.
	Reachable bool
	// StartCount counts the starts of backend servers that were known here.
	StartCount int
	// StartedAfterCompanion says that it started no earlier than this companion, so that all its
	// flows are known here.
	StartedAfterCompanion bool
	// ColdUntil is when it will be warm.
	ColdUntil time.Time
	// LastSeen is when it was heard of last.
	LastSeen time.Time
}

// Registration keeps what a companion's backend server says of itself. It belongs
// to the control goroutine.
type Registration struct {
	target Target
	// began is when this companion's process began, by the clock that backend servers
	// give their start by.
	began time.Time
	// limit is how long the known backend server must have been silent before one
	// that seems older takes its place: clocks jump back.
	limit time.Duration
}

// startSlack is how much earlier than its companion a backend server may have
// started without any other companion before: both start with their machine. A
// process that ends alone is started again after more than that.
const startSlack = 100 * time.Millisecond

// firstAnnouncements is the highest number of an announcement of a backend server
// that has just started, some of which found no companion yet.
const firstAnnouncements = 5

// NewRegistration returns a Registration that knows of none, for a process that
// began at the given time. limit is as GateConfig.AnnouncementLimit.
func NewRegistration(began time.Time, limit time.Duration) *Registration {
	return &Registration{began: began, limit: limit}
}

// Target returns what is known.
func (r *Registration) Target() Target { return r.target }

// Announce takes an announcement. It reports false for one that is older than
// what is known: of an earlier start, or overtaken by a later one.
func (r *Registration) Announce(now time.Time, a Announcement) (Target, bool) {
	t := r.target
	same := t.Known && t.Server == a.Server && t.Born == a.Born
	silent := now.Sub(t.LastSeen) > r.limit
	if t.Known && !silent && ((same && a.Number <= t.Number) || (!same && a.Born < t.Born)) {
		return t, false
	}
	if !same {
		t = Target{Known: true, StartCount: t.StartCount + 1, StartedAfterCompanion: t.Known || t.Ended || r.isYounger(a)}
	}
	t.Ended = false
	// A start that has begun to leave doesn't come back.
	a.Draining = a.Draining || (same && t.Draining)
	t.Announcement = a
	t.LastSeen = now
	if a.ColdFor > 0 {
		t.ColdUntil = now.Add(a.ColdFor)
	}
	r.target = t
	return t, true
}

// isYounger reports whether a backend server that announces itself has started no
// earlier than this companion. Its number tells it from one whose clock has jumped.
func (r *Registration) isYounger(a Announcement) bool {
	return a.Number <= firstAnnouncements && !time.UnixMilli(a.Born).Before(r.began.Add(-startSlack))
}

// Depart takes a backend server's goodbye. It reports false when another one is
// known here.
func (r *Registration) Depart(server string) (Target, bool) {
	if !r.target.Known || r.target.Server != server {
		return r.target, false
	}
	r.target.Departed = true
	return r.target, true
}

// ConnectionRefused takes that a connection to the backend server's address, begun at the given
// time, was refused. It reports false if that says nothing new.
func (r *Registration) ConnectionRefused(began time.Time) (Target, bool) {
	if r.target.Departed || r.target.Ended || !r.target.LastSeen.Before(began) {
		return r.target, false
	}
	r.target.Ended, r.target.EndedAt, r.target.Reachable = true, began, false
	return r.target, true
}

// ConnectionAccepted takes that a connection to the backend server's address was accepted. It
// reports false if that says nothing new.
func (r *Registration) ConnectionAccepted() (Target, bool) {
	if r.target.Known || r.target.Reachable {
		return r.target, false
	}
	r.target.Reachable, r.target.Ended = true, false
	return r.target, true
}

// NoServer reports whether no backend server runs beside a companion that began at the
// given time. One that is silent for firstWithin is taken not to run, unless something
// was found at its address.
func (t *Target) NoServer(now, began time.Time, firstWithin time.Duration) bool {
	return t.Down() || (!t.Known && !t.Reachable && now.Sub(began) > firstWithin)
}

// Down reports whether no backend server runs beside the companion.
func (t *Target) Down() bool { return t.Departed || t.Ended }

// SetTarget takes what is known of the backend server by now.
func (g *Gate) SetTarget(target Target) {
	if target.LastSeen.After(g.target.LastSeen) {
		// It speaks, so that it may be tried again.
		g.heard()
	}
	if target.StartCount != g.target.StartCount {
		for _, flow := range g.flows {
			g.endRequest(flow)
		}
		g.health = health{}
	}
	g.target = target
}

// unfit returns why the flow of an opening packet can't start here, ReasonNone if
// it can.
func (g *Gate) unfit(now time.Time, version uint64, p *Packet) Reason {
	reason := g.closedFor(now)
	if reason != ReasonNone {
		return reason
	}
	if !g.allows(version, p.Key) {
		return ReasonNotAllowed
	}
	service := g.table.Service(g.target.Service)
	if service != nil && service.MaxConnections > 0 && g.open >= service.MaxConnections {
		return ReasonConnectionLimit
	}
	if g.busy(p) {
		return ReasonBusy
	}
	if g.silent(now) {
		if now.Sub(g.probed) < probeInterval {
			return ReasonUnresponsive
		}
		g.probed = now
	}
	if g.cold(now) && g.windowFull(now) {
		return ReasonColdLimit
	}
	if !g.health.try(now) {
		return ReasonFailing
	}
	return ReasonNone
}

// closedFor returns why no new flow of any route can start here.
func (g *Gate) closedFor(now time.Time) Reason {
	switch {
	case g.stopping:
		return ReasonStopping
	case g.table == nil:
		return ReasonNoView
	case !g.target.Known:
		return ReasonNoTarget
	case g.target.Down():
		return ReasonServerDown
	case g.target.Draining:
		return ReasonDraining
	case g.table.DataCentreOut(g.config.DataCentre):
		return ReasonDataCentreOut
	case now.Sub(g.target.LastSeen) > g.config.AnnouncementLimit:
		return ReasonStale
	default:
		return ReasonNone
	}
}

// allows reports whether the route lets new flows go to the backend server's
// service. An entry instance with a newer configuration has checked it.
func (g *Gate) allows(version uint64, key core.FlowKey) bool {
	if version > g.table.View.Version {
		return true
	}
	found := g.table.Route(key.Service)
	return found != nil && found.Allows(g.target.Service)
}

// ResponseOverdue reports whether the backend server owes an answer for so long that it may
// have ended.
func (g *Gate) ResponseOverdue(now time.Time) bool {
	return g.target.Known && !g.target.Down() && !g.owing.IsZero() && now.Sub(g.owing) > suspectAfter
}

// silent reports whether the backend server has stopped answering.
func (g *Gate) silent(now time.Time) bool {
	return !g.unanswered.IsZero() && now.Sub(g.unanswered) > silentAfter
}

// cold reports whether the backend server bears only a little yet. After its data
// centre was out it may be cold without having said so yet.
func (g *Gate) cold(now time.Time) bool {
	if now.Before(g.target.ColdUntil) {
		return true
	}
	if g.returned.IsZero() {
		return false
	}
	service := g.table.Service(g.target.Service)
	return service != nil && now.Sub(g.returned) < service.ColdFor
}

// windowFull reports whether a cold backend server has got all the new flows that
// it bears in the window that ends now. A service without a rate sets no bound.
func (g *Gate) windowFull(now time.Time) bool {
	g.trimDelivered(now)
	service := g.table.Service(g.target.Service)
	if service == nil || service.ColdRate <= 0 {
		return false
	}
	bound := int(service.ColdRate*g.config.ColdFactor) + g.config.ColdSlack - coldReserve
	return len(g.delivered) >= max(bound, 1)
}

// trimDelivered forgets the opening packets before the window that ends now.
func (g *Gate) trimDelivered(now time.Time) {
	old := 0
	for old < len(g.delivered) && now.Sub(g.delivered[old]) > coldWindow {
		old++
	}
	g.delivered = append(g.delivered[:0], g.delivered[old:]...)
}

// Status returns what entry instances are told.
func (g *Gate) Status(now time.Time) Status {
	ready := g.closedFor(now) == ReasonNone && !g.silent(now)
	cold := ready && g.cold(now)
	if cold && g.windowFull(now) {
		ready = false
	}
	return Status{
		DataCentre: g.config.DataCentre, Service: g.target.Service, Server: g.target.Server,
		Ready: ready, Departed: g.alone(now), Cold: cold, Failing: g.health.failing(now, g.running), Slots: g.target.Slots,
		Running: g.running, Flows: g.open,
	}
}
