package passthrough_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
)

var entryAt = companionAt(200)

func gateConfig() passthrough.GateConfig {
	return passthrough.GateConfig{
		DataCentre: "north", AnnouncementLimit: 4 * time.Second, FirstAnnouncementLimit: 2 * time.Second, ColdFactor: 1.5, ColdSlack: 5, MaxFlowAge: time.Minute,
	}
}

func announcement(number uint64) passthrough.Announcement {
	return passthrough.Announcement{Server: "b1", Service: "feed", DataCentre: "north", Born: 100, Number: number, Slots: 2}
}

// bench drives a Gate with its registration.
type bench struct {
	t            *testing.T
	g            *gomega.WithT
	gate         *passthrough.Gate
	registration *passthrough.Registration
	now          time.Time
}

// newBench returns a Gate that was started at start and knows its backend server.
func newBench(t *testing.T) *bench {
	b := &bench{
		t: t, g: gomega.NewWithT(t), gate: passthrough.NewGate(start, gateConfig()),
		registration: passthrough.NewRegistration(start, gateConfig().AnnouncementLimit), now: start,
	}
	b.gate.SetTable(start, table(1))
	b.announce(announcement(1))
	return b
}

func (b *bench) announce(a passthrough.Announcement) bool {
	target, taken := b.registration.Announce(b.now, a)
	if taken {
		b.gate.SetTarget(target)
	}
	return taken
}

func (b *bench) after(d time.Duration) { b.now = b.now.Add(d) }

func (b *bench) send(p *passthrough.Packet) []passthrough.GateAction {
	return b.gate.FromEntry(b.now, entryAt, false, 1, p)
}

func (b *bench) expect(actions []passthrough.GateAction, kind passthrough.GateKind, reason passthrough.Reason) {
	b.t.Helper()
	b.g.Expect(actions).NotTo(gomega.BeEmpty())
	b.g.Expect(actions[0].Kind).To(gomega.Equal(kind))
	b.g.Expect(actions[0].Reason).To(gomega.Equal(reason), "reason "+actions[0].Reason.String())
}

// open opens a flow whose backend server answers with the sequence number.
func (b *bench) open(port int, seq uint32) {
	b.t.Helper()
	b.expect(b.send(syn(port)), passthrough.GateDeliver, passthrough.ReasonAdmitted)
	b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(port), Flags: core.TCPSyn | core.TCPAck, Seq: seq})
	actions := b.send(&passthrough.Packet{Key: flowKey(port), Flags: core.TCPAck, Ack: seq + 1})
	kinds := []passthrough.GateKind{}
	for _, a := range actions {
		kinds = append(kinds, a.Kind)
	}
	b.g.Expect(kinds).To(gomega.ConsistOf(passthrough.GateNote, passthrough.GateDeliver))
}

func TestGateRefusesNewFlowsButKeepsOpenOnes(t *testing.T) {
	cases := map[string]struct {
		change func(*bench)
		reason passthrough.Reason
	}{
		"draining": {func(b *bench) {
			a := announcement(2)
			a.Draining = true
			b.announce(a)
		}, passthrough.ReasonDraining},
		"data centre out": {func(b *bench) { b.gate.SetTable(b.now, table(2, "north")) }, passthrough.ReasonDataCentreOut},
		"not heard of":    {func(b *bench) { b.after(5 * time.Second) }, passthrough.ReasonStale},
		"stopping":        {func(b *bench) { b.gate.Stop() }, passthrough.ReasonStopping},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.open(1, 5000)
			c.change(b)
			b.expect(b.send(syn(2)), passthrough.GateRefuse, c.reason)
			b.expect(b.send(data(1, 5001)), passthrough.GateDeliver, passthrough.ReasonRequest)
		})
	}
}

func TestGateRefusesWhatTheRouteDoesNotAllow(t *testing.T) {
	b := newBench(t)
	a := announcement(2)
	a.Service = "other"
	b.announce(a)
	b.expect(b.send(syn(1)), passthrough.GateRefuse, passthrough.ReasonNotAllowed)
	// An entry instance with a newer configuration has checked it.
	b.expect(b.gate.FromEntry(b.now, entryAt, false, 2, syn(1)), passthrough.GateDeliver, passthrough.ReasonAdmitted)
}

func TestGateAdmitsNothingBeforeItKnows(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := passthrough.NewGate(start, gateConfig())
	g.Expect(gate.FromEntry(start, entryAt, false, 1, syn(1))[0].Reason).To(gomega.Equal(passthrough.ReasonNoView))
	gate.SetTable(start, table(1))
	g.Expect(gate.FromEntry(start, entryAt, false, 1, syn(1))[0].Reason).To(gomega.Equal(passthrough.ReasonNoTarget))
}

func TestColdBackendServerStaysWithinItsBoundInEverySecond(t *testing.T) {
	b := newBench(t)
	cold := announcement(2)
	cold.ColdFor = 10 * time.Second
	b.announce(cold)
	var admitted []time.Time
	for port := range 900 {
		b.after(10 * time.Millisecond)
		a := announcement(uint64(port) + 3)
		b.announce(a)
		if b.send(syn(port))[0].Kind == passthrough.GateDeliver {
			admitted = append(admitted, b.now)
			b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(port), Flags: core.TCPRst})
		}
	}
	// The rate is 2 a second, the factor 1.5, the slack 5.
	b.g.Expect(admitted).NotTo(gomega.BeEmpty())
	for i, from := range admitted {
		count := 0
		for _, at := range admitted[i:] {
			if at.Sub(from) < time.Second {
				count++
			}
		}
		b.g.Expect(count).To(gomega.BeNumerically("<=", 8))
	}
}

// A data centre that was out may have become cold: its backend servers say so
// only with their next announcement.
func TestReturnedDataCentreCountsAsCold(t *testing.T) {
	b := newBench(t)
	b.gate.SetTable(b.now, table(2, "north"))
	b.gate.SetTable(b.now, table(3))
	admitted := 0
	for port := range 50 {
		if b.send(syn(port))[0].Kind == passthrough.GateDeliver {
			admitted++
			b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(port), Flags: core.TCPRst})
		}
	}
	b.g.Expect(admitted).To(gomega.BeNumerically("<=", 8))
}

func TestOfTwoHalfOpenFlowsTheConfirmedOneIsTaken(t *testing.T) {
	b := newBench(t)
	b.expect(b.send(syn(1)), passthrough.GateDeliver, passthrough.ReasonAdmitted)
	b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(1), Flags: core.TCPSyn | core.TCPAck, Seq: 5000})
	// The caller acknowledges what another backend server answered.
	b.expect(b.send(data(1, 3_000_000_000)), passthrough.GateNotHere, passthrough.ReasonNotHere)
}

func TestFlowThatTheBackendServerLostIsReset(t *testing.T) {
	b := newBench(t)
	b.open(1, 5000)
	b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(1), Flags: core.TCPAck, Seq: 5001})
	returned := data(1, 5001)
	returned.Returned = true
	actions := b.gate.FromServer(b.now, returned)
	b.expect(actions, passthrough.GateReset, passthrough.ReasonFlowLost)
	b.g.Expect(actions[0].ResetSeq).To(gomega.Equal(uint32(5001)))
}

func TestOpeningPacketThatTheBackendServerRefusesGoesBack(t *testing.T) {
	b := newBench(t)
	b.send(syn(1))
	returned := syn(1)
	returned.Returned = true
	actions := b.gate.FromServer(b.now, returned)
	b.expect(actions, passthrough.GateRefuse, passthrough.ReasonServerRefused)
	b.g.Expect(actions[0].To).To(gomega.Equal(entryAt))
}

// A companion that was started again doesn't know the flows: its backend server
// decides, and a flow that isn't there is given back without a reset.
func TestRestartedGateAsksItsBackendServer(t *testing.T) {
	b := newBench(t)
	b.expect(b.send(data(1, 5001)), passthrough.GateDeliver, passthrough.ReasonUnknownFlow)
	b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(1), Flags: core.TCPAck})
	b.expect(b.send(data(1, 5002)), passthrough.GateDeliver, passthrough.ReasonRequest)

	b.expect(b.send(data(2, 7001)), passthrough.GateDeliver, passthrough.ReasonUnknownFlow)
	returned := data(2, 7001)
	returned.Returned = true
	b.expect(b.gate.FromServer(b.now, returned), passthrough.GateNotHere, passthrough.ReasonNotHere)
	// It isn't asked again about that flow.
	b.expect(b.send(data(2, 7001)), passthrough.GateNotHere, passthrough.ReasonNotHere)
	b.g.Expect(b.gate.Query(b.now, entryAt, flowKey(2))[0].Note.Kind).To(gomega.Equal(passthrough.NoteAbsent))
}

func TestSoughtFlowThatIsNotHereIsAnswered(t *testing.T) {
	b := newBench(t)
	b.after(2 * time.Minute)
	actions := b.gate.FromEntry(b.now, entryAt, true, 1, data(1, 5001))
	b.expect(actions, passthrough.GateNote, passthrough.ReasonNotHere)
	b.g.Expect(actions[0].Note.Kind).To(gomega.Equal(passthrough.NoteAbsent))
}

func TestSilentBackendServerGetsNoMoreFlows(t *testing.T) {
	b := newBench(t)
	b.expect(b.send(syn(1)), passthrough.GateDeliver, passthrough.ReasonAdmitted)
	b.after(300 * time.Millisecond)
	b.send(syn(2))
	b.expect(b.send(syn(3)), passthrough.GateRefuse, passthrough.ReasonUnresponsive)
	b.g.Expect(b.gate.Status(b.now).Ready).To(gomega.BeFalse())
	b.announce(announcement(2))
	b.expect(b.send(syn(4)), passthrough.GateDeliver, passthrough.ReasonAdmitted)
}

func TestAnnouncementsAreOrdered(t *testing.T) {
	b := newBench(t)
	b.announce(announcement(5))
	older := announcement(4)
	b.g.Expect(b.announce(older)).To(gomega.BeFalse())
	earlier := announcement(9)
	earlier.Server, earlier.Born = "b0", 50
	b.g.Expect(b.announce(earlier)).To(gomega.BeFalse(), "of an earlier start")
	next := announcement(1)
	next.Server, next.Born, next.Service = "b2", 200, "other"
	b.g.Expect(b.announce(next)).To(gomega.BeTrue())
	b.g.Expect(b.announce(announcement(99))).To(gomega.BeFalse(), "of the start before")
}

// A clock that jumps back makes the next start look older. It is taken once the
// known one has long been silent.
func TestStartWithAClockThatJumpedBackIsTakenInTime(t *testing.T) {
	b := newBench(t)
	next := announcement(1)
	next.Server, next.Born = "b2", 10
	b.g.Expect(b.announce(next)).To(gomega.BeFalse())
	b.after(5 * time.Second)
	b.g.Expect(b.announce(next)).To(gomega.BeTrue())
}

func TestBusyBackendServerRefusesWhatItWouldAnswerTooLate(t *testing.T) {
	b := newBench(t)
	b.announce(func() passthrough.Announcement { a := announcement(2); a.Slots = 1; return a }())
	// One slot that answers every 40 ms: the third in the queue waits 120 ms.
	for port := range 3 {
		b.open(port, 5000)
	}
	for port := range 3 {
		b.send(data(port, 5001))
	}
	for port := range 3 {
		b.after(40 * time.Millisecond)
		b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(port), Flags: core.TCPAck, Length: 100})
		next := data(port, 5101)
		next.Seq += uint32(next.Length)
		b.send(next)
	}
	b.expect(b.send(syn(9)), passthrough.GateRefuse, passthrough.ReasonBusy)
}

// All callers came back in the same milliseconds to the first backend server after
// every machine had been down: 29 flows for 5 slots, before one request was seen.
func TestBurstOfOpeningPacketsIsBoundedBeforeThePaceIsKnown(t *testing.T) {
	b := newBench(t)
	slots := announcement(2).Slots
	b.announce(announcement(2))
	admitted := 0
	for port := range 10 * slots {
		if b.send(syn(port))[0].Kind == passthrough.GateDeliver {
			admitted++
		}
	}
	b.g.Expect(admitted).To(gomega.Equal(2 * slots))
	for port := range admitted {
		b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(port), Flags: core.TCPSyn | core.TCPAck, Seq: 5000})
		b.send(&passthrough.Packet{Key: flowKey(port), Flags: core.TCPRst, Ack: 5001})
	}
	b.expect(b.send(syn(999)), passthrough.GateDeliver, passthrough.ReasonAdmitted)
}

// A packet that a caller repeats was counted as another request, which then waited
// for an answer that never came.
func TestRepeatedPacketIsNoNewRequest(t *testing.T) {
	b := newBench(t)
	b.open(1, 5000)
	b.expect(b.send(data(1, 5001)), passthrough.GateDeliver, passthrough.ReasonRequest)
	b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(1), Flags: core.TCPAck, Seq: 5001, Length: 100})
	b.g.Expect(b.gate.Running()).To(gomega.BeZero())
	b.expect(b.send(data(1, 5001)), passthrough.GateDeliver, passthrough.ReasonCached)
	b.g.Expect(b.gate.Running()).To(gomega.BeZero())
	next := data(1, 5101)
	next.Seq += uint32(next.Length)
	b.expect(b.send(next), passthrough.GateDeliver, passthrough.ReasonRequest)
}

// After a full restart every companion let its backend server decide about every
// flow that was sought; the packets filled the links.
func TestBackendServerYoungerThanItsCompanionHasNoUnknownFlows(t *testing.T) {
	for name, c := range map[string]struct {
		born   time.Time
		number uint64
		kind   passthrough.NoteKind
	}{
		"started with the machine":    {start.Add(-50 * time.Millisecond), 2, passthrough.NoteAbsent},
		"started later":               {start.Add(time.Second), 1, passthrough.NoteAbsent},
		"started earlier":             {start.Add(-time.Second), 2, passthrough.NoteUnsure},
		"has long run, clock jumped":  {start, 60, passthrough.NoteUnsure},
		"doesn't say when it started": {time.UnixMilli(0), 1, passthrough.NoteUnsure},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.gate = passthrough.NewGate(start, gateConfig())
			b.gate.SetTable(start, table(1))
			b.registration = passthrough.NewRegistration(start, gateConfig().AnnouncementLimit)
			a := announcement(c.number)
			a.Born = c.born.UnixMilli()
			b.announce(a)
			b.g.Expect(b.gate.Query(b.now, entryAt, flowKey(1))[0].Note.Kind).To(gomega.Equal(c.kind))
		})
	}
}

// A companion whose backend server didn't come back was unsure about every flow, and
// kept entry instances from resetting any.
func TestCompanionWithoutABackendServerHasNoFlows(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := passthrough.NewGate(start, gateConfig())
	gate.SetTable(start, table(1))
	kind := func(after time.Duration) passthrough.NoteKind {
		return gate.Query(start.Add(after), entryAt, flowKey(1))[0].Note.Kind
	}
	g.Expect(kind(time.Second)).To(gomega.Equal(passthrough.NoteUnsure))
	g.Expect(gate.Status(start.Add(time.Second)).Departed).To(gomega.BeFalse())
	g.Expect(kind(3 * time.Second)).To(gomega.Equal(passthrough.NoteAbsent))
	g.Expect(gate.Status(start.Add(3 * time.Second)).Departed).To(gomega.BeTrue())
}

// A flow that was sought reached a companion whose backend server was about to start;
// its reset went to the caller, whose flow lived elsewhere (hunt on pinhal-balance and
// deksel-net-grown).
func TestBackendServerThatIsAskedDoesNotResetTheFlow(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := passthrough.NewGate(start, gateConfig())
	gate.SetTable(start, table(1))
	actions := gate.FromEntry(start, entryAt, true, 1, data(1, 5001))
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0].Kind).To(gomega.Equal(passthrough.GateDrop), "it hasn't announced itself")

	registration := passthrough.NewRegistration(start.Add(time.Hour), gateConfig().AnnouncementLimit)
	target, _ := registration.Announce(start, announcement(9))
	gate.SetTarget(target)
	g.Expect(gate.FromEntry(start, entryAt, true, 1, data(1, 5001))[0].Kind).To(gomega.Equal(passthrough.GateDeliver))
	actions = gate.FromServer(start, &passthrough.Packet{Key: flowKey(1), Flags: core.TCPRst})
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0].Kind).To(gomega.Equal(passthrough.GateNote))
	g.Expect(actions[0].Note.Kind).To(gomega.Equal(passthrough.NoteAbsent))
}

func BenchmarkDeliver(b *testing.B) {
	gate := passthrough.NewGate(start, gateConfig())
	gate.SetTable(start, table(1))
	target, _ := passthrough.NewRegistration(start, gateConfig().AnnouncementLimit).Announce(start, announcement(1))
	gate.SetTarget(target)
	gate.FromEntry(start, entryAt, false, 1, syn(1))
	gate.FromServer(start, &passthrough.Packet{Key: flowKey(1), Flags: core.TCPSyn | core.TCPAck, Seq: 5000})
	p := data(1, 5001)
	b.ReportAllocs()
	for b.Loop() {
		gate.FromEntry(start, entryAt, false, 1, p)
	}
}
