package flow_test

import (
	"testing"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/flow"
)

func TestCacheIsBoundedAndKeepsUsedFlows(t *testing.T) {
	g := gomega.NewWithT(t)
	c := flow.NewCache(8)
	c.Learn(caller(1), 3)
	for port := uint16(2); port < 1000; port++ {
		c.Learn(caller(port), 4)
		server, known := c.Lookup(caller(1))
		g.Expect(known).To(gomega.BeTrue())
		g.Expect(server).To(gomega.Equal(core.BackendServerID(3)))
		g.Expect(c.Len()).To(gomega.BeNumerically("<=", 8))
	}
	_, known := c.Lookup(caller(2))
	g.Expect(known).To(gomega.BeFalse())
	c.Remove(caller(1))
	_, known = c.Lookup(caller(1))
	g.Expect(known).To(gomega.BeFalse())
}

func TestPreferVisitsEachCandidateOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	hops := []flow.Hop{{BackendServer: 1}, {BackendServer: 2}, {BackendServer: 3}}
	buffer := make([]flow.Hop, 0, core.MaxChain)
	g.Expect(flow.Prefer(hops, 3, buffer)).To(gomega.Equal([]flow.Hop{{BackendServer: 3}, {BackendServer: 1}, {BackendServer: 2}}))
	g.Expect(flow.Prefer(hops, 1, buffer)).To(gomega.Equal(hops))
	g.Expect(flow.Prefer(hops, 9, buffer)).To(gomega.Equal(hops))
}
