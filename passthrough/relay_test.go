package passthrough_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/gate"
)

var conductorAt = companionAt(9)

// sendRelayed passes a copy of the packet to the Gate.
func (b *harness) sendRelayed(p *passthrough.Packet) []gate.Action {
	return b.gate.HandleRelayedCopy(b.now, conductorAt, passthrough.RelayedCopy{Number: 4, Entry: entryAt}, p)
}

// expectNotHeld expects that the actions only tell the conductor that the flow isn't held.
func (b *harness) expectNotHeld(actions []gate.Action) {
	b.t.Helper()
	b.g.Expect(actions).To(gomega.HaveLen(1))
	b.g.Expect(actions[0].Kind).To(gomega.Equal(gate.AnswerSurvey))
	b.g.Expect(actions[0].To).To(gomega.Equal(conductorAt))
	b.g.Expect(actions[0].SurveyNumber).To(gomega.Equal(uint32(4)))
}

// A companion that can't tell has its backend server decide: it returns the packet, or
// resets it, which the caller mustn't see since another server may hold the flow.
func TestRelayedCopyThatTheServerDoesNotHoldIsAnsweredToTheConductor(t *testing.T) {
	returned := data(1, 5001)
	returned.Returned = true
	for name, answer := range map[string]*passthrough.Packet{
		"returned": returned,
		"reset":    {Key: flowKey(1), Flags: core.TCPRst, Seq: 5001},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.expect(b.sendRelayed(data(1, 5001)), gate.Deliver, passthrough.ReasonUnknownFlow)
			b.expectNotHeld(b.gate.FromServer(b.now, answer))
			b.expectNotHeld(b.sendRelayed(data(1, 5001)))
		})
	}
}

func TestHolderOfARelayedCopyTellsTheEntryInstance(t *testing.T) {
	b := newHarness(t)
	b.sendRelayed(data(1, 5001))
	actions := b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(1), Flags: core.TCPAck, Seq: 5001, Length: 50})
	b.g.Expect(actions).To(gomega.HaveLen(2))
	b.expect(actions, gate.SendNote, passthrough.ReasonOpened)
	b.g.Expect(actions[0].To).To(gomega.Equal(entryAt))
	b.g.Expect(actions[0].Note.Kind).To(gomega.Equal(passthrough.NoteHeld))
	b.g.Expect(actions[1].Kind).To(gomega.Equal(gate.Answer))
	// The packet of a flow that is tracked is delivered, too.
	b.expect(b.sendRelayed(data(1, 5051)), gate.SendNote, passthrough.ReasonOpened)
}

// Nothing may be delivered to a server that hasn't announced itself or whose service can't
// hold the flow, and a companion that tracks all flows needn't ask its server.
func TestRelayedCopyIsDeliveredOnlyToAPossibleHolder(t *testing.T) {
	t.Run("not announced", func(t *testing.T) {
		b := newHarness(t)
		b.gate = gate.New(start, gateConfig())
		b.gate.SetTable(start, table(1))
		b.expect(b.sendRelayed(data(1, 5001)), gate.Drop, passthrough.ReasonNoTarget)
		// A forwarded packet may be there already, without any answer.
		b.expect(b.send(data(1, 5001)), gate.Deliver, passthrough.ReasonUnknownFlow)
		b.expect(b.sendRelayed(data(1, 5001)), gate.Drop, passthrough.ReasonNoTarget)
	})
	t.Run("another service", func(t *testing.T) {
		b := newHarness(t)
		a := announcement(2)
		a.Service = "other"
		a.Born, a.Server = 200, "b2"
		b.registration = newRegistration(start)
		a.Number = 50
		b.announce(a)
		b.expectNotHeld(b.sendRelayed(data(1, 5001)))
	})
	t.Run("all flows tracked", func(t *testing.T) {
		b := newHarness(t)
		b.advance(2 * time.Minute)
		b.expectNotHeld(b.sendRelayed(data(1, 5001)))
	})
	t.Run("opening packet", func(t *testing.T) {
		b := newHarness(t)
		b.expect(b.sendRelayed(syn(1)), gate.Drop, passthrough.ReasonUnknownFlow)
	})
}

// A caller that has used its port again sends packets of a flow that is open elsewhere. A
// copy of one reset it, where an earlier flow of that port was still tracked.
func TestLookupCopyOfALaterFlowCausesNoReset(t *testing.T) {
	for name, send := range map[string]func(b *harness, p *passthrough.Packet) []gate.Action{
		"relayed": (*harness).sendRelayed,
		"direct": func(b *harness, p *passthrough.Packet) []gate.Action {
			return b.gate.FromEntry(b.now, entryAt, true, 1, p)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.open(1, 5000)
			b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(1), Flags: core.TCPAck, Seq: 5001, Length: 50})
			send(b, data(1, 9001))
			returned := data(1, 9001)
			returned.Returned = true
			actions := b.gate.FromServer(b.now, returned)
			b.g.Expect(actions).To(gomega.HaveLen(1))
			b.expect(actions, gate.NotHeld, passthrough.ReasonNotHeld)

			b.open(2, 5000)
			b.advance(time.Second)
			b.g.Expect(b.refuseConnection()).To(gomega.BeTrue())
			for _, a := range send(b, data(2, 9001)) {
				b.g.Expect(a.Kind).NotTo(gomega.Equal(gate.Reset))
			}
		})
	}
}

// A packet that the entry instance itself forwards isn't answered to an earlier conductor.
func TestForwardedPacketIsReturnedToTheEntryInstance(t *testing.T) {
	b := newHarness(t)
	b.sendRelayed(data(1, 5001))
	b.send(data(1, 5001))
	returned := data(1, 5001)
	returned.Returned = true
	b.expect(b.gate.FromServer(b.now, returned), gate.NotHeld, passthrough.ReasonNotHeld)
}
