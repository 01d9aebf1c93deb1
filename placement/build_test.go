package placement_test

import (
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/placement"
)

func candidates(connections ...int) []placement.Candidate {
	var list []placement.Candidate
	dataCentres := []core.DataCentre{"sul-a", "sul-b", "sul-c", "sul-d"}
	for i, c := range connections {
		list = append(list, placement.Candidate{
			ID: core.BackendServerID(i + 1), DataCentre: dataCentres[i%4], Connections: c, Share: 100,
		})
	}
	return list
}

func owned(table core.Table) map[core.BackendServerID]int {
	counts := make(map[core.BackendServerID]int)
	for bucket := range table.Buckets {
		chain := table.Chain(uint32(bucket))
		if len(chain) > 0 {
			counts[chain[0]]++
		}
	}
	return counts
}

func TestBucketCountIsABoundedPowerOfTwo(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, c := range []struct{ targets, want int }{
		{0, 256}, {1, 256}, {2, 256}, {3, 512}, {7, 1024}, {33, 8192}, {100000, 16384},
	} {
		g.Expect(placement.BucketCount(c.targets)).To(gomega.Equal(c.want), "%d targets", c.targets)
	}
}

func TestBuildFollowsCapacityAndShare(t *testing.T) {
	g := gomega.NewWithT(t)
	list := candidates(2000, 2000, 1000, 0)
	list[1].Share = 50
	table := placement.Build(1, 1024, list)
	g.Expect(owned(table)).To(gomega.Equal(map[core.BackendServerID]int{1: 512, 2: 256, 3: 256}))
	for bucket := range table.Buckets {
		chain := table.Chain(uint32(bucket))
		g.Expect(chain).To(gomega.HaveLen(3))
		g.Expect(slices.Compact(slices.Sorted(slices.Values(chain)))).To(gomega.HaveLen(3))
	}
}

func TestBuildIsTheSameForAnyOrderOfCandidates(t *testing.T) {
	g := gomega.NewWithT(t)
	list := candidates(2000, 1500, 700, 20, 2000)
	table := placement.Build(3, 512, list)
	slices.Reverse(list)
	g.Expect(placement.Build(3, 512, list)).To(gomega.Equal(table))
}

func TestSecondChoicesAreInOtherDataCentresAndSpread(t *testing.T) {
	g := gomega.NewWithT(t)
	list := candidates(2000, 2000, 2000, 2000, 2000, 2000, 2000)
	at := make(map[core.BackendServerID]core.DataCentre)
	for _, c := range list {
		at[c.ID] = c.DataCentre
	}
	table := placement.Build(1, 1024, list)
	seconds := make(map[core.BackendServerID]int)
	for bucket := range table.Buckets {
		chain := table.Chain(uint32(bucket))
		g.Expect(at[chain[0]]).NotTo(gomega.Equal(at[chain[1]]))
		seconds[chain[1]]++
	}
	g.Expect(seconds).To(gomega.HaveLen(7))
}

func TestBuildWithoutWeightHasEmptyChains(t *testing.T) {
	g := gomega.NewWithT(t)
	table := placement.Build(1, 256, candidates(0, 0))
	g.Expect(owned(table)).To(gomega.BeEmpty())
	g.Expect(table.Buckets).To(gomega.HaveLen(256))
}
