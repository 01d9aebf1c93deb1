package gate

import (
	"errors"
	"net/netip"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/route"
)

// Errors of announcements that are rejected. The backend server known before stays.
var (
	// ErrOutdated rejects an announcement of an earlier start, or one that a later one
	// has overtaken.
	ErrOutdated = errors.New("a later start or announcement is known here")
	// ErrOtherPlace rejects one that names another address or data centre.
	ErrOtherPlace = errors.New("the address or data centre is not that of the backend server beside this companion")
	// ErrUnknownService rejects one of a service that the configuration doesn't name, see
	// [route.Table.NamesService].
	ErrUnknownService = errors.New("the configuration doesn't name the service")
	// ErrNoConfiguration rejects one that would replace a running backend server before
	// there is a configuration to check its service by. It may be repeated.
	ErrNoConfiguration = errors.New("there is no configuration yet to check the service by")
)

// Registration tracks the announcements of a companion's backend server. It must be
// used by the control goroutine only.
type Registration struct {
	config RegistrationConfig
	// target is the state of the announced backend server. Before the first configuration
	// it may be that of another writer's announcement, see Target.
	target Target
	// table is the newest view that holds a configuration, nil before the first one.
	table *route.Table
}

// RegistrationConfig configures a Registration.
type RegistrationConfig struct {
	// Began is when this companion's process began, by the clock that backend servers
	// report their start by.
	Began time.Time
	// AnnouncementLimit is the age of the last announcement beyond which a backend
	// server with an earlier start replaces the known one: clocks jump back.
	AnnouncementLimit time.Duration
	// Server and DataCentre are the address and the data centre of the backend server
	// beside this companion.
	Server     netip.AddrPort
	DataCentre core.DataCentre
}

// startSlack is how much earlier than its companion a backend server may have
// started without an earlier companion process having run: both start with their
// machine. A companion process that ends alone takes longer than that to restart.
const startSlack = 100 * time.Millisecond

// maxInitialNumber is the highest announcement number of a backend server that has
// just started; its first announcements may have reached no companion.
const maxInitialNumber = 5

// NewRegistration returns a Registration without a backend server.
func NewRegistration(config RegistrationConfig) *Registration {
	return &Registration{config: config}
}

// Target returns the state of the backend server. Before the first configuration an
// announcement only shows that a server may run at the address.
func (r *Registration) Target() Target {
	if r.AwaitsConfiguration() {
		return Target{Ended: r.target.Ended, EndedAt: r.target.EndedAt, Reachable: !r.target.Ended}
	}
	return r.target
}

// AwaitsConfiguration reports whether there is an announcement that can't be checked before
// the first configuration.
func (r *Registration) AwaitsConfiguration() bool { return r.table == nil && r.target.Known }

// SetTable records a newer view, and returns the state of the backend server and the
// error that rejects what was announced before the first configuration, if any.
func (r *Registration) SetTable(table *route.Table) (Target, error) {
	if table.View.Version == 0 {
		return r.Target(), nil
	}
	before, first := r.Target(), r.table == nil
	r.table = table
	if first && r.target.Known && !table.NamesService(r.target.Service) {
		r.target = before
		return before, ErrUnknownService
	}
	return r.target, nil
}

// Announce records an announcement, or returns the error that rejects it.
func (r *Registration) Announce(now time.Time, a Announcement) (Target, error) {
	t := r.target
	same := t.Known && t.Server == a.Server && t.Born == a.Born
	err := r.check(now, a, same)
	if err != nil {
		return r.Target(), err
	}
	if !same {
		replaces := t.Known && r.table != nil
		t = Target{Known: true, StartCount: t.StartCount + 1, StartedAfterCompanion: replaces || t.Ended || r.startedAfterCompanion(a)}
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
	return r.Target(), nil
}

// check returns the error that rejects an announcement, nil for a valid one. same is set
// if it is of the start that is known.
func (r *Registration) check(now time.Time, a Announcement, same bool) error {
	if a.Address != r.config.Server || a.DataCentre != r.config.DataCentre {
		return ErrOtherPlace
	}
	t := &r.target
	if !same || a.Service != t.Service {
		err := r.checkService(now, a.Service)
		if err != nil {
			return err
		}
	}
	if t.Known && !r.expired(now) && ((same && a.Number <= t.Number) || (!same && a.Born < t.Born)) {
		return ErrOutdated
	}
	return nil
}

// checkService returns the error that rejects an announcement for its service. Without a
// configuration any service may be announced where no backend server is known to run.
func (r *Registration) checkService(now time.Time, service core.ServiceName) error {
	switch {
	case r.table != nil && !r.table.NamesService(service):
		return ErrUnknownService
	case r.table == nil && r.target.Known && !r.target.Down() && !r.expired(now):
		return ErrNoConfiguration
	default:
		return nil
	}
}

// expired reports whether the known backend server hasn't announced itself for longer
// than AnnouncementLimit.
func (r *Registration) expired(now time.Time) bool {
	return now.Sub(r.target.LastSeen) > r.config.AnnouncementLimit
}

// startedAfterCompanion reports whether the announcing backend server started no
// earlier than this companion. The announcement number rules out a long-running
// server whose clock has jumped.
func (r *Registration) startedAfterCompanion(a Announcement) bool {
	return a.Number <= maxInitialNumber && !time.UnixMilli(a.Born).Before(r.config.Began.Add(-startSlack))
}

// Depart records a backend server's departure. It reports false if another server
// is known here.
func (r *Registration) Depart(server string) (Target, bool) {
	if !r.target.Known || r.target.Server != server {
		return r.Target(), false
	}
	r.target.Departed = true
	return r.Target(), true
}

// ConnectionRefused records that a connection to the backend server's address, begun
// at the given time, was refused. It reports false if that changes nothing.
func (r *Registration) ConnectionRefused(began time.Time) (Target, bool) {
	if r.target.Departed || r.target.Ended || !r.target.LastSeen.Before(began) {
		return r.Target(), false
	}
	r.target.Ended, r.target.EndedAt, r.target.Reachable = true, began, false
	return r.Target(), true
}

// ConnectionAccepted records that a connection to the backend server's address was
// accepted. It reports false if that changes nothing.
func (r *Registration) ConnectionAccepted() (Target, bool) {
	if r.target.Known || r.target.Reachable {
		return r.Target(), false
	}
	r.target.Reachable, r.target.Ended = true, false
	return r.Target(), true
}
