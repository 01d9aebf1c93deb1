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
	// serversPerSite and entriesPerSite are the sizes of each data centre of a siteReplay,
	// whose backend servers sustain 706 requests a second.
	serversPerSite, entriesPerSite = 6, 3
	// siteWay is the network delay to another data centre and back.
	siteWay = 9 * time.Millisecond
)

// siteReplay is a replay in several data centres.
type siteReplay struct {
	*replay
	names []core.DataCentre
	// flows is how many flows a second the callers of each data centre open.
	flows []int
	now   time.Time
	port  int
	notes []delayedNote
	// opened holds when each flow was opened.
	opened map[int]time.Time
	// took holds the times of the requests of each data centre's callers, left how many of
	// their flows left by the plan, and crossed how many in any way.
	took          [][]time.Duration
	left, crossed []int
}

type delayedNote struct {
	at    time.Time
	entry *dispatch.Dispatcher
	from  int
	port  int
}

func newSiteReplay(plan bool, flows ...int) *siteReplay {
	s := &siteReplay{replay: newReplay(0, slowThird(serversPerSite*len(flows), 1), true), flows: flows, now: start, opened: map[int]time.Time{}}
	s.names = []core.DataCentre{"north", "south", "east"}[:len(flows)]
	s.took, s.left, s.crossed = make([][]time.Duration, len(flows)), make([]int, len(flows)), make([]int, len(flows))
	view := *table(2).View
	view.Routes[0].Objective, view.Routes[0].Timeout = replayObjective, 2*time.Second
	for i := range entriesPerSite * len(flows) {
		d := dispatch.New(start.Add(-time.Hour), s.names[i/entriesPerSite])
		d.SetTable(route.Compile(&view))
		if plan {
			d.PlanLeaving(leavingCost)
		}
		s.entries = append(s.entries, d)
	}
	return s
}

// run opens flows for a time, in steps of a millisecond.
func (s *siteReplay) run(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		passed := int(s.now.Sub(start) / time.Millisecond)
		if passed%300 == 0 {
			s.report()
		}
		for i, e := range s.entries {
			if (passed+7*i)%50 == 0 {
				e.Sweep(s.now)
				s.act(i/entriesPerSite, e, e.Continue(s.now))
			}
		}
		for len(s.notes) > 0 && !s.notes[0].at.After(s.now) {
			n := s.notes[0]
			s.notes = s.notes[1:]
			n.entry.HandleNote(s.now, companionAt(n.from+1), passthrough.Note{
				Kind: passthrough.NoteAdmitted, Key: flowKey(n.port), Running: s.running(s.now, n.from),
			})
		}
		for site, rate := range s.flows {
			for range rate*(passed+1)/1000 - rate*passed/1000 {
				s.open(site)
			}
		}
	}
}

func (s *siteReplay) report() {
	for server, slower := range s.slower {
		status := statusOf(server + 1)
		status.DataCentre, status.Running = s.names[server/serversPerSite], s.running(s.now, server)
		run := time.Duration(slower) * replayRun
		for _, e := range s.entries {
			e.HandleStatus(s.now, status)
			e.HandlePace(s.now, status.Companion, passthrough.Pace{Run: run, Interval: run / replaySlots, Users: entriesPerSite})
		}
	}
}

// open opens a flow of a caller of the data centre.
func (s *siteReplay) open(site int) {
	s.port++
	s.opened[s.port] = s.now
	entry := s.entries[site*entriesPerSite+s.port%entriesPerSite]
	s.act(site, entry, entry.Handle(s.now, syn(s.port)))
}

// act carries out what an entry instance of the data centre has decided. Callers send no
// copies; a packet that waits is tried again by the entry instance.
func (s *siteReplay) act(site int, entry *dispatch.Dispatcher, actions []dispatch.Action) {
	for _, a := range actions {
		if a.Kind == dispatch.Reset || a.Kind == dispatch.Drop {
			s.took[site] = append(s.took[site], time.Hour)
		}
		if a.Kind != dispatch.Forward {
			continue
		}
		server, way := int(a.To.Addr().As4()[3])-1, time.Millisecond
		if server/serversPerSite != site {
			way = siteWay
			s.crossed[site]++
		}
		if a.Placement == dispatch.LeftPlanned {
			s.left[site]++
		}
		port := int(a.Packet.Key.Caller.Port())
		s.notes = append(s.notes, delayedNote{s.now.Add(way), entry, server, port})
		s.deliver(s.now, server)
		s.took[site] = append(s.took[site], s.replay.took[len(s.replay.took)-1]+2*way+s.now.Sub(s.opened[port]))
	}
}

// lateAt returns the part of the data centre's requests that were late or refused since the last
// call, and how many of its flows left.
func (s *siteReplay) lateAt(site int) (late float64, crossed int) {
	count := 0.
	for _, took := range s.took[site] {
		if took > replayObjective {
			count++
		}
	}
	late, crossed = count/float64(max(len(s.took[site]), 1)), s.crossed[site]
	s.took[site], s.left[site], s.crossed[site] = nil, 0, 0
	return late, crossed
}

// The decisions of several entry instances in several data centres, with real queues at the
// backend servers: a shortfall of one is served by the others, whose own callers keep their
// objective, with fewer flows between data centres than by load alone.
func TestDataCentresServeOneAnothersShortfalls(t *testing.T) {
	for name, c := range map[string]struct {
		flows, others, slower int
		// crossed is the most that the flows of the data centre may cross, as a part of those
		// without a plan, and late how many requests of any data centre may be late.
		crossed, late float64
		// planned is set if the plan may let flows leave.
		planned bool
	}{
		"slow by 3":     {350, 200, 3, 0.75, 0.01, true},
		"burst":         {1000, 200, 1, 0.75, 0.01, true},
		"nothing wrong": {550, 200, 1, 0.1, 0.01, true},
		"others busy":   {900, 550, 1, 1, 0.05, false},
		"all full":      {800, 800, 1, 1.2, 0.3, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			without := 0
			for _, plan := range []bool{false, true} {
				s := newSiteReplay(plan, 350, c.others, c.others)
				s.run(2 * time.Second)
				_, before := s.lateAt(0)
				s.flows[0] = c.flows
				for i := range serversPerSite {
					s.slower[i] = c.slower
				}
				s.run(2 * time.Second)
				atFirst, _ := s.lateAt(0)
				s.lateAt(1)
				s.run(6 * time.Second)
				planned := s.left[0]
				late, crossed := s.lateAt(0)
				other, back := s.lateAt(1)
				t.Logf("plan %v: before crossed %d; at first late %.3f; then late %.3f, elsewhere %.3f, crossed %d of %d, %d by the plan, %d back",
					plan, before, atFirst, late, other, crossed, 6*c.flows, planned, back)
				if !plan {
					without = crossed
					continue
				}
				g.Expect(before).To(gomega.BeNumerically("<", 350*2/50))
				g.Expect(max(late, other)).To(gomega.BeNumerically("<=", c.late))
				g.Expect(planned > 0 && !c.planned).To(gomega.BeFalse())
				g.Expect(float64(crossed)).To(gomega.BeNumerically("<=", c.crossed*float64(without)))
			}
		})
	}
}
