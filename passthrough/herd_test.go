package passthrough_test

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/dispatch"
)

// herd has entry instances with the same old reports place flows, and returns how many
// went to the backend server that these report as idle.
func herd(entries, flowsEach int, age time.Duration, pace passthrough.Pace) int {
	const companions = 12
	idle := 0
	for e := range entries {
		d := dispatcher(companions)
		for i := 2; i <= companions; i++ {
			busy := statusOf(i)
			busy.Running = 3
			d.HandleStatus(start, busy)
		}
		for i := 1; i <= companions; i++ {
			d.HandlePace(start, companionAt(i), pace)
		}
		for flow := range flowsEach {
			port := e*1000 + flow
			if targets(d.Handle(start.Add(age), syn(port)), dispatch.Forward)[0] == companionAt(1) {
				idle++
			}
		}
	}
	return idle
}

// After an outage twelve entry instances sent four times its share to a backend server that
// was idle at their last reports. With a pace they take into account that the reports are
// old and that the others send flows too.
func TestOldReportsDoNotOverloadOneServer(t *testing.T) {
	const entries, flowsEach = 12, 6
	g := gomega.NewWithT(t)
	share := entries * flowsEach / 12
	pace := measuredPace()
	pace.Users = entries
	g.Expect(herd(entries, flowsEach, 0, passthrough.Pace{})).To(gomega.BeNumerically(">=", 3*share), "the fault shows without a pace")
	for _, age := range []time.Duration{0, 100 * time.Millisecond, passthrough.ReportInterval} {
		g.Expect(herd(entries, flowsEach, age, pace)).To(gomega.BeNumerically("<=", 2*share))
	}
}

// Own flows that the last report can't include are still counted after it.
func TestFlowsSentJustBeforeAReportStillCount(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(2)
	for i := 1; i <= 2; i++ {
		d.HandlePace(start, companionAt(i), measuredPace())
	}
	count := map[bool]int{}
	for port := range 12 {
		now := start.Add(time.Duration(port) * 100 * time.Microsecond)
		to := targets(d.Handle(now, syn(port)), dispatch.Forward)[0]
		count[to == companionAt(1)]++
		for i := 1; i <= 2; i++ {
			d.HandleStatus(now, statusOf(i))
		}
	}
	g.Expect(count[true]).To(gomega.Equal(count[false]))
}

// loadBySlots is the load that the choice compared before anything was measured.
func loadBySlots(s passthrough.Status) float64 {
	load := (float64(s.Running) + 0.06*float64(s.Flows)) / float64(s.Slots)
	if s.DataCentre != "north" {
		load += 0.15
	}
	if s.Cold {
		load += 0.5
	}
	if s.Failing {
		load += 100
	}
	return load
}

// A new entry instance among old companions, which send no pace, chooses as an old one.
func TestChoiceWithoutMeasuresIsBySlots(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for port := range 500 {
		d := dispatch.New(start.Add(-time.Hour), "north")
		d.SetTable(table(1))
		lowest := math.Inf(1)
		loads := map[netip.AddrPort]float64{}
		// All four are candidates.
		for i := 1; i <= 4; i++ {
			s := statusOf(i)
			s.Slots, s.Running, s.Flows = 1+random.IntN(8), random.IntN(10), random.IntN(30)
			s.Cold, s.Failing = random.IntN(4) == 0, random.IntN(8) == 0
			if random.IntN(2) == 0 {
				s.DataCentre = otherSite
			}
			loads[s.Companion] = loadBySlots(s)
			lowest = min(lowest, loads[s.Companion])
			d.HandleStatus(start, s)
		}
		to := targets(d.Handle(start.Add(100*time.Millisecond), syn(port)), dispatch.Forward)[0]
		gomega.NewWithT(t).Expect(loads[to]).To(gomega.Equal(lowest))
	}
}
