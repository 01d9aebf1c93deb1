package placement

import (
	"cmp"
	"math/bits"
	"slices"

	"zinniapulley.dev/core"
)

const (
	// BucketsPerTarget is the minimum number of buckets per expected backend
	// server. Load is assigned in whole buckets, so the rounding error is below
	// one percent of a backend server's share.
	BucketsPerTarget = 128
	// MinBuckets and MaxBuckets limit the number of buckets of one service.
	MinBuckets = 256
	MaxBuckets = 16384
)

// BucketCount returns the number of buckets, a power of two, for a service
// that is created with the given number of backend servers.
func BucketCount(targets int) int {
	want := max(MinBuckets, targets*BucketsPerTarget)
	count := 1 << bits.Len(uint(want-1))
	return min(MaxBuckets, count)
}

// Candidate is a backend server that Build may assign buckets to.
type Candidate struct {
	ID         core.BackendServerID
	DataCentre core.DataCentre
	// Connections is the maximum number of concurrent flows.
	Connections int
	// Share is the operators' weight in percent; zero means no new flows.
	Share int
}

// weight returns the candidate's weight for new flows.
func (c Candidate) weight() int64 {
	if c.Connections <= 0 || c.Share <= 0 {
		return 0
	}
	return int64(c.Connections) * int64(c.Share)
}

// Build returns the initial table of a service. Bucket owners are distributed
// over the candidates by weight, and so are the further choices of each owner's
// buckets. The order of the candidates doesn't affect the table. Candidates
// without weight are left out; if none has weight, all chains are empty.
func Build(service core.ServiceID, buckets int, candidates []Candidate) core.Table {
	weighted := withWeight(candidates)
	owners := initialOwners(apportion(weighted, buckets), buckets)
	pool := newChainPool(buckets)
	for bucket := range buckets {
		var chain core.Chain
		if len(weighted) > 0 {
			chain = core.Chain{weighted[owners[bucket]].id}
			chain = addChoices(service, uint32(bucket), chain, weighted, core.Choices)
		}
		pool.set(uint32(bucket), chain)
	}
	return pool.table(service)
}

// withWeight returns the candidates that have weight, in the order of their IDs.
func withWeight(candidates []Candidate) []weightedServer {
	var weighted []weightedServer
	for _, c := range candidates {
		if c.weight() > 0 {
			weighted = append(weighted, weightedServer{id: c.ID, dataCentre: c.DataCentre, weight: c.weight()})
		}
	}
	slices.SortFunc(weighted, func(a, b weightedServer) int { return cmp.Compare(a.id, b.id) })
	return weighted
}

// initialOwners returns the owner of each bucket as an index into quotas. Each
// owner's buckets are interleaved evenly over the table, by smooth weighted
// round-robin.
func initialOwners(quotas []int, buckets int) []int {
	owners := make([]int, 0, buckets)
	credit := make([]int, len(quotas))
	for len(owners) < buckets && len(quotas) > 0 {
		best := 0
		for i, quota := range quotas {
			credit[i] += quota
			if credit[i] > credit[best] {
				best = i
			}
		}
		credit[best] -= buckets
		owners = append(owners, best)
	}
	return owners
}
