package flow_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/flow"
)

const second = time.Second

// outTarget is the maximum time for which an instance may go on forwarding after
// its data centre was taken out of service.
const outTarget = 3 * second

func in(revision core.Revision, age time.Duration) flow.Confirmation {
	return flow.Confirmation{Revision: revision, In: true, Age: age}
}

func TestLeaseDropsUntilConfirmed(t *testing.T) {
	g := gomega.NewWithT(t)
	l := flow.NewLease(flow.DefaultLease)
	g.Expect(l.Admit(start)).To(gomega.Equal(flow.DropLeaseUnconfirmed))
	l.Learn(1, true)
	g.Expect(l.Admit(start)).To(gomega.Equal(flow.DropLeaseUnconfirmed), "a view may be old and is no confirmation")
	l.Confirm(start, in(1, 0))
	g.Expect(l.Admit(start)).To(gomega.Equal(flow.DropNone))
}

func TestLeaseExpiresInTimeWithoutControl(t *testing.T) {
	g := gomega.NewWithT(t)
	l := flow.NewLease(flow.DefaultLease)
	l.Confirm(start, in(1, 0))
	// Peers that are cut off as well keep sending each other their confirmations.
	for at := time.Duration(0); at < 10*second; at += 100 * time.Millisecond {
		c, ok := l.Confirmation(start.Add(at))
		if ok {
			l.Confirm(start.Add(at), c)
		}
	}
	g.Expect(l.State(start.Add(outTarget))).To(gomega.Equal(flow.LeaseUnconfirmed))
	_, ok := l.Confirmation(start.Add(outTarget))
	g.Expect(ok).To(gomega.BeFalse())
}

func TestLeaseAcceptsConfirmationsFromAnyPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	reached, cutOff := flow.NewLease(flow.DefaultLease), flow.NewLease(flow.DefaultLease)
	reached.Confirm(start, in(1, 0))
	c, ok := reached.Confirmation(start.Add(second))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(c.Age).To(gomega.Equal(second))
	cutOff.Confirm(start.Add(second), c)
	g.Expect(cutOff.State(start.Add(flow.DefaultLease - 1))).To(gomega.Equal(flow.LeaseInService))
	g.Expect(cutOff.State(start.Add(flow.DefaultLease))).To(gomega.Equal(flow.LeaseUnconfirmed))
}

func TestLeaseOutAndBackInServiceInQuickSuccession(t *testing.T) {
	g := gomega.NewWithT(t)
	l := flow.NewLease(flow.DefaultLease)
	l.Confirm(start, flow.Confirmation{Revision: 4, In: true})
	l.Confirm(start, flow.Confirmation{Revision: 5, In: false})
	g.Expect(l.Admit(start)).To(gomega.Equal(flow.DropDataCentreOut))
	l.Confirm(start, flow.Confirmation{Revision: 4, In: true})
	g.Expect(l.Admit(start)).To(gomega.Equal(flow.DropDataCentreOut), "an older revision changes nothing")
	l.Confirm(start, flow.Confirmation{Revision: 6, In: true})
	g.Expect(l.Admit(start)).To(gomega.Equal(flow.DropNone))
	l.Confirm(start, flow.Confirmation{Revision: 5, In: false})
	g.Expect(l.Admit(start)).To(gomega.Equal(flow.DropNone), "a late confirmation of an older revision changes nothing")
}

func TestLeaseIgnoresNegativeAge(t *testing.T) {
	g := gomega.NewWithT(t)
	l := flow.NewLease(flow.DefaultLease)
	l.Confirm(start, in(1, -time.Hour))
	g.Expect(l.State(start)).To(gomega.Equal(flow.LeaseUnconfirmed))
}
