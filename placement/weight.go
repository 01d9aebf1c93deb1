package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"zinniapulley.dev/core"
)

// weightedServer is a backend server that may accept new flows.
type weightedServer struct {
	id         core.BackendServerID
	dataCentre core.DataCentre
	weight     int64
}

// apportion returns each server's quota of the buckets by weight, using the
// largest remainder method; ties go to the earlier server.
func apportion(servers []weightedServer, buckets int) []int {
	total := totalWeight(servers)
	quotas := make([]int, len(servers))
	if total == 0 {
		return quotas
	}
	remainders := make([]int64, len(servers))
	left := buckets
	for i, server := range servers {
		exact := server.weight * int64(buckets)
		quotas[i] = int(exact / total)
		remainders[i] = exact % total
		left -= quotas[i]
	}
	order := make([]int, len(servers))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainders[b], remainders[a]) })
	for _, i := range order[:left] {
		quotas[i]++
	}
	return atLeastOne(quotas)
}

// atLeastOne moves one bucket to each server without any from the server with
// the most, so that a backend server in cold start gets some flows to warm up.
func atLeastOne(quotas []int) []int {
	for i := range quotas {
		most := indexOfLargest(quotas)
		if quotas[i] == 0 && quotas[most] > 1 {
			quotas[i]++
			quotas[most]--
		}
	}
	return quotas
}

func indexOfLargest(quotas []int) int {
	most := 0
	for i, quota := range quotas {
		if quota > quotas[most] {
			most = i
		}
	}
	return most
}

func totalWeight(servers []weightedServer) int64 {
	total := int64(0)
	for _, server := range servers {
		total += server.weight
	}
	return total
}

// addChoices appends choices to a chain that holds only choices, until it has
// core.Choices members, room members, or all servers. Each is drawn by weight,
// with the service and the bucket as seed; the second choice is outside the
// owner's data centre if possible.
func addChoices(service core.ServiceID, bucket uint32, chain core.Chain, servers []weightedServer, room int) core.Chain {
	random := rand.New(rand.NewPCG(uint64(service), uint64(bucket)))
	for len(chain) < min(core.Choices, room) {
		others := excluding(servers, chain)
		if len(others) == 0 {
			break
		}
		if len(chain) == 1 {
			others = inOtherDataCentres(others, chain[0], servers)
		}
		chain = append(chain, draw(random, others))
	}
	return chain
}

func excluding(servers []weightedServer, chain core.Chain) []weightedServer {
	var others []weightedServer
	for _, server := range servers {
		if !slices.Contains(chain, server.id) {
			others = append(others, server)
		}
	}
	return others
}

// inOtherDataCentres returns those of others that are outside the owner's data
// centre, or all of them if there is none.
func inOtherDataCentres(others []weightedServer, owner core.BackendServerID, servers []weightedServer) []weightedServer {
	at := slices.IndexFunc(servers, func(s weightedServer) bool { return s.id == owner })
	if at < 0 {
		return others
	}
	var kept []weightedServer
	for _, server := range others {
		if server.dataCentre != servers[at].dataCentre {
			kept = append(kept, server)
		}
	}
	if len(kept) == 0 {
		return others
	}
	return kept
}

// draw picks one server at random by weight.
func draw(random *rand.Rand, servers []weightedServer) core.BackendServerID {
	point := random.Int64N(totalWeight(servers))
	for _, server := range servers {
		point -= server.weight
		if point < 0 {
			return server.id
		}
	}
	return servers[len(servers)-1].id
}
