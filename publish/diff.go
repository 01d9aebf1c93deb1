package publish

import (
	"cmp"
	"slices"

	"zinniapulley.dev/core"
)

// Diff returns the delta between two views of one deployment. The digest must
// be that of the later view.
func Diff(from, to *core.View, digest Digest) *Delta {
	delta := &Delta{From: from.Revision, To: to.Revision, Digest: digest}
	delta.DataCentres, delta.DataCentresGone = diffSorted(
		sortedDataCentres(from.DataCentres), sortedDataCentres(to.DataCentres),
		func(d core.DataCentreState) core.DataCentre { return d.Name }, equal)
	delta.Services, delta.ServicesGone = diffSorted(
		sortedServices(from.Services), sortedServices(to.Services),
		func(s core.Service) core.ServiceID { return s.ID }, equal)
	delta.BackendServers, delta.BackendServersGone = diffSorted(
		sortedServers(from.BackendServers), sortedServers(to.BackendServers),
		func(s core.BackendServer) core.BackendServerID { return s.ID }, equal)
	delta.tables(sortedTables(from.Tables), sortedTables(to.Tables))
	return delta
}

func equal[T comparable](a, b T) bool {
	return a == b
}

// diffSorted compares two lists that are sorted by key. It returns the elements
// that are new or differ, and the keys of the removed ones.
func diffSorted[T any, K cmp.Ordered](from, to []T, key func(T) K, same func(a, b T) bool) (changed []T, removed []K) {
	i := 0
	for _, element := range to {
		for i < len(from) && key(from[i]) < key(element) {
			removed = append(removed, key(from[i]))
			i++
		}
		existed := i < len(from) && key(from[i]) == key(element)
		if !existed || !same(from[i], element) {
			changed = append(changed, element)
		}
		if existed {
			i++
		}
	}
	for ; i < len(from); i++ {
		removed = append(removed, key(from[i]))
	}
	return changed, removed
}

func (d *Delta) tables(from, to []core.Table) {
	changed, removed := diffSorted(from, to, func(t core.Table) core.ServiceID { return t.Service }, sameTable)
	d.TablesGone = removed
	for _, table := range changed {
		i, existed := slices.BinarySearchFunc(from, table.Service, compareService)
		if !existed {
			d.Tables = append(d.Tables, wholeTable(table))
			continue
		}
		d.Tables = append(d.Tables, tableChange(from[i], table))
	}
}

func compareService(table core.Table, service core.ServiceID) int {
	return cmp.Compare(table.Service, service)
}

func sameTable(a, b core.Table) bool {
	return sameBuckets(a.Buckets, b.Buckets) && slices.EqualFunc(a.Chains, b.Chains, slices.Equal)
}

// sameBuckets compares bucket lists. Lists in the same memory are equal without
// a comparison, since tables are never modified.
func sameBuckets(a, b []uint16) bool {
	if len(a) == len(b) && len(a) > 0 && &a[0] == &b[0] {
		return true
	}
	return slices.Equal(a, b)
}

func wholeTable(table core.Table) TableChange {
	return TableChange{Service: table.Service, Whole: &table}
}

// tableChange returns the change from one table of a service to another: the
// whole table, or the changed chains and buckets if they are shorter.
func tableChange(from, to core.Table) TableChange {
	change := TableChange{Service: to.Service, ChainCount: len(to.Chains)}
	for i, chain := range to.Chains {
		if i >= len(from.Chains) || !slices.Equal(from.Chains[i], chain) {
			change.Chains = append(change.Chains, ChainChange{Index: uint16(i), Chain: chain})
		}
	}
	if len(from.Buckets) != len(to.Buckets) {
		return wholeTable(to)
	}
	for i, index := range to.Buckets {
		if from.Buckets[i] != index {
			change.Buckets = append(change.Buckets, BucketChange{Bucket: uint32(i), Index: index})
		}
	}
	if bucketBytes*len(change.Buckets)+chainBytes*len(change.Chains) > tableSize(to) {
		return wholeTable(to)
	}
	return change
}
