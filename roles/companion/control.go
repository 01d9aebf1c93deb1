package companion

import (
	"net/netip"
	"time"

	"zinniapulley.dev/loop"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/roles/feed"
	"zinniapulley.dev/roles/traffic"
	"zinniapulley.dev/route"
	"zinniapulley.dev/wire/hop"
)

// event is what the control goroutine takes.
type event interface {
	handle(c *control, now time.Time)
}

// control owns the control state of a companion.
type control struct {
	companion    *Companion
	registration *passthrough.Registration
	controls     []netip.AddrPort
	helloDue     time.Time
	// lookDue is when the backend server is looked at next while none is known; looked
	// is when it was last, and looking is set meanwhile.
	lookDue time.Time
	looked  time.Time
	looking bool
	// leaving is set when the companion is to stop and no backend server runs beside
	// it.
	leaving bool
}

const (
	// helloInterval is the time between hellos to the control instances.
	helloInterval = time.Second
	// goodbyeInterval is the same while the companion leaves, so that several go out
	// in that time.
	goodbyeInterval = 120 * time.Millisecond
)

// Handle takes one event.
func (c *control) Handle(now time.Time, e event) { e.handle(c, now) }

// Deadline returns when the next hello or look is due.
func (c *control) Deadline() (time.Time, bool) {
	if c.searching(c.helloDue) && c.lookDue.Before(c.helloDue) {
		return c.lookDue, true
	}
	return c.helloDue, true
}

// Wake does what is due.
func (c *control) Wake(now time.Time) {
	if !now.Before(c.lookDue) && c.searching(now) {
		c.look(now)
	}
	if !now.Before(c.helloDue) {
		c.sayHello(now)
	}
}

// sayHello tells the control instances of this companion.
func (c *control) sayHello(now time.Time) {
	c.helloDue = now.Add(helloInterval)
	if c.leaving {
		c.helloDue = now.Add(goodbyeInterval)
	}
	config := &c.companion.config
	traffic.SendHeartbeat(c.companion.peers, c.controls, hop.Hello{
		Packets: config.Packets, Companion: true, Holding: c.holding(now),
	}, config.Log)
}

// holding returns whether flows may live here.
func (c *control) holding(now time.Time) hop.Holding {
	target := c.registration.Target()
	switch {
	case target.NoServer(now, began, c.companion.config.Gate.FirstAnnouncementLimit):
		return hop.HoldingNone
	case target.Draining:
		return hop.HoldingDraining
	case target.Known:
		return hop.HoldingFlows
	default:
		return hop.HoldingUnsure
	}
}

// change puts a changed copy of the packet path's state in force.
func (c *control) change(edit func(*state)) {
	next := *c.companion.state.Load()
	edit(&next)
	c.companion.state.Store(&next)
}

// stopping says that the companion is to stop.
type stopping struct{}

func (stopping) handle(c *control, now time.Time) {
	c.leaving = c.holding(now) == hop.HoldingNone
	c.sayHello(now)
}

// updated is news from a control instance.
type updated feed.Update

func (u updated) handle(c *control, _ time.Time) {
	log := c.companion.config.Log
	if len(u.Controls) > 0 {
		c.controls = u.Controls
	}
	if u.Entries != nil {
		c.change(func(s *state) { s.entries = u.Entries })
		log.Info("entry instances known", "entries", u.Entries)
	}
	table := c.companion.state.Load().table
	if u.View == nil || (table != nil && u.View.Revision <= table.View.Revision) {
		return
	}
	c.change(func(s *state) { s.table = route.Compile(u.View) })
	log.Info("view in force", "revision", u.View.Revision, "version", u.View.Version, "routes", len(u.View.Routes), "out", u.View.Out)
}

// announced is what the backend server says of itself.
type announced struct {
	a     passthrough.Announcement
	reply loop.Reply[error]
}

func (e announced) handle(c *control, now time.Time) {
	before := c.registration.Target()
	target, taken := c.registration.Announce(now, e.a)
	if !taken {
		c.companion.config.Log.Warn("announcement not taken", "server", e.a.Server, "born", e.a.Born, "number", e.a.Number,
			"knownServer", before.Server, "knownBorn", before.Born, "knownNumber", before.Number)
		e.reply.Answer(ErrOutdated)
		return
	}
	c.change(func(s *state) { s.target = target })
	if before.StartCount != target.StartCount || before.Draining != target.Draining {
		c.sayHello(now)
		c.companion.config.Log.Info("backend server announced", "server", target.Server, "service", target.Service, "born", target.Born,
			"number", target.Number, "slots", target.Slots, "draining", target.Draining, "coldFor", e.a.ColdFor, "expectedService", c.companion.config.Service)
	}
	e.reply.Answer(nil)
}

// departed is the backend server's goodbye.
type departed struct {
	server string
	reply  loop.Reply[error]
}

func (e departed) handle(c *control, _ time.Time) {
	target, taken := c.registration.Depart(e.server)
	if taken {
		c.change(func(s *state) { s.target = target })
	}
	c.companion.config.Log.Info("backend server departed", "server", e.server, "known", taken)
	e.reply.Answer(nil)
}
