package flow_test

import (
	"net/netip"
	"testing"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/flow"
)

func TestLookupReturnsTheChain(t *testing.T) {
	g := gomega.NewWithT(t)
	f := flow.Compile(view(7, 3, 1, 2, 4))
	route, reason := f.Lookup(caller(1000))
	g.Expect(reason).To(gomega.Equal(flow.DropNone))
	g.Expect(route.Service).To(gomega.Equal(serviceID))
	g.Expect(route.Revision).To(gomega.Equal(core.Revision(7)))
	g.Expect(route.Hops).To(gomega.Equal([]flow.Hop{
		{BackendServer: 3, Packets: packets(3), Choice: true},
		{BackendServer: 1, Packets: packets(1), Choice: true},
		{BackendServer: 2, Packets: packets(2), Choice: true},
		{BackendServer: 4, Packets: packets(4)},
	}))
}

func TestLookupOmitsUnreachableCandidates(t *testing.T) {
	g := gomega.NewWithT(t)
	v := view(1, 1, 2, 3, 4, 5)
	v.DataCentres[1].In = false
	v.BackendServers[0].DataCentre = "sul-b"
	v.BackendServers[1].State = core.BackendLost
	v.BackendServers[2].Service = otherID
	v.BackendServers[3].DataCentre = "unheard-of"
	route, reason := flow.Compile(v).Lookup(caller(1000))
	g.Expect(reason).To(gomega.Equal(flow.DropNone))
	g.Expect(route.Hops).To(gomega.Equal([]flow.Hop{{BackendServer: 5, Packets: packets(5)}}))
}

func TestLookupReturnsTheDropReason(t *testing.T) {
	g := gomega.NewWithT(t)
	f := flow.Compile(view(1))
	for _, c := range []struct {
		key  core.FlowKey
		want flow.DropReason
	}{
		{core.FlowKey{Caller: caller(1).Caller, Service: netip.MustParseAddrPort("10.9.9.9:1")}, flow.DropUnknownService},
		{core.FlowKey{Caller: caller(1).Caller, Service: otherAddress}, flow.DropNoCandidate},
		{caller(1), flow.DropNoCandidate},
		{core.FlowKey{Caller: netip.MustParseAddrPort("[::1]:1"), Service: serviceAddress}, flow.DropNotIPv4},
	} {
		_, reason := f.Lookup(c.key)
		g.Expect(reason).To(gomega.Equal(c.want))
	}
}

func TestLookupAllocatesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	f := flow.Compile(view(1, 1, 2))
	key := caller(1000)
	g.Expect(testing.AllocsPerRun(100, func() { f.Lookup(key) })).To(gomega.BeZero())
}
