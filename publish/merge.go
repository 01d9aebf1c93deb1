package publish

import (
	"cmp"
	"maps"
	"slices"

	"zinniapulley.dev/core"
)

// Merge returns one delta equivalent to a non-empty sequence of deltas, without
// the changes that later ones override. Each delta must start at the revision
// at which the previous one ends.
func Merge(deltas []*Delta) *Delta {
	last := deltas[len(deltas)-1]
	if len(deltas) == 1 {
		return last
	}
	dataCentres := newMerger[core.DataCentre, core.DataCentreState]()
	services := newMerger[core.ServiceID, core.Service]()
	servers := newMerger[core.BackendServerID, core.BackendServer]()
	tables := newMerger[core.ServiceID, *tableMerger]()
	for _, delta := range deltas {
		dataCentres.add(delta.DataCentres, delta.DataCentresGone, func(d core.DataCentreState) core.DataCentre { return d.Name })
		services.add(delta.Services, delta.ServicesGone, func(s core.Service) core.ServiceID { return s.ID })
		servers.add(delta.BackendServers, delta.BackendServersGone, func(s core.BackendServer) core.BackendServerID { return s.ID })
		mergeTables(tables, delta)
	}
	merged := &Delta{From: deltas[0].From, To: last.To, Digest: last.Digest}
	merged.DataCentres, merged.DataCentresGone = dataCentres.result()
	merged.Services, merged.ServicesGone = services.result()
	merged.BackendServers, merged.BackendServersGone = servers.result()
	changes, removed := tables.result()
	merged.TablesGone = removed
	for _, change := range changes {
		merged.Tables = append(merged.Tables, change.result())
	}
	return merged
}

// merger holds, for each key, its latest change.
type merger[K cmp.Ordered, T any] struct {
	changed map[K]T
	removed map[K]bool
}

func newMerger[K cmp.Ordered, T any]() *merger[K, T] {
	return &merger[K, T]{changed: make(map[K]T), removed: make(map[K]bool)}
}

func (m *merger[K, T]) set(key K, element T) {
	delete(m.removed, key)
	m.changed[key] = element
}

func (m *merger[K, T]) remove(key K) {
	delete(m.changed, key)
	m.removed[key] = true
}

func (m *merger[K, T]) add(changed []T, removed []K, key func(T) K) {
	for _, k := range removed {
		m.remove(k)
	}
	for _, element := range changed {
		m.set(key(element), element)
	}
}

func (m *merger[K, T]) result() (changed []T, removed []K) {
	for _, key := range slices.Sorted(maps.Keys(m.changed)) {
		changed = append(changed, m.changed[key])
	}
	return changed, slices.Sorted(maps.Keys(m.removed))
}

// tableMerger merges the changes of one table.
type tableMerger struct {
	service core.ServiceID
	// whole is the table after a change that replaced it and the later ones,
	// nil without such a change.
	whole      *core.Table
	chainCount int
	chains     map[uint16]core.Chain
	buckets    map[uint32]uint16
}

func mergeTables(tables *merger[core.ServiceID, *tableMerger], delta *Delta) {
	for _, service := range delta.TablesGone {
		tables.remove(service)
	}
	for _, change := range delta.Tables {
		earlier, known := tables.changed[change.Service]
		if !known || change.Whole != nil {
			earlier = newTableMerger(change)
			tables.set(change.Service, earlier)
		}
		if change.Whole == nil {
			earlier.add(change)
		}
	}
}

func newTableMerger(change TableChange) *tableMerger {
	m := &tableMerger{
		service: change.Service,
		chains:  make(map[uint16]core.Chain),
		buckets: make(map[uint32]uint16),
	}
	if change.Whole != nil {
		m.whole = change.Whole
	}
	return m
}

func (m *tableMerger) add(change TableChange) {
	if m.whole != nil {
		table, err := change.apply(*m.whole)
		if err != nil {
			panic("publish: a source's own deltas always apply: " + err.Error())
		}
		m.whole = &table
		return
	}
	m.chainCount = change.ChainCount
	for _, chain := range change.Chains {
		m.chains[chain.Index] = chain.Chain
	}
	for _, bucket := range change.Buckets {
		m.buckets[bucket.Bucket] = bucket.Index
	}
}

func (m *tableMerger) result() TableChange {
	if m.whole != nil {
		return wholeTable(*m.whole)
	}
	change := TableChange{Service: m.service, ChainCount: m.chainCount}
	for _, index := range slices.Sorted(maps.Keys(m.chains)) {
		if int(index) < m.chainCount {
			change.Chains = append(change.Chains, ChainChange{Index: index, Chain: m.chains[index]})
		}
	}
	for _, bucket := range slices.Sorted(maps.Keys(m.buckets)) {
		change.Buckets = append(change.Buckets, BucketChange{Bucket: bucket, Index: m.buckets[bucket]})
	}
	return change
}
