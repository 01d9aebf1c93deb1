package virtual

import (
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/request"
)

// BackendOptions configures a backend server.
type BackendOptions struct {
	DataCentre core.DataCentre
	// Slots is how many requests it runs at once when warm, ColdSlots when cold.
	// It sheds more than these.
	Slots     int
	ColdSlots int
	// Warm is the number of answered requests after which it is warm.
	Warm int
	// Service is its mean time for one request. Times are spread evenly between 0.5
	// and 1.5 times that.
	Service time.Duration
	// StopWithin bounds the time that it takes to stop a cancelled request.
	StopWithin time.Duration
	// Overruns makes it exceed its slots instead of shedding requests.
	Overruns bool
}

// Backend is a backend server on virtual time.
type Backend struct {
	sim      *Simulation
	options  BackendOptions
	startID  core.StartID
	answered int
	running  map[core.AttemptID]*execution
	// Shedding makes it refuse every request.
	Shedding bool
	// ShedShare is the probability with which it refuses a request.
	ShedShare float64
	// Unreachable makes it refuse connections.
	Unreachable bool
	// Highest is the highest number of requests that ran at once.
	Highest int
	// Offered counts the requests sent to it, shed ones included.
	Offered int
}

// execution is one request that a backend server executes.
type execution struct {
	run *Run
	// report reports the result to the companion. It is nil once the execution was
	// cancelled.
	report func(result request.RunResult)
}

func newBackend(sim *Simulation, options BackendOptions) *Backend {
	return &Backend{sim: sim, options: options, startID: 1, running: make(map[core.AttemptID]*execution)}
}

// Running returns the number of requests that run now.
func (b *Backend) Running() int { return len(b.running) }

// slotsNow returns the present limit of concurrent requests.
func (b *Backend) slotsNow() int {
	if b.answered < b.options.Warm {
		return b.options.ColdSlots
	}
	return b.options.Slots
}

// ResetToCold puts it back into cold start without notifying its companion.
func (b *Backend) ResetToCold() { b.answered = 0 }

// Restart interrupts all requests and starts cold with a new start id.
func (b *Backend) Restart() {
	interrupted := b.running
	b.running = make(map[core.AttemptID]*execution)
	b.answered = 0
	b.startID++
	for _, id := range sortedAttempts(interrupted) {
		interrupted[id].notify(request.RunBroken)
	}
}

func (e *execution) notify(result request.RunResult) {
	if e.report != nil {
		e.report(result)
	}
}

// execute runs a request. It calls head when the answer begins and report with the
// result.
func (b *Backend) execute(id core.AttemptID, token Token, timeout time.Duration, head func(), report func(request.RunResult)) {
	if b.Unreachable {
		report(request.RunUnreachable)
		return
	}
	b.Offered++
	b.sim.RunLog.offered++
	if b.Shedding || b.shedsAtRandom() || (len(b.running) >= b.slotsNow() && !b.options.Overruns) {
		report(request.RunShed)
		return
	}
	started := &execution{run: b.sim.RunLog.started(token), report: report}
	b.running[id] = started
	b.Highest = max(b.Highest, len(b.running))
	duration := b.options.Service/2 + time.Duration(b.sim.random.Int64N(int64(b.options.Service)+1))
	if duration >= timeout {
		b.sim.After(timeout, func() { b.stop(id, started, request.RunTimedOut) })
		return
	}
	headAfter := time.Duration(b.sim.random.Int64N(int64(duration)))
	b.sim.After(headAfter, func() { b.head(id, started, head) })
	b.sim.After(duration, func() { b.finish(id, started) })
}

func (b *Backend) shedsAtRandom() bool {
	return b.ShedShare > 0 && b.sim.random.Float64() < b.ShedShare
}

func (b *Backend) isRunning(id core.AttemptID, e *execution) bool {
	return b.running[id] == e && e.report != nil
}

func (b *Backend) head(id core.AttemptID, e *execution, head func()) {
	if b.isRunning(id, e) {
		head()
	}
}

func (b *Backend) finish(id core.AttemptID, e *execution) {
	if !b.isRunning(id, e) {
		return
	}
	delete(b.running, id)
	b.answered++
	e.run.answered = true
	e.notify(request.RunAnswered)
}

// cancel reports a request as cancelled at once and stops it within StopWithin.
func (b *Backend) cancel(id core.AttemptID) {
	if e, ok := b.running[id]; ok {
		b.stop(id, e, request.RunCancelled)
	}
}

func (b *Backend) stop(id core.AttemptID, e *execution, result request.RunResult) {
	if !b.isRunning(id, e) {
		return
	}
	e.notify(result)
	e.report = nil
	stopTime := time.Duration(b.sim.random.Int64N(int64(b.options.StopWithin)))
	b.sim.After(stopTime, func() {
		if b.running[id] == e {
			delete(b.running, id)
		}
	})
}

// abandon stops all requests without reporting them, as after a crash of the
// companion.
func (b *Backend) abandon() {
	for _, id := range sortedAttempts(b.running) {
		e := b.running[id]
		if e.report == nil {
			continue
		}
		e.report = func(request.RunResult) {}
		b.stop(id, e, request.RunBroken)
	}
}
