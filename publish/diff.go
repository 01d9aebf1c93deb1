package publish

import (
	"cmp"
	"slices"

	"zinniapulley.dev/core"
)

// Diff returns the delta between two views of one deployment. The digest is
// that of the later one.
func Diff(from, to *core.View, digest Digest) *Delta {
	delta := &Delta{From: from.Revision, To: to.Revision, Digest: digest}
	delta.DataCentres, delta.DataCentresGone = differences(
		sortedDataCentres(from.DataCentres), sortedDataCentres(to.DataCentres),
		func(d core.DataCentreState) core.DataCentre { return d.Name }, equal)
	delta.Services, delta.ServicesGone = differences(
		sortedServices(from.Services), sortedServices(to.Services),
		func(s core.Service) core.ServiceID { return s.ID }, equal)
	delta.BackendServers, delta.BackendServersGone = differences(
		sortedServers(from.BackendServers), sortedServers(to.BackendServers),
		func(s core.BackendServer) core.BackendServerID { return s.ID }, equal)
	delta.tables(sortedTables(from.Tables), sortedTables(to.Tables))
	return delta
}

func equal[T comparable](a, b T) bool {
	return a == b
}

// differences compares two lists by rising key. It returns the elements that
// are new or differ, and the keys of those that are gone.
func differences[T any, K cmp.Ordered](from, to []T, key func(T) K, same func(a, b T) bool) (changed []T, gone []K) {
	i := 0
	for _, element := range to {
		for i < len(from) && key(from[i]) < key(element) {
			gone = append(gone, key(from[i]))
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
		gone = append(gone, key(from[i]))
	}
	return changed, gone
}

func (d *Delta) tables(from, to []core.Table) {
	changed, gone := differences(from, to, func(t core.Table) core.ServiceID { return t.Service }, sameTable)
	d.TablesGone = gone
	for _, table := range changed {
		i, existed := slices.BinarySearchFunc(from, table.Service, byService)
		if !existed {
			d.Tables = append(d.Tables, wholeTable(table))
			continue
		}
		d.Tables = append(d.Tables, tableChange(from[i], table))
	}
}

func byService(table core.Table, service core.ServiceID) int {
	return cmp.Compare(table.Service, service)
}

func sameTable(a, b core.Table) bool {
	return sameBuckets(a.Buckets, b.Buckets) && slices.EqualFunc(a.Chains, b.Chains, slices.Equal)
}

// sameBuckets compares bucket lists. Tables are never modified, so lists in the
// same memory are the same.
func sameBuckets(a, b []uint16) bool {
	if len(a) == len(b) && len(a) > 0 && &a[0] == &b[0] {
		return true
	}
	return slices.Equal(a, b)
}

func wholeTable(table core.Table) TableChange {
	return TableChange{Service: table.Service, Whole: &table}
}

// tableChange returns the change from one table of a service to another, in the
// shorter of its two forms.
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
