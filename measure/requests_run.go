package main

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
	"zinniapulley.dev/core"
	"zinniapulley.dev/request"
	"zinniapulley.dev/standin/virtual"
)

const (
	// balcaoServers and balcaoSlots are the sizes of the balcao service.
	balcaoServers = 7
	balcaoSlots   = 5
	// serviceTime is the mean time of one request.
	serviceTime = 50 * time.Millisecond
	// callerDeadline is how long callers wait.
	callerDeadline = time.Second
	// busiestShare is the share of requests that come over the flows that end
	// at one companion.
	busiestShare = 0.4
	// warmUp is run before anything is counted.
	warmUp = 5 * time.Second
	// sampleEvery is the time between two samples of what runs.
	sampleEvery = 10 * time.Millisecond
	// longestWaitMicros bounds the histogram of waits.
	longestWaitMicros = 10_000_000
)

func setting() requestsSetting {
	return requestsSetting{
		BackendServers: balcaoServers,
		Slots:          balcaoSlots,
		ServiceMillis:  float64(serviceTime) / float64(time.Millisecond),
		Skew:           busiestShare,
	}
}

// requestPolicy is one way of placing and retrying requests.
type requestPolicy struct {
	name   string
	change func(o *virtual.Options)
}

func requestPolicies() []requestPolicy {
	return []requestPolicy{
		{"this design", func(*virtual.Options) {}},
		{"connection-bound", func(o *virtual.Options) { o.WithoutPeers = true }},
		{"random choice", func(o *virtual.Options) {
			o.Chooser = randomChooser{}
			o.Requests.FreshFor = time.Nanosecond
			o.Requests.MaxFreshFor = time.Nanosecond
		}},
		{"no retry budget", func(o *virtual.Options) {
			o.Requests.RetryShare = 1_000_000
			o.Requests.RetryBurst = 1_000_000
		}},
	}
}

// randomChooser picks any candidate.
type randomChooser struct{}

// Choose implements request.Chooser.
func (randomChooser) Choose(candidates []request.Candidate, random *rand.Rand) int {
	return random.IntN(len(candidates))
}

// requestScenario is a load and what happens under it.
type requestScenario struct {
	name string
	// load is the rate of requests over what all warm slots can serve.
	load float64
	// events change the world at shares of the run's length.
	events []worldEvent
}

type worldEvent struct {
	at float64
	do func(w *virtual.World)
}

func requestScenarios() []requestScenario {
	everyone := func(do func(c *virtual.Companion)) func(*virtual.World) {
		return func(w *virtual.World) {
			for i := range balcaoServers {
				do(w.Companion(i))
			}
		}
	}
	centre := func(in bool) func(*virtual.World) {
		return everyone(func(c *virtual.Companion) {
			if c.DataCentre() == "sul-a" {
				c.SetInService(in)
			}
		})
	}
	shedSome := func(share float64) func(*virtual.World) {
		return everyone(func(c *virtual.Companion) { c.Backend.ShedShare = share })
	}
	shed := func(shedding bool) func(*virtual.World) {
		return everyone(func(c *virtual.Companion) { c.Backend.Shedding = shedding })
	}
	return []requestScenario{
		{name: "50%", load: 0.5},
		{name: "90%", load: 0.9},
		{name: "150%", load: 1.5},
		{name: "one falls cold at 70%", load: 0.7, events: []worldEvent{
			{0.33, func(w *virtual.World) { w.Companion(1).Backend.ResetToCold() }},
		}},
		{name: "data centre out and back at 50%", load: 0.5, events: []worldEvent{{0.33, centre(false)}, {0.66, centre(true)}}},
		{name: "all shed for a while at 50%", load: 0.5, events: []worldEvent{{0.33, shed(true)}, {0.5, shed(false)}}},
		{name: "a third shed at random at 20%", load: 0.2, events: []worldEvent{{0, shedSome(1.0 / 3)}}},
	}
}

func balcao(seed uint64) virtual.Options {
	centres := []core.DataCentre{"sul-a", "sul-b", "sul-c", "sul-d"}
	o := virtual.Options{
		Seed:     seed,
		Network:  virtual.Network{Latency: time.Millisecond, Jitter: 200 * time.Microsecond, Timeout: 100 * time.Millisecond},
		Commit:   2 * time.Millisecond,
		Requests: request.DefaultLimits(),
		Chooser:  request.DefaultChooser(),
	}
	for i := range balcaoServers {
		o.Backends = append(o.Backends, virtual.BackendOptions{
			DataCentre: centres[i%len(centres)],
			Slots:      balcaoSlots,
			ColdSlots:  1,
			Warm:       20,
			Service:    serviceTime,
			StopWithin: 50 * time.Millisecond,
		})
	}
	return o
}

// requestMeter runs one world.
type requestMeter struct {
	world  *virtual.World
	random *rand.Rand
	gap    float64
	end    time.Time
	// imbalance sums the samples with enough running to compare.
	imbalance float64
	samples   int
	keys      int
}

func measureRequests(policy requestPolicy, scenario requestScenario, seed uint64, length time.Duration) (requestsRun, error) {
	o := balcao(seed)
	policy.change(&o)
	w := virtual.New(o)
	rate := scenario.load * balcaoServers * balcaoSlots / serviceTime.Seconds()
	m := &requestMeter{
		world:  w,
		random: rand.New(rand.NewPCG(seed, 99)),
		gap:    1 / rate,
		end:    w.Now().Add(warmUp + length),
	}
	w.After(0, m.submit)
	w.After(warmUp, m.sample)
	for _, event := range scenario.events {
		w.After(warmUp+time.Duration(event.at*float64(length)), func() { event.do(w) })
	}
	w.Run(warmUp + length + 2*callerDeadline)
	run := requestsRun{Policy: policy.name, Scenario: scenario.name}
	return run, m.count(&run)
}

// submit hands in one request and plans the next.
func (m *requestMeter) submit() {
	if m.world.Now().After(m.end) {
		return
	}
	c := m.world.Companion(m.pick())
	const repeatableShare, keyedShare = 0.5, 0.2
	kind := m.random.Float64()
	key := ""
	if kind >= repeatableShare && kind < repeatableShare+keyedShare {
		m.keys++
		key = strconv.Itoa(m.keys)
	}
	c.Submit(key, "", kind < repeatableShare, callerDeadline)
	m.world.After(time.Duration(m.random.ExpFloat64()*m.gap*float64(time.Second)), m.submit)
}

// pick returns a companion that callers' flows end at.
func (m *requestMeter) pick() int {
	for {
		i := 0
		if m.random.Float64() >= busiestShare {
			i = 1 + m.random.IntN(balcaoServers-1)
		}
		if m.world.Companion(i).InService() {
			return i
		}
	}
}

func (m *requestMeter) sample() {
	if m.world.Now().After(m.end) {
		return
	}
	highest, sum, in := 0, 0, 0
	for i := range balcaoServers {
		c := m.world.Companion(i)
		if !c.InService() {
			continue
		}
		in++
		sum += c.Backend.Running()
		highest = max(highest, c.Backend.Running())
	}
	if sum >= in {
		m.imbalance += float64(highest) * float64(in) / float64(sum)
		m.samples++
	}
	m.world.After(sampleEvery, m.sample)
}

func (m *requestMeter) count(run *requestsRun) error {
	waits := hdrhistogram.New(1, longestWaitMicros, 3)
	ledger := &m.world.Ledger
	sent := 0
	for _, s := range ledger.Submissions {
		run.Submitted++
		switch {
		case s.Served:
			run.Served++
		case s.Aborted:
			run.Cut++
		case s.Refused == request.NotRun:
			run.NotRun++
		default:
			run.Unknown++
		}
		if !s.Sent() {
			continue
		}
		sent++
		err := waits.RecordValue(max(1, s.FirstRun.Sub(s.At).Microseconds()))
		if err != nil {
			return errors.Trace(err)
		}
	}
	run.Untrue = ledger.Untrue
	run.Doubled = ledger.Doubled
	run.Crossed = ledger.Crossed
	run.Short = ledger.Short
	run.WaitMillis = float64(waits.ValueAtPercentile(99)) / 1000
	run.Amplification = ratio(ledger.Offered(), sent)
	run.Messages = ratio(m.world.Messages, run.Submitted)
	run.Imbalance = m.imbalance / float64(max(1, m.samples))
	for i := range balcaoServers {
		run.Highest = max(run.Highest, ratio(m.world.Companion(i).Backend.Highest, balcaoSlots))
	}
	commands, batches := m.world.Committed()
	claims := m.world.Claims().Len()
	run.Commands = ratio(commands, claims)
	run.Batches = ratio(batches, claims)
	return nil
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
