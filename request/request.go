package request

import (
	"math/rand/v2"
	"time"

	"zinniapulley.dev/core"
)

// phase is how far a request has come.
type phase uint8

const (
	// phaseQueued waits for a slot.
	phaseQueued phase = iota + 1
	// phaseReserving waits for a companion's answer to Reserve.
	phaseReserving
	// phaseBackoff waits before a retry.
	phaseBackoff
	// phaseRunning waits for the answer.
	phaseRunning
	// phaseDelivering hands the answer to the caller as it comes.
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
	// attempt and peer are the current try and where it was asked for.
	attempt uint32
	peer    core.InstanceID
	// started is when the current attempt was handed out to run.
	started time.Time
	// runs counts the attempts that a backend server shed, refused or lost.
	runs int
	// reached is true once a part of the request may have reached a backend
	// server that did not say that it had not run it.
	reached bool
	// lastReason is why the last attempt did not serve the request.
	lastReason Reason
	// due is when the request must be looked at again.
	due time.Time
}

func (r *pending) attemptID() core.AttemptID {
	return core.AttemptID{Request: r.id, Number: r.attempt}
}

// Counts tells what a core has done since it was made.
type Counts struct {
	Arrived, Served, Aborted, Disconnected uint64
	// RefusedNotRun, RefusedUnknown and RefusedKey count refusals by outcome.
	RefusedNotRun, RefusedUnknown, RefusedKey uint64
	// Forwarded counts runs handed to another companion.
	Forwarded uint64
	// Runs counts all runs handed out, Retries those after a first one.
	Runs, Retries uint64
	// Discarded counts answers that belonged to no waiting request.
	Discarded uint64
}

// Core decides the fate of the requests that one companion reads from its
// callers' flows. Hand it every event with the time; carry out the actions in
// order. It keeps no request longer than its deadline.
type Core struct {
	limits   Limits
	chooser  Chooser
	random   *rand.Rand
	peers    peers
	budget   budget
	runTimes runTimes
	requests map[core.RequestID]*pending
	// queue holds the queued requests in the order of their arrival.
	queue     []*pending
	reserving int
	arrivals  uint64
	timers    timers
	counts    Counts
	// actions collects what the event at hand asks for.
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

// Counts returns what the core has done so far.
func (c *Core) Counts() Counts {
	return c.counts
}

// Open returns how many requests have no outcome yet. A companion that stops
// exits only when there is none.
func (c *Core) Open() int {
	return len(c.requests)
}

// Handle takes one event and returns what to do, in order.
func (c *Core) Handle(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Arrived:
		c.arrived(now, e)
	case CallerDisconnected:
		c.callerGone(e)
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
		c.peers.learn(now, e.Peer, e.Load)
	}
	c.pump(now)
	return c.take()
}

// Wake does what is due at the given time.
func (c *Core) Wake(now time.Time) []Action {
	for {
		first, ok := c.earliest()
		if !ok || now.Before(first.due) {
			break
		}
		c.expired(now, c.requests[first.id])
	}
	c.pump(now)
	return c.take()
}

// Deadline returns when Wake is due next, and false if it isn't.
func (c *Core) Deadline(now time.Time) (time.Time, bool) {
	first, ok := c.earliest()
	if len(c.queue) == 0 {
		return first.due, ok
	}
	stale, waiting := c.peers.nextStale(now)
	if waiting && stale.Before(first.due) {
		return stale, true
	}
	return first.due, ok
}

func (c *Core) do(action Action) {
	c.actions = append(c.actions, action)
}

func (c *Core) take() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}
