package passthrough_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/dispatch"
	"zinniapulley.dev/route"
)

// After a full restart an entry instance reset every caller that came before the
// first companion statuses, and the callers exhausted their attempts. Later it dropped
// their packets, and they lost the time until their next copies.
func TestStartingEntryInstanceKeepsOpeningPackets(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatch.New(start, "north")
	waits := func(at time.Time, port int) {
		actions := d.Handle(at, syn(port))
		g.Expect(actions).To(gomega.HaveLen(1))
		g.Expect(actions[0].Kind).To(gomega.Equal(dispatch.Wait))
		for _, a := range d.Continue(at) {
			g.Expect(a.Kind).To(gomega.Equal(dispatch.Wait))
		}
	}
	waits(start, 1)
	d.SetTable(table(1))
	waits(start.Add(100*time.Millisecond), 2)
	later := start.Add(200 * time.Millisecond)
	d.HandleStatus(later, statusOf(1))
	g.Expect(targets(d.Continue(later), dispatch.Forward)).To(gomega.HaveLen(2))
	g.Expect(d.Continue(later.Add(50 * time.Millisecond))).To(gomega.BeEmpty())
}

// The first callers after a start are spread over all companions, not over those whose
// statuses come first.
func TestStartingEntryInstanceWaitsForMostStatuses(t *testing.T) {
	g := gomega.NewWithT(t)
	view := *table(1).View
	for i := range 8 {
		view.Companions = append(view.Companions, route.Companion{Address: companionAt(1 + i)})
	}
	d := dispatch.New(start, "north")
	d.SetTable(route.Compile(&view))
	g.Expect(targets(d.Continue(start), dispatch.RequestStatus)).To(gomega.HaveLen(8))
	d.HandleStatus(start, statusOf(1))
	g.Expect(d.Handle(start, syn(1))[0].Kind).To(gomega.Equal(dispatch.Wait))
	for i := 2; i <= 6; i++ {
		d.HandleStatus(start, statusOf(i))
	}
	g.Expect(targets(d.Continue(start), dispatch.Forward)).To(gomega.HaveLen(1))
}

// A packet that has waited for too long is dropped: its caller has sent another copy.
func TestOpeningPacketWaitsForALimitedTime(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatch.New(start, "north")
	d.Handle(start, syn(1))
	d.SetTable(table(1))
	d.HandleStatus(start.Add(time.Second), statusOf(1))
	g.Expect(targets(d.Continue(start.Add(time.Second)), dispatch.Forward)).To(gomega.BeEmpty())
}

// A flow refused only because its answer would come too late is tried again, also with
// the caller's copies, and reset with the last one.
func TestBusyFlowIsTriedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(1)
	for number := range uint32(3) {
		p := syn(1)
		p.Ack = number
		at := start.Add(time.Duration(number) * 300 * time.Millisecond)
		g.Expect(targets(d.Handle(at, p), dispatch.Forward)).To(gomega.HaveLen(1))
		actions := d.HandleRefused(at, companionAt(1), passthrough.ReasonBusy, p)
		g.Expect(actions).To(gomega.HaveLen(1))
		wanted := dispatch.Wait
		if number == 2 {
			wanted = dispatch.Reset
		}
		g.Expect(actions[0].Kind).To(gomega.Equal(wanted))
	}
}

// A busy flow doesn't wait for its caller's next copy, and no longer than that takes.
func TestBusyFlowWaitsForRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(1)
	d.Handle(start, syn(1))
	d.HandleRefused(start, companionAt(1), passthrough.ReasonBusy, syn(1))
	tries := 0
	for at := start; at.Before(start.Add(3 * time.Second)); at = at.Add(50 * time.Millisecond) {
		for range targets(d.Continue(at), dispatch.Forward) {
			tries++
			d.HandleRefused(at, companionAt(1), passthrough.ReasonBusy, syn(1))
		}
	}
	g.Expect(tries).To(gomega.And(gomega.BeNumerically(">=", 2), gomega.BeNumerically("<=", 5)))
}

// After an outage hundreds of packets waited for the first view, most of them copies whose
// callers had waited too long. They were tried in any order and took the room of those
// whose answers could still come in time.
func TestPacketsOfCallersThatHaveWaitedLeastAreTriedFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatch.New(start, "north")
	for port := 1; port <= 200; port++ {
		p := syn(port)
		if port%2 == 0 {
			p.Ack = 2
		}
		g.Expect(targets(d.Handle(start, p), dispatch.Forward)).To(gomega.BeEmpty())
	}
	d.SetTable(table(1))
	for i := 1; i <= 10; i++ {
		d.HandleStatus(start, statusOf(i))
	}
	d.Continue(start)
	var tried []int
	for _, a := range d.Continue(start.Add(200 * time.Millisecond)) {
		if a.Kind == dispatch.Forward {
			tried = append(tried, int(a.Packet.Key.Caller.Port()))
		}
	}
	g.Expect(tried).NotTo(gomega.BeEmpty())
	g.Expect(len(tried)).To(gomega.BeNumerically("<=", 40), "the slots of ten servers")
	for _, port := range tried {
		g.Expect(port%2).To(gomega.Equal(1), "a copy was tried before a first packet")
	}
}
