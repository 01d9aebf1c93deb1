package capacity_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/capacity"
)

const (
	// run and interval are those of a server of four slots.
	run      = 40 * time.Millisecond
	interval = 10 * time.Millisecond
)

func server(running int) capacity.Server {
	return capacity.Server{Slots: 4, Running: running, Run: run, Interval: interval}
}

// A request must not count as waiting while a slot is free, nor as starting at once when
// none is.
func TestRequestWaitsOnlyWithAllSlotsTaken(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(server(3).ExpectedTime(0)).To(gomega.Equal(run))
	g.Expect(server(4).ExpectedTime(0)).To(gomega.Equal(run + interval))
	g.Expect(server(3).ExpectedTime(6)).To(gomega.Equal(run + 6*interval))
	g.Expect(server(12).WaitTime(0)).To(gomega.Equal(9 * interval))
}

// A server of which only one figure is measured must not count as infinitely fast, and one
// without any as having no room.
func TestMissingMeasureIsDerivedFromTheOther(t *testing.T) {
	g := gomega.NewWithT(t)
	both, onlyRun, onlyInterval := server(6), server(6), server(6)
	onlyRun.Interval, onlyInterval.Run = 0, 0
	g.Expect(onlyRun.ExpectedTime(1)).To(gomega.Equal(both.ExpectedTime(1)))
	g.Expect(onlyInterval.ExpectedTime(1)).To(gomega.Equal(both.ExpectedTime(1)))
	g.Expect(capacity.Server{Slots: 4, Running: 100}.ExpectedTime(1)).To(gomega.BeZero())
	g.Expect(capacity.Server{}.Rate()).To(gomega.BeZero())
	g.Expect(both.Rate()).To(gomega.BeNumerically("~", 100))
}

// The means of equal servers differ by chance. Taken as they are, the one with the lowest
// mean got more flows than all others.
func TestEqualServersCountAsEqual(t *testing.T) {
	g := gomega.NewWithT(t)
	lucky, slow, unknown := server(1), server(1), server(1)
	lucky.Run, lucky.Interval = 30*time.Millisecond, 8*time.Millisecond
	slow.Run, slow.Interval = 120*time.Millisecond, 30*time.Millisecond
	unknown.Run, unknown.Interval = 0, 0
	g.Expect(lucky.Assume(run)).To(gomega.Equal(server(1)))
	g.Expect(unknown.Assume(run)).To(gomega.Equal(server(1)))
	g.Expect(slow.Assume(run)).To(gomega.Equal(slow))
	g.Expect(unknown.Assume(0)).To(gomega.Equal(unknown))
}

// Servers with free slots must still be told apart, also by the load of open flows, which
// is a part of a request each.
func TestMeanTimeGrowsWithTheLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	last := 0.
	for load := 0.; load < 20; load += 0.06 {
		g.Expect(server(0).MeanTime(load)).To(gomega.BeNumerically(">", last))
		last = server(0).MeanTime(load)
	}
	exact := float64(server(20).ExpectedTime(0))
	g.Expect(server(0).MeanTime(20)).To(gomega.BeNumerically("~", exact, float64(interval)/10))
}

func TestSiteSumsItsServers(t *testing.T) {
	g := gomega.NewWithT(t)
	var site capacity.Site
	slow := server(2)
	slow.Run, slow.Interval = 4*run, 4*interval
	site.Add(server(4), 1, 100*time.Millisecond)
	site.Add(slow, 0, 200*time.Millisecond)
	g.Expect(site.Slots).To(gomega.Equal(8))
	g.Expect(site.Running).To(gomega.Equal(7))
	g.Expect(site.Rate).To(gomega.BeNumerically("~", 125))
	g.Expect(site.Age).To(gomega.Equal(200 * time.Millisecond))
	// Four in five requests go to the fast server: 60 ms there and 160 ms at the slow one.
	g.Expect(site.Expected).To(gomega.BeNumerically("~", 80*time.Millisecond, time.Microsecond))
}

// A request must be refused only if every known server misses its objective, and not
// because its answer is late in any case.
func TestRoomForARequest(t *testing.T) {
	ordinary := capacity.Request{Objective: 300 * time.Millisecond, Timeout: 2 * time.Second}
	copied, late, urgent := ordinary, ordinary, ordinary
	copied.Elapsed, late.Elapsed, urgent.Urgent = 200*time.Millisecond, 600*time.Millisecond, true
	queued := server(40)
	queued.Waiting = 30
	unmeasured := capacity.Server{Slots: 4, Running: 100}
	for name, c := range map[string]struct {
		request capacity.Request
		servers []capacity.Server
		silent  int
		none    bool
	}{
		"all full":                 {ordinary, []capacity.Server{server(30), server(40)}, 0, true},
		"one has room":             {ordinary, []capacity.Server{server(40), server(11)}, 0, false},
		"none has quite room":      {ordinary, []capacity.Server{server(40), server(12)}, 0, true},
		"part of the time is over": {copied, []capacity.Server{server(12)}, 0, true},
		"free slot":                {copied, []capacity.Server{server(3)}, 0, false},
		"late in any case":         {late, []capacity.Server{server(40)}, 0, false},
		"beyond the timeout":       {late, []capacity.Server{server(150)}, 0, true},
		"urgent overtakes":         {urgent, []capacity.Server{queued}, 0, false},
		"ordinary doesn't":         {ordinary, []capacity.Server{queued}, 0, true},
		"nothing measured":         {ordinary, []capacity.Server{unmeasured}, 0, false},
		"none known":               {ordinary, nil, 4, false},
		"half known":               {ordinary, []capacity.Server{server(40), server(40)}, 2, false},
		"one of four has died":     {ordinary, []capacity.Server{server(40), server(40), server(40)}, 1, true},
		"no server":                {ordinary, nil, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			var room capacity.Room
			for _, s := range c.servers {
				room.Add(c.request, s, 0, 0)
			}
			for range c.silent {
				room.AddSilent()
			}
			gomega.NewWithT(t).Expect(room.None()).To(gomega.Equal(c.none))
		})
	}
}

// A request that misses its objective even if nothing else comes must not be kept.
func TestRoomMayComeInTime(t *testing.T) {
	for name, c := range map[string]struct {
		running int
		elapsed time.Duration
		may     bool
	}{
		"soon":                     {25, 0, true},
		"too late":                 {40, 0, false},
		"part of the time is over": {25, 200 * time.Millisecond, false},
		"late in any case":         {190, 600 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var room capacity.Room
			room.Add(capacity.Request{Objective: 300 * time.Millisecond, Timeout: 2 * time.Second, Elapsed: c.elapsed}, server(c.running), 0, 0)
			g.Expect(room.None()).To(gomega.BeTrue())
			g.Expect(room.MayCome()).To(gomega.Equal(c.may))
		})
	}
}

// Servers with requests of about a millisecond are equal for callers. All flows went to
// the one whose mean happened to be lowest.
func TestShortRunTimesDoNotTellServersApart(t *testing.T) {
	g := gomega.NewWithT(t)
	fast := capacity.Server{Slots: 4, Run: time.Millisecond, Interval: 200 * time.Microsecond}.Assume(time.Millisecond)
	slow := capacity.Server{Slots: 4, Run: 4 * time.Millisecond, Interval: time.Millisecond}.Assume(time.Millisecond)
	g.Expect(slow.MeanTime(2)).To(gomega.Equal(fast.MeanTime(2)))
}
