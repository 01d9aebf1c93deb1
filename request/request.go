package request

import (
	"math/rand/v2"
	"time"

	"zinniapulley.dev/core"
)

// phase is the progress of a request.
type phase uint8

const (
	// phaseQueued waits for a slot.
	phaseQueued phase = iota + 1
	// phaseReserving waits for a companion's reply to Reserve.
	phaseReserving
	// phaseBackoff waits before a retry.
	phaseBackoff
	// phaseRunning waits for the answer.
	phaseRunning
	// phaseDelivering streams the answer to the caller.
	phaseDelivering
)

// pending is a request that has no outcome yet.
type pending struct {
	id         core.RequestID
	order      uint64
	arrival    time.Time
	deadline   time.Time
	waitUntil  time.Time
	repeatable bool
	keyed      bool
	phase      phase
	// attempt and peer are the current attempt and its companion.
	attempt uint32
	peer    core.InstanceID
	// started is when the current attempt was sent to run.
	started time.Time
	// failedRuns counts the runs that failed and may be retried.
	failedRuns int
	// mayHaveRun is true once a part of the request may have reached a backend
	// server that did not report that it had not run it.
	mayHaveRun bool
	// lastReason is why the last attempt failed.
	lastReason Reason
	// due is when the request's current timer fires.
	due time.Time
}

func (r *pending) attemptID() core.AttemptID {
	return core.AttemptID{Request: r.id, Number: r.attempt}
}

// Counts holds the counters of a Core since it was created.
type Counts struct {
	Arrived, Served, Aborted, Disconnected uint64
	// RefusedNotRun, RefusedUnknown and RefusedKey count refusals by outcome.
	RefusedNotRun, RefusedUnknown, RefusedKey uint64
	// Forwarded counts runs sent to another companion.
	Forwarded uint64
	// Runs counts all runs, Retries those after a first one.
	Runs, Retries uint64
	// Discarded counts answers that belonged to no waiting request.
	Discarded uint64
}

// Core schedules the requests that one companion reads from its callers' flows,
// from arrival to outcome. Its driver passes every event to Handle and carries out
// the returned actions in order. No request is kept beyond its deadline.
type Core struct {
	limits   Limits
	chooser  Chooser
	random   *rand.Rand
	peers    peers
	budget   budget
	runTimes runTimes
	requests map[core.RequestID]*pending
	// queue holds the queued requests in order of arrival.
	queue     []*pending
	reserving int
	arrivals  uint64
	timers    timers
	counts    Counts
	// actions collects the actions of the current event.
	actions []Action
}

// New returns the core of the companion named self.
func New(self core.InstanceID, limits Limits, chooser Chooser, random *rand.Rand) *Core {
	return &Core{
		limits:   limits,
		chooser:  chooser,
		random:   random,
		peers:    peers{self: self, limits: limits, random: random},
		budget:   newBudget(limits.RetryShare, limits.RetryBurst),
		requests: make(map[core.RequestID]*pending),
	}
}

// Counts returns the current counters.
func (c *Core) Counts() Counts {
	return c.counts
}

// Open returns how many requests have no outcome yet. A companion that is
// stopping exits only when there is none.
func (c *Core) Open() int {
	return len(c.requests)
}

// Handle processes one event and returns the actions to carry out, in order.
func (c *Core) Handle(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Arrived:
		c.arrived(now, e)
	case CallerDisconnected:
		c.callerDisconnected(e)
	case ReserveAnswered:
		c.reserveAnswered(now, e)
	case ReserveLost:
		c.reserveLost(now, e)
	case AnswerStarted:
		c.answerStarted(e)
	case RunEnded:
		c.runEnded(now, e)
	case PeersChanged:
		c.peers.set(e.Peers)
	case PeerLoad:
		c.peers.update(now, e.Peer, e.Load)
	}
	c.reserveQueued(now)
	return c.takeActions()
}

// Wake handles the timers that are due at the given time.
func (c *Core) Wake(now time.Time) []Action {
	for {
		first, ok := c.earliest()
		if !ok || now.Before(first.due) {
			break
		}
		c.timerFired(now, c.requests[first.id])
	}
	c.reserveQueued(now)
	return c.takeActions()
}

// Deadline returns when Wake is due next, and false if nothing waits for it.
func (c *Core) Deadline(now time.Time) (time.Time, bool) {
	first, ok := c.earliest()
	if len(c.queue) == 0 {
		return first.due, ok
	}
	stale, waiting := c.peers.nextFullStale(now)
	if waiting && stale.Before(first.due) {
		return stale, true
	}
	return first.due, ok
}

func (c *Core) emit(action Action) {
	c.actions = append(c.actions, action)
}

func (c *Core) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}
