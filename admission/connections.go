package admission

import (
	"time"

	"zinniapulley.dev/core"
)

// Event is what Connections handles: Opened, Closed, Answered, Failed, Started,
// Returned, Hinted or DeadlinePassed.
type Event interface {
	isEvent()
}

// Opened says that a flow was admitted.
type Opened struct{}

// Closed says that an admitted flow has ended and that its connection to the
// backend server is closed too.
type Closed struct{}

// Answered says that the backend server accepted a connection, or answered on
// one, after the latency.
type Answered struct {
	Latency time.Duration
}

// Failed says that the backend server failed to bear a connection.
type Failed struct {
	Failure Failure
}

// Started says with which start ID the backend server was last seen.
type Started struct {
	StartID core.StartID
}

// Returned says that the own data centre has come back in.
type Returned struct{}

// Hinted brings what the health or load endpoint says. It may lag or mislead.
type Hinted struct {
	// Healthy is what the health endpoint says.
	Healthy bool
	// Load is what the load endpoint says, 1 being all that it bears.
	Load float64
}

// DeadlinePassed says that the time that Deadline returned has come.
type DeadlinePassed struct{}

func (Opened) isEvent()         {}
func (Closed) isEvent()         {}
func (Answered) isEvent()       {}
func (Failed) isEvent()         {}
func (Started) isEvent()        {}
func (Returned) isEvent()       {}
func (Hinted) isEvent()         {}
func (DeadlinePassed) isEvent() {}

// Change is a new limit, or the same one with Reason zero.
type Change struct {
	// Limit is how many flows may be open from now on. Flows above a lowered
	// limit stay open.
	Limit int
	// Announce is the capacity to announce: what the backend server would bear
	// if its traffic rose step by step.
	Announce int
	// Reason says why the ramp changed; zero if it didn't.
	Reason Reason
}

// highLoad is the load from which a hint calls for more evidence.
const highLoad = 0.9

// quietIntervals is after how many intervals without a failure the flows that
// are open count as borne, where none may be opened to show it.
const quietIntervals = 10

// announcePercent is by how much the ramp must change before the announced
// capacity does, so that small steps don't move buckets.
const announcePercent = 20

// Connections decides how many flows a backend server may have open. What it
// bears is learnt from its answers alone. No more than twice the flows that it
// has borne since its cold start are admitted, or the few of a cold start, so
// that answers on few flows never open the door to many at once.
type Connections struct {
	ramp    *Ramp
	startID core.StartID
	started bool
	open    int
	// borne is the most flows that were open while answers came in time.
	borne int
	// proofs is the ramp's count at which borne was last raised.
	proofs int
	// quietSince is when the last failure was seen, or quiet was last counted.
	quietSince time.Time
	announced  int
}

// NewConnections returns the connections of a backend server in cold start.
func NewConnections(config RampConfig) *Connections {
	c := &Connections{ramp: NewRamp(config)}
	c.announced = c.ramp.Limit()
	return c
}

// Handle takes one event and returns the limit from now on.
func (c *Connections) Handle(now time.Time, event Event) Change {
	var reason Reason
	switch e := event.(type) {
	case Opened:
		c.open++
	case Closed:
		c.open = max(0, c.open-1)
	case Answered:
		reason = c.ramp.Answer(now, e.Latency)
	case Failed:
		reason = c.ramp.Fail(now, e.Failure)
		c.quietSince = now
	case Started:
		reason = c.startedWith(now, e)
	case Returned:
		reason = c.restart(now, ReasonReturn)
	case Hinted:
		c.ramp.SetAdverseHint(!e.Healthy || e.Load >= highLoad)
	case DeadlinePassed:
		reason = c.advance(now)
	}
	c.noteBorne(now, reason)
	c.announce()
	return Change{Limit: c.Limit(), Announce: c.announced, Reason: reason}
}

// Limit returns how many flows may be open.
func (c *Connections) Limit() int {
	return min(c.ramp.Limit(), max(c.ramp.coldLimit(), 2*c.borne))
}

// Open returns how many flows are open.
func (c *Connections) Open() int {
	return c.open
}

// Deadline returns when the limit may rise next without a further event, and
// false if nothing waits.
func (c *Connections) Deadline() (time.Time, bool) {
	if c.ramp.answers > 0 && c.ramp.answers >= c.ramp.evidence() {
		return c.ramp.windowEnd, true
	}
	if c.stuck() {
		return c.quietEnd(), true
	}
	return time.Time{}, false
}

// advance raises the limit where its time has come.
func (c *Connections) advance(now time.Time) Reason {
	reason := c.ramp.Advance(now)
	if reason != 0 || !c.stuck() || now.Before(c.quietEnd()) {
		return reason
	}
	c.quietSince = now
	c.borne = max(c.borne, c.open)
	return c.ramp.rise()
}

// stuck reports whether the open flows fill the limit below the bound, so that
// no new flow can show what the backend server bears.
func (c *Connections) stuck() bool {
	return c.open >= c.Limit() && c.Limit() < c.ramp.Bound()
}

func (c *Connections) quietEnd() time.Time {
	return c.quietSince.Add(quietIntervals * c.ramp.config.Interval)
}

// noteBorne raises what was borne after an interval of answers in time, and
// lowers it when the ramp was cut.
func (c *Connections) noteBorne(now time.Time, reason Reason) {
	if c.quietSince.IsZero() {
		c.quietSince = now
	}
	switch reason {
	case ReasonFailure, ReasonSlow:
		c.borne = min(c.borne, c.ramp.Limit())
	case ReasonColdFallback:
		c.borne = 0
	}
	if c.ramp.proofs != c.proofs {
		c.proofs = c.ramp.proofs
		c.borne = max(c.borne, c.open)
	}
}

// announce follows the ramp, but not its small steps.
func (c *Connections) announce() {
	limit := c.ramp.Limit()
	apart := max(limit-c.announced, c.announced-limit)
	if limit == c.ramp.Bound() || limit == c.ramp.coldLimit() || apart*100 >= c.announced*announcePercent {
		c.announced = limit
	}
}

// startedWith compares the start ID with the last one. The first one seen is
// a cold start too, which the ramp already is in.
func (c *Connections) startedWith(now time.Time, e Started) Reason {
	changed := c.started && e.StartID != c.startID
	c.started = true
	c.startID = e.StartID
	if !changed {
		return 0
	}
	return c.restart(now, ReasonRestart)
}

func (c *Connections) restart(now time.Time, reason Reason) Reason {
	c.borne = 0
	c.ramp.Restart(now)
	return reason
}
