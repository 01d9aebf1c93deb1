package passthrough

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"zinniapulley.dev/core"
	"zinniapulley.dev/route"
)

const (
	// flowWeight is what an open flow counts towards the load, in running
	// requests: about what a flow with a request a second of 30 ms keeps running,
	// and as much again for the time of its answer.
	flowWeight = 0.06
	// farPenalty is the load, in requests per slot, by which a backend server of
	// another data centre is held back. It keeps traffic near while that costs no
	// waiting.
	farPenalty = 0.15
	// coldPenalty holds cold backend servers back, which are slower, in requests
	// per slot.
	coldPenalty = 0.5
	// unheardPenalty holds back backend servers whose status is old.
	unheardPenalty = 100.0
	// failingPenalty holds back backend servers at which requests fail or stall.
	failingPenalty = unheardPenalty
	// choices is how many candidates, first in the flow's order, share its opening
	// by load. A flow that no entry instance has cached is sought among the first
	// ones of the same order.
	choices = 4
)

// choose returns the companion that an opening packet goes to next, nil if there
// is none left. The service is the same for all copies of the packet at every
// entry instance; the others of the route follow when none of its backend servers
// takes the flow.
func (d *Dispatcher) choose(now time.Time, key core.FlowKey, flow *cached, found *route.Route) *companion {
	first := serviceFor(key, found.Shares)
	best := d.best(now, key, flow, found.Shares[first].Service)
	for i := 0; best == nil && i < len(found.Shares); i++ {
		if i != first && found.Shares[i].Weight > 0 {
			best = d.best(now, key, flow, found.Shares[i].Service)
		}
	}
	return best
}

// serviceFor returns the index of the service that the flow's hash falls to.
func serviceFor(key core.FlowKey, shares []route.Share) int {
	total := 0
	for _, share := range shares {
		total += max(share.Weight, 0)
	}
	point := int(hashOf(key) % uint64(total))
	for i, share := range shares {
		point -= max(share.Weight, 0)
		if point < 0 {
			return i
		}
	}
	return 0
}

func hashOf(key core.FlowKey) uint64 {
	var buffer [12]byte
	caller, service := key.Caller.Addr().As4(), key.Service.Addr().As4()
	copy(buffer[0:4], caller[:])
	copy(buffer[4:8], service[:])
	binary.BigEndian.PutUint16(buffer[8:], key.Caller.Port())
	binary.BigEndian.PutUint16(buffer[10:], key.Service.Port())
	return xxhash.Sum64(buffer[:])
}

// best returns the least loaded of the first companions, in the flow's order, that
// may take it.
func (d *Dispatcher) best(now time.Time, key core.FlowKey, flow *cached, service core.ServiceName) *companion {
	d.ranked = d.ranked[:0]
	for _, c := range d.byService[service] {
		if d.mayTake(c, flow) {
			d.ranked = append(d.ranked, c)
		}
	}
	rank(d.ranked, key)
	var best *companion
	var bestLoad float64
	for i, c := range d.ranked {
		load := d.load(now, c)
		if best == nil || load < bestLoad {
			best, bestLoad = c, load
		}
		if i+1 >= choices && bestLoad < unheardPenalty {
			break
		}
	}
	return best
}

// rank orders companions by rendezvous hashing of the flow: the same order at all
// entry instances, and of the others when one is added or removed.
func rank(companions []*companion, key core.FlowKey) {
	seed := hashOf(key)
	slices.SortFunc(companions, func(a, b *companion) int { return cmp.Compare(b.weight(seed), a.weight(seed)) })
}

// weight is the companion's place in the order of flows of the seed.
func (c *companion) weight(seed uint64) uint64 {
	mixed := seed ^ c.hash
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	return mixed ^ mixed>>33
}

// mayTake reports whether the companion may take a new flow that wasn't tried
// there.
func (d *Dispatcher) mayTake(c *companion, flow *cached) bool {
	if !c.status.Ready || d.table.DataCentreOut(c.status.DataCentre) {
		return false
	}
	for _, a := range flow.asked {
		if a.at == c.status.Companion {
			return false
		}
	}
	return true
}

// load returns what a companion's backend server has to do, in requests per slot,
// with what counts against choosing it.
func (d *Dispatcher) load(now time.Time, c *companion) float64 {
	load := float64(c.status.Running+c.assigned) + flowWeight*float64(c.status.Flows)
	load /= float64(max(c.status.Slots, 1))
	if c.status.DataCentre != d.dataCentre {
		load += farPenalty
	}
	if c.status.Cold {
		load += coldPenalty
	}
	if c.status.Failing {
		load += failingPenalty
	}
	if now.Sub(c.heard) > statusFresh {
		load += unheardPenalty
	}
	return load
}
