package virtual

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"zinniapulley.dev/claim"
	"zinniapulley.dev/core"
	"zinniapulley.dev/request"
)

// Epoch is the start time of every simulation.
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

// Options configures a simulation.
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

// New returns a simulation whose companions have started.
func New(options Options) *Simulation {
	s := &Simulation{
		options: options,
		now:     Epoch,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		claims:  claim.NewTable(claim.DefaultTableLimits()),
		RunLog:  newRunLog(),
	}
	for i, backend := range options.Backends {
		s.companions = append(s.companions, newCompanion(s, i, backend))
	}
	for _, c := range s.companions {
		c.start()
	}
	s.updatePeers()
	return s
}

// Now returns the virtual time.
func (s *Simulation) Now() time.Time { return s.now }

// Companion returns the companion with the given index.
func (s *Simulation) Companion(i int) *Companion { return s.companions[i] }

// Claims returns the state of the claims.
func (s *Simulation) Claims() *claim.Table { return s.claims }

// SetLeaderless starts or stops delaying commands, as while control has no leader.
func (s *Simulation) SetLeaderless(leaderless bool) { s.leaderless = leaderless }

// After calls do once the given virtual time has passed.
func (s *Simulation) After(wait time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now.Add(wait), order: s.order, do: do})
}

// Run advances the virtual time by length and runs all events due until then.
func (s *Simulation) Run(length time.Duration) {
	end := s.now.Add(length)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}
	s.now = end
}

// updatePeers gives every companion the list of those that are up and in service.
func (s *Simulation) updatePeers() {
	var ids []core.InstanceID
	for _, c := range s.companions {
		if c.inService && !c.down {
			ids = append(ids, c.id)
		}
	}
	for _, c := range s.companions {
		peers := ids
		if s.options.WithoutPeers {
			peers = []core.InstanceID{c.id}
		}
		c.setPeers(peers)
	}
}

func (s *Simulation) companion(id core.InstanceID) *Companion {
	for _, c := range s.companions {
		if c.id == id {
			return c
		}
	}
	return nil
}

// send delivers a message, sometimes twice if it is repeatable, or loses it. lost may
// be nil.
func (s *Simulation) send(repeatable bool, deliver, lost func()) {
	network := s.options.Network
	s.Messages++
	if s.random.Float64() < network.Loss {
		if lost != nil {
			s.After(network.Timeout, lost)
		}
		return
	}
	s.After(s.delay(), deliver)
	if repeatable && s.random.Float64() < network.Repeat {
		s.After(s.delay()+network.Timeout, deliver)
	}
}

func (s *Simulation) delay() time.Duration {
	return s.options.Network.Latency + time.Duration(s.random.Int64N(int64(s.options.Network.Jitter)+1))
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
