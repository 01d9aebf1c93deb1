package placement

import (
	"cmp"
	"math/bits"
	"slices"

	"zinniapulley.dev/core"
)

const (
	// BucketsPerTarget is the least number of buckets per expected backend
	// server. A backend server's load can be set in steps of one bucket, so
	// the rounding is below one percent of its share.
	BucketsPerTarget = 128
	// MinBuckets and MaxBuckets bound the buckets of one service.
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

// Candidate is a backend server as placement sees it.
type Candidate struct {
	ID         core.BackendServerID
	DataCentre core.DataCentre
	// Connections is how many flows it bears at once.
	Connections int
	// Share is the operators' weight in percent; zero takes no new flow.
	Share int
}

// weight returns the candidate's weight for new flows.
func (c Candidate) weight() int64 {
	if c.Connections <= 0 || c.Share <= 0 {
		return 0
	}
	return int64(c.Connections) * int64(c.Share)
}

// Build returns the first table of a service. The owners are spread over the
// candidates by weight, and so are the further choices of each owner's buckets.
// The same candidates in any order give the same table. Candidates without
// weight are left out; without any, all chains are empty.
func Build(service core.ServiceID, buckets int, candidates []Candidate) core.Table {
	weighted := weigh(candidates)
	owners := firstOwners(apportion(weighted, buckets), buckets)
	pool := newChainPool(buckets)
	for bucket := range buckets {
		var chain core.Chain
		if len(weighted) > 0 {
			chain = core.Chain{weighted[owners[bucket]].id}
			chain = topUp(service, uint32(bucket), chain, weighted, core.Choices)
		}
		pool.set(uint32(bucket), chain)
	}
	return pool.table(service)
}

// weigh returns the candidates that have weight, in the order of their IDs.
func weigh(candidates []Candidate) []weightedServer {
	var weighted []weightedServer
	for _, c := range candidates {
		if c.weight() > 0 {
			weighted = append(weighted, weightedServer{id: c.ID, dataCentre: c.DataCentre, weight: c.weight()})
		}
	}
	slices.SortFunc(weighted, func(a, b weightedServer) int { return cmp.Compare(a.id, b.id) })
	return weighted
}

// firstOwners deals the buckets out so that each server's buckets are spread
// evenly over the table. It returns indices into the list behind the quotas.
func firstOwners(quotas []int, buckets int) []int {
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
