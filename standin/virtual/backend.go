package virtual

import (
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/request"
)

// BackendOptions sets up a backend server.
type BackendOptions struct {
	DataCentre core.DataCentre
	// Slots is how many requests it runs at once when warm, ColdSlots when
	// cold; more are shed.
	Slots     int
	ColdSlots int
	// Warm is how many requests it must answer to become warm.
	Warm int
	// Service is its mean time for one request; the actual time is between
	// half and one and a half of that.
	Service time.Duration
	// StopWithin is how long it goes on with a cancelled request at most.
	StopWithin time.Duration
	// Overruns makes it run whatever it is sent, in place of shedding.
	Overruns bool
}

// Backend is a backend server on virtual time.
type Backend struct {
	world    *World
	options  BackendOptions
	startID  core.StartID
	answered int
	running  map[core.AttemptID]*work
	// Shedding makes it refuse every request.
	Shedding bool
	// ShedShare is the share of requests that it refuses at random.
	ShedShare float64
	// Unreachable makes it accept no connection.
	Unreachable bool
	// Highest is the most requests that ever ran at once.
	Highest int
	// Offered counts the requests sent to it, shed ones included.
	Offered int
}

// work is one request that a backend server runs.
type work struct {
	run *Run
	// report tells the companion of the end, nil once it was cancelled.
	report func(result request.RunResult)
}

func newBackend(w *World, options BackendOptions) *Backend {
	return &Backend{world: w, options: options, startID: 1, running: make(map[core.AttemptID]*work)}
}

// Running returns how many requests run now.
func (b *Backend) Running() int { return len(b.running) }

// bears returns how many requests it runs at once now.
func (b *Backend) bears() int {
	if b.answered < b.options.Warm {
		return b.options.ColdSlots
	}
	return b.options.Slots
}

// ResetToCold puts it back into cold start without a word.
func (b *Backend) ResetToCold() { b.answered = 0 }

// Restart ends all that runs and starts cold, under a new start id.
func (b *Backend) Restart() {
	broken := b.running
	b.running = make(map[core.AttemptID]*work)
	b.answered = 0
	b.startID++
	for _, id := range sortedAttempts(broken) {
		broken[id].tell(request.RunBroken)
	}
}

func (w *work) tell(result request.RunResult) {
	if w.report != nil {
		w.report(result)
	}
}

// execute runs a request. head is called when the answer begins.
func (b *Backend) execute(id core.AttemptID, token Token, timeout time.Duration, head func(), report func(request.RunResult)) {
	if b.Unreachable {
		report(request.RunUnreachable)
		return
	}
	b.Offered++
	b.world.Ledger.offered++
	if b.Shedding || b.shedsAtRandom() || (len(b.running) >= b.bears() && !b.options.Overruns) {
		report(request.RunShed)
		return
	}
	done := &work{run: b.world.Ledger.started(token), report: report}
	b.running[id] = done
	b.Highest = max(b.Highest, len(b.running))
	length := b.options.Service/2 + time.Duration(b.world.random.Int64N(int64(b.options.Service)+1))
	if length >= timeout {
		b.world.After(timeout, func() { b.stop(id, done, request.RunTimedOut) })
		return
	}
	begins := time.Duration(b.world.random.Int64N(int64(length)))
	b.world.After(begins, func() { b.head(id, done, head) })
	b.world.After(length, func() { b.finish(id, done) })
}

func (b *Backend) shedsAtRandom() bool {
	return b.ShedShare > 0 && b.world.random.Float64() < b.ShedShare
}

func (b *Backend) runs(id core.AttemptID, w *work) bool {
	return b.running[id] == w && w.report != nil
}

func (b *Backend) head(id core.AttemptID, w *work, head func()) {
	if b.runs(id, w) {
		head()
	}
}

func (b *Backend) finish(id core.AttemptID, w *work) {
	if !b.runs(id, w) {
		return
	}
	delete(b.running, id)
	b.answered++
	w.run.answered = true
	w.tell(request.RunAnswered)
}

// cancel ends a request's run some time later; the companion hears at once.
func (b *Backend) cancel(id core.AttemptID) {
	if w, ok := b.running[id]; ok {
		b.stop(id, w, request.RunCancelled)
	}
}

func (b *Backend) stop(id core.AttemptID, w *work, result request.RunResult) {
	if !b.runs(id, w) {
		return
	}
	w.tell(result)
	w.report = nil
	lingers := time.Duration(b.world.random.Int64N(int64(b.options.StopWithin)))
	b.world.After(lingers, func() {
		if b.running[id] == w {
			delete(b.running, id)
		}
	})
}

// abandon stops all that runs, as when its companion dies.
func (b *Backend) abandon() {
	for _, id := range sortedAttempts(b.running) {
		w := b.running[id]
		if w.report == nil {
			continue
		}
		w.report = func(request.RunResult) {}
		b.stop(id, w, request.RunBroken)
	}
}
