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

// When a whole service was full, each opening packet was tried at six companions. The
// entry instances spent all their processor time on it and lost the packets of flows that
// had been admitted.
func TestFurtherTriesOfRefusedFlowsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(24)
	const flows = 2000
	tries := 0
	for port := 1; port <= flows; port++ {
		actions := d.Handle(start, syn(port))
		for sent := targets(actions, dispatch.Forward); len(sent) > 0; sent = targets(actions, dispatch.Forward) {
			tries++
			actions = d.HandleRefused(start, sent[0], passthrough.ReasonBusy, syn(port))
		}
	}
	g.Expect(tries).To(gomega.BeNumerically("<=", flows+flows/5+100))
}

// A single busy companion must not cost a flow its other candidates.
func TestRefusedFlowIsTriedElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(24)
	for port := 1; port <= 500; port++ {
		now := start.Add(time.Duration(port) * 5 * time.Millisecond)
		for i := 1; i <= 24; i++ {
			d.HandleStatus(now, statusOf(i))
		}
		first := targets(d.Handle(now, syn(port)), dispatch.Forward)
		g.Expect(first).To(gomega.HaveLen(1))
		if port%6 == 0 {
			second := targets(d.HandleRefused(now, first[0], passthrough.ReasonBusy, syn(port)), dispatch.Forward)
			g.Expect(second).To(gomega.HaveLen(1))
			g.Expect(second[0]).NotTo(gomega.Equal(first[0]))
		}
	}
}

// An urgent request was refused after the ordinary ones had used up the budget, and an
// ordinary one was admitted right after it.
func TestUrgentFlowsKeepAReserveOfFurtherTries(t *testing.T) {
	g := gomega.NewWithT(t)
	d := dispatcher(24)
	view := *table(2).View
	urgent := view.Routes[0]
	urgent.Name, urgent.Address, urgent.Priority = "urgent", netip.MustParseAddrPort("198.18.0.2:443"), 1
	view.Routes = append(view.Routes, urgent)
	d.SetTable(route.Compile(&view))
	tries := func(p *passthrough.Packet) int {
		count := 0
		now := start.Add(time.Second)
		for i := 1; i <= 24; i++ {
			d.HandleStatus(now, statusOf(i))
		}
		actions := d.Handle(now, p)
		for sent := targets(actions, dispatch.Forward); len(sent) > 0; sent = targets(actions, dispatch.Forward) {
			count++
			actions = d.HandleRefused(now, sent[0], passthrough.ReasonBusy, p)
		}
		return count
	}
	for port := 1; port <= 500; port++ {
		tries(syn(port))
	}
	g.Expect(tries(syn(501))).To(gomega.BeNumerically("<=", 2))
	p := syn(502)
	p.Key.Service = urgent.Address
	g.Expect(tries(p)).To(gomega.BeNumerically(">=", 4))
}
