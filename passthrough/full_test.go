package passthrough_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/dispatch"
	"zinniapulley.dev/route"
)

const (
	// overloaded requests at a server of four slots leave no chance of an answer within
	// 300 ms. With nearlyFull ones there is one if nothing else comes.
	overloaded = 80
	nearlyFull = 30
)

// fullTable returns a view whose route expects answers within replayObjective.
func fullTable(revision core.Revision, priority int) *route.Table {
	view := *table(revision).View
	view.Routes[0].Objective, view.Routes[0].Timeout, view.Routes[0].Priority = replayObjective, 2*time.Second, priority
	return route.Compile(&view)
}

// loaded has the companions up to count report so many running requests and their pace.
func loaded(d *dispatch.Dispatcher, now time.Time, count, running int) {
	for i := 1; i <= count; i++ {
		s, pace := statusOf(i), measuredPace()
		s.Running, pace.Waiting = running, max(running-s.Slots, 0)
		d.HandleStatus(now, s)
		d.HandlePace(now, s.Companion, pace)
	}
}

// fullDispatcher returns a Dispatcher whose companions all have so many requests.
func fullDispatcher(companions, running int) *dispatch.Dispatcher {
	d := dispatcher(companions)
	d.SetTable(fullTable(2, 2))
	loaded(d, start, companions, running)
	return d
}

func copyOf(port int, number uint32) *passthrough.Packet {
	p := syn(port)
	p.Ack = number
	return p
}

// While a whole service was full, an entry instance asked six companions for each flow
// before it refused the flow.
func TestFullServiceIsNotAsked(t *testing.T) {
	const flows = 400
	g := gomega.NewWithT(t)
	d := fullDispatcher(12, overloaded)
	for port := range flows {
		actions := d.Handle(start, syn(port))
		g.Expect(actions).To(gomega.HaveLen(1))
		g.Expect(actions[0].Kind).To(gomega.Equal(dispatch.Reset))
		g.Expect(actions[0].Reason).To(gomega.Equal(passthrough.ReasonFull))
		g.Expect(actions[0].Room.Servers).To(gomega.Equal(12))
		g.Expect(actions[0].Room.ShortestWait).To(gomega.BeNumerically(">", actions[0].Room.Limit))
	}
	g.Expect(d.Flows()).To(gomega.BeZero())
	bySlots := dispatcher(12)
	bySlots.SetTable(fullTable(2, 2))
	g.Expect(refuseAll(bySlots, start, bySlots.Handle(start, syn(1)))).To(gomega.Equal(6), "without a pace")
}

// A flow for which there may be room in time waits for it, and isn't offered to full
// companions meanwhile.
func TestFlowWaitsForRoomAtAFullService(t *testing.T) {
	g := gomega.NewWithT(t)
	d := fullDispatcher(12, nearlyFull)
	actions := d.Handle(start, syn(1))
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0].Kind).To(gomega.Equal(dispatch.Wait))
	g.Expect(actions[0].Reason).To(gomega.Equal(passthrough.ReasonFull))
	later := start.Add(50 * time.Millisecond)
	loaded(d, later, 12, nearlyFull-6)
	g.Expect(d.Continue(later)).To(gomega.BeEmpty())
	later = later.Add(50 * time.Millisecond)
	loaded(d, later, 12, 2)
	g.Expect(targets(d.Continue(later), dispatch.Forward)).To(gomega.HaveLen(1))
}

// Callers whose flows can't be started were told only with their last copy, after 600 ms.
// They are to be told within 100 ms.
func TestCallersOfAFullServiceAreToldSoon(t *testing.T) {
	for _, running := range []int{nearlyFull - 3, nearlyFull, nearlyFull + 3, overloaded} {
		g := gomega.NewWithT(t)
		d := fullDispatcher(12, running)
		reset := targets(d.Handle(start, syn(1)), dispatch.Reset)
		for now := start; len(reset) == 0; {
			now = now.Add(50 * time.Millisecond)
			g.Expect(now.Sub(start)).To(gomega.BeNumerically("<=", 100*time.Millisecond))
			loaded(d, now, 12, running)
			reset = targets(d.Continue(now), dispatch.Reset)
		}
		g.Expect(reset).To(gomega.HaveLen(1))
	}
}

// Flows beyond those that may wait were dropped without a word, and their callers waited
// for 1.4 s.
func TestFlowIsResetWhereTooManyWait(t *testing.T) {
	g := gomega.NewWithT(t)
	d := fullDispatcher(12, nearlyFull)
	for port := range 600 {
		g.Expect(targets(d.Handle(start, syn(port)), dispatch.Drop)).To(gomega.BeEmpty())
	}
	g.Expect(targets(d.Handle(start, syn(600)), dispatch.Reset)).To(gomega.HaveLen(1))
}

// What decides is whether any companion has room, not only the candidates of the flow.
func TestRoomAnywherePreventsTheRefusal(t *testing.T) {
	for _, dataCentre := range []core.DataCentre{"north", otherSite} {
		g := gomega.NewWithT(t)
		d := fullDispatcher(30, overloaded)
		free := statusOf(31)
		free.DataCentre = dataCentre
		d.HandleStatus(start, free)
		for port := range 100 {
			g.Expect(targets(d.Handle(start, syn(port)), dispatch.Reset)).To(gomega.BeEmpty())
		}
	}
}

// State that may be wrong must not refuse a flow.
func TestFlowIsNotRefusedByUncertainState(t *testing.T) {
	interval := passthrough.ReportInterval
	cases := map[string]struct {
		prepare func() *dispatch.Dispatcher
		after   time.Duration
	}{
		"reports have stopped": {func() *dispatch.Dispatcher { return fullDispatcher(12, 10*overloaded) }, 2*interval + time.Millisecond},
		"reports are seconds late": {func() *dispatch.Dispatcher {
			d := dispatcher(12)
			d.SetTable(fullTable(2, 2))
			loaded(d, start.Add(-2*time.Second), 12, 10*overloaded)
			return d
		}, 0},
		"just started": {func() *dispatch.Dispatcher {
			d := dispatch.New(start.Add(-interval/2), "north")
			d.SetTable(fullTable(2, 2))
			d.Continue(start.Add(-interval / 2))
			loaded(d, start, 12, overloaded)
			return d
		}, 0},
		"pause that was noticed": {func() *dispatch.Dispatcher {
			d := fullDispatcher(12, overloaded)
			d.Sweep(start.Add(-5 * time.Second))
			d.Sweep(start)
			d.Continue(start)
			return d
		}, 100 * time.Millisecond},
		"pause that wasn't noticed yet": {func() *dispatch.Dispatcher {
			d := fullDispatcher(12, overloaded)
			d.Sweep(start.Add(-5 * time.Second))
			return d
		}, 0},
		"old companions without a pace": {func() *dispatch.Dispatcher {
			d := fullDispatcher(0, 0)
			for i := 1; i <= 12; i++ {
				s := statusOf(i)
				s.Running = overloaded
				d.HandleStatus(start, s)
			}
			return d
		}, 0},
		"half of the companions are silent": {func() *dispatch.Dispatcher {
			d := fullDispatcher(12, overloaded)
			loaded(d, start.Add(time.Second), 6, overloaded)
			return d
		}, time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d, now := c.prepare(), start.Add(c.after)
			for port := range 20 {
				for _, a := range d.Handle(now, syn(port)) {
					g.Expect(a.Kind).To(gomega.Equal(dispatch.Forward))
				}
			}
		})
	}
}

// One report interval after a pause or a start the state decides again.
func TestStateDecidesOneIntervalAfterAPause(t *testing.T) {
	g := gomega.NewWithT(t)
	d := fullDispatcher(12, overloaded)
	d.Sweep(start.Add(-5 * time.Second))
	d.Sweep(start)
	d.Continue(start)
	later := start.Add(passthrough.ReportInterval)
	loaded(d, later, 12, overloaded)
	g.Expect(targets(d.Handle(later, syn(1)), dispatch.Reset)).To(gomega.HaveLen(1))
}

// All entry instances refuse by the same report. If they did so until the next one, servers
// with a queue of a few hundred milliseconds would be idle by then.
func TestRefusalsEndAsTheReportedQueueDrains(t *testing.T) {
	g := gomega.NewWithT(t)
	d := fullDispatcher(12, 40)
	g.Expect(targets(d.Handle(start, syn(1)), dispatch.Forward)).To(gomega.BeEmpty())
	// One more may wait behind 13 of the 40 requests; 27 are answered in 230 ms.
	g.Expect(targets(d.Handle(start.Add(250*time.Millisecond), syn(2)), dispatch.Forward)).To(gomega.HaveLen(1))
}

// An urgent request may overtake those that wait, so that their number doesn't refuse it.
func TestUrgentFlowIsOfferedToAFullService(t *testing.T) {
	g := gomega.NewWithT(t)
	d := fullDispatcher(12, overloaded)
	d.SetTable(fullTable(3, 1))
	g.Expect(targets(d.Handle(start, syn(1)), dispatch.Forward)).To(gomega.HaveLen(1))
}

// The number of a copy says how long its caller has waited. One that is late in any case
// isn't refused because of its objective.
func TestElapsedTimeOfACopyCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	// One request more than 12 waits for 77 ms: the first copy may wait for 133 ms, the
	// second for 66.
	d := fullDispatcher(12, 12)
	g.Expect(targets(d.Handle(start, syn(1)), dispatch.Forward)).To(gomega.HaveLen(1))
	g.Expect(targets(d.Handle(start, copyOf(2, 1)), dispatch.Forward)).To(gomega.BeEmpty())
	g.Expect(targets(d.Handle(start, copyOf(3, 2)), dispatch.Forward)).To(gomega.HaveLen(1))
	beyond := fullDispatcher(12, 1000)
	g.Expect(targets(beyond.Handle(start, copyOf(3, 2)), dispatch.Reset)).To(gomega.HaveLen(1))
}

// A flow that a companion may have admitted must not be reset: it may have run.
func TestFlowThatMayBeOpenIsNotRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	d := fullDispatcher(12, 0)
	first := targets(d.Handle(start, syn(1)), dispatch.Forward)
	g.Expect(first).To(gomega.HaveLen(1))
	later := start.Add(200 * time.Millisecond)
	loaded(d, later, 12, overloaded)
	g.Expect(targets(d.Handle(later, copyOf(1, 1)), dispatch.Forward)).To(gomega.Equal(first))
}

// A machine that has just died is silent for more than a minute, and must not prevent
// refusals by the state of all others.
func TestDeadCompanionDoesNotPreventTheRefusal(t *testing.T) {
	g := gomega.NewWithT(t)
	d := fullDispatcher(12, overloaded)
	later := start.Add(time.Second)
	loaded(d, later, 11, overloaded)
	actions := d.Handle(later, syn(1))
	g.Expect(targets(actions, dispatch.Reset)).To(gomega.HaveLen(1))
	g.Expect(actions[0].Room.Silent).To(gomega.Equal(1))
}

// The state of each service and data centre counts only what is known.
func TestCapacityOfEachDataCentre(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(0)
	loaded(d, start, 3, 6)
	far := statusOf(4)
	far.DataCentre, far.Running = otherSite, 1
	d.HandleStatus(start, far)
	silent := statusOf(5)
	d.HandleStatus(start.Add(-time.Second), silent)
	draining := statusOf(6)
	draining.Ready = false
	d.HandleStatus(start, draining)
	sites := d.Capacity(start.Add(100 * time.Millisecond))
	g.Expect(sites).To(gomega.HaveLen(2))
	near := sites[0]
	g.Expect([]int{near.Servers, near.Silent, near.Slots, near.Running, near.Waiting}).To(gomega.Equal([]int{3, 1, 12, 18, 6}))
	g.Expect(near.Rate).To(gomega.BeNumerically("~", 3*4/replayRun.Seconds()))
	g.Expect(near.Expected).To(gomega.BeNumerically("~", replayRun+3*replayRun/replaySlots, time.Microsecond))
	g.Expect(near.Age).To(gomega.Equal(100 * time.Millisecond))
	g.Expect(sites[1].DataCentre).To(gomega.Equal(otherSite))
	g.Expect(sites[1].Rate).To(gomega.BeNumerically("~", 4/replayRun.Seconds()), "by the median of the service")
	d.SetTable(table(2, otherSite))
	g.Expect(d.Capacity(start)).To(gomega.HaveLen(1), "one is out of service")
}

// A choice at a full service of many companions compares them all, and must not allocate
// for that beyond the record of the refusal.
func BenchmarkRefusalOf109(b *testing.B) {
	d := fleet(109, 7)
	d.SetTable(fullTable(2, 2))
	for i := range 109 {
		s := fleetStatus(i, 7)
		s.Running = 100 * overloaded
		d.HandleStatus(start, s)
		d.HandlePace(start, s.Companion, measuredPace())
	}
	p := copyOf(1, 2)
	b.ReportAllocs()
	for b.Loop() {
		d.Handle(start, p)
	}
}

// At 125% of what the slots sustain, refusals by state must keep the answers within the
// objective and yet leave no server idle while flows are refused.
func TestRefusalsKeepAnOverloadedServiceBusy(t *testing.T) {
	const servers, duration = 12, 5 * time.Second
	g := gomega.NewWithT(t)
	sustained := float64(servers*replaySlots) / replayRun.Seconds()
	inTime := map[bool]float64{}
	for _, measured := range []bool{false, true} {
		r := newReplay(12, slowThird(servers, 1), measured)
		r.run(int(1.25*sustained), duration, passthrough.ReportInterval)
		inTime[measured] = (1 - r.late(replayObjective)) * float64(len(r.took)) / (sustained * duration.Seconds())
		t.Logf("measured %v: in time %.3f of what the slots sustain, busiest %d requests", measured, inTime[measured], r.busiest)
	}
	g.Expect(inTime[true]).To(gomega.BeNumerically(">=", 0.93))
}

// A companion of an older version that replaces a newer one sends no pace. What its
// predecessor measured must not count for ever.
func TestPaceOfAReplacedCompanionExpires(t *testing.T) {
	g := gomega.NewWithT(t)
	d := fullDispatcher(12, overloaded)
	now := start
	for now.Before(start.Add(3 * time.Minute)) {
		now = now.Add(500 * time.Millisecond)
		d.Sweep(now)
		for i := 1; i <= 12; i++ {
			s := statusOf(i)
			s.Running = overloaded
			d.HandleStatus(now, s)
		}
	}
	g.Expect(targets(d.Handle(now, syn(1)), dispatch.Forward)).To(gomega.HaveLen(1))
}

// At 125% of what the slots sustain, companions that admit what they can answer in time were
// sent several packets for each flow that they refused.
func TestOverloadedCompanionsRefuseFewFlows(t *testing.T) {
	const servers, duration = 12, 3 * time.Second
	g := gomega.NewWithT(t)
	sustained := float64(servers*replaySlots) / replayRun.Seconds()
	refusals := map[bool]float64{}
	for _, measured := range []bool{false, true} {
		r := newReplay(12, slowThird(servers, 1), measured)
		// The gate admits 0.6 of 300 ms, with an answer every 8.5 ms.
		r.limit = 21
		r.run(int(1.25*sustained), duration, passthrough.ReportInterval)
		refusals[measured] = float64(r.refusals) / float64(len(r.took))
		inTime := (1 - r.late(replayObjective)) * float64(len(r.took)) / (sustained * duration.Seconds())
		t.Logf("measured %v: %.3f refusals for each flow, in time %.3f of what the slots sustain", measured, refusals[measured], inTime)
	}
	g.Expect(refusals[true]).To(gomega.BeNumerically("<", refusals[false]/2))
}
