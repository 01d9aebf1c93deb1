package passthrough_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/dispatch"
	"zinniapulley.dev/route"
)

// refuseAll has every companion refuse what is forwarded to it, and returns how many
// packets that were.
func refuseAll(d *dispatch.Dispatcher, now time.Time, actions []dispatch.Action) int {
	forwarded := 0
	pending := append([]dispatch.Action{}, actions...)
	for len(pending) > 0 {
		a := pending[0]
		pending = pending[1:]
		if a.Kind == dispatch.Forward {
			forwarded++
			pending = append(pending, d.HandleRefused(now, a.To, passthrough.ReasonBusy, a.Packet)...)
		}
	}
	return forwarded
}

// While all callers returned after an outage, each flow was offered to six full companions
// and again after 100 ms: 24,000 refusals in a second for 400 requests.
func TestFullCompanionsAreNotTriedForEveryFlow(t *testing.T) {
	const companions, flows = 7, 400
	g := gomega.NewWithT(t)
	d := dispatcher(companions)
	forwarded := 0
	for port := range flows {
		forwarded += refuseAll(d, start, d.Handle(start, syn(port)))
	}
	g.Expect(forwarded).To(gomega.Equal(companions))
	for at := start; at.Before(start.Add(time.Second)); at = at.Add(50 * time.Millisecond) {
		forwarded += refuseAll(d, at, d.Continue(at))
	}
	// No more than twice what all slots, four each, could take, in each 50 ms.
	g.Expect(forwarded).To(gomega.BeNumerically("<=", 2*companions*4*20))
}

// A companion that reports room is tried at once.
func TestCompanionWithRoomIsTriedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(1)
	refuseAll(d, start, d.Handle(start, syn(1)))
	g.Expect(targets(d.Handle(start, syn(2)), dispatch.Forward)).To(gomega.BeEmpty())
	status := statusOf(1)
	d.HandleLoad(start, companionAt(1), status.Load())
	g.Expect(targets(d.Handle(start, syn(3)), dispatch.Forward)).To(gomega.HaveLen(1))
}

// What is refused to an ordinary request may still be granted to an urgent one.
func TestUrgentFlowIsTriedWhereOthersWereRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(1)
	view := *table(2).View
	urgent := view.Routes[0]
	urgent.Name, urgent.Address, urgent.Priority = "urgent", netip.MustParseAddrPort("198.18.0.2:443"), 1
	view.Routes = append(view.Routes, urgent)
	d.SetTable(route.Compile(&view))
	send := func(port int, copies uint32, service netip.AddrPort) []netip.AddrPort {
		p := syn(port)
		p.Ack, p.Key.Service = copies, service
		return targets(d.Handle(start, p), dispatch.Forward)
	}
	refuseAll(d, start, d.Handle(start, syn(1)))
	g.Expect(send(2, 0, address)).To(gomega.BeEmpty())
	g.Expect(send(3, 1, address)).To(gomega.BeEmpty())
	g.Expect(send(4, 0, urgent.Address)).To(gomega.HaveLen(1))
}
