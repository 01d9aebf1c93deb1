package passthrough_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/gate"
	"zinniapulley.dev/route"
)

// foreignAnnouncements are edits that make an announcement one that the companion's backend
// server can't have sent, each with the error that rejects it.
var foreignAnnouncements = map[string]struct {
	edit func(*gate.Announcement)
	err  error
}{
	"unknown service":             {func(a *gate.Announcement) { a.Server, a.Service = "b2", "unknown" }, gate.ErrUnknownService},
	"unknown service, known name": {func(a *gate.Announcement) { a.Service = "unknown" }, gate.ErrUnknownService},
	"unknown service, known start": {func(a *gate.Announcement) {
		a.Born, a.Number, a.Service = announcement(1).Born, 1000, "unknown"
	}, gate.ErrUnknownService},
	"another address":     {func(a *gate.Announcement) { a.Server, a.Address = "b2", netip.MustParseAddrPort("192.0.2.81:8080") }, gate.ErrOtherPlace},
	"another data centre": {func(a *gate.Announcement) { a.Server, a.DataCentre = "b2", "south" }, gate.ErrOtherPlace},
}

// An announcement that can't be of the companion's backend server replaced the running
// one: its open flows were reset, and its own announcements rejected.
func TestForeignAnnouncementReplacesNoBackendServer(t *testing.T) {
	for name, c := range foreignAnnouncements {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.open(1, 5000)
			b.send(data(1, 5001))
			b.advance(5 * time.Second)
			b.announce(announcement(2))
			foreign := announcement(1)
			foreign.Born = b.now.UnixMilli()
			c.edit(&foreign)
			target, err := b.registration.Announce(b.now, foreign)
			b.g.Expect(err).To(gomega.MatchError(c.err))
			b.gate.SetTarget(target)
			b.g.Expect(b.gate.ResetFlows()).To(gomega.BeEmpty())
			b.g.Expect(b.announce(announcement(3))).To(gomega.BeTrue())
			b.expect(b.send(syn(2)), gate.Deliver, passthrough.ReasonAdmitted)
		})
	}
}

func TestForeignAnnouncementIsRejectedWhereNoServerIsKnown(t *testing.T) {
	for name, c := range foreignAnnouncements {
		t.Run(name, func(t *testing.T) {
			r := newRegistration(start)
			foreign := announcement(1)
			c.edit(&foreign)
			_, err := r.Announce(start, foreign)
			gomega.NewWithT(t).Expect(err).To(gomega.MatchError(c.err))
		})
	}
}

// restartedHarness returns a harness whose companion has just started and has no view.
func restartedHarness(t *testing.T) *harness {
	return &harness{t: t, g: gomega.NewWithT(t), gate: gate.New(start, gateConfig()), registration: newRegistrationWithoutView(start), now: start}
}

// setTable puts a view in force at the registration and the gate.
func (b *harness) setTable(table *route.Table) {
	target, _ := b.registration.SetTable(table)
	b.gate.SetTable(b.now, table)
	b.gate.SetTarget(target)
}

// Without a configuration, a companion can't tell a successor from an announcement of an
// unknown service, which must not replace a running backend server.
func TestRunningBackendServerIsNotReplacedBeforeTheFirstConfiguration(t *testing.T) {
	b := restartedHarness(t)
	b.setTable(route.Compile(&route.View{Revision: 1}))
	b.g.Expect(b.announce(announcement(7))).To(gomega.BeTrue(), "no server is known yet")
	b.advance(time.Second)
	successor := announcement(1)
	successor.Server, successor.Born = "b2", b.now.UnixMilli()
	_, err := b.registration.Announce(b.now, successor)
	b.g.Expect(err).To(gomega.MatchError(gate.ErrNoConfiguration))
	b.g.Expect(b.announce(announcement(8))).To(gomega.BeTrue())
	b.setTable(table(2))
	b.g.Expect(b.registration.Target().Server).To(gomega.Equal("b1"))
	b.g.Expect(b.announce(successor)).To(gomega.BeTrue())
}

// A companion that had just started believed an announcement of an unknown service to be of
// a server without earlier flows: it denied those of the running server, which were reset
// (soak, seed 817).
func TestAnnouncementProvesNothingBeforeTheFirstConfiguration(t *testing.T) {
	b := restartedHarness(t)
	foreign := announcement(1)
	foreign.Server, foreign.Service, foreign.Born = "b2", "unknown", start.Add(time.Second).UnixMilli()
	b.g.Expect(b.announce(foreign)).To(gomega.BeTrue())
	b.advance(5 * time.Second)
	b.announce(announcement(40))
	b.expect(b.gate.HandleQuery(b.now, entryAt, flowKey(1)), gate.SendNote, passthrough.ReasonUnknownFlow)
	b.expect(b.send(data(1, 5001)), gate.Deliver, passthrough.ReasonUnknownFlow)
	status := b.gate.Status(b.now)
	b.g.Expect(status.Service).To(gomega.BeEmpty(), "entry instances ask only companions of the flow's services")
	b.g.Expect(status.Untracked).To(gomega.BeTrue())
	b.setTable(table(1))
	b.g.Expect(b.registration.Target().Server).To(gomega.Equal("b1"))
	b.expect(b.gate.HandleQuery(b.now, entryAt, flowKey(2)), gate.SendNote, passthrough.ReasonUnknownFlow)
}

// A backend server that starts with its companion's machine announces itself before the
// first configuration. Its companion tracks all of its flows all the same.
func TestServerThatStartsBeforeTheFirstConfigurationHasNoUnknownFlows(t *testing.T) {
	b := restartedHarness(t)
	for number := range uint64(8) {
		a := announcement(number + 1)
		a.Born = start.UnixMilli()
		b.g.Expect(b.announce(a)).To(gomega.BeTrue())
		b.advance(time.Second)
	}
	b.setTable(table(1))
	b.expect(b.gate.HandleQuery(b.now, entryAt, flowKey(1)), gate.SendNote, passthrough.ReasonNotHeld)
	b.expect(b.send(syn(2)), gate.Deliver, passthrough.ReasonAdmitted)
}

// A backend server that has ended doesn't keep its successor out.
func TestEndedBackendServerIsReplacedBeforeTheFirstConfiguration(t *testing.T) {
	b := restartedHarness(t)
	b.announce(announcement(7))
	b.advance(time.Millisecond)
	b.g.Expect(b.refuseConnection()).To(gomega.BeTrue())
	successor := announcement(1)
	successor.Server, successor.Born = "b2", 200
	b.g.Expect(b.announce(successor)).To(gomega.BeTrue())
}

// An announcement of an unknown service, received before the first configuration, kept the
// running backend server out, and would count as its predecessor.
func TestServerOfAnUnknownServiceIsForgottenAtTheFirstConfiguration(t *testing.T) {
	b := restartedHarness(t)
	foreign := announcement(1)
	foreign.Server, foreign.Service, foreign.Born = "b2", "unknown", start.UnixMilli()
	b.g.Expect(b.announce(foreign)).To(gomega.BeTrue())
	b.advance(3 * time.Second)
	b.setTable(table(1))
	b.g.Expect(b.registration.Target().Known).To(gomega.BeFalse())
	b.expect(b.send(syn(1)), gate.Refuse, passthrough.ReasonNoTarget)
	// The running server may hold flows that were opened before the companion's start.
	b.g.Expect(b.gate.Status(b.now).Departed).To(gomega.BeFalse())
	b.expect(b.gate.HandleQuery(b.now, entryAt, flowKey(2)), gate.SendNote, passthrough.ReasonUnknownFlow)
	b.g.Expect(b.announce(announcement(40))).To(gomega.BeTrue())
	b.g.Expect(b.gate.ResetFlows()).To(gomega.BeEmpty())
	b.expect(b.gate.HandleQuery(b.now, entryAt, flowKey(2)), gate.SendNote, passthrough.ReasonUnknownFlow)
	b.expect(b.send(syn(1)), gate.Deliver, passthrough.ReasonAdmitted)
}

// A backend server keeps its registration when a configuration drops its service: it may
// hold open flows, and must be able to announce that it drains.
func TestBackendServerOfADroppedServiceStaysRegistered(t *testing.T) {
	b := newHarness(t)
	b.open(1, 5000)
	b.setTable(route.Compile(&route.View{Revision: 2, Version: 2}))
	draining := announcement(2)
	draining.Draining = true
	b.g.Expect(b.announce(draining)).To(gomega.BeTrue())
	b.expect(b.send(data(1, 5001)), gate.Deliver, passthrough.ReasonRequest)
	successor := announcement(1)
	successor.Server, successor.Born = "b2", 200
	_, err := b.registration.Announce(b.now, successor)
	b.g.Expect(err).To(gomega.MatchError(gate.ErrUnknownService))
}

// A restarted companion must know a backend server whose service a route named before:
// flows that were opened then may still be open there.
func TestBackendServerOfAFormerServiceIsRegistered(t *testing.T) {
	b := restartedHarness(t)
	b.setTable(table(1))
	former := announcement(9)
	former.Service = "old"
	b.g.Expect(b.announce(former)).To(gomega.BeTrue())
	b.expect(b.send(data(1, 5001)), gate.Deliver, passthrough.ReasonUnknownFlow)
	b.expect(b.send(syn(2)), gate.Refuse, passthrough.ReasonNotAllowed)
}
