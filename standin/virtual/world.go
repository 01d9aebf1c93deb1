package virtual

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"zinniapulley.dev/claim"
	"zinniapulley.dev/core"
	"zinniapulley.dev/request"
)

// Epoch is the start time of every world.
var Epoch = time.Unix(1_700_000_000, 0).UTC()

// Network describes the delay and loss of messages.
type Network struct {
	// Latency is the one-way delay of a message. Each takes up to Jitter longer.
	Latency time.Duration
	Jitter  time.Duration
	// Loss and Repeat are the probabilities that a message is lost or delivered
	// twice.
	Loss   float64
	Repeat float64
	// Timeout is the time after which the sender of a lost message detects the loss.
	Timeout time.Duration
}

// Options configures a world.
type Options struct {
	Seed    uint64
	Network Network
	// Commit is the time that the log of claims takes to commit one batch of commands.
	Commit   time.Duration
	Backends []BackendOptions
	Requests request.Limits
	Chooser  request.Chooser
	// WithoutPeers makes every companion its own only candidate.
	WithoutPeers bool
}

// Simulation simulates several companions, each with its backend server.
type Simulation struct {
	options    Options
	now        time.Time
	events     events
	order      uint64
	random     *rand.Rand
	companions []*Companion
	claims     *claim.Table
	// leaderless is set while commands are delayed for lack of a leader.
	leaderless bool
	log        claimLog
	// Messages counts the messages sent, including those of claims.
	Messages int
	RunLog   RunLog
}

// New returns a world whose companions have started.
func New(options Options) *Simulation {
	w := &Simulation{
		options: options,
		now:     Epoch,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		claims:  claim.NewTable(claim.DefaultTableLimits()),
		RunLog:  newLedger(),
	}
	for i, backend := range options.Backends {
		w.companions = append(w.companions, newCompanion(w, i, backend))
	}
	for _, c := range w.companions {
		c.start()
	}
	w.updatePeers()
	return w
}

// Now returns the virtual time.
func (w *Simulation) Now() time.Time { return w.now }

// Companion returns the companion with the given index.
func (w *Simulation) Companion(i int) *Companion { return w.companions[i] }

// Claims returns the state of the claims.
func (w *Simulation) Claims() *claim.Table { return w.claims }

// SetLeaderless starts or stops delaying commands, as while control elects a leader.
func (w *Simulation) SetLeaderless(leaderless bool) { w.leaderless = leaderless }

// After calls do once the given virtual time has passed.
func (w *Simulation) After(wait time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now.Add(wait), order: w.order, do: do})
}

// Run advances the virtual time by length and runs all events due until then.
func (w *Simulation) Run(length time.Duration) {
	end := w.now.Add(length)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.do()
	}
	w.now = end
}

// updatePeers gives every companion the list of those that are up and in service.
func (w *Simulation) updatePeers() {
	var ids []core.InstanceID
	for _, c := range w.companions {
		if c.inService && !c.down {
			ids = append(ids, c.id)
		}
	}
	for _, c := range w.companions {
		peers := ids
		if w.options.WithoutPeers {
			peers = []core.InstanceID{c.id}
		}
		c.setPeers(peers)
	}
}

func (w *Simulation) companion(id core.InstanceID) *Companion {
	for _, c := range w.companions {
		if c.id == id {
			return c
		}
	}
	return nil
}

// send delivers a message, sometimes twice if it is repeatable, or loses it. lost may
// be nil.
func (w *Simulation) send(repeatable bool, deliver, lost func()) {
	network := w.options.Network
	w.Messages++
	if w.random.Float64() < network.Loss {
		if lost != nil {
			w.After(network.Timeout, lost)
		}
		return
	}
	w.After(w.delay(), deliver)
	if repeatable && w.random.Float64() < network.Repeat {
		w.After(w.delay()+network.Timeout, deliver)
	}
}

func (w *Simulation) delay() time.Duration {
	return w.options.Network.Latency + time.Duration(w.random.Int64N(int64(w.options.Network.Jitter)+1))
}

// event is a function scheduled at a time. order breaks ties.
type event struct {
	at    time.Time
	order uint64
	do    func()
}

// events is a heap with the earliest event first.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	*e = (*e)[:last]
	return popped
}
