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
	// serviceTime is the mean service time of a request.
	serviceTime = 50 * time.Millisecond
	// callerDeadline is how long a caller waits for an answer.
	callerDeadline = time.Second
	// busiestShare is the share of requests that arrive at the busiest companion.
	busiestShare = 0.4
	// warmUp passes before the first sample and the first event.
	warmUp = 5 * time.Second
	// sampleInterval is the time between two samples of the running requests.
	sampleInterval = 10 * time.Millisecond
	// maxWaitMicros bounds the histogram of waits.
	maxWaitMicros = 10_000_000
)

func simulationSetup() requestsSetup {
	return requestsSetup{
		BackendServers: balcaoServers,
		Slots:          balcaoSlots,
		ServiceMillis:  float64(serviceTime) / float64(time.Millisecond),
		Skew:           busiestShare,
	}
}

// requestPolicy is a policy for placing and retrying requests.
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

// randomChooser chooses uniformly among the candidates.
type randomChooser struct{}

// Choose implements request.Chooser.
func (randomChooser) Choose(candidates []request.Candidate, random *rand.Rand) int {
	return random.IntN(len(candidates))
}

// requestScenario is a load and the events under it.
type requestScenario struct {
	name string
	// load is the request rate divided by the capacity of all warm slots.
	load float64
	// events change the simulation, each at a share of the run's length.
	events []scenarioEvent
}

type scenarioEvent struct {
	at float64
	do func(sim *virtual.Simulation)
}

func requestScenarios() []requestScenario {
	eachCompanion := func(do func(c *virtual.Companion)) func(*virtual.Simulation) {
		return func(sim *virtual.Simulation) {
			for i := range balcaoServers {
				do(sim.Companion(i))
			}
		}
	}
	setDataCentreIn := func(in bool) func(*virtual.Simulation) {
		return eachCompanion(func(c *virtual.Companion) {
			if c.DataCentre() == "sul-a" {
				c.SetInService(in)
			}
		})
	}
	setShedShare := func(share float64) func(*virtual.Simulation) {
		return eachCompanion(func(c *virtual.Companion) { c.Backend.ShedShare = share })
	}
	setShedding := func(shedding bool) func(*virtual.Simulation) {
		return eachCompanion(func(c *virtual.Companion) { c.Backend.Shedding = shedding })
	}
	return []requestScenario{
		{name: "50%", load: 0.5},
		{name: "90%", load: 0.9},
		{name: "150%", load: 1.5},
		{name: "one falls cold at 70%", load: 0.7, events: []scenarioEvent{
			{0.33, func(sim *virtual.Simulation) { sim.Companion(1).Backend.ResetToCold() }},
		}},
		{name: "data centre out and back at 50%", load: 0.5, events: []scenarioEvent{{0.33, setDataCentreIn(false)}, {0.66, setDataCentreIn(true)}}},
		{name: "all shed for a while at 50%", load: 0.5, events: []scenarioEvent{{0.33, setShedding(true)}, {0.5, setShedding(false)}}},
		{name: "a third shed at random at 20%", load: 0.2, events: []scenarioEvent{{0, setShedShare(1.0 / 3)}}},
	}
}

func balcaoOptions(seed uint64) virtual.Options {
	dataCentres := []core.DataCentre{"sul-a", "sul-b", "sul-c", "sul-d"}
	o := virtual.Options{
		Seed:     seed,
		Network:  virtual.Network{Latency: time.Millisecond, Jitter: 200 * time.Microsecond, Timeout: 100 * time.Millisecond},
		Commit:   2 * time.Millisecond,
		Requests: request.DefaultLimits(),
		Chooser:  request.DefaultChooser(),
	}
	for i := range balcaoServers {
		o.Backends = append(o.Backends, virtual.BackendOptions{
			DataCentre: dataCentres[i%len(dataCentres)],
			Slots:      balcaoSlots,
			ColdSlots:  1,
			Warm:       20,
			Service:    serviceTime,
			StopWithin: 50 * time.Millisecond,
		})
	}
	return o
}

// requestMeter submits the requests of one simulation and samples it.
type requestMeter struct {
	sim            *virtual.Simulation
	random         *rand.Rand
	meanGapSeconds float64
	end            time.Time
	// imbalanceSum sums the samples with enough running requests to compare: one or
	// more per companion on average.
	imbalanceSum float64
	samples      int
	keys         int
}

func measureRequests(policy requestPolicy, scenario requestScenario, seed uint64, length time.Duration) (requestsRun, error) {
	o := balcaoOptions(seed)
	policy.change(&o)
	sim := virtual.New(o)
	rate := scenario.load * balcaoServers * balcaoSlots / serviceTime.Seconds()
	m := &requestMeter{
		sim:            sim,
		random:         rand.New(rand.NewPCG(seed, 99)),
		meanGapSeconds: 1 / rate,
		end:            sim.Now().Add(warmUp + length),
	}
	sim.After(0, m.submit)
	sim.After(warmUp, m.sample)
	for _, event := range scenario.events {
		sim.After(warmUp+time.Duration(event.at*float64(length)), func() { event.do(sim) })
	}
	sim.Run(warmUp + length + 2*callerDeadline)
	run := requestsRun{Policy: policy.name, Scenario: scenario.name}
	return run, m.count(&run)
}

// submit submits one request and schedules the next.
func (m *requestMeter) submit() {
	if m.sim.Now().After(m.end) {
		return
	}
	c := m.sim.Companion(m.pickCompanion())
	const repeatableShare, keyedShare = 0.5, 0.2
	kind := m.random.Float64()
	key := ""
	if kind >= repeatableShare && kind < repeatableShare+keyedShare {
		m.keys++
		key = strconv.Itoa(m.keys)
	}
	c.Submit(key, "", kind < repeatableShare, callerDeadline)
	m.sim.After(time.Duration(m.random.ExpFloat64()*m.meanGapSeconds*float64(time.Second)), m.submit)
}

// pickCompanion returns a random companion in service; busiestShare is the
// probability of the first.
func (m *requestMeter) pickCompanion() int {
	for {
		i := 0
		if m.random.Float64() >= busiestShare {
			i = 1 + m.random.IntN(balcaoServers-1)
		}
		if m.sim.Companion(i).InService() {
			return i
		}
	}
}

func (m *requestMeter) sample() {
	if m.sim.Now().After(m.end) {
		return
	}
	highest, sum, inService := 0, 0, 0
	for i := range balcaoServers {
		c := m.sim.Companion(i)
		if !c.InService() {
			continue
		}
		inService++
		sum += c.Backend.Running()
		highest = max(highest, c.Backend.Running())
	}
	if sum >= inService {
		m.imbalanceSum += float64(highest) * float64(inService) / float64(sum)
		m.samples++
	}
	m.sim.After(sampleInterval, m.sample)
}

func (m *requestMeter) count(run *requestsRun) error {
	waits := hdrhistogram.New(1, maxWaitMicros, 3)
	runLog := &m.sim.RunLog
	sent := 0
	for _, s := range runLog.Submissions {
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
	run.Untrue = runLog.Untrue
	run.Doubled = runLog.Doubled
	run.Crossed = runLog.Crossed
	run.Short = runLog.Short
	run.WaitMillis = float64(waits.ValueAtPercentile(99)) / 1000
	run.Amplification = ratio(runLog.Offered(), sent)
	run.Messages = ratio(m.sim.Messages, run.Submitted)
	run.Imbalance = m.imbalanceSum / float64(max(1, m.samples))
	for i := range balcaoServers {
		run.Highest = max(run.Highest, ratio(m.sim.Companion(i).Backend.Highest, balcaoSlots))
	}
	commands, batches := m.sim.Committed()
	claims := m.sim.Claims().Len()
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
