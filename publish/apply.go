package publish

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"zinniapulley.dev/core"
)

// BaseError reports a delta that doesn't start at the view's revision.
type BaseError struct {
	Have core.Revision
	From core.Revision
}

// Error names both revisions.
func (e *BaseError) Error() string {
	return fmt.Sprintf("delta starts at revision %v, but revision %v is in force", e.From, e.Have)
}

// MalformedError reports a delta or a view with an inconsistent table.
type MalformedError struct {
	Service core.ServiceID
	Problem string
}

// Error names the service with the malformed table, and the problem.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("table of service %d %s", e.Service, e.Problem)
}

// DigestError reports a view that differs from the source's view.
type DigestError struct {
	Revision core.Revision
	Got      Digest
	Want     Digest
}

// Error names the revision and both digests.
func (e *DigestError) Error() string {
	return fmt.Sprintf("view at revision %v has digest %x instead of %x", e.Revision, e.Got, e.Want)
}

// Apply returns the view that a delta leads to. It doesn't modify the given
// view; the new one shares the unchanged parts with it. Its errors are
// BaseError, MalformedError and DigestError.
func Apply(view *core.View, delta *Delta) (*core.View, error) {
	if view.Revision != delta.From {
		return nil, &BaseError{Have: view.Revision, From: delta.From}
	}
	tables, err := applyTables(view.Tables, delta)
	if err != nil {
		return nil, err
	}
	next := &core.View{
		Revision: delta.To,
		HashSeed: view.HashSeed,
		DataCentres: applyChanges(view.DataCentres, delta.DataCentres, delta.DataCentresGone,
			func(d core.DataCentreState) core.DataCentre { return d.Name }),
		Services: applyChanges(view.Services, delta.Services, delta.ServicesGone,
			func(s core.Service) core.ServiceID { return s.ID }),
		BackendServers: applyChanges(view.BackendServers, delta.BackendServers, delta.BackendServersGone,
			func(s core.BackendServer) core.BackendServerID { return s.ID }),
		Tables: tables,
	}
	return next, Check(next, delta.Digest)
}

// Check returns an error unless the view's tables are well-formed and it has
// the digest. Its errors are MalformedError and DigestError.
func Check(view *core.View, digest Digest) error {
	for _, table := range view.Tables {
		err := checkTable(table)
		if err != nil {
			return err
		}
	}
	got := DigestOf(view)
	if got != digest {
		return &DigestError{Revision: view.Revision, Got: got, Want: digest}
	}
	return nil
}

// checkTable returns an error unless lookups in the table are safe.
func checkTable(table core.Table) error {
	if len(table.Buckets) == 0 || len(table.Buckets)&(len(table.Buckets)-1) != 0 {
		return &MalformedError{Service: table.Service, Problem: "has a bucket count that isn't a power of two"}
	}
	for _, index := range table.Buckets {
		if int(index) >= len(table.Chains) {
			return &MalformedError{Service: table.Service, Problem: "has a bucket without a chain"}
		}
	}
	for _, chain := range table.Chains {
		if len(chain) > core.MaxChain {
			return &MalformedError{Service: table.Service, Problem: "has a chain that is too long"}
		}
	}
	return nil
}

// applyChanges returns the list with some elements changed or added and some
// removed, in ascending order of keys.
func applyChanges[T any, K cmp.Ordered](list, changed []T, removed []K, key func(T) K) []T {
	if len(changed) == 0 && len(removed) == 0 {
		return list
	}
	byKey := make(map[K]T, len(list)+len(changed))
	for _, element := range list {
		byKey[key(element)] = element
	}
	for _, k := range removed {
		delete(byKey, k)
	}
	for _, element := range changed {
		byKey[key(element)] = element
	}
	next := make([]T, 0, len(byKey))
	for _, k := range slices.Sorted(maps.Keys(byKey)) {
		next = append(next, byKey[k])
	}
	return next
}

func applyTables(tables []core.Table, delta *Delta) ([]core.Table, error) {
	var changed []core.Table
	for _, change := range delta.Tables {
		if change.Whole != nil && change.Whole.Service != change.Service {
			return nil, &MalformedError{Service: change.Service, Problem: "is replaced by the table of another service"}
		}
		if change.Whole != nil {
			changed = append(changed, *change.Whole)
			continue
		}
		i := slices.IndexFunc(tables, func(t core.Table) bool { return t.Service == change.Service })
		if i < 0 {
			return nil, &MalformedError{Service: change.Service, Problem: "is changed by the delta but missing from the view"}
		}
		table, err := change.apply(tables[i])
		if err != nil {
			return nil, err
		}
		changed = append(changed, table)
	}
	return applyChanges(tables, changed, delta.TablesGone, func(t core.Table) core.ServiceID { return t.Service }), nil
}

// apply returns the table after the change.
func (c TableChange) apply(table core.Table) (core.Table, error) {
	if c.ChainCount < 0 || c.ChainCount > 1<<16 {
		return core.Table{}, &MalformedError{Service: c.Service, Problem: "has a chain count that is out of range"}
	}
	next := core.Table{Service: table.Service, Buckets: table.Buckets, Chains: make([]core.Chain, c.ChainCount)}
	copy(next.Chains, table.Chains)
	for _, change := range c.Chains {
		if int(change.Index) >= c.ChainCount {
			return core.Table{}, &MalformedError{Service: c.Service, Problem: "has a chain change whose index is out of range"}
		}
		next.Chains[change.Index] = change.Chain
	}
	if len(c.Buckets) > 0 {
		next.Buckets = slices.Clone(table.Buckets)
	}
	for _, change := range c.Buckets {
		if int(change.Bucket) >= len(next.Buckets) {
			return core.Table{}, &MalformedError{Service: c.Service, Problem: "has a bucket change whose number is out of range"}
		}
		next.Buckets[change.Bucket] = change.Index
	}
	return next, nil
}
