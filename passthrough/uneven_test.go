package passthrough_test

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/dispatch"
	"zinniapulley.dev/route"
)

const (
	// replayRun is the run time of a request at a normal backend server, and replaySlots
	// how many it runs at once.
	replayRun       = 34 * time.Millisecond
	replaySlots     = 4
	replayObjective = 300 * time.Millisecond
	// handshake is the time from an opening packet to the flow's request.
	handshake = 12 * time.Millisecond
)

// replay sends flows of one request each through entry instances to backend servers that
// have a queue and answer at different speeds.
type replay struct {
	entries []*dispatch.Dispatcher
	// slower is the factor by which each backend server is slower than normal.
	slower []int
	// measured is set if companions report their pace.
	measured bool
	reportAt time.Time
	// begins and ends hold when requests begin to wait or run, and when they end, by
	// backend server; freeAt is when each slot is free.
	begins, ends [][]time.Time
	freeAt       [][]time.Time
	busiest      int
	took         []time.Duration
	// limit is how many requests a companion admits, zero for any number; refusals counts
	// the flows that were refused by companions.
	limit, refusals int
}

func newReplay(entries int, slower []int, measured bool) *replay {
	r := &replay{slower: slower, measured: measured, reportAt: start}
	r.begins, r.ends, r.freeAt = make([][]time.Time, len(slower)), make([][]time.Time, len(slower)), make([][]time.Time, len(slower))
	for i := range slower {
		r.freeAt[i] = make([]time.Time, replaySlots)
	}
	view := *table(2).View
	view.Routes[0].Objective, view.Routes[0].Timeout = replayObjective, 2*time.Second
	for range entries {
		d := dispatcher(len(slower))
		d.SetTable(route.Compile(&view))
		r.entries = append(r.entries, d)
	}
	return r
}

// running returns how many requests have no answer at a backend server.
func (r *replay) running(now time.Time, server int) int {
	running := 0
	for i, end := range r.ends[server] {
		if end.After(now) && !r.begins[server][i].After(now) {
			running++
		}
	}
	return running
}

// report sends all entry instances the loads, and the paces if they are measured.
func (r *replay) report(now time.Time) {
	for server, slower := range r.slower {
		status := statusOf(server + 1)
		status.Running = r.running(now, server)
		run := time.Duration(slower) * replayRun
		for _, e := range r.entries {
			e.HandleStatus(now, status)
			if r.measured {
				e.HandlePace(now, status.Companion, passthrough.Pace{Run: run, Interval: run / replaySlots, Users: len(r.entries)})
			}
		}
	}
}

// run sends so many flows a second for the duration, with reports to all each interval.
func (r *replay) run(flowsPerSecond int, duration, interval time.Duration) {
	gap := time.Second / time.Duration(flowsPerSecond)
	for port := range int(duration / gap) {
		now := start.Add(time.Duration(port) * gap)
		if !now.Before(r.reportAt) {
			r.report(now)
			r.reportAt = now.Add(interval)
		}
		entry := r.entries[port%len(r.entries)]
		to := targets(entry.Handle(now, syn(port)), dispatch.Forward)
		for len(to) > 0 && r.limit > 0 && r.unanswered(now, int(to[0].Addr().As4()[3])-1) >= r.limit {
			r.refusals++
			to = targets(entry.HandleRefused(now, to[0], passthrough.ReasonBusy, syn(port)), dispatch.Forward)
		}
		if len(to) == 0 {
			r.took = append(r.took, time.Hour)
			continue
		}
		server := int(to[0].Addr().As4()[3]) - 1
		r.deliver(now, server)
		note := passthrough.Note{Kind: passthrough.NoteAdmitted, Key: flowKey(port), Running: r.running(now, server)}
		entry.HandleNote(now, to[0], note)
	}
}

// unanswered returns how many requests are at a backend server or on their way there.
func (r *replay) unanswered(now time.Time, server int) int {
	count := 0
	for _, end := range r.ends[server] {
		if end.After(now) {
			count++
		}
	}
	return count
}

func (r *replay) deliver(now time.Time, server int) {
	begin := now.Add(handshake)
	slots := r.freeAt[server]
	first := slices.IndexFunc(slots, func(at time.Time) bool { return at.Equal(slices.MinFunc(slots, time.Time.Compare)) })
	end := begin
	if slots[first].After(begin) {
		end = slots[first]
	}
	end = end.Add(time.Duration(r.slower[server]) * replayRun)
	slots[first] = end
	r.begins[server], r.ends[server] = append(r.begins[server], begin), append(r.ends[server], end)
	r.took = append(r.took, end.Sub(now))
	r.busiest = max(r.busiest, r.running(begin, server))
}

// late returns the share of requests that took longer than the limit.
func (r *replay) late(limit time.Duration) float64 {
	late := 0
	for _, took := range r.took {
		if took > limit {
			late++
		}
	}
	return float64(late) / float64(len(r.took))
}

func slowThird(servers, factor int) []int {
	slower := make([]int, servers)
	for i := range slower {
		slower[i] = 1
		if i%3 == 0 {
			slower[i] = factor
		}
	}
	return slower
}

// A third of the backend servers of a service answer 5 times as slowly as the others, and
// choosing by slots sent them as many requests as the others: one in seven took longer than
// callers expect, while the other servers had room.
func TestSlowBackendServersGetFewerFlows(t *testing.T) {
	for name, entries := range map[string]int{"one entry instance": 1, "four": 4, "twelve": 12} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			late := map[bool]float64{}
			for _, measured := range []bool{false, true} {
				r := newReplay(entries, slowThird(12, 5), measured)
				r.run(700, 3*time.Second, passthrough.ReportInterval)
				late[measured] = r.late(replayObjective)
				t.Logf("measured %v: late %.3f, busiest %d requests", measured, late[measured], r.busiest)
			}
			g.Expect(late[false]).To(gomega.BeNumerically(">", 0.02), "the fault shows without measures")
			g.Expect(late[true]).To(gomega.BeNumerically("<=", 0.005))
		})
	}
}

// Near the capacity of equal backend servers, entry instances that choose by the same old
// reports must not overload one while others have room.
func TestManyEntryInstancesSpreadTheLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	// 12 servers sustain 1,410 requests a second.
	const flowsPerSecond, handshakeAndRun = 1200, 100 * time.Millisecond
	before, after := newReplay(12, slowThird(12, 1), false), newReplay(12, slowThird(12, 1), true)
	for _, r := range []*replay{before, after} {
		r.run(flowsPerSecond, 3*time.Second, passthrough.ReportInterval)
		t.Logf("measured %v: slower than %v: %.3f, busiest %d requests", r.measured, handshakeAndRun, r.late(handshakeAndRun), r.busiest)
	}
	g.Expect(before.late(handshakeAndRun)).To(gomega.BeNumerically(">", 0.2), "the fault shows without measures")
	g.Expect(after.late(handshakeAndRun)).To(gomega.BeNumerically("<=", 0.02))
	g.Expect(after.busiest).To(gomega.BeNumerically("<", before.busiest))
}

// Reports that are seconds late must not make the choice worse than by slots: slow servers
// are still known.
func TestLateReportsKeepSlowServersKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	late := map[bool]float64{}
	for _, measured := range []bool{false, true} {
		r := newReplay(4, slowThird(12, 5), measured)
		r.run(500, 3*time.Second, 2*time.Second)
		late[measured] = r.late(replayObjective)
	}
	t.Logf("late by slots %.3f, by measures %.3f", late[false], late[true])
	g.Expect(late[true]).To(gomega.BeNumerically("<=", 0.01))
}

// measuredPace is the pace of a normal backend server.
func measuredPace() passthrough.Pace {
	return passthrough.Pace{Run: replayRun, Interval: replayRun / replaySlots, Users: 1}
}

// The means of equal backend servers differ by chance. Long flows, of which each is a small
// load, must still be spread evenly: the busiest server has at most 1.15 times the mean.
func TestEqualMeasuredServersGetEqualFlows(t *testing.T) {
	g := gomega.NewWithT(t)
	const companions, flows = 7, 700
	d := dispatcher(companions)
	count := make([]int, companions+1)
	for port := range flows {
		now := start.Add(time.Duration(port) * 20 * time.Millisecond)
		if port%10 == 0 {
			for i := 1; i <= companions; i++ {
				s := statusOf(i)
				s.Flows = count[i]
				d.HandleStatus(now, s)
				pace := measuredPace()
				pace.Run += time.Duration(i%3-1) * 8 * time.Millisecond
				d.HandlePace(now, s.Companion, pace)
			}
		}
		to := targets(d.Handle(now, syn(port)), dispatch.Forward)[0]
		count[to.Addr().As4()[3]]++
	}
	g.Expect(float64(slices.Max(count)) * companions / flows).To(gomega.BeNumerically("<=", 1.15))
}

// countTo returns how many of a hundred flows go to the companion of a number, each by an
// entry instance that has sent nothing before.
func countTo(number int, prepare func(d *dispatch.Dispatcher)) int {
	count := 0
	for port := range 100 {
		d := dispatcher(4)
		prepare(d)
		if targets(d.Handle(start, syn(port)), dispatch.Forward)[0] == companionAt(number) {
			count++
		}
	}
	return count
}

// A server without a measure must neither attract all flows nor get none, and a cold one
// counts by its measure.
func TestUnmeasuredAndColdServers(t *testing.T) {
	g := gomega.NewWithT(t)
	all := func(d *dispatch.Dispatcher, change func(number int, s *passthrough.Status, p *passthrough.Pace)) {
		for i := 1; i <= 4; i++ {
			s, p := statusOf(i), measuredPace()
			change(i, &s, &p)
			d.HandleStatus(start, s)
			d.HandlePace(start, s.Companion, p)
		}
	}
	unmeasured := func(cold bool, factor int) func(d *dispatch.Dispatcher) {
		return func(d *dispatch.Dispatcher) {
			all(d, func(number int, s *passthrough.Status, p *passthrough.Pace) {
				if number == 1 {
					s.Cold = cold
					p.Run, p.Interval = p.Run*time.Duration(factor), p.Interval*time.Duration(factor)
				}
			})
		}
	}
	g.Expect(countTo(1, unmeasured(false, 0))).To(gomega.BeNumerically("~", 25, 12), "counts as the median")
	g.Expect(countTo(1, unmeasured(true, 0))).To(gomega.BeZero(), "cold, and others are idle")
	g.Expect(countTo(1, unmeasured(true, 1))).To(gomega.BeNumerically("~", 25, 12), "cold, but as fast as others")
	g.Expect(countTo(1, unmeasured(false, 3))).To(gomega.BeZero(), "slow")
}

// A remote data centre that answers sooner, network included, must get the flow, and one
// that doesn't must not; until the network is measured the constant holds.
func TestMeasuredNetworkDelayDecidesForOtherDataCentre(t *testing.T) {
	for name, c := range map[string]struct {
		delay   time.Duration
		running int
		remote  bool
	}{
		"near, busy here":          {time.Millisecond, 5, true},
		"far, busy here":           {9 * time.Millisecond, 5, false},
		"far, overloaded here":     {9 * time.Millisecond, 9, true},
		"near, idle here":          {time.Millisecond, 0, false},
		"not measured, idle here":  {0, 0, false},
		"not measured, queue here": {0, 9, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d := dispatcher(1)
			far := statusOf(2)
			far.DataCentre = otherSite
			d.HandleStatus(start, far)
			near := statusOf(1)
			near.Ready = false
			d.HandleStatus(start, near)
			if c.delay > 0 {
				d.Handle(start, syn(1))
				d.HandleNote(start.Add(c.delay), far.Companion, passthrough.Note{Kind: passthrough.NoteAdmitted, Key: flowKey(1)})
			}
			later := start.Add(100 * time.Millisecond)
			near.Ready, near.Running = true, c.running
			d.HandleStatus(later, near)
			d.HandleStatus(later, far)
			d.HandlePace(later, near.Companion, measuredPace())
			d.HandlePace(later, far.Companion, measuredPace())
			to := targets(d.Handle(later, syn(2)), dispatch.Forward)[0]
			g.Expect(to == far.Companion).To(gomega.Equal(c.remote))
		})
	}
}

// Callers of one data centre may bring more load than those of another. A full server here
// whose report is old must not count as having the mean load of all data centres.
func TestOldLoadIsReplacedByThatOfTheDataCentre(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(0)
	for i := 8; i > 0; i-- {
		s := statusOf(i)
		s.Running = 9
		if i > 4 {
			s.DataCentre, s.Running = otherSite, 0
		}
		d.HandleStatus(start, s)
		d.HandlePace(start, s.Companion, measuredPace())
		if i == 8 {
			d.Handle(start, syn(100))
			d.HandleNote(start.Add(9*time.Millisecond), s.Companion, passthrough.Note{Kind: passthrough.NoteAdmitted, Key: flowKey(100)})
		}
	}
	for port := range 20 {
		to := targets(d.Handle(start.Add(passthrough.ReportInterval), syn(port)), dispatch.Forward)[0]
		g.Expect(to.Addr().As4()[3]).To(gomega.BeNumerically(">", 4))
	}
}

// A network delay that was low once must not count for ever, and single slow responses must
// not count at all.
func TestNetworkDelayIsTheLowestRecentOne(t *testing.T) {
	g := gomega.NewWithT(t)
	d, now := dispatcher(1), start
	measure := func(delay time.Duration) time.Duration {
		now = now.Add(3 * time.Second)
		d.HandleStatus(now, statusOf(1))
		port := int(now.Sub(start).Seconds())
		to := targets(d.Handle(now, syn(port)), dispatch.Forward)[0]
		d.HandleNote(now.Add(delay), to, passthrough.Note{Kind: passthrough.NoteAdmitted, Key: flowKey(port)})
		// A second response doesn't belong to the packet.
		d.HandleNote(now.Add(time.Microsecond), to, passthrough.Note{Kind: passthrough.NoteAdmitted, Key: flowKey(port)})
		return d.Capacity(now)[0].Way
	}
	g.Expect(measure(9 * time.Millisecond)).To(gomega.Equal(9 * time.Millisecond))
	g.Expect(measure(5 * time.Millisecond)).To(gomega.Equal(5 * time.Millisecond))
	g.Expect(measure(50 * time.Millisecond)).To(gomega.Equal(5 * time.Millisecond))
	for range 6 {
		measure(20 * time.Millisecond)
	}
	g.Expect(measure(20 * time.Millisecond)).To(gomega.Equal(20 * time.Millisecond))
}
