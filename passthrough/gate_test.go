package passthrough_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/gate"
)

var entryAt = companionAt(200)

func gateConfig() gate.Config {
	return gate.Config{
		DataCentre: "north", AnnouncementLimit: 4 * time.Second, FirstAnnouncementLimit: 2 * time.Second, ColdFactor: 1.5, ColdSlack: 5, MaxFlowAge: time.Minute,
	}
}

var serverAt = netip.MustParseAddrPort("192.0.2.80:8080")

// newRegistration returns a Registration of a companion that began at the given time and
// has a configuration.
func newRegistration(began time.Time) *gate.Registration {
	r := newRegistrationWithoutView(began)
	_, err := r.SetTable(table(1))
	if err != nil {
		panic(err)
	}
	return r
}

func newRegistrationWithoutView(began time.Time) *gate.Registration {
	return gate.NewRegistration(gate.RegistrationConfig{
		Began: began, AnnouncementLimit: gateConfig().AnnouncementLimit, Server: serverAt, DataCentre: "north",
	})
}

func announcement(number uint64) gate.Announcement {
	return gate.Announcement{Server: "b1", Service: "feed", Address: serverAt, DataCentre: "north", Born: 100, Number: number, Slots: 2}
}

// harness drives a Gate and its Registration.
type harness struct {
	t            *testing.T
	g            *gomega.WithT
	gate         *gate.Gate
	registration *gate.Registration
	now          time.Time
}

// newHarness returns a harness whose backend server has announced itself.
func newHarness(t *testing.T) *harness {
	b := &harness{
		t: t, g: gomega.NewWithT(t), gate: gate.New(start, gateConfig()),
		registration: newRegistration(start), now: start,
	}
	b.gate.SetTable(start, table(1))
	b.announce(announcement(1))
	return b
}

func (b *harness) announce(a gate.Announcement) bool {
	target, err := b.registration.Announce(b.now, a)
	if err == nil {
		b.gate.SetTarget(target)
	}
	return err == nil
}

func (b *harness) advance(d time.Duration) { b.now = b.now.Add(d) }

func (b *harness) send(p *passthrough.Packet) []gate.Action {
	return b.gate.FromEntry(b.now, entryAt, false, 1, p)
}

func (b *harness) expect(actions []gate.Action, kind gate.Kind, reason passthrough.Reason) {
	b.t.Helper()
	b.g.Expect(actions).NotTo(gomega.BeEmpty())
	b.g.Expect(actions[0].Kind).To(gomega.Equal(kind))
	b.g.Expect(actions[0].Reason).To(gomega.Equal(reason), "reason "+actions[0].Reason.String())
}

// open opens a flow that the backend server answers with the sequence number.
func (b *harness) open(port int, seq uint32) {
	b.t.Helper()
	b.expect(b.send(syn(port)), gate.Deliver, passthrough.ReasonAdmitted)
	b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(port), Flags: core.TCPSyn | core.TCPAck, Seq: seq})
	actions := b.send(&passthrough.Packet{Key: flowKey(port), Flags: core.TCPAck, Ack: seq + 1})
	kinds := []gate.Kind{}
	for _, a := range actions {
		kinds = append(kinds, a.Kind)
	}
	b.g.Expect(kinds).To(gomega.ConsistOf(gate.SendNote, gate.Deliver))
}

func TestGateRefusesNewFlowsButKeepsOpenOnes(t *testing.T) {
	cases := map[string]struct {
		change func(*harness)
		reason passthrough.Reason
	}{
		"draining": {func(b *harness) {
			a := announcement(2)
			a.Draining = true
			b.announce(a)
		}, passthrough.ReasonDraining},
		"data centre out":      {func(b *harness) { b.gate.SetTable(b.now, table(2, "north")) }, passthrough.ReasonDataCentreOut},
		"announcement too old": {func(b *harness) { b.advance(5 * time.Second) }, passthrough.ReasonStale},
		"stopping":             {func(b *harness) { b.gate.Stop() }, passthrough.ReasonStopping},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.open(1, 5000)
			c.change(b)
			b.expect(b.send(syn(2)), gate.Refuse, c.reason)
			b.expect(b.send(data(1, 5001)), gate.Deliver, passthrough.ReasonRequest)
		})
	}
}

func TestGateRefusesWhatTheRouteDoesNotAllow(t *testing.T) {
	b := newHarness(t)
	a := announcement(2)
	a.Service = "other"
	b.announce(a)
	b.expect(b.send(syn(1)), gate.Refuse, passthrough.ReasonNotAllowed)
	// An entry instance with a newer configuration has checked the route already.
	b.expect(b.gate.FromEntry(b.now, entryAt, false, 2, syn(1)), gate.Deliver, passthrough.ReasonAdmitted)
}

func TestGateAdmitsNothingBeforeViewAndAnnouncement(t *testing.T) {
	g := gomega.NewWithT(t)
	tested := gate.New(start, gateConfig())
	g.Expect(tested.FromEntry(start, entryAt, false, 1, syn(1))[0].Reason).To(gomega.Equal(passthrough.ReasonNoView))
	tested.SetTable(start, table(1))
	g.Expect(tested.FromEntry(start, entryAt, false, 1, syn(1))[0].Reason).To(gomega.Equal(passthrough.ReasonNoTarget))
}

func TestColdBackendServerStaysWithinItsBoundInEverySecond(t *testing.T) {
	b := newHarness(t)
	cold := announcement(2)
	cold.ColdFor = 10 * time.Second
	b.announce(cold)
	var admitted []time.Time
	for port := range 900 {
		b.advance(10 * time.Millisecond)
		a := announcement(uint64(port) + 3)
		b.announce(a)
		if b.send(syn(port))[0].Kind == gate.Deliver {
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

// Backend servers of a data centre that was out of service may have become cold, but
// only their next announcement reports it.
func TestReturnedDataCentreCountsAsCold(t *testing.T) {
	b := newHarness(t)
	b.gate.SetTable(b.now, table(2, "north"))
	b.gate.SetTable(b.now, table(3))
	admitted := 0
	for port := range 50 {
		if b.send(syn(port))[0].Kind == gate.Deliver {
			admitted++
			b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(port), Flags: core.TCPRst})
		}
	}
	b.g.Expect(admitted).To(gomega.BeNumerically("<=", 8))
}

func TestConfirmationForAnotherBackendServerIsReturned(t *testing.T) {
	b := newHarness(t)
	b.expect(b.send(syn(1)), gate.Deliver, passthrough.ReasonAdmitted)
	b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(1), Flags: core.TCPSyn | core.TCPAck, Seq: 5000})
	// The caller acknowledges another backend server's SYN-ACK.
	b.expect(b.send(data(1, 3_000_000_000)), gate.NotHeld, passthrough.ReasonNotHeld)
}

func TestFlowThatTheBackendServerLostIsReset(t *testing.T) {
	b := newHarness(t)
	b.open(1, 5000)
	b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(1), Flags: core.TCPAck, Seq: 5001})
	returned := data(1, 5001)
	returned.Returned = true
	actions := b.gate.FromServer(b.now, returned)
	b.expect(actions, gate.Reset, passthrough.ReasonFlowLost)
	b.g.Expect(actions[0].ResetSeq).To(gomega.Equal(uint32(5001)))
}

func TestOpeningPacketThatTheBackendServerRefusesIsReturned(t *testing.T) {
	b := newHarness(t)
	b.send(syn(1))
	returned := syn(1)
	returned.Returned = true
	actions := b.gate.FromServer(b.now, returned)
	b.expect(actions, gate.Refuse, passthrough.ReasonServerRefused)
	b.g.Expect(actions[0].To).To(gomega.Equal(entryAt))
}

// A restarted companion doesn't track the flows: the backend server decides, and a
// packet of a flow that it doesn't hold is returned without a reset.
func TestRestartedGateLetsItsBackendServerDecide(t *testing.T) {
	b := newHarness(t)
	b.expect(b.send(data(1, 5001)), gate.Deliver, passthrough.ReasonUnknownFlow)
	b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(1), Flags: core.TCPAck})
	b.expect(b.send(data(1, 5002)), gate.Deliver, passthrough.ReasonRequest)

	b.expect(b.send(data(2, 7001)), gate.Deliver, passthrough.ReasonUnknownFlow)
	returned := data(2, 7001)
	returned.Returned = true
	b.expect(b.gate.FromServer(b.now, returned), gate.NotHeld, passthrough.ReasonNotHeld)
	// The backend server isn't sent packets of that flow again.
	b.expect(b.send(data(2, 7001)), gate.NotHeld, passthrough.ReasonNotHeld)
	b.g.Expect(b.gate.HandleQuery(b.now, entryAt, flowKey(2))[0].Note.Kind).To(gomega.Equal(passthrough.NoteNotHeld))
}

func TestLookupCopyOfAFlowNotHeldIsAnsweredWithANote(t *testing.T) {
	b := newHarness(t)
	b.advance(2 * time.Minute)
	actions := b.gate.FromEntry(b.now, entryAt, true, 1, data(1, 5001))
	b.expect(actions, gate.SendNote, passthrough.ReasonNotHeld)
	b.g.Expect(actions[0].Note.Kind).To(gomega.Equal(passthrough.NoteNotHeld))
}

func TestUnresponsiveBackendServerGetsNoNewFlows(t *testing.T) {
	b := newHarness(t)
	b.expect(b.send(syn(1)), gate.Deliver, passthrough.ReasonAdmitted)
	b.advance(300 * time.Millisecond)
	b.send(syn(2))
	b.expect(b.send(syn(3)), gate.Refuse, passthrough.ReasonUnresponsive)
	b.g.Expect(b.gate.Status(b.now).Ready).To(gomega.BeFalse())
	b.announce(announcement(2))
	b.expect(b.send(syn(4)), gate.Deliver, passthrough.ReasonAdmitted)
}

func TestAnnouncementsAreOrdered(t *testing.T) {
	b := newHarness(t)
	b.announce(announcement(5))
	older := announcement(4)
	b.g.Expect(b.announce(older)).To(gomega.BeFalse())
	earlier := announcement(9)
	earlier.Server, earlier.Born = "b0", 50
	b.g.Expect(b.announce(earlier)).To(gomega.BeFalse(), "of an earlier start")
	next := announcement(1)
	next.Server, next.Born, next.Service = "b2", 200, "other"
	b.g.Expect(b.announce(next)).To(gomega.BeTrue())
	b.g.Expect(b.announce(announcement(99))).To(gomega.BeFalse(), "of the previous start")
}

// A clock that jumps back makes the next start look older. It is accepted once the
// known one's last announcement is older than AnnouncementLimit.
func TestStartWithAClockThatJumpedBackIsAcceptedInTime(t *testing.T) {
	b := newHarness(t)
	next := announcement(1)
	next.Server, next.Born = "b2", 10
	b.g.Expect(b.announce(next)).To(gomega.BeFalse())
	b.advance(5 * time.Second)
	b.g.Expect(b.announce(next)).To(gomega.BeTrue())
}

func TestBusyBackendServerRefusesWhatItWouldAnswerTooLate(t *testing.T) {
	b := newHarness(t)
	b.announce(func() gate.Announcement { a := announcement(2); a.Slots = 1; return a }())
	// One slot that answers every 40 ms: the third request in the queue waits 120 ms.
	for port := range 3 {
		b.open(port, 5000)
		// Its first request isn't expected any more, so that the next flow is admitted.
		b.advance(600 * time.Millisecond)
	}
	for port := range 3 {
		b.send(data(port, 5001))
	}
	for port := range 3 {
		b.advance(40 * time.Millisecond)
		b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(port), Flags: core.TCPAck, Length: 100})
		next := data(port, 5101)
		next.Seq += uint32(next.Length)
		b.send(next)
	}
	b.expect(b.send(syn(9)), gate.Refuse, passthrough.ReasonBusy)
}

// After an outage of every machine, all callers reached the first backend server
// within milliseconds: it got 29 flows for 5 slots before its first request.
func TestBurstOfOpeningPacketsIsBoundedBeforeThePaceIsKnown(t *testing.T) {
	b := newHarness(t)
	slots := announcement(2).Slots
	b.announce(announcement(2))
	b.g.Expect(b.admittedOf(0, 10*slots)).To(gomega.Equal(slots + 1))
	b.g.Expect(b.gate.Queued()).To(gomega.Equal(slots - 1))
	for port := range 2 * slots {
		b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(port), Flags: core.TCPSyn | core.TCPAck, Seq: 5000})
		b.send(&passthrough.Packet{Key: flowKey(port), Flags: core.TCPRst, Ack: 5001})
	}
	b.expect(b.send(syn(999)), gate.Deliver, passthrough.ReasonAdmitted)
}

// A packet that a caller repeated was counted as another request, which then waited
// for an answer that never came.
func TestRepeatedPacketIsNoNewRequest(t *testing.T) {
	b := newHarness(t)
	b.open(1, 5000)
	b.expect(b.send(data(1, 5001)), gate.Deliver, passthrough.ReasonRequest)
	b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(1), Flags: core.TCPAck, Seq: 5001, Length: 100})
	b.g.Expect(b.gate.Running()).To(gomega.BeZero())
	b.expect(b.send(data(1, 5001)), gate.Deliver, passthrough.ReasonCached)
	b.g.Expect(b.gate.Running()).To(gomega.BeZero())
	next := data(1, 5101)
	next.Seq += uint32(next.Length)
	b.expect(b.send(next), gate.Deliver, passthrough.ReasonRequest)
}

// After a full restart every companion delivered packets of every flow that was
// looked up to its backend server, which saturated the links.
func TestBackendServerYoungerThanItsCompanionHasNoUnknownFlows(t *testing.T) {
	for name, c := range map[string]struct {
		born   time.Time
		number uint64
		kind   passthrough.NoteKind
	}{
		"started with the machine":   {start.Add(-50 * time.Millisecond), 2, passthrough.NoteNotHeld},
		"started later":              {start.Add(time.Second), 1, passthrough.NoteNotHeld},
		"started earlier":            {start.Add(-time.Second), 2, passthrough.NoteUnsure},
		"long-running, clock jumped": {start, 60, passthrough.NoteUnsure},
		"start not reported":         {time.UnixMilli(0), 1, passthrough.NoteUnsure},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.gate = gate.New(start, gateConfig())
			b.gate.SetTable(start, table(1))
			b.registration = newRegistration(start)
			a := announcement(c.number)
			a.Born = c.born.UnixMilli()
			b.announce(a)
			b.g.Expect(b.gate.HandleQuery(b.now, entryAt, flowKey(1))[0].Note.Kind).To(gomega.Equal(c.kind))
		})
	}
}

// A companion whose backend server didn't restart answered every query with
// NoteUnsure, which kept entry instances from resetting any flow.
func TestCompanionWithoutABackendServerHasNoFlows(t *testing.T) {
	g := gomega.NewWithT(t)
	tested := gate.New(start, gateConfig())
	tested.SetTable(start, table(1))
	kind := func(after time.Duration) passthrough.NoteKind {
		return tested.HandleQuery(start.Add(after), entryAt, flowKey(1))[0].Note.Kind
	}
	g.Expect(kind(time.Second)).To(gomega.Equal(passthrough.NoteUnsure))
	g.Expect(tested.Status(start.Add(time.Second)).Departed).To(gomega.BeFalse())
	g.Expect(kind(3 * time.Second)).To(gomega.Equal(passthrough.NoteNotHeld))
	g.Expect(tested.Status(start.Add(3 * time.Second)).Departed).To(gomega.BeTrue())
}

// A lookup copy reached a companion whose backend server was about to start. The
// server's reset was sent to the caller, though another server held the flow (hunt on
// pinhal-balance and deksel-net-grown).
func TestBackendServersResetOfALookupCopyIsNotSentToTheCaller(t *testing.T) {
	g := gomega.NewWithT(t)
	tested := gate.New(start, gateConfig())
	tested.SetTable(start, table(1))
	actions := tested.FromEntry(start, entryAt, true, 1, data(1, 5001))
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0].Kind).To(gomega.Equal(gate.Drop), "it hasn't announced itself")

	registration := newRegistration(start.Add(time.Hour))
	target, _ := registration.Announce(start, announcement(9))
	tested.SetTarget(target)
	g.Expect(tested.FromEntry(start, entryAt, true, 1, data(1, 5001))[0].Kind).To(gomega.Equal(gate.Deliver))
	actions = tested.FromServer(start, &passthrough.Packet{Key: flowKey(1), Flags: core.TCPRst})
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0].Kind).To(gomega.Equal(gate.SendNote))
	g.Expect(actions[0].Note.Kind).To(gomega.Equal(passthrough.NoteNotHeld))
}

func BenchmarkDeliver(b *testing.B) {
	tested := gate.New(start, gateConfig())
	tested.SetTable(start, table(1))
	target, _ := newRegistration(start).Announce(start, announcement(1))
	tested.SetTarget(target)
	tested.FromEntry(start, entryAt, false, 1, syn(1))
	tested.FromServer(start, &passthrough.Packet{Key: flowKey(1), Flags: core.TCPSyn | core.TCPAck, Seq: 5000})
	p := data(1, 5001)
	b.ReportAllocs()
	for b.Loop() {
		tested.FromEntry(start, entryAt, false, 1, p)
	}
}
