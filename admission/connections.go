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

// Opened reports that a flow was admitted.
type Opened struct{}

// Closed reports that an admitted flow has ended and that its connection to the
// backend server is closed too.
type Closed struct{}

// Answered reports that the backend server accepted a connection, or answered on
// one, after the latency.
type Answered struct {
	Latency time.Duration
}

// Failed reports that the backend server failed to handle a connection.
type Failed struct {
	Failure Failure
}

// Started carries the start ID with which the backend server was last seen.
type Started struct {
	StartID core.StartID
}

// Returned reports that the own data centre is in service again.
type Returned struct{}

// Hinted carries the result of the health or load endpoint, which may be outdated
// or wrong.
type Hinted struct {
	// Healthy is the result of the health endpoint.
	Healthy bool
	// Load is the result of the load endpoint as a fraction of full capacity.
	Load float64
}

// DeadlinePassed reports that the time returned by Deadline has passed.
type DeadlinePassed struct{}

func (Opened) isEvent()         {}
func (Closed) isEvent()         {}
func (Answered) isEvent()       {}
func (Failed) isEvent()         {}
func (Started) isEvent()        {}
func (Returned) isEvent()       {}
func (Hinted) isEvent()         {}
func (DeadlinePassed) isEvent() {}

// Change is the limit after an event.
type Change struct {
	// Limit is how many flows may be open from now on. Flows above a lowered
	// limit stay open.
	Limit int
	// Announce is the capacity to announce: what the backend server could handle
	// if its traffic rose step by step.
	Announce int
	// Reason is why the ramp changed; zero if it didn't.
	Reason Reason
}

// highLoad is the load from which a hint counts as adverse.
const highLoad = 0.9

// failureFreeIntervals is the number of intervals without a failure after which the
// open flows count as sustained while the limit leaves no room for new ones.
const failureFreeIntervals = 10

// announceThresholdPercent is the change of the ramp's limit from which the
// announced capacity follows it, so that small steps don't move buckets.
const announceThresholdPercent = 20

// Connections limits the open flows of a backend server. Its capacity is learned
// from its answers alone. The limit is at most twice the number of flows sustained
// since the cold start, or the cold limit if that is higher, so that answers on few
// flows never admit many flows at once.
type Connections struct {
	ramp       *Ramp
	startID    core.StartID
	hasStartID bool
	open       int
	// sustained is the highest number of flows open while answers came in time.
	sustained int
	// goodIntervals is the ramp's count when sustained was last raised.
	goodIntervals int
	// failureFreeSince is the time of the last failure, or of the last rise of
	// the limit for lack of failures.
	failureFreeSince time.Time
	announced        int
}

// NewConnections returns the connections of a backend server in cold start.
func NewConnections(config RampConfig) *Connections {
	c := &Connections{ramp: NewRamp(config)}
	c.announced = c.ramp.Limit()
	return c
}

// Handle handles one event and returns the limit from now on.
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
		c.failureFreeSince = now
	case Started:
		reason = c.handleStarted(now, e)
	case Returned:
		reason = c.restart(now, ReasonReturn)
	case Hinted:
		c.ramp.SetAdverseHint(!e.Healthy || e.Load >= highLoad)
	case DeadlinePassed:
		reason = c.advance(now)
	}
	c.updateSustained(now, reason)
	c.announce()
	return Change{Limit: c.Limit(), Announce: c.announced, Reason: reason}
}

// Limit returns how many flows may be open.
func (c *Connections) Limit() int {
	return min(c.ramp.Limit(), max(c.ramp.coldLimit(), 2*c.sustained))
}

// Open returns how many flows are open.
func (c *Connections) Open() int {
	return c.open
}

// Deadline returns when the limit may rise next without a further event, and
// false if it can't.
func (c *Connections) Deadline() (time.Time, bool) {
	if c.ramp.answers > 0 && c.ramp.answers >= c.ramp.answersNeeded() {
		return c.ramp.windowEnd, true
	}
	if c.saturated() {
		return c.failureFreeDeadline(), true
	}
	return time.Time{}, false
}

// advance raises the limit if it is due.
func (c *Connections) advance(now time.Time) Reason {
	reason := c.ramp.Advance(now)
	if reason != 0 || !c.saturated() || now.Before(c.failureFreeDeadline()) {
		return reason
	}
	c.failureFreeSince = now
	c.sustained = max(c.sustained, c.open)
	return c.ramp.raise()
}

// saturated reports whether the open flows fill a limit below the bound, so that no
// new flow can show whether the backend server has more capacity.
func (c *Connections) saturated() bool {
	return c.open >= c.Limit() && c.Limit() < c.ramp.Bound()
}

func (c *Connections) failureFreeDeadline() time.Time {
	return c.failureFreeSince.Add(failureFreeIntervals * c.ramp.config.Interval)
}

// updateSustained raises the sustained flows after an interval of answers in time,
// and lowers them when the ramp was cut.
func (c *Connections) updateSustained(now time.Time, reason Reason) {
	if c.failureFreeSince.IsZero() {
		c.failureFreeSince = now
	}
	switch reason {
	case ReasonFailure, ReasonSlow:
		c.sustained = min(c.sustained, c.ramp.Limit())
	case ReasonColdFallback:
		c.sustained = 0
	}
	if c.ramp.goodIntervals != c.goodIntervals {
		c.goodIntervals = c.ramp.goodIntervals
		c.sustained = max(c.sustained, c.open)
	}
}

// announce updates the announced capacity, except for small steps of the ramp.
func (c *Connections) announce() {
	limit := c.ramp.Limit()
	difference := max(limit-c.announced, c.announced-limit)
	if limit == c.ramp.Bound() || limit == c.ramp.coldLimit() || difference*100 >= c.announced*announceThresholdPercent {
		c.announced = limit
	}
}

// handleStarted restarts the ramp if the start ID has changed. At the first start
// ID the ramp already is in cold start.
func (c *Connections) handleStarted(now time.Time, e Started) Reason {
	changed := c.hasStartID && e.StartID != c.startID
	c.hasStartID = true
	c.startID = e.StartID
	if !changed {
		return 0
	}
	return c.restart(now, ReasonRestart)
}

func (c *Connections) restart(now time.Time, reason Reason) Reason {
	c.sustained = 0
	c.ramp.Restart(now)
	return reason
}
