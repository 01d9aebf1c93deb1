package passthrough_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/dispatch"
	"zinniapulley.dev/passthrough/gate"
)

// request opens a flow and sends a request on it.
func (b *harness) request(port int) {
	b.t.Helper()
	b.open(port, 5000)
	b.send(data(port, 5001))
}

func (b *harness) answer(port int, p passthrough.Packet) {
	p.Key, p.Flags, p.Seq = flowKey(port), p.Flags|core.TCPAck, 5001
	b.gate.FromServer(b.now, &p)
}

// abort has the caller reset a flow.
func (b *harness) abort(port int) {
	reset := data(port, 5001)
	reset.Flags, reset.Length = core.TCPRst|core.TCPAck, 0
	b.send(reset)
}

func (b *harness) failing() bool { return b.gate.Status(b.now).Failing }

// Backend servers whose requests failed at once looked idle and attracted more new
// flows than others.
func TestBackendServerWhoseRequestsFailCountsAsFailing(t *testing.T) {
	for name, end := range map[string]passthrough.Packet{
		"reset":  {Flags: core.TCPRst},
		"closed": {Flags: core.TCPFin},
		"error":  {Length: 100, Failure: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			for port := range 5 {
				b.request(port)
				b.answer(port, end)
				b.abort(port)
			}
			b.g.Expect(b.failing()).To(gomega.BeTrue())
			// It is tried again, with one flow at a time.
			b.advance(1100 * time.Millisecond)
			b.announce(announcement(3))
			b.g.Expect(b.failing()).To(gomega.BeFalse())
			b.request(10)
			b.expect(b.send(syn(11)), gate.Refuse, passthrough.ReasonFailing)
			b.answer(10, end)
			b.abort(10)
			b.g.Expect(b.failing()).To(gomega.BeTrue(), "for twice as long")
			b.advance(1100 * time.Millisecond)
			b.g.Expect(b.failing()).To(gomega.BeTrue())
			b.advance(time.Second)
			b.announce(announcement(4))
			for port := 20; port < 25; port++ {
				b.advance(300 * time.Millisecond)
				b.request(port)
				b.answer(port, passthrough.Packet{Length: 100})
				b.abort(port)
			}
			b.expect(b.send(syn(30)), gate.Deliver, passthrough.ReasonAdmitted)
			b.expect(b.send(syn(31)), gate.Deliver, passthrough.ReasonAdmitted)
		})
	}
}

func TestOccasionalFailuresAreTolerated(t *testing.T) {
	b := newHarness(t)
	for port := range 30 {
		b.request(port)
		b.answer(port, passthrough.Packet{Length: 100, Failure: port%3 == 0})
		b.abort(port)
		b.g.Expect(b.failing()).To(gomega.BeFalse())
	}
}

func TestBackendServerThatStallsCountsAsFailing(t *testing.T) {
	b := newHarness(t)
	b.request(1)
	b.advance(200 * time.Millisecond)
	b.g.Expect(b.failing()).To(gomega.BeFalse())
	b.advance(200 * time.Millisecond)
	b.g.Expect(b.failing()).To(gomega.BeTrue())
	b.answer(1, passthrough.Packet{Length: 100})
	b.g.Expect(b.failing()).To(gomega.BeFalse())
}

// A backend server whose callers give up counts as failing even with no request left.
func TestAbandonedRequestsCountAsFailed(t *testing.T) {
	b := newHarness(t)
	for port := range 5 {
		b.request(port)
		b.advance(400 * time.Millisecond)
		b.abort(port)
	}
	b.g.Expect(b.gate.Running()).To(gomega.BeZero())
	b.g.Expect(b.failing()).To(gomega.BeTrue())
}

func TestFailingBackendServerIsChosenLast(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(3)
	failing := statusOf(1)
	failing.Failing = true
	d.HandleStatus(start, failing)
	for i := 2; i <= 3; i++ {
		busy := statusOf(i)
		busy.Running = 50
		d.HandleStatus(start, busy)
	}
	for port := range 20 {
		g.Expect(targets(d.Handle(start, syn(port)), dispatch.Forward)).NotTo(gomega.ContainElement(companionAt(1)))
	}
	for i := 2; i <= 3; i++ {
		worse := statusOf(i)
		worse.Failing, worse.Running = true, 1000
		d.HandleStatus(start, worse)
	}
	g.Expect(targets(d.Handle(start, syn(99)), dispatch.Forward)).To(gomega.ConsistOf(companionAt(1)), "when all fail")
}
