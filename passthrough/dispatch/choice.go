package dispatch

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/route"
)

const (
	// flowWeight is the load of an open flow, in running requests: about what a flow
	// with one request of 30 ms a second keeps running, and as much again for the time
	// of its answer.
	flowWeight = 0.06
	// remotePenalty is added to the load, in requests per slot or in run times, of a backend
	// server in another data centre to which the network delay isn't measured. It keeps
	// traffic local while that costs no waiting.
	remotePenalty = 0.15
	// coldPenalty is the same for cold backend servers, which are slower, until their run
	// time is measured.
	coldPenalty = 0.5
	// stalePenalty is the same for backend servers whose status is old or that don't
	// respond to this entry instance.
	stalePenalty = 100.0
	// failingPenalty is the same for backend servers whose requests fail or stall.
	failingPenalty = stalePenalty
	// choiceCount is how many candidates, first in the flow's order, are compared by
	// load at its opening, and localCount how many more of this data centre. A flow that
	// isn't in the cache is looked up at the first companions of the same order.
	choiceCount = 4
	localCount  = 4
)

// choose returns the companion that an opening packet goes to next, nil if there
// is none left, and whether any was left out since it is busy. The service is the same
// for all copies of the packet at every entry instance; the route's other services are
// tried only if no backend server of the first can admit the flow.
func (d *Dispatcher) choose(now time.Time, p *passthrough.Packet, flow *cachedFlow, r *route.Route) (*companion, bool) {
	first := serviceFor(p.Key, r.Shares)
	best, busy := d.best(now, p, flow, r, r.Shares[first].Service)
	for i := 0; best == nil && i < len(r.Shares); i++ {
		if i != first && r.Shares[i].Weight > 0 {
			var otherBusy bool
			best, otherBusy = d.best(now, p, flow, r, r.Shares[i].Service)
			busy = busy || otherBusy
		}
	}
	return best, busy
}

// serviceFor returns the index of the service that the flow's hash maps to.
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
// can admit it, and whether any was left out since it is busy. Further ones are compared
// only if none of these is in good health.
func (d *Dispatcher) best(now time.Time, p *passthrough.Packet, flow *cachedFlow, r *route.Route, service core.ServiceName) (*companion, bool) {
	candidates, busy := d.candidates(now, p, flow, r, service)
	choice := d.offer(now, p, r, service, candidates)
	if choice.load >= stalePenalty {
		choice = d.compare(now, d.ranked)
	}
	return choice.best, busy
}

// candidates returns the first companions, in the flow's order, that can admit it, and
// whether any was left out since it is busy. d.ranked then holds all that can admit it.
func (d *Dispatcher) candidates(now time.Time, p *passthrough.Packet, flow *cachedFlow, r *route.Route, service core.ServiceName) ([]*companion, bool) {
	d.ranked = d.ranked[:0]
	busy := false
	own := passthrough.UrgencyOf(p, r)
	for _, c := range d.companionsOf(now, service) {
		switch {
		case !d.canAdmit(c, flow):
		case now.Before(c.busyUntil[own]):
			busy = true
		default:
			d.ranked = append(d.ranked, c)
		}
	}
	return d.first(d.ranked, p.Key, choiceCount, localCount), busy
}

// companionsOf returns the companions of a service, of which it updates the summary.
func (d *Dispatcher) companionsOf(now time.Time, service core.ServiceName) []*companion {
	state := d.byService[service]
	if state == nil {
		return nil
	}
	state.summarise(now)
	return state.companions
}

// leastLoaded returns the companion with the least load, nil for none.
func (d *Dispatcher) leastLoaded(now time.Time, companions []*companion) (*companion, float64) {
	var best *companion
	var bestLoad float64
	for _, c := range companions {
		load := d.load(now, c)
		if best == nil || load < bestLoad {
			best, bestLoad = c, load
		}
	}
	return best, bestLoad
}

// rank orders companions by rendezvous hashing of the flow. The order is the same
// at all entry instances, and adding or removing a companion doesn't change the
// order of the others.
func rank(companions []*companion, key core.FlowKey) {
	seed := hashOf(key)
	slices.SortFunc(companions, func(a, b *companion) int { return cmp.Compare(b.weight(seed), a.weight(seed)) })
}

// first returns the first companions in the flow's order, at most count, and the first
// of this data centre, at most local. It reorders the given ones. The result is valid
// until its next call.
func (d *Dispatcher) first(companions []*companion, key core.FlowKey, count, local int) []*companion {
	d.local = d.local[:0]
	for _, c := range companions {
		if c.status.DataCentre == d.dataCentre {
			d.local = append(d.local, c)
		}
	}
	d.firsts = append(d.firsts[:0], rankFirst(companions, key, count)...)
	for _, c := range rankFirst(d.local, key, local) {
		if !slices.Contains(d.firsts, c) {
			d.firsts = append(d.firsts, c)
		}
	}
	return d.firsts
}

// rankFirst moves the first companions of the order that rank gives, at most count, to
// the front and returns them.
func rankFirst(companions []*companion, key core.FlowKey, count int) []*companion {
	seed := hashOf(key)
	first := min(count, len(companions))
	if first == 0 {
		return nil
	}
	for i, c := range companions {
		weight := c.weight(seed)
		if i >= first && weight <= companions[first-1].weight(seed) {
			continue
		}
		at := min(i, first-1)
		companions[i] = companions[at]
		for ; at > 0 && companions[at-1].weight(seed) < weight; at-- {
			companions[at] = companions[at-1]
		}
		companions[at] = c
	}
	return companions[:first]
}

// weight returns the companion's rendezvous weight for flows of the seed.
func (c *companion) weight(seed uint64) uint64 {
	mixed := seed ^ c.hash
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	return mixed ^ mixed>>33
}

// canAdmit reports whether the companion admits new flows and the flow wasn't
// tried there.
func (d *Dispatcher) canAdmit(c *companion, flow *cachedFlow) bool {
	if !c.status.Ready || d.table.DataCentreOut(c.status.DataCentre) {
		return false
	}
	for _, a := range flow.attempts {
		if a.companion == c.status.Companion {
			return false
		}
	}
	return true
}

// load returns what the choice compares, plus the penalties that apply. Where a backend
// server of the service is measured, it is the expected time to the answer as a multiple of
// the service's run time; else the load in requests per slot.
func (d *Dispatcher) load(now time.Time, c *companion) float64 {
	var load float64
	if c.service.run > 0 {
		// However long the wait, companions without a penalty come first.
		load = min(d.estimate(now, c), stalePenalty-1)
	} else {
		load = d.loadPerSlot(c)
	}
	if c.status.Failing {
		load += failingPenalty
	}
	if !c.fresh(now) || c.unreachable(now) {
		load += stalePenalty
	}
	return load
}

// loadPerSlot returns the load of a backend server of a service without measures, in
// requests per slot.
func (d *Dispatcher) loadPerSlot(c *companion) float64 {
	assigned := c.assigned
	if c.pace.Users > 1 {
		assigned = max(assigned, c.extra())
	}
	load := float64(c.status.Running+assigned) + flowWeight*float64(c.status.Flows)
	load /= float64(max(c.status.Slots, 1))
	if c.status.DataCentre != d.dataCentre {
		load += remotePenalty
	}
	if c.status.Cold {
		load += coldPenalty
	}
	return load
}
