package companion

import (
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/passthrough/gate"
	"zinniapulley.dev/roles/feed"
	"zinniapulley.dev/roles/traffic"
	"zinniapulley.dev/route"
	"zinniapulley.dev/wire/hop"
)

// event is an event of the control goroutine.
type event interface {
	handle(c *control, now time.Time)
}

// control owns the control state of a companion.
type control struct {
	companion    *Companion
	registration *gate.Registration
	controls     []netip.AddrPort
	heartbeatDue time.Time
	// probeDue is when the next probe is due while no backend server is registered.
	// probedAt is when the last probe started, and probing is set while one runs.
	probeDue time.Time
	probedAt time.Time
	probing  bool
	// departing is set when the companion shuts down and no backend server runs beside
	// it.
	departing bool
	// rejected counts the announcements that were rejected.
	rejected metrics.Counter
}

const (
	// heartbeatInterval is the time between heartbeats to the control instances.
	heartbeatInterval = time.Second
	// departureInterval is the same while the companion is departing, so that it sends
	// several within shutdownDelay.
	departureInterval = 120 * time.Millisecond
)

func newControl(c *Companion) *control {
	return &control{
		companion: c, controls: c.config.Seeds(),
		registration: gate.NewRegistration(gate.RegistrationConfig{
			Began: processStart, AnnouncementLimit: c.config.Gate.AnnouncementLimit, Server: c.config.Server, DataCentre: c.config.DataCentre,
		}),
		rejected: metrics.GetOrRegisterCounter("announcements.rejected", c.config.Metrics),
	}
}

// Handle processes one event.
func (c *control) Handle(now time.Time, e event) { e.handle(c, now) }

// Deadline returns when the next heartbeat or probe is due.
func (c *control) Deadline() (time.Time, bool) {
	if c.needsProbe(c.heartbeatDue) && c.probeDue.Before(c.heartbeatDue) {
		return c.probeDue, true
	}
	return c.heartbeatDue, true
}

// Wake starts a probe and sends a heartbeat if they are due.
func (c *control) Wake(now time.Time) {
	if !now.Before(c.probeDue) && c.needsProbe(now) {
		c.probe(now)
	}
	if !now.Before(c.heartbeatDue) {
		c.sendHeartbeat(now)
	}
}

// sendHeartbeat sends a heartbeat to the control instances and schedules the next one.
func (c *control) sendHeartbeat(now time.Time) {
	c.heartbeatDue = now.Add(heartbeatInterval)
	if c.departing {
		c.heartbeatDue = now.Add(departureInterval)
	}
	config := &c.companion.config
	traffic.SendHeartbeat(c.companion.peers, c.controls, hop.Heartbeat{
		Packets: config.Packets, Companion: true, Holding: c.holding(now),
	}, config.Log)
}

// holding returns whether the backend server may hold flows.
func (c *control) holding(now time.Time) hop.Holding {
	target := c.registration.Target()
	switch {
	case target.NoServer(now, processStart, c.companion.config.Gate.FirstAnnouncementLimit):
		return hop.HoldingNone
	case target.Draining:
		return hop.HoldingDraining
	case target.Known:
		return hop.HoldingFlows
	default:
		return hop.HoldingUnknown
	}
}

// updateState publishes an edited copy of the packet path's state.
func (c *control) updateState(edit func(*state)) {
	next := *c.companion.state.Load()
	edit(&next)
	c.companion.state.Store(&next)
}

// stopping reports that the shutdown has begun.
type stopping struct{}

func (stopping) handle(c *control, now time.Time) {
	c.departing = c.holding(now) == hop.HoldingNone
	c.sendHeartbeat(now)
}

// updated is an update from a control instance.
type updated feed.Update

func (u updated) handle(c *control, now time.Time) {
	log := c.companion.config.Log
	if len(u.Controls) > 0 {
		c.controls = u.Controls
	}
	if u.Entries != nil {
		c.updateState(func(s *state) { s.entries = u.Entries })
		log.Info("entry instances updated", "entries", u.Entries)
	}
	table := c.companion.state.Load().table
	if u.View == nil || (table != nil && u.View.Revision <= table.View.Revision) {
		return
	}
	table = route.Compile(u.View)
	before := c.registration.Target()
	target, err := c.registration.SetTable(table)
	c.updateState(func(s *state) { s.table, s.target = table, target })
	if err != nil {
		log.Warn("earlier announcement rejected", "version", u.View.Version, "error", err)
	}
	c.reportTarget(now, &before, &target)
	log.Info("view in force", "revision", u.View.Revision, "version", u.View.Version, "routes", len(u.View.Routes), "out", u.View.Out, "idleTimeout", u.View.IdleTimeout)
}

// announced is an announcement of the backend server.
type announced struct {
	a     gate.Announcement
	reply loop.Reply[error]
}

func (e announced) handle(c *control, now time.Time) {
	before := c.registration.Target()
	target, err := c.registration.Announce(now, e.a)
	if err != nil {
		c.rejected.Inc(1)
		c.companion.config.Log.Warn("announcement rejected", "server", e.a.Server, "service", e.a.Service, "address", e.a.Address, "dataCentre", e.a.DataCentre,
			"born", e.a.Born, "number", e.a.Number, "knownServer", before.Server, "knownService", before.Service, "knownBorn", before.Born,
			"knownNumber", before.Number, "error", err)
		e.reply.Answer(err)
		return
	}
	c.updateState(func(s *state) { s.target = target })
	c.reportTarget(now, &before, &target)
	e.reply.Answer(nil)
}

// reportTarget tells control and the log of a backend server that has started or drains.
func (c *control) reportTarget(now time.Time, before, target *gate.Target) {
	if before.StartCount == target.StartCount && before.Draining == target.Draining {
		return
	}
	c.sendHeartbeat(now)
	c.companion.config.Log.Info("backend server announced", "server", target.Server, "service", target.Service, "born", target.Born,
		"number", target.Number, "slots", target.Slots, "draining", target.Draining, "coldFor", target.ColdFor, "expectedService", c.companion.config.Service)
}

// departed is the departure of the backend server.
type departed struct {
	server string
	reply  loop.Reply[error]
}

func (e departed) handle(c *control, _ time.Time) {
	target, accepted := c.registration.Depart(e.server)
	if accepted {
		c.updateState(func(s *state) { s.target = target })
	}
	c.companion.config.Log.Info("backend server departed", "server", e.server, "known", accepted)
	e.reply.Answer(nil)
}
