package locality_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/locality"
)

const (
	service  = core.ServiceName("feed")
	interval = 300 * time.Millisecond
	ageLimit = 700 * time.Millisecond
	run      = 20 * time.Millisecond
	cost     = 5 * time.Millisecond
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// site returns the figures of a data centre with 30 slots.
func site(name core.DataCentre, running int) locality.Site {
	const slots = 30
	excess := max(running-slots+1, 0)
	return locality.Site{
		DataCentre: name, Slots: slots, Running: running, Rate: slots / run.Seconds(), AgeLimit: ageLimit,
		Way: 2 * time.Millisecond, Expected: run + run*time.Duration(excess)/slots, Age: interval,
		Objective: 200 * time.Millisecond,
	}
}

// updates calls Update a number of times and returns the time of the last.
func updates(p *locality.Planner, at time.Time, count int, own locality.Site, others ...locality.Site) time.Time {
	for range count {
		at = at.Add(interval)
		p.Update(at, service, own, others)
	}
	return at
}

func share(p *locality.Planner) float64 {
	value, _ := p.Share(service)
	return value
}

// Leaving must not begin while the data centre can answer, where it doesn't pay, or where
// others have no room.
func TestOnlyAShortfallLeaves(t *testing.T) {
	slow := site("north", 60)
	far := site("south", 5)
	far.Way = 100 * time.Millisecond
	old := site("south", 5)
	old.Age = ageLimit + 1
	unmeasured := site("south", 5)
	unmeasured.Rate, unmeasured.Expected = 0, 0
	for name, c := range map[string]struct {
		own    locality.Site
		others []locality.Site
		leaves bool
	}{
		"shortfall":                {slow, []locality.Site{site("south", 5)}, true},
		"no shortfall":             {site("north", 24), []locality.Site{site("south", 0)}, false},
		"other beyond its reserve": {slow, []locality.Site{site("south", 22)}, false},
		"all full":                 {slow, []locality.Site{site("south", 60), site("east", 60)}, false},
		"far away":                 {slow, []locality.Site{far}, false},
		"old figures":              {slow, []locality.Site{old}, false},
		"not measured":             {slow, []locality.Site{unmeasured}, false},
		"not reachable":            {slow, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := locality.New(cost)
			updates(p, start, 10, c.own, c.others...)
			gomega.NewWithT(t).Expect(share(p) > 0).To(gomega.Equal(c.leaves))
		})
	}
}

// Servers that can't answer any request in time have a low load once callers give up.
func TestServersSlowerThanTheObjectiveAreAShortfall(t *testing.T) {
	g := gomega.NewWithT(t)
	slow := site("north", 10)
	slow.Expected = 250 * time.Millisecond
	p := locality.New(cost)
	at := updates(p, start, 30, slow, site("south", 5))
	g.Expect(share(p)).To(gomega.BeNumerically("~", 0.95, 0.01), "some flows stay, to measure the servers by")
	updates(p, at, 60, site("north", 10), site("south", 5))
	g.Expect(share(p)).To(gomega.BeZero())
}

// The operator's cost is in milliseconds that an answer must gain.
func TestCostChangesTheDecision(t *testing.T) {
	g := gomega.NewWithT(t)
	// One more request waits for 20 ms here, and the way takes 2 ms.
	own := site("north", 59)
	for limit, leaves := range map[time.Duration]bool{0: true, 17 * time.Millisecond: true, 19 * time.Millisecond: false} {
		p := locality.New(limit)
		updates(p, start, 10, own, site("south", 5))
		g.Expect(share(p) > 0).To(gomega.Equal(leaves), limit.String())
	}
}

// The share may neither jump at one bad report nor stay once there is room, and rises
// faster than it falls.
func TestStepsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	p := locality.New(cost)
	at := start
	last, rise, fall := 0., 0., 0.
	for i := range 200 {
		own := site("north", 60)
		if i > 30 {
			own = site("north", 10)
		}
		at = updates(p, at, 1, own, site("south", 0))
		rise, fall = max(rise, share(p)-last), max(fall, last-share(p))
		last = share(p)
	}
	g.Expect(last).To(gomega.BeZero(), "all flows have returned")
	g.Expect(rise).To(gomega.And(gomega.BeNumerically("<=", 0.2+1e-9), gomega.BeNumerically(">", fall)))
	g.Expect(fall).To(gomega.And(gomega.BeNumerically("<=", 0.03+1e-9), gomega.BeNumerically(">", 0)))
}

// A data centre that is cut off, or whose reports stop, gets nothing from the next update.
func TestLostDestinationGetsNothing(t *testing.T) {
	old := site("south", 5)
	old.Age = ageLimit + 1
	for name, others := range map[string][]locality.Site{"not listed": nil, "old": {old}} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			p := locality.New(cost)
			at := updates(p, start, 10, site("north", 60), site("south", 5))
			g.Expect(p.Accepts(service, "south")).To(gomega.BeTrue())
			updates(p, at, 1, site("north", 60), others...)
			g.Expect(p.Accepts(service, "south")).To(gomega.BeFalse())
			g.Expect(share(p)).To(gomega.BeZero())
		})
	}
	g := gomega.NewWithT(t)
	p := locality.New(cost)
	updates(p, start, 10, site("north", 60), site("south", 5), site("east", 5))
	before := share(p)
	p.Withdraw("south")
	g.Expect(p.Accepts(service, "south")).To(gomega.BeFalse())
	g.Expect(share(p)).To(gomega.BeNumerically("~", before/2, 0.01))
}

// Figures from before a pause, or old ones of the own data centre, decide nothing: every
// flow may leave, as without a plan.
func TestNoPlanWithoutRecentFigures(t *testing.T) {
	g := gomega.NewWithT(t)
	p := locality.New(cost)
	g.Expect(p.MayLeave(service, 1)).To(gomega.BeTrue(), "before the first figures")
	at := updates(p, start, 10, site("north", 60), site("south", 5))
	before := share(p)
	updates(p, at.Add(5*time.Second), 1, site("north", 60), site("south", 5))
	g.Expect(share(p)).To(gomega.BeNumerically("<=", 0.2), "begins anew")
	g.Expect(before).To(gomega.BeNumerically(">", 0.2))
	old := site("north", 60)
	old.Age = ageLimit + 1
	change, matters := p.Update(at.Add(6*time.Second), service, old, []locality.Site{site("south", 5)})
	g.Expect(matters).To(gomega.BeTrue())
	g.Expect(change.Planned).To(gomega.BeFalse())
	for hash := range uint64(100) {
		g.Expect(p.MayLeave(service, hash)).To(gomega.BeTrue())
	}
}

// All copies of a SYN get the same decision at every entry instance, the share of the flows
// that leave is the planned one, and deciding makes no allocation.
func TestFlowsArePickedByTheirHash(t *testing.T) {
	g := gomega.NewWithT(t)
	p, other := locality.New(cost), locality.New(cost)
	updates(p, start, 3, site("north", 60), site("south", 5), site("east", 12))
	updates(other, start, 3, site("north", 60), site("east", 12), site("south", 5))
	const flows = 10000
	counts := map[core.DataCentre]float64{}
	for i := range uint64(flows) {
		hash := i * 0x9e3779b97f4a7c15
		decision, to := p.Decide(service, hash)
		again, toAgain := other.Decide(service, hash)
		g.Expect(again).To(gomega.Equal(decision))
		g.Expect(toAgain).To(gomega.Equal(to))
		if decision == locality.Leave {
			counts[to]++
		}
	}
	g.Expect((counts["south"] + counts["east"]) / flows).To(gomega.BeNumerically("~", share(p), 0.02))
	// Their room is 16 and 9 slots.
	g.Expect(counts["south"] / counts["east"]).To(gomega.BeNumerically("~", 16./9, 0.3))
	g.Expect(testing.AllocsPerRun(100, func() { p.MayLeave(service, 7) })).To(gomega.BeZero())
}

// simulated is a data centre in simulated time: its requests are a quantity, not events.
type simulated struct {
	name           core.DataCentre
	slots          int
	run            time.Duration
	demand         float64
	running        float64
	refused        float64
	planners       []*locality.Planner
	report, before locality.Site
	random         *rand.Rand
	// slowest is the longest expected time, and sent what left in the last second.
	slowest time.Duration
	sent    float64
}

func newSimulated(name core.DataCentre, demand float64, instances int) *simulated {
	s := &simulated{name: name, slots: 30, run: run, demand: demand, random: rand.New(rand.NewPCG(1, uint64(len(name))))}
	for range instances {
		s.planners = append(s.planners, locality.New(cost))
	}
	return s
}

// expected returns the wait and run time of one more request that finds the given number.
func (s *simulated) expected(running float64) time.Duration {
	return s.run + time.Duration(max(running-float64(s.slots)+1, 0)/float64(s.slots)*float64(s.run))
}

// site returns the figures with the chance variation of the number of requests.
func (s *simulated) site() locality.Site {
	running := max(s.running+s.random.NormFloat64()*math.Sqrt(s.running)/2, 0)
	return locality.Site{
		DataCentre: s.name, Slots: s.slots, Running: int(running), Rate: float64(s.slots) / s.run.Seconds(), Way: 2 * time.Millisecond,
		Expected: s.expected(running), Age: interval, AgeLimit: ageLimit, Objective: 200 * time.Millisecond,
	}
}

// simulate runs the data centres for a time. Their planners see reports that are between
// one and two intervals old.
func simulate(at time.Time, length time.Duration, sites ...*simulated) time.Time {
	const step = 10 * time.Millisecond
	end := at.Add(length)
	for at.Before(end) {
		at = at.Add(step)
		tick := int(at.Sub(start) / step)
		if tick%30 == 0 {
			for _, s := range sites {
				s.before, s.report = s.report, s.site()
			}
		}
		arriving := map[core.DataCentre]float64{}
		for _, s := range sites {
			s.sent = 0
			for i, planner := range s.planners {
				if (tick+7*i)%30 == 15 {
					var others []locality.Site
					for _, o := range sites {
						if o != s && o.before.Slots > 0 {
							others = append(others, o.before)
						}
					}
					planner.Update(at, service, s.before, others)
				}
				flows := s.demand / float64(len(s.planners))
				for hash := range uint64(100) {
					decision, to := planner.Decide(service, hash*0x9e3779b97f4a7c15)
					if decision != locality.Leave {
						to = s.name
					} else {
						s.sent += flows / 100
					}
					arriving[to] += flows / 100
				}
			}
		}
		for _, s := range sites {
			served := min(s.running, float64(s.slots)) / s.run.Seconds()
			s.running = max(s.running+(arriving[s.name]-served)*step.Seconds(), 0)
			limit := float64(5 * s.slots)
			s.refused += max(s.running-limit, 0)
			s.running = min(s.running, limit)
			s.slowest = max(s.slowest, s.expected(s.running))
		}
	}
	return at
}

func forget(sites ...*simulated) {
	for _, s := range sites {
		s.slowest, s.refused = 0, 0
	}
}

// rate is what 30 slots sustain.
const rate = 1500.

// Slow or missing servers in one data centre: its callers are served by others within the
// objective, whose own callers keep theirs, and all return afterwards.
func TestShortfallOfOneDataCentreIsServedByOthers(t *testing.T) {
	for name, fault := range map[string]func(*simulated){
		"slow by 3":       func(s *simulated) { s.run *= 3 },
		"partly gone":     func(s *simulated) { s.slots /= 3 },
		"callers moved":   func(s *simulated) { s.demand *= 2.2 },
		"burst":           func(s *simulated) { s.demand *= 2 },
		"slow by 2":       func(s *simulated) { s.run *= 2 },
		"nearly all gone": func(s *simulated) { s.slots /= 10 },
	} {
		for _, instances := range []int{1, 5} {
			t.Run(fmt.Sprintf("%s/%d", name, instances), func(t *testing.T) {
				g := gomega.NewWithT(t)
				short, first, second := newSimulated("north", 0.55*rate, instances), newSimulated("south", 0.3*rate, instances), newSimulated("east", 0.3*rate, instances)
				healthy := *short
				at := simulate(start, 3*time.Second, short, first, second)
				g.Expect(short.sent + first.sent + second.sent).To(gomega.BeZero())
				fault(short)
				at = simulate(at, 5*time.Second, short, first, second)
				forget(short, first, second)
				at = simulate(at, 20*time.Second, short, first, second)
				t.Logf("sent %.0f/s of %.0f/s, slowest here %v, there %v %v", short.sent, short.demand, short.slowest, first.slowest, second.slowest)
				g.Expect(short.slowest).To(gomega.BeNumerically("<", 200*time.Millisecond))
				g.Expect(short.refused).To(gomega.BeNumerically("<", 0.001*short.demand*20))
				g.Expect(first.sent + second.sent).To(gomega.BeZero())
				g.Expect(max(first.slowest, second.slowest)).To(gomega.BeNumerically("<=", 2*run))
				short.run, short.slots, short.demand = healthy.run, healthy.slots, healthy.demand
				simulate(at, 20*time.Second, short, first, second)
				g.Expect(short.sent).To(gomega.BeZero())
			})
		}
	}
}

// All data centres are full: leaving doesn't pay.
func TestNothingLeavesWhileAllAreFull(t *testing.T) {
	g := gomega.NewWithT(t)
	sites := []*simulated{newSimulated("north", 1.3*rate, 2), newSimulated("south", 1.2*rate, 2), newSimulated("east", 1.25*rate, 2)}
	at := simulate(start, 5*time.Second, sites...)
	for range 50 {
		at = simulate(at, 200*time.Millisecond, sites...)
		for _, s := range sites {
			g.Expect(s.sent).To(gomega.BeZero())
		}
	}
}

// Several data centres that are short at once must not flood the one that has room.
func TestOneDataCentreIsNotFloodedByAllOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	far := newSimulated("west", 0.3*rate, 3)
	sites := []*simulated{far, newSimulated("north", 1.3*rate, 3), newSimulated("south", 1.3*rate, 3), newSimulated("east", 1.3*rate, 3)}
	at := simulate(start, 5*time.Second, sites...)
	simulate(at, 20*time.Second, sites...)
	t.Logf("slowest %v", far.slowest)
	g.Expect(far.slowest).To(gomega.BeNumerically("<", 2*run))
	g.Expect(far.refused).To(gomega.BeZero())
	g.Expect(far.running).To(gomega.BeNumerically(">", 0.55*30), "its room is used")
}

// A data centre whose own callers need the capacity that others use must get it back.
func TestOwnCallersOfTheOtherDataCentreGetTheirCapacityBack(t *testing.T) {
	g := gomega.NewWithT(t)
	north, south := newSimulated("north", 1.4*rate, 3), newSimulated("south", 0.3*rate, 3)
	at := simulate(start, 10*time.Second, north, south)
	g.Expect(north.sent).To(gomega.BeNumerically(">", 0.2*rate))
	south.demand = 0.85 * rate
	forget(north, south)
	at = simulate(at, 1500*time.Millisecond, north, south)
	g.Expect(south.slowest).To(gomega.BeNumerically("<", 200*time.Millisecond))
	forget(north, south)
	simulate(at, 10*time.Second, north, south)
	g.Expect(south.slowest).To(gomega.BeNumerically("<", 2*run))
}

// A shortfall that moves from one data centre to the other must not make both send flows to
// one another, nor the shares swing.
func TestTwoDataCentresDoNotExchangeFlows(t *testing.T) {
	for name, demands := range map[string][2]float64{
		"near the limit": {0.95 * rate, 0.72 * rate}, "equal": {0.95 * rate, 0.95 * rate}, "one short": {1.2 * rate, 0.4 * rate},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			north, south := newSimulated("north", demands[0], 2), newSimulated("south", demands[1], 2)
			at := start
			both, swings, last, rising := 0, 0, 0., true
			for i := range 400 {
				if i == 200 {
					north.demand, south.demand = south.demand, north.demand
				}
				at = simulate(at, 100*time.Millisecond, north, south)
				if north.sent > 0 && south.sent > 0 && i%200 > 60 {
					both++
				}
				current := north.sent - south.sent
				if current != last && rising != (current > last) && i%200 > 60 {
					swings, rising = swings+1, current > last
				}
				last = current
			}
			t.Logf("both %d, swings %d, sent %.0f/s %.0f/s", both, swings, north.sent, south.sent)
			g.Expect(both).To(gomega.BeZero())
			g.Expect(swings).To(gomega.BeNumerically("<=", 12), "of 280 samples")
		})
	}
}
