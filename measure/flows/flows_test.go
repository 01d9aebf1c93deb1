package flows_test

import (
	"testing"

	"github.com/onsi/gomega"
	"zinniapulley.dev/measure/flows"
)

// The project's own policy breaks no flow where policies without connection tracking
// do, and balances flows at least as well as rendezvous hashing; the target is 1.15.
func TestCacheAndSearchKeepsFlows(t *testing.T) {
	g := gomega.NewWithT(t)
	results := flows.Measure(flows.Options{Seed: 1, Servers: 7, Flows: 2000})
	byName := map[string]flows.Result{}
	for _, r := range results {
		byName[r.Policy] = r
	}
	g.Expect(byName["modulo"].Broken).To(gomega.BeNumerically(">", byName["rendezvous"].Broken))
	g.Expect(byName["rendezvous"].Broken).To(gomega.BeNumerically(">", 0))
	own := byName["cache and search"]
	g.Expect(own.Flows).To(gomega.Equal(2000))
	g.Expect(own.Broken).To(gomega.BeZero())
	g.Expect(own.Imbalance).To(gomega.BeNumerically("<=", byName["rendezvous"].Imbalance))
}
