package passthrough_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/dispatch"
	"zinniapulley.dev/route"
)

var (
	start     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	address   = netip.MustParseAddrPort("198.18.0.1:443")
	otherSite = core.DataCentre("south")
)

// companionAt returns the address of the companion with a number.
func companionAt(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 8000)
}

func flowKey(port int) core.FlowKey {
	return core.FlowKey{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(port)), Service: address}
}

func syn(port int) *passthrough.Packet {
	return &passthrough.Packet{Key: flowKey(port), Flags: core.TCPSyn, Seq: 1000}
}

func data(port int, ack uint32) *passthrough.Packet {
	return &passthrough.Packet{Key: flowKey(port), Flags: core.TCPAck, Seq: 1001, Ack: ack, Length: 10}
}

func table(revision core.Revision, out ...core.DataCentre) *route.Table {
	return route.Compile(&route.View{
		Revision: revision, Version: uint64(revision), Out: out, IdleTimeout: 15 * time.Second,
		Routes: []route.Route{{
			Name: "r", Address: address, Timeout: time.Second, Objective: 100 * time.Millisecond, Priority: 2,
			Shares: []route.Share{{Service: "feed", Weight: 1}}, Former: []core.ServiceName{"old"},
		}},
		Services: []route.Service{{Name: "feed", MaxConnections: 5, ColdFor: 2 * time.Second, ColdRate: 2}, {Name: "other"}},
	})
}

func statusOf(number int) passthrough.Status {
	return passthrough.Status{
		Companion: companionAt(number), DataCentre: "north", Service: "feed", Server: fmt.Sprintf("b%d", number), Ready: true, Slots: 4,
	}
}

// dispatcher returns a Dispatcher that started an hour ago and has the statuses of
// the companions.
func dispatcher(companions int) *dispatch.Dispatcher {
	d := dispatch.New(start.Add(-time.Hour), "north")
	d.SetTable(table(1))
	for i := 1; i <= companions; i++ {
		d.HandleStatus(start, statusOf(i))
	}
	return d
}

func targets(actions []dispatch.Action, kind dispatch.Kind) []netip.AddrPort {
	var to []netip.AddrPort
	for _, a := range actions {
		if a.Kind == kind {
			to = append(to, a.To)
		}
	}
	return to
}

func TestCopiesOfAnOpeningPacketGoWhereTheFirstWasAdmitted(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(5)
	first := targets(d.Handle(start, syn(1)), dispatch.Forward)
	g.Expect(first).To(gomega.HaveLen(1))
	d.HandleNote(start, first[0], passthrough.Note{Kind: passthrough.NoteAdmitted, Key: flowKey(1)})
	for _, after := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 600 * time.Millisecond} {
		g.Expect(targets(d.Handle(start.Add(after), syn(1)), dispatch.Forward)).To(gomega.Equal(first))
	}
}

func TestCopyOfAnUnansweredOpeningPacketIsTriedElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(5)
	first := targets(d.Handle(start, syn(1)), dispatch.Forward)
	second := targets(d.Handle(start.Add(200*time.Millisecond), syn(1)), dispatch.Forward)
	g.Expect(second).To(gomega.HaveLen(1))
	g.Expect(second).NotTo(gomega.Equal(first))
	// The caller may acknowledge the answer of either: both get the packet.
	both := targets(d.Handle(start.Add(210*time.Millisecond), data(1, 5001)), dispatch.Forward)
	g.Expect(both).To(gomega.ConsistOf(first[0], second[0]))
}

func TestRefusedFlowIsTriedAtOthersAndThenReset(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(3)
	actions := d.Handle(start, syn(1))
	seen := map[netip.AddrPort]bool{}
	for range 3 {
		to := targets(actions, dispatch.Forward)
		g.Expect(to).To(gomega.HaveLen(1))
		g.Expect(seen[to[0]]).To(gomega.BeFalse())
		seen[to[0]] = true
		actions = d.HandleRefused(start, to[0], passthrough.ReasonServerRefused, syn(1))
	}
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0].Kind).To(gomega.Equal(dispatch.Reset))
	g.Expect(actions[0].ResetSeq).To(gomega.BeZero())
}

func TestNewFlowsAvoidTheDataCentreThatIsOut(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(2)
	far := statusOf(3)
	far.DataCentre = otherSite
	d.HandleStatus(start, far)
	d.SetTable(table(2, "north"))
	for port := range 20 {
		to := targets(d.Handle(start, syn(port)), dispatch.Forward)
		g.Expect(to).To(gomega.Equal([]netip.AddrPort{companionAt(3)}))
	}
}

// An open flow stays with its companion when its data centre is taken out of service
// or its backend server admits no more flows.
func TestOpenFlowStaysThroughPlannedChange(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(3)
	owner := targets(d.Handle(start, syn(1)), dispatch.Forward)[0]
	d.HandleNote(start, owner, passthrough.Note{Kind: passthrough.NoteHeld, Key: flowKey(1)})
	d.SetTable(table(2, "north"))
	leaving := statusOf(int(owner.Addr().As4()[3]))
	leaving.Ready = false
	d.HandleStatus(start, leaving)
	g.Expect(targets(d.Handle(start, data(1, 5001)), dispatch.Forward)).To(gomega.Equal([]netip.AddrPort{owner}))
}

func TestUnknownFlowIsLookedUpAtPossibleHolders(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(2)
	former, unrelated := statusOf(3), statusOf(4)
	former.Service, unrelated.Service = "old", "other"
	d.HandleStatus(start, former)
	d.HandleStatus(start, unrelated)
	queried := targets(d.Handle(start, data(1, 5001)), dispatch.Query)
	g.Expect(queried).To(gomega.ConsistOf(companionAt(1), companionAt(2), companionAt(3)))
}

// With many companions, querying all of them for every flow saturated the link of an
// entry instance that had just been added.
func TestLookupWidensOnlyWhenNeeded(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(40)
	queried := targets(d.Handle(start, data(1, 5001)), dispatch.Query)
	g.Expect(len(queried)).To(gomega.BeNumerically("<=", 6))
	surveys, denied := deny(d, start, queried)
	g.Expect(denied).To(gomega.BeNumerically("<=", 12))
	g.Expect(surveys).To(gomega.HaveLen(1), "all are of one data centre")
	wide := surveys[0].Survey.Ask
	g.Expect(wide).To(gomega.HaveLen(40 - denied))
	actions := d.HandleNote(start, wide[7], passthrough.Note{Kind: passthrough.NoteHeld, Key: flowKey(1)})
	g.Expect(targets(actions, dispatch.Forward)).To(gomega.Equal(wide[7:8]))
	g.Expect(actions[0].Packet.Length).To(gomega.Equal(10), "the held packet")
}

// Among many companions a flow opens at one of those that a lookup queries first.
func TestFlowOpensWithinTheNarrowLookup(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(40)
	for port := range 100 {
		opened := targets(d.Handle(start, syn(port)), dispatch.Forward)
		other := dispatcher(40)
		g.Expect(targets(other.Handle(start, data(port, 5001)), dispatch.Query)).To(gomega.ContainElement(opened[0]))
	}
}

// A companion from which no message is received may hold the flow: a companion that
// doesn't track an entry instance sends it nothing.
func TestFlowIsNotResetWhileACompanionHasNotAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(2)
	later := start.Add(20 * time.Second)
	d.HandleStatus(later, statusOf(1))
	d.Handle(later, data(1, 5001))
	g.Expect(d.HandleNote(later, companionAt(1), passthrough.Note{Kind: passthrough.NoteNotHeld, Key: flowKey(1)})).To(gomega.BeEmpty())
}

// A companion that can't answer a query without the packet gets the packet.
func TestUnsureCompanionGetsThePacket(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(2)
	d.Handle(start, data(1, 5001))
	actions := d.HandleNote(start, companionAt(1), passthrough.Note{Kind: passthrough.NoteUnsure, Key: flowKey(1)})
	g.Expect(targets(actions, dispatch.Lookup)).To(gomega.Equal([]netip.AddrPort{companionAt(1)}))
}

func TestFlowIsResetOnlyOnceNoCompanionHoldsIt(t *testing.T) {
	notHeld := passthrough.Note{Kind: passthrough.NoteNotHeld, Key: flowKey(1)}
	t.Run("all have answered", func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := dispatcher(3)
		d.Handle(start, data(1, 5001))
		g.Expect(d.HandleNote(start, companionAt(1), notHeld)).To(gomega.BeEmpty())
		g.Expect(d.HandleNote(start, companionAt(2), notHeld)).To(gomega.BeEmpty())
		actions := d.HandleNote(start, companionAt(3), notHeld)
		g.Expect(targets(actions, dispatch.Reset)).To(gomega.HaveLen(1))
		g.Expect(actions[0].ResetSeq).To(gomega.Equal(uint32(5001)))
	})
	t.Run("one holds the flow", func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := dispatcher(3)
		d.Handle(start, data(1, 5001))
		d.HandleNote(start, companionAt(1), notHeld)
		d.HandleNote(start, companionAt(2), passthrough.Note{Kind: passthrough.NoteHeld, Key: flowKey(1)})
		g.Expect(d.HandleNote(start, companionAt(3), notHeld)).To(gomega.BeEmpty())
		g.Expect(targets(d.Handle(start, data(1, 5001)), dispatch.Forward)).To(gomega.Equal([]netip.AddrPort{companionAt(2)}))
	})
	t.Run("outdated answers don't count", func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := dispatcher(2)
		d.Handle(start, data(1, 5001))
		d.HandleNote(start, companionAt(1), notHeld)
		later := start.Add(2 * time.Second)
		d.Handle(later, data(1, 5001))
		g.Expect(d.HandleNote(later, companionAt(2), notHeld)).To(gomega.BeEmpty())
	})
	t.Run("the caller closes", func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := dispatcher(1)
		closing := data(1, 5001)
		closing.Flags |= core.TCPFin
		d.Handle(start, closing)
		g.Expect(d.HandleNote(start, companionAt(1), notHeld)).To(gomega.BeEmpty())
	})
	t.Run("the entry instance has just started", func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := dispatch.New(start, "north")
		d.SetTable(table(1))
		d.HandleStatus(start, statusOf(1))
		d.Handle(start, data(1, 5001))
		g.Expect(d.HandleNote(start, companionAt(1), notHeld)).To(gomega.BeEmpty())
	})
}

func TestUnknownRouteIsReset(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(1)
	p := syn(1)
	p.Key.Service = netip.MustParseAddrPort("198.18.0.1:444")
	g.Expect(targets(d.Handle(start, p), dispatch.Reset)).To(gomega.HaveLen(1))
}

// New flows are spread evenly: the busiest companion has at most 1.15 times the mean.
func TestFlowsAreSpreadEvenly(t *testing.T) {
	g := gomega.NewWithT(t)
	const companions, flows = 7, 700
	d := dispatcher(companions)
	count := map[netip.AddrPort]int{}
	for port := range flows {
		to := targets(d.Handle(start, syn(port)), dispatch.Forward)[0]
		count[to]++
		if port%10 == 0 {
			for i := 1; i <= companions; i++ {
				s := statusOf(i)
				s.Flows = count[companionAt(i)]
				d.HandleStatus(start, s)
			}
		}
	}
	busiest := 0
	for _, c := range count {
		busiest = max(busiest, c)
	}
	g.Expect(float64(busiest) * companions / flows).To(gomega.BeNumerically("<=", 1.15))
}

func BenchmarkForward(b *testing.B) {
	d := dispatcher(7)
	owner := targets(d.Handle(start, syn(1)), dispatch.Forward)[0]
	d.HandleNote(start, owner, passthrough.Note{Kind: passthrough.NoteHeld, Key: flowKey(1)})
	p := data(1, 5001)
	b.ReportAllocs()
	for b.Loop() {
		d.Handle(start, p)
	}
}

// A process that was paused may have missed a companion that holds the flow.
func TestPausedEntryInstanceResetsNothingAtFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(1)
	d.Sweep(start)
	resumed := start.Add(5 * time.Second)
	d.Sweep(resumed)
	d.HandleStatus(resumed, statusOf(1))
	d.Handle(resumed, data(1, 5001))
	g.Expect(d.HandleNote(resumed, companionAt(1), passthrough.Note{Kind: passthrough.NoteNotHeld, Key: flowKey(1)})).To(gomega.BeEmpty())
}

// After a failure of several entry instances and companions, an entry instance had
// the status of one companion only, which didn't hold the flow, and reset flows that
// others held.
func TestCompanionThatIsStillDownMayHoldTheFlow(t *testing.T) {
	listed := *table(2).View
	listed.Companions = []route.Companion{{Address: companionAt(1)}, {Address: companionAt(2)}, {Address: companionAt(3), Draining: true}}
	notHeld := passthrough.Note{Kind: passthrough.NoteNotHeld, Key: flowKey(1)}
	for name, c := range map[string]struct {
		after  time.Duration
		back   bool
		resets int
	}{
		"down":                  {2 * time.Second, false, 0},
		"back":                  {2 * time.Second, true, 1},
		"down beyond the limit": {5 * time.Second, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d := dispatch.New(start, "north")
			d.SetTable(route.Compile(&listed))
			now := start.Add(c.after)
			d.HandleStatus(now, statusOf(1))
			if c.back {
				d.HandleStatus(now, statusOf(2))
			}
			d.Handle(now, data(1, 5001))
			resets := targets(d.HandleNote(now, companionAt(1), notHeld), dispatch.Reset)
			if c.back {
				resets = targets(d.HandleNote(now, companionAt(2), notHeld), dispatch.Reset)
			}
			g.Expect(resets).To(gomega.HaveLen(c.resets))
		})
	}
}

// A companion that had just started named no service, was skipped by the lookup, and
// flows of its backend server were reset (soak, seeds 103 and 106).
func TestCompanionWithoutAServiceMayHoldTheFlow(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(1)
	listed := *table(2).View
	listed.Companions = []route.Companion{{Address: companionAt(2)}}
	d.SetTable(route.Compile(&listed))
	started := statusOf(2)
	started.Service, started.Ready = "", false
	d.HandleStatus(start, started)
	queried := targets(d.Handle(start, data(1, 5001)), dispatch.Query)
	g.Expect(queried).To(gomega.ConsistOf(companionAt(1), companionAt(2)))
	notHeld := passthrough.Note{Kind: passthrough.NoteNotHeld, Key: flowKey(1)}
	g.Expect(targets(d.HandleNote(start, companionAt(1), notHeld), dispatch.Reset)).To(gomega.BeEmpty())
	// One that departed without ever having a backend server delays no reset.
	later := start.Add(3 * time.Second)
	d.Handle(later, data(1, 5001))
	g.Expect(targets(d.HandleNote(later, companionAt(1), notHeld), dispatch.Reset)).To(gomega.HaveLen(1))
}

// After a full restart, resets of flows that had ended were delayed by 3 s, until
// companions without a backend server reported that none ran beside them.
func TestCompanionThatIsNotListedDelaysNoReset(t *testing.T) {
	notHeld := passthrough.Note{Kind: passthrough.NoteNotHeld, Key: flowKey(1)}
	for name, c := range map[string]struct {
		served bool
		resets int
	}{
		"never had a service":  {false, 1},
		"had a service before": {true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d := dispatcher(1)
			if c.served {
				d.HandleStatus(start, statusOf(2))
			}
			started := statusOf(2)
			started.Service, started.Ready = "", false
			d.HandleStatus(start, started)
			d.Handle(start, data(1, 5001))
			g.Expect(targets(d.HandleNote(start, companionAt(1), notHeld), dispatch.Reset)).To(gomega.HaveLen(c.resets))
		})
	}
}

// A flow that was looked up and then refused left its held packet counted, until the
// limit was reached and no packet of any flow was held any more.
func TestRefusedFlowReleasesItsHeldPacket(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(2)
	for port := range 300 {
		first := targets(d.Handle(start, syn(port)), dispatch.Forward)[0]
		d.HandleNotHeld(start, first, data(port, 5001))
		second := targets(d.Handle(start, syn(port)), dispatch.Forward)[0]
		d.HandleRefused(start, second, passthrough.ReasonServerRefused, syn(port))
	}
	d.Handle(start, data(1000, 5001))
	actions := d.HandleNote(start, companionAt(1), passthrough.Note{Kind: passthrough.NoteHeld, Key: flowKey(1000)})
	g.Expect(targets(actions, dispatch.Forward)).To(gomega.Equal([]netip.AddrPort{companionAt(1)}))
}

// Of four candidates among all data centres none was local for every other flow of a
// large deployment, so that its packets crossed the network between data centres although
// local backend servers were idle.
func TestFlowsStayInTheirDataCentreWhileItHasRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	const dataCentres, flows = 6, 600
	d := fleet(108, dataCentres)
	for port := range flows {
		to := targets(d.Handle(start, syn(port)), dispatch.Forward)
		g.Expect(to).To(gomega.HaveLen(1))
		g.Expect(to[0].Addr().As4()[3] % dataCentres).To(gomega.BeZero())
		// Its request is answered before the next flow opens.
		d.HandleNote(start, to[0], passthrough.Note{Kind: passthrough.NoteHeld, Key: flowKey(port), Flows: 0})
		d.HandleLoad(start, to[0], idleLoad(to[0]))
	}
}

// idleLoad is the load of a companion of fleet without flows.
func idleLoad(at netip.AddrPort) passthrough.Load {
	status := fleetStatus(int(at.Addr().As4()[2])<<8|int(at.Addr().As4()[3]), 6)
	return status.Load()
}

// Once the local backend servers are loaded, others are chosen.
func TestFlowsLeaveALoadedDataCentre(t *testing.T) {
	g := gomega.NewWithT(t)
	d := fleet(108, 6)
	for i := 0; i < 108; i += 6 {
		status := fleetStatus(i, 6)
		status.Running = status.Slots
		d.HandleStatus(start, status)
	}
	for port := range 30 {
		to := targets(d.Handle(start, syn(port)), dispatch.Forward)
		g.Expect(to[0].Addr().As4()[3] % 6).NotTo(gomega.BeZero())
	}
}

// A companion that this entry instance can't reach, while its reports still arrive, took
// every new flow's first try. Others see it well, so that only the own path tells.
func TestUnreachableCompanionIsChosenLast(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(2)
	cut := targets(d.Handle(start, syn(1)), dispatch.Forward)[0]
	chosen := func(at time.Time, port int) netip.AddrPort {
		status := statusOf(int(cut.Addr().As4()[3]))
		d.HandleLoad(at, cut, status.Load())
		to := targets(d.Handle(at, syn(port)), dispatch.Forward)[0]
		if to != cut {
			d.HandleNote(at, to, passthrough.Note{Kind: passthrough.NoteAdmitted, Key: flowKey(port), Running: 50})
		}
		return to
	}
	after := start.Add(150 * time.Millisecond)
	for port := 2; port < 20; port++ {
		g.Expect(chosen(after, port)).NotTo(gomega.Equal(cut))
	}
	g.Expect(chosen(start.Add(1500*time.Millisecond), 20)).To(gomega.Equal(cut), "it is tried again")
	d.HandleNote(start.Add(1500*time.Millisecond), cut, passthrough.Note{Kind: passthrough.NoteAdmitted, Key: flowKey(20)})
	g.Expect(chosen(start.Add(1700*time.Millisecond), 21)).To(gomega.Equal(cut), "it has responded")
}

// A companion that died with opening packets waiting was sent their copies too, and the
// callers got no answer until their attempts ended.
func TestCopyGoesElsewhereWhenTheCompanionThatAdmittedItHasDied(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(5)
	first := targets(d.Handle(start, syn(1)), dispatch.Forward)
	d.HandleNote(start, first[0], passthrough.Note{Kind: passthrough.NoteAdmitted, Key: flowKey(1)})
	later := start.Add(800 * time.Millisecond)
	for i := 1; i <= 5; i++ {
		if companionAt(i) != first[0] {
			d.HandleStatus(later, statusOf(i))
		}
	}
	second := targets(d.Handle(later, syn(1)), dispatch.Forward)
	g.Expect(second).To(gomega.HaveLen(1))
	g.Expect(second).NotTo(gomega.Equal(first))
}
