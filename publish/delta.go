package publish

import "zinniapulley.dev/core"

// Delta is what changed from one view to a later one. Its lists are in
// ascending order of keys.
type Delta struct {
	// From and To are the revisions of the two views.
	From core.Revision
	To   core.Revision
	// Digest is the digest of the later view.
	Digest             Digest
	DataCentres        []core.DataCentreState
	DataCentresGone    []core.DataCentre
	Services           []core.Service
	ServicesGone       []core.ServiceID
	BackendServers     []core.BackendServer
	BackendServersGone []core.BackendServerID
	Tables             []TableChange
	TablesGone         []core.ServiceID
}

// TableChange is what changed in the table of one service.
type TableChange struct {
	Service core.ServiceID
	// Whole replaces the table. If it is set, the fields below are empty.
	Whole *core.Table
	// ChainCount is the number of chains in the later table.
	ChainCount int
	Chains     []ChainChange
	Buckets    []BucketChange
}

// ChainChange replaces one chain of a table.
type ChainChange struct {
	Index uint16
	Chain core.Chain
}

// BucketChange assigns a bucket to another chain.
type BucketChange struct {
	Bucket uint32
	Index  uint16
}

// Empty reports whether the delta changes nothing but the revision.
func (d *Delta) Empty() bool {
	return len(d.DataCentres)+len(d.DataCentresGone)+len(d.Services)+len(d.ServicesGone)+
		len(d.BackendServers)+len(d.BackendServersGone)+len(d.Tables)+len(d.TablesGone) == 0
}

// Approximate encoded sizes, in bytes, to compare a delta with a whole view.
const (
	deltaBytes  = 48
	entryBytes  = 24
	serverBytes = 80
	bucketBytes = 6
	chainBytes  = 12
	indexBytes  = 2
)

// Size returns the approximate encoded size of the delta in bytes.
func (d *Delta) Size() int {
	size := deltaBytes
	size += entryBytes * (len(d.DataCentres) + len(d.DataCentresGone) + len(d.Services) + len(d.ServicesGone))
	size += serverBytes*len(d.BackendServers) + entryBytes*len(d.BackendServersGone)
	for _, change := range d.Tables {
		size += entryBytes + bucketBytes*len(change.Buckets) + chainBytes*len(change.Chains)
		if change.Whole != nil {
			size += tableSize(*change.Whole)
		}
	}
	return size + entryBytes*len(d.TablesGone)
}

// SizeOf returns the approximate encoded size of a whole view in bytes.
func SizeOf(view *core.View) int {
	size := deltaBytes
	size += entryBytes * (len(view.DataCentres) + len(view.Services))
	size += serverBytes * len(view.BackendServers)
	for _, table := range view.Tables {
		size += tableSize(table)
	}
	return size
}

func tableSize(table core.Table) int {
	return entryBytes + indexBytes*len(table.Buckets) + chainBytes*len(table.Chains)
}
