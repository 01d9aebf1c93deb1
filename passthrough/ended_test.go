package passthrough_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/gate"
)

// refuseConnection records a refused connection to the backend server, begun now.
func (b *harness) refuseConnection() bool {
	target, recorded := b.registration.ConnectionRefused(b.now)
	b.advance(time.Millisecond)
	b.gate.SetTarget(target)
	return recorded
}

func TestFlowsOfABackendServerThatHasEndedAreReset(t *testing.T) {
	b := newHarness(t)
	b.open(1, 5000)
	b.send(data(1, 5001))
	b.open(2, 7000)
	b.advance(time.Second)
	b.g.Expect(b.refuseConnection()).To(gomega.BeTrue())
	resets := map[core.FlowKey]uint32{}
	for _, a := range b.gate.ResetFlows() {
		if a.Kind == gate.Reset {
			resets[a.Packet.Key] = a.ResetSeq
		}
	}
	b.g.Expect(resets).To(gomega.Equal(map[core.FlowKey]uint32{flowKey(1): 5001, flowKey(2): 7001}))
	b.g.Expect(b.gate.Running()).To(gomega.BeZero())
	b.expect(b.send(syn(3)), gate.Refuse, passthrough.ReasonServerDown)
	b.expect(b.gate.HandleQuery(b.now, entryAt, flowKey(4)), gate.SendNote, passthrough.ReasonNotHeld)
}

// An announcement that came after the connection was begun shows that the backend
// server runs.
func TestConnectionRefusedBeforeAnAnnouncementIsIgnored(t *testing.T) {
	b := newHarness(t)
	began := b.now
	b.advance(time.Millisecond)
	b.announce(announcement(2))
	_, recorded := b.registration.ConnectionRefused(began)
	b.g.Expect(recorded).To(gomega.BeFalse())
}

func TestBackendServerThatAnnouncesItselfAgainIsUsedAgain(t *testing.T) {
	b := newHarness(t)
	b.advance(time.Millisecond)
	b.g.Expect(b.refuseConnection()).To(gomega.BeTrue())
	b.g.Expect(b.announce(announcement(9))).To(gomega.BeTrue())
	b.expect(b.send(syn(1)), gate.Deliver, passthrough.ReasonAdmitted)
	b.g.Expect(b.gate.ResetFlows()).To(gomega.BeEmpty())
}

// A companion without a running backend server tracks all flows, and so does one
// whose backend server has started since.
func TestCompanionWithoutARunningServerTracksAllFlows(t *testing.T) {
	b := newHarness(t)
	b.registration = newRegistration(start)
	b.gate = gate.New(b.now, gateConfig())
	b.gate.SetTable(b.now, table(1))
	b.expect(b.gate.HandleQuery(b.now, entryAt, flowKey(1)), gate.SendNote, passthrough.ReasonUnknownFlow)
	b.g.Expect(b.refuseConnection()).To(gomega.BeTrue())
	b.expect(b.gate.HandleQuery(b.now, entryAt, flowKey(1)), gate.SendNote, passthrough.ReasonNotHeld)
	late := announcement(30)
	late.Born = start.Add(-time.Hour).UnixMilli()
	b.g.Expect(b.announce(late)).To(gomega.BeTrue())
	b.expect(b.gate.HandleQuery(b.now, entryAt, flowKey(1)), gate.SendNote, passthrough.ReasonNotHeld)
}

func TestUnansweredRequestMakesTheResponseOverdue(t *testing.T) {
	b := newHarness(t)
	b.open(1, 5000)
	b.advance(time.Second)
	b.g.Expect(b.gate.ResponseOverdue(b.now)).To(gomega.BeFalse(), "no request sent")
	b.send(data(1, 5001))
	b.g.Expect(b.gate.ResponseOverdue(b.now)).To(gomega.BeFalse(), "request just sent")
	b.advance(time.Second)
	b.g.Expect(b.gate.ResponseOverdue(b.now)).To(gomega.BeTrue())
	b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(1), Flags: core.TCPAck, Seq: 5001, Length: 100})
	b.g.Expect(b.gate.ResponseOverdue(b.now)).To(gomega.BeFalse())
}

// A backend server whose first announcement was late, on a machine under load,
// counted as not running, and its flows were reset (soak, seed 444).
func TestReachableBackendServerMayHoldFlows(t *testing.T) {
	b := newHarness(t)
	b.registration = newRegistration(start)
	b.gate = gate.New(b.now, gateConfig())
	b.gate.SetTable(b.now, table(1))
	b.advance(time.Millisecond)
	target, recorded := b.registration.ConnectionAccepted()
	b.g.Expect(recorded).To(gomega.BeTrue())
	b.gate.SetTarget(target)
	b.advance(time.Minute / 2)
	b.expect(b.gate.HandleQuery(b.now, entryAt, flowKey(1)), gate.SendNote, passthrough.ReasonUnknownFlow)
	b.g.Expect(b.gate.Status(b.now).Departed).To(gomega.BeFalse())
	b.g.Expect(b.refuseConnection()).To(gomega.BeTrue())
	b.g.Expect(b.gate.Status(b.now).Departed).To(gomega.BeTrue())
}

// Where no probe had noticed that a backend server ended, callers learned only from their
// next request that the one which replaced it doesn't hold their flows.
func TestFlowsOfAReplacedBackendServerAreReset(t *testing.T) {
	for name, c := range map[string]struct {
		// started and announced are when the new server has started and announced itself,
		// after the flow was opened.
		started, announced time.Duration
		number             uint64
		opensAgain         bool
		resets             int
	}{
		"opened before the start":        {started: 5 * time.Second, announced: 6 * time.Second, number: 1, resets: 1},
		"opened after the start":         {started: -time.Second, announced: 6 * time.Second, number: 1},
		"opened shortly before":          {started: time.Second, announced: 1500 * time.Millisecond, number: 1},
		"the server's clock has jumped":  {started: 5 * time.Second, announced: 6 * time.Second, number: 60},
		"opened anew at the new server":  {started: 5 * time.Second, announced: 6 * time.Second, number: 1, opensAgain: true},
		"the start is reported as later": {started: time.Hour, announced: time.Second, number: 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.open(1, 5000)
			b.send(data(1, 5001))
			opened := b.now
			b.advance(c.announced)
			if c.opensAgain {
				b.now = opened.Add(c.started + 100*time.Millisecond)
				b.send(syn(1))
				b.now = opened.Add(c.announced)
			}
			b.announce(gate.Announcement{Server: "b2", Service: "feed", Address: serverAt, DataCentre: "north", Born: opened.Add(c.started).UnixMilli(), Number: c.number, Slots: 2})
			resets := 0
			for _, a := range b.gate.ResetFlows() {
				if a.Kind == gate.Reset {
					b.g.Expect(a.ResetSeq).To(gomega.Equal(uint32(5001)))
					resets++
				}
			}
			b.g.Expect(resets).To(gomega.Equal(c.resets))
			b.g.Expect(b.gate.ResetFlows()).To(gomega.BeEmpty(), "they are reset once")
		})
	}
}
