package passthrough_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/gate"
	"zinniapulley.dev/route"
)

const (
	// serviceTime is how long a request takes at a backend server, without waiting.
	serviceTime = 30 * time.Millisecond
	// roundTrip is the time from an opening packet to its caller's confirmation.
	roundTrip = 6 * time.Millisecond
)

// exchange opens a flow, sends one request on it and, after its service time, answers
// it and closes the flow.
func (b *harness) exchange(port int) {
	b.t.Helper()
	b.expect(b.send(syn(port)), gate.Deliver, passthrough.ReasonAdmitted)
	b.synAck(port)
	b.advance(roundTrip)
	b.send(&passthrough.Packet{Key: flowKey(port), Flags: core.TCPAck, Ack: 5001})
	b.send(data(port, 5001))
	b.advance(serviceTime)
	b.answer(port, passthrough.Packet{Flags: core.TCPAck, Length: 100})
	b.send(&passthrough.Packet{Key: flowKey(port), Flags: core.TCPRst, Ack: 5101})
}

func (b *harness) synAck(port int) {
	b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(port), Flags: core.TCPSyn | core.TCPAck, Seq: 5000})
}

// newPaceHarness returns a harness whose backend server takes many flows.
func newPaceHarness(t *testing.T) *harness {
	b := newHarness(t)
	wide := *table(2).View
	wide.Services = []route.Service{{Name: "feed", MaxConnections: 2000}}
	b.gate.SetTable(start, route.Compile(&wide))
	return b
}

// admittedOf sends an opening packet on each of the flows and returns how many were
// admitted.
func (b *harness) admittedOf(first, count int) int {
	admitted := 0
	for port := first; port < first+count; port++ {
		admitted += len(delivered(b.send(syn(port))))
	}
	return admitted
}

// delivered returns the ports of the flows whose opening packets are delivered.
func delivered(actions []gate.Action) []int {
	var ports []int
	for _, a := range actions {
		if a.Kind == gate.Deliver && a.Packet.Flags.Opens() {
			ports = append(ports, int(a.Packet.Key.Caller.Port()))
		}
	}
	return ports
}

// Two requests that met by chance, long before the next two, counted as a
// backend server that takes that long for an answer. After an outage, servers with
// idle slots refused callers for that reason.
func TestIdleTimeBetweenRequestsIsNotServiceTime(t *testing.T) {
	b := newPaceHarness(t)
	for round := range 20 {
		first, second := 2*round, 2*round+1
		b.request(first)
		b.request(second)
		b.advance(serviceTime)
		for _, port := range []int{first, second} {
			b.answer(port, passthrough.Packet{Flags: core.TCPAck, Length: 100})
			b.send(&passthrough.Packet{Key: flowKey(port), Flags: core.TCPRst, Ack: 5101})
		}
		b.advance(150 * time.Millisecond)
	}
	// The route expects answers within 100 ms: three rounds of two slots. Three are started,
	// and two wait.
	b.g.Expect(b.admittedOf(1000, 5)).To(gomega.Equal(3))
	b.g.Expect(b.gate.Queued()).To(gomega.Equal(2))
}

// A backend server that was never saturated still has a pace: that of its answers.
func TestPaceIsKnownWithoutSaturation(t *testing.T) {
	b := newPaceHarness(t)
	for port := range 20 {
		b.exchange(port)
		b.advance(100 * time.Millisecond)
	}
	// Two fill the slots and two the handshake. Of 100 ms, a third may be spent on waiting for
	// a place: two turns of 15 ms each.
	b.g.Expect(b.admittedOf(1000, 20)).To(gomega.Equal(4))
	b.g.Expect(b.gate.Queued()).To(gomega.Equal(2))
}

// After an outage most opening packets are copies of abandoned attempts. They occupied
// the queue for three seconds each, and callers that still waited were refused.
func TestAbandonedOpeningPacketsDoNotCountAsExpectedRequests(t *testing.T) {
	b := newPaceHarness(t)
	for port := range 20 {
		b.exchange(port)
	}
	abandoned := b.admittedOf(100, 20)
	b.g.Expect(abandoned).To(gomega.BeNumerically("<", 20), "all are expected at first")
	for port := range abandoned {
		b.synAck(100 + port)
	}
	b.advance(100 * time.Millisecond)
	// Those that waited are late by now, and go after the new ones.
	b.g.Expect(b.admittedOf(200, 20)).To(gomega.Equal(abandoned))
}

// A backend server that slowed down while all its slots were taken kept its old run time:
// no request began there without waiting.
func TestRunTimeIsMeasuredWhileAllSlotsAreTaken(t *testing.T) {
	b := newPaceHarness(t)
	for port := range 20 {
		b.exchange(port)
	}
	// Without an objective no flow is refused for its wait.
	view := *table(3).View
	view.Services = []route.Service{{Name: "feed", MaxConnections: 2000}}
	view.Routes[0].Objective = 0
	b.gate.SetTable(start, route.Compile(&view))
	// Requests on open flows aren't queued by the gate.
	const flows = 6
	for port := range flows {
		b.open(100+port, 5000)
		b.advance(time.Second)
		b.announce(announcement(uint64(100 + port)))
	}
	request := func(port, number int) {
		p := data(100+port, 5001)
		p.Seq += uint32(number * p.Length)
		b.send(p)
	}
	for port := range flows {
		request(port, 0)
	}
	for i := range 60 {
		b.advance(100 * time.Millisecond)
		b.announce(announcement(uint64(200 + i)))
		b.answer(100+i%flows, passthrough.Packet{Length: 100})
		request(i%flows, 1+i/flows)
	}
	pace := b.gate.Pace(b.now)
	// Two slots, one answer every 100 ms.
	b.g.Expect(pace.Run).To(gomega.BeNumerically("~", 200*time.Millisecond, 30*time.Millisecond))
	b.g.Expect(pace.Waiting).To(gomega.Equal(4))
	b.advance(6 * time.Second)
	b.g.Expect(b.gate.Pace(b.now).Run).To(gomega.BeZero(), "the measure is too old")
}

// The run time of a backend server isn't that of the one that runs in its place.
func TestRestartedBackendServerHasNoRunTime(t *testing.T) {
	b := newPaceHarness(t)
	b.exchange(1)
	b.g.Expect(b.gate.Pace(b.now).Run).To(gomega.Equal(serviceTime))
	a := announcement(1)
	a.Server, a.Born = "b2", 200
	b.announce(a)
	b.g.Expect(b.gate.Pace(b.now).Run).To(gomega.BeZero())
}
