package passthrough_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/gate"
	"zinniapulley.dev/route"
	"zinniapulley.dev/waitqueue"
)

// urgentAddress is the address of a route of a higher priority.
var urgentAddress = netip.MustParseAddrPort("198.18.0.2:443")

// queueView returns a configuration of an ordinary and an urgent route, with the
// objective of the deployment M.
func queueView(revision core.Revision) *route.View {
	view := *table(revision).View
	ordinary := view.Routes[0]
	ordinary.Objective, ordinary.Timeout = 300*time.Millisecond, 2*time.Second
	urgent := ordinary
	urgent.Name, urgent.Address, urgent.Priority = "urgent", urgentAddress, 1
	view.Routes = []route.Route{ordinary, urgent}
	view.Services = []route.Service{{Name: "feed", MaxConnections: 2000}}
	return &view
}

func urgentSyn(port int) *passthrough.Packet {
	p := syn(port)
	p.Key.Service = urgentAddress
	return p
}

// newQueueHarness returns a harness whose backend server has two slots, answers every
// 15 ms, and has all places taken by the flows 1 to 4.
func newQueueHarness(t *testing.T) *harness {
	b := newHarness(t)
	b.gate.SetTable(b.now, route.Compile(queueView(2)))
	for port := 100; port < 120; port++ {
		b.exchange(port)
	}
	for port := 1; port <= 4; port++ {
		b.expect(b.send(syn(port)), gate.Deliver, passthrough.ReasonAdmitted)
		b.synAck(port)
	}
	b.advance(roundTrip)
	for port := 1; port <= 4; port++ {
		b.send(data(port, 5001))
	}
	return b
}

// freePlace answers the request of a flow, and returns the ports whose opening packets
// are delivered then.
func (b *harness) freePlace(port int) []int {
	return delivered(b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(port), Flags: core.TCPAck, Seq: 5001, Length: 100}))
}

// refused returns the reasons of the opening packets that are returned, by port.
func refused(actions []gate.Action) map[int]passthrough.Reason {
	reasons := map[int]passthrough.Reason{}
	for _, a := range actions {
		if a.Kind == gate.Refuse {
			reasons[int(a.Packet.Key.Caller.Port())] = a.Reason
		}
	}
	return reasons
}

// Without the note, the entry instance sends the caller's copies to other companions.
func TestQueuedPacketIsDeliveredWhenAnAnswerBegins(t *testing.T) {
	b := newQueueHarness(t)
	actions := b.send(syn(10))
	b.expect(actions, gate.Queue, passthrough.ReasonQueued)
	b.g.Expect(actions[1].Note.Kind).To(gomega.Equal(passthrough.NoteAdmitted))
	b.g.Expect(actions[1].To).To(gomega.Equal(entryAt))
	b.g.Expect(b.gate.Status(b.now).Running).To(gomega.Equal(5), "a packet that waits is load")
	b.advance(7 * time.Millisecond)
	actions = b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(1), Flags: core.TCPAck, Seq: 5001, Length: 100})
	b.g.Expect(delivered(actions)).To(gomega.Equal([]int{10}))
	b.g.Expect(actions[1].Waited).To(gomega.Equal(7 * time.Millisecond))
	b.g.Expect(actions[1].Order).To(gomega.Equal(waitqueue.ReasonInTime))
	b.g.Expect(b.gate.Queued()).To(gomega.BeZero())
	b.g.Expect(b.gate.Status(b.now).Running).To(gomega.Equal(3))
}

// The buffer of a datagram is used again once it has been handled.
func TestQueuedPacketKeepsItsOwnData(t *testing.T) {
	b := newQueueHarness(t)
	p := syn(10)
	p.Data = []byte("opening packet")
	b.send(p)
	copy(p.Data, "overwritten...")
	actions := b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(1), Flags: core.TCPAck, Seq: 5001, Length: 100})
	b.g.Expect(string(actions[1].Packet.Data)).To(gomega.Equal("opening packet"))
}

// A copy was queued as another request, or delivered twice.
func TestCopyOfAQueuedPacketIsNeitherQueuedNorDeliveredTwice(t *testing.T) {
	b := newQueueHarness(t)
	b.send(syn(10))
	b.send(syn(11))
	b.advance(20 * time.Millisecond)
	second := syn(11)
	second.Ack = 1
	other := companionAt(201)
	actions := b.gate.FromEntry(b.now, other, false, 1, second)
	b.g.Expect(delivered(actions)).To(gomega.BeEmpty())
	b.g.Expect(actions).To(gomega.HaveLen(2))
	b.g.Expect(actions[1].Note.Kind).To(gomega.Equal(passthrough.NoteAdmitted))
	b.g.Expect(actions[1].To).To(gomega.Equal(other))
	b.g.Expect(b.gate.Queued()).To(gomega.Equal(2))
	// Its caller has waited for 200 ms, and its time is shorter than that of the other.
	b.g.Expect(b.freePlace(1)).To(gomega.Equal([]int{11}))
	b.expect(b.send(second), gate.Deliver, passthrough.ReasonAlreadyTried)
	b.g.Expect(b.freePlace(2)).To(gomega.Equal([]int{10}))
	b.g.Expect(b.gate.Queued()).To(gomega.BeZero())
}

// Ordinary requests were admitted up to a fixed bound, and urgent ones had to wait behind
// them or were refused.
func TestUrgentFlowsAreNotRefusedWhileOrdinaryOnesWait(t *testing.T) {
	b := newQueueHarness(t)
	last := 10
	for ; len(refused(b.send(syn(last)))) == 0; last++ {
		b.g.Expect(last).To(gomega.BeNumerically("<", 40))
	}
	b.g.Expect(last).To(gomega.BeNumerically(">", 12))
	for port := 50; port < 53; port++ {
		actions := b.send(urgentSyn(port))
		b.expect(actions, gate.Queue, passthrough.ReasonQueued)
		b.g.Expect(refused(actions)).NotTo(gomega.HaveKey(port))
	}
	b.g.Expect(b.freePlace(1)).To(gomega.Equal([]int{50}))
	b.g.Expect(b.freePlace(2)).To(gomega.Equal([]int{51}))
}

func TestPlaceIsFreeWhenAFlowEnds(t *testing.T) {
	for name, end := range map[string]func(*harness) []gate.Action{
		"caller resets": func(b *harness) []gate.Action {
			return b.send(&passthrough.Packet{Key: flowKey(1), Flags: core.TCPRst | core.TCPAck, Ack: 5001})
		},
		"server resets": func(b *harness) []gate.Action {
			return b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(1), Flags: core.TCPRst})
		},
		"server refuses": func(b *harness) []gate.Action {
			b.freePlace(1)
			b.advance(time.Millisecond)
			b.expect(b.send(syn(9)), gate.Deliver, passthrough.ReasonAdmitted)
			b.send(syn(10))
			returned := syn(9)
			returned.Returned = true
			return b.gate.FromServer(b.now, returned)
		},
		"expected request doesn't come": func(b *harness) []gate.Action {
			b.freePlace(1)
			b.expect(b.send(syn(9)), gate.Deliver, passthrough.ReasonAdmitted)
			b.synAck(9)
			b.send(syn(10))
			b.advance(60 * time.Millisecond)
			return b.gate.Continue(b.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newQueueHarness(t)
			if name == "caller resets" || name == "server resets" {
				b.send(syn(10))
			}
			b.g.Expect(delivered(end(b))).To(gomega.Equal([]int{10}))
		})
	}
}

// A flow whose confirmation and first request come in separate packets freed its place
// between the two, and one flow more than intended was delivered.
func TestConfirmedFlowKeepsItsPlaceUntilItsRequest(t *testing.T) {
	b := newQueueHarness(t)
	b.freePlace(1)
	b.send(syn(9))
	b.send(syn(10))
	b.synAck(9)
	b.g.Expect(delivered(b.send(&passthrough.Packet{Key: flowKey(9), Flags: core.TCPAck, Ack: 5001}))).To(gomega.BeEmpty())
	b.g.Expect(delivered(b.send(data(9, 5001)))).To(gomega.BeEmpty())
	b.g.Expect(b.gate.Running()).To(gomega.Equal(4))
	b.g.Expect(b.freePlace(2)).To(gomega.Equal([]int{10}))
}

// Packets that waited were held although no other could be started here any more.
func TestQueuedPacketsAreReturnedWhenNoneCanStart(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*harness)
		reason passthrough.Reason
	}{
		"server drains": {func(b *harness) {
			a := announcement(2)
			a.Draining = true
			b.announce(a)
		}, passthrough.ReasonDraining},
		"server ends": {func(b *harness) {
			b.advance(time.Millisecond)
			b.refuseConnection()
		}, passthrough.ReasonServerDown},
		"gate stops":      {func(b *harness) { b.gate.Stop() }, passthrough.ReasonStopping},
		"data centre out": {func(b *harness) { b.gate.SetTable(b.now, table(3, "north")) }, passthrough.ReasonDataCentreOut},
		"pause":           {func(b *harness) { b.advance(5 * time.Second) }, passthrough.ReasonStale},
		"pause, server announced": {func(b *harness) {
			b.advance(5 * time.Second)
			b.announce(announcement(2))
		}, passthrough.ReasonBusy},
		"route goes": {func(b *harness) {
			view := queueView(3)
			view.Routes = view.Routes[1:]
			b.gate.SetTable(b.now, route.Compile(view))
		}, passthrough.ReasonNotAllowed},
		"server doesn't answer": {func(b *harness) {
			b.g.Expect(b.freePlace(1)).To(gomega.Equal([]int{9}))
			b.advance(260 * time.Millisecond)
		}, passthrough.ReasonUnresponsive},
	} {
		t.Run(name, func(t *testing.T) {
			b := newQueueHarness(t)
			for port := 9; port <= 11; port++ {
				b.send(syn(port))
			}
			c.change(b)
			waiting := b.gate.Queued()
			b.g.Expect(waiting).To(gomega.BeNumerically(">=", 2))
			actions := b.gate.Continue(b.now)
			returned := refused(actions)
			b.g.Expect(returned).To(gomega.HaveLen(waiting))
			for _, reason := range returned {
				b.g.Expect(reason).To(gomega.Equal(c.reason))
			}
			for _, a := range actions {
				b.g.Expect(a.To).To(gomega.Equal(entryAt))
			}
			b.g.Expect(b.gate.Queued()).To(gomega.BeZero())
			b.g.Expect(b.gate.Continue(b.now)).To(gomega.BeEmpty())
		})
	}
}

// A change between queueing and delivery was not noticed, and a packet reached a backend
// server that must not get it.
func TestChecksAreRepeatedAtDelivery(t *testing.T) {
	b := newQueueHarness(t)
	b.send(syn(10))
	a := announcement(2)
	a.Draining = true
	b.announce(a)
	actions := b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(1), Flags: core.TCPAck, Seq: 5001, Length: 100})
	b.g.Expect(delivered(actions)).To(gomega.BeEmpty())
	b.g.Expect(refused(actions)).To(gomega.Equal(map[int]passthrough.Reason{10: passthrough.ReasonDraining}))
}

// Packets from the queue count against the rate of a cold backend server like others.
func TestColdRateHoldsForQueuedPackets(t *testing.T) {
	b := newQueueHarness(t)
	view := queueView(3)
	view.Services[0].ColdFor, view.Services[0].ColdRate = 2*time.Second, 2
	b.gate.SetTable(b.now, route.Compile(view))
	for port := 1; port <= 4; port++ {
		b.freePlace(port)
	}
	b.advance(2 * time.Second)
	a := announcement(2)
	a.ColdFor = 10 * time.Second
	b.announce(a)
	count, port := 0, 200
	for range 100 {
		b.advance(10 * time.Millisecond)
		port++
		actions := append([]gate.Action(nil), b.send(syn(port))...)
		actions = append(actions, b.gate.Continue(b.now)...)
		for len(delivered(actions)) > 0 {
			ports := delivered(actions)
			count += len(ports)
			actions = nil
			for _, p := range ports {
				actions = append(actions, b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(p), Flags: core.TCPRst})...)
			}
		}
	}
	// The rate is 2 a second, the factor 1.5, the slack 5.
	b.g.Expect(count).To(gomega.And(gomega.BeNumerically(">=", 1), gomega.BeNumerically("<=", 8)))
}

// While a cold backend server's rate was used up, packets that waited would have been
// returned, and refused everywhere, since all servers are cold after an outage.
func TestQueueWaitsWhileTheColdRateIsUsedUp(t *testing.T) {
	b := newQueueHarness(t)
	view := queueView(3)
	view.Services[0].ColdRate = 2
	b.gate.SetTable(b.now, route.Compile(view))
	b.send(syn(10))
	a := announcement(2)
	a.ColdFor = 10 * time.Second
	b.announce(a)
	b.g.Expect(b.freePlace(1)).To(gomega.BeEmpty())
	b.g.Expect(b.gate.Continue(b.now)).To(gomega.BeEmpty())
	b.g.Expect(b.gate.Queued()).To(gomega.Equal(1))
	b.expect(b.send(syn(11)), gate.Refuse, passthrough.ReasonColdLimit)
	for port := 2; port <= 4; port++ {
		b.g.Expect(b.freePlace(port)).To(gomega.BeEmpty())
	}
	b.advance(1200 * time.Millisecond)
	b.g.Expect(delivered(b.gate.Continue(b.now))).To(gomega.Equal([]int{10}))
}

// A server that had just started was expected to answer as fast as before, and accepted
// more than it could answer in time.
func TestRunTimeOfAColdServerIsExpectedToBeLonger(t *testing.T) {
	b := newPaceHarness(t)
	for port := range 20 {
		b.exchange(port)
	}
	b.g.Expect(b.gate.Room(b.now).Run).To(gomega.BeNumerically("~", serviceTime, time.Millisecond))
	a := announcement(2)
	a.ColdFor = time.Second
	b.announce(a)
	b.g.Expect(b.gate.Room(b.now).Run).To(gomega.BeNumerically("~", serviceTime*8/5, time.Millisecond))
	for port := 100; port < 105; port++ {
		b.exchange(port)
	}
	b.g.Expect(b.gate.Room(b.now).Run).To(gomega.BeNumerically("~", serviceTime, time.Millisecond), "measured while cold")
	b.advance(time.Second)
	b.g.Expect(b.gate.Room(b.now).Run).To(gomega.BeNumerically("~", serviceTime, time.Millisecond))
}

// A server that had become slow accepted requests by its old pace until its next answer.
func TestServerThatDoesNotAnswerCountsAsSlow(t *testing.T) {
	b := newQueueHarness(t)
	before := b.gate.Room(b.now).Interval
	b.advance(240 * time.Millisecond)
	b.g.Expect(b.gate.Room(b.now).Interval).To(gomega.Equal(40 * time.Millisecond))
	b.g.Expect(before).To(gomega.BeNumerically("<", 20*time.Millisecond))
}

// Requests that already waited kept their old order after a change of the configuration.
func TestChangedPrioritiesApplyToQueuedPackets(t *testing.T) {
	b := newQueueHarness(t)
	b.send(urgentSyn(50))
	b.send(syn(10))
	view := queueView(3)
	view.Routes[0].Priority = 0
	b.gate.SetTable(b.now, route.Compile(view))
	b.g.Expect(b.gate.Continue(b.now)).To(gomega.BeEmpty())
	b.g.Expect(b.freePlace(1)).To(gomega.Equal([]int{10}))
}

// A caller whose flow has opened elsewhere, or who has given up, was sent a second
// SYN-ACK.
func TestPacketOfAnAbandonedAttemptLeavesTheQueue(t *testing.T) {
	b := newQueueHarness(t)
	b.send(syn(10))
	b.g.Expect(delivered(b.send(data(10, 7001)))).To(gomega.BeEmpty())
	b.g.Expect(b.gate.Queued()).To(gomega.BeZero())
	b.g.Expect(b.freePlace(1)).To(gomega.BeEmpty())
}

// A route without an objective is never refused for want of time.
func TestRouteWithoutAnObjectiveWaits(t *testing.T) {
	b := newQueueHarness(t)
	view := queueView(3)
	view.Routes[0].Objective = 0
	b.gate.SetTable(b.now, route.Compile(view))
	for port := 10; port < 40; port++ {
		b.expect(b.send(syn(port)), gate.Queue, passthrough.ReasonQueued)
	}
	b.g.Expect(b.gate.Continue(b.now)).To(gomega.BeEmpty())
}

// Whatever callers and the backend server do, a place never stays empty while a packet
// waits, no opening packet is delivered to the backend server as a new flow twice, and
// each one that waits is delivered, returned or given up by its caller.
func TestNoPlaceStaysEmptyWhileAPacketWaits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newQueueHarness(t)
		const (
			waiting = iota + 1
			started
			ended
		)
		states := map[int]int{}
		apply := func(actions []gate.Action) {
			for _, a := range actions {
				if a.Packet == nil || !a.Packet.Flags.Opens() {
					continue
				}
				port := int(a.Packet.Key.Caller.Port())
				switch {
				case a.Kind == gate.Queue && states[port] != waiting:
					states[port] = waiting
				case a.Kind == gate.Deliver && a.Reason == passthrough.ReasonAdmitted && states[port] != started:
					states[port] = started
				case a.Kind == gate.Deliver && a.Reason == passthrough.ReasonAlreadyTried && states[port] != waiting:
				case a.Kind == gate.Refuse:
					states[port] = ended
				case a.Kind == gate.Drop && states[port] == waiting:
				default:
					rt.Fatalf("port %d in state %d: kind %d, reason %v", port, states[port], a.Kind, a.Reason)
				}
			}
		}
		port := func() int { return rapid.IntRange(1, 30).Draw(rt, "port") }
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			p := port()
			opening := syn(p)
			opening.Ack = rapid.Uint32Range(0, 2).Draw(rt, "copy")
			later := &passthrough.Packet{Key: flowKey(p), Flags: core.TCPAck, Ack: 5001}
			switch rapid.IntRange(0, 7).Draw(rt, "step") {
			case 0, 1, 2:
				apply(b.send(opening))
				if states[p] == started {
					b.synAck(p)
				}
			case 3:
				if states[p] == waiting {
					states[p] = ended
				}
				apply(b.send(later))
				apply(b.send(data(p, 5001)))
			case 4:
				if states[p] != waiting {
					apply(b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(p), Flags: core.TCPAck, Seq: 5001, Length: 100}))
				}
			case 5:
				if states[p] == waiting {
					states[p] = ended
				}
				later.Flags |= core.TCPRst
				apply(b.send(later))
			case 6:
				if states[p] == started {
					opening.Returned = true
					apply(b.gate.FromServer(b.now, opening))
				}
			case 7:
				b.advance(time.Duration(rapid.IntRange(1, 100).Draw(rt, "ms")) * time.Millisecond)
				b.announce(announcement(b.registration.Target().Number + 1))
				apply(b.gate.Continue(b.now))
				b.gate.Sweep(b.now)
			}
			queued := 0
			for _, state := range states {
				if state == waiting {
					queued++
				}
			}
			if queued != b.gate.Queued() {
				rt.Fatalf("%d wait at the gate, %d were queued", b.gate.Queued(), queued)
			}
			room := b.gate.Room(b.now)
			if room.Free() && queued > 0 {
				rt.Fatalf("%d wait while %d of %d places are taken", queued, room.Taken, room.Places())
			}
		}
	})
}

// After an outage half of the delivered opening packets belonged to attempts that their
// callers had abandoned. Each kept a place empty until its request was overdue, and the
// slots were half idle while packets waited.
func TestPlacesAreKeptOnlyForRequestsThatAreLikelyToCome(t *testing.T) {
	b := newPaceHarness(t)
	for port := range 20 {
		b.exchange(port)
	}
	places := b.admittedOf(1000, 40)
	for round := 1; round <= 10; round++ {
		b.advance(time.Second)
		b.announce(announcement(uint64(100 + round)))
		b.gate.Continue(b.now)
		b.admittedOf(1000+100*round, 40)
	}
	b.advance(time.Second)
	b.announce(announcement(200))
	b.gate.Continue(b.now)
	b.g.Expect(b.admittedOf(5000, 40)).To(gomega.BeNumerically(">=", 2*places), "most requests don't come")
}
