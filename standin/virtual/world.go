package virtual

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"zinniapulley.dev/claim"
	"zinniapulley.dev/core"
	"zinniapulley.dev/request"
)

// Epoch is when every world starts.
var Epoch = time.Unix(1_700_000_000, 0).UTC()

// Network says what becomes of messages.
type Network struct {
	// Latency is the one-way time between companions; each message takes up to
	// Jitter longer.
	Latency time.Duration
	Jitter  time.Duration
	// Loss and Repeat are the shares of messages lost and delivered twice.
	Loss   float64
	Repeat float64
	// Timeout is when the sender of a lost message learns of it.
	Timeout time.Duration
}

// Options sets up a world.
type Options struct {
	Seed    uint64
	Network Network
	// Commit is how long the log of claims takes to write and replicate one
	// batch of commands.
	Commit   time.Duration
	Backends []BackendOptions
	Requests request.Limits
	Chooser  request.Chooser
	// WithoutPeers leaves every companion without peers.
	WithoutPeers bool
}

// World is several companions, each with its backend server.
type World struct {
	options    Options
	now        time.Time
	events     events
	order      uint64
	random     *rand.Rand
	companions []*Companion
	claims     *claim.Table
	// leaderless delays every command while it is true.
	leaderless bool
	log        claimLog
	// Messages counts the messages sent, those of claims included.
	Messages int
	Ledger   Ledger
}

// New returns a world whose companions have started.
func New(options Options) *World {
	w := &World{
		options: options,
		now:     Epoch,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		claims:  claim.NewTable(claim.DefaultTableLimits()),
		Ledger:  newLedger(),
	}
	for i, backend := range options.Backends {
		w.companions = append(w.companions, newCompanion(w, i, backend))
	}
	for _, c := range w.companions {
		c.start()
	}
	w.tellPeers()
	return w
}

// Now returns the virtual time.
func (w *World) Now() time.Time { return w.now }

// Companion returns the companion with the given index.
func (w *World) Companion(i int) *Companion { return w.companions[i] }

// Claims returns the state of the claims.
func (w *World) Claims() *claim.Table { return w.claims }

// SetLeaderless makes commands wait, as while control elects a leader.
func (w *World) SetLeaderless(leaderless bool) { w.leaderless = leaderless }

// After runs do once the given time has passed.
func (w *World) After(wait time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now.Add(wait), order: w.order, do: do})
}

// Run runs everything that is due within the given time.
func (w *World) Run(length time.Duration) {
	end := w.now.Add(length)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.do()
	}
	w.now = end
}

// tellPeers gives every companion the list of those that are in.
func (w *World) tellPeers() {
	var ids []core.InstanceID
	for _, c := range w.companions {
		if c.in && !c.down {
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

func (w *World) find(id core.InstanceID) *Companion {
	for _, c := range w.companions {
		if c.id == id {
			return c
		}
	}
	return nil
}

// send delivers a message, perhaps twice, or loses it. lost may be nil.
func (w *World) send(repeatable bool, deliver, lost func()) {
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

func (w *World) delay() time.Duration {
	return w.options.Network.Latency + time.Duration(w.random.Int64N(int64(w.options.Network.Jitter)+1))
}

// event is something due at a time.
type event struct {
	at    time.Time
	order uint64
	do    func()
}

// events is a heap of events, the earliest first.
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
