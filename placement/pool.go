package placement

import (
	"slices"

	"zinniapulley.dev/core"
)

// chainKey is a chain as a comparable value; unused elements are zero.
type chainKey [core.MaxChain]core.BackendServerID

// chainPool stores each distinct chain of a table once. A chain keeps its index
// while any bucket uses it, so that changing a few buckets changes little of the
// published table. Free indices are reused, lowest first.
type chainPool struct {
	buckets []uint16
	chains  []core.Chain
	uses    []int
	index   map[chainKey]uint16
}

// newChainPool returns a pool in which all buckets have the empty chain.
func newChainPool(buckets int) *chainPool {
	return &chainPool{
		buckets: make([]uint16, buckets),
		chains:  []core.Chain{{}},
		uses:    []int{buckets},
		index:   map[chainKey]uint16{{}: 0},
	}
}

// set assigns a chain to a bucket.
func (p *chainPool) set(bucket uint32, chain core.Chain) {
	p.uses[p.buckets[bucket]]--
	key := keyOf(chain)
	at, known := p.index[key]
	if !known {
		at = p.freeIndex()
		delete(p.index, keyOf(p.chains[at]))
		p.chains[at] = slices.Clone(chain)
		p.index[key] = at
	}
	p.uses[at]++
	p.buckets[bucket] = at
}

// freeIndex returns the lowest index that no bucket uses, adding one if need be.
func (p *chainPool) freeIndex() uint16 {
	at := slices.Index(p.uses, 0)
	if at < 0 {
		p.uses = append(p.uses, 0)
		p.chains = append(p.chains, core.Chain{})
		return uint16(len(p.uses) - 1)
	}
	return uint16(at)
}

// table returns a copy of the current table.
func (p *chainPool) table(service core.ServiceID) core.Table {
	return core.Table{
		Service: service,
		Buckets: slices.Clone(p.buckets),
		Chains:  slices.Clone(p.chains),
	}
}

func keyOf(chain core.Chain) chainKey {
	var key chainKey
	copy(key[:], chain)
	return key
}

// chain returns the chain of a bucket, which must not be modified.
func (p *chainPool) chain(bucket uint32) core.Chain {
	return p.chains[p.buckets[bucket]]
}
