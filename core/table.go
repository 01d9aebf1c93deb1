package core

// MaxChain is the maximum length of a chain: the owner, the further choices and
// the earlier owners that may still hold flows of the bucket.
const MaxChain = 6

// MaxHops is the maximum length of the candidate list in a packet: the visited
// hops of one chain and the remaining hops of a newer chain.
const MaxHops = 2 * MaxChain

// Chain lists the backend servers that may hold a flow of a bucket, in the
// order in which a packet visits them: the owner, then the other choices (see
// Choices), then earlier owners. A chain is never modified after it is
// published.
type Chain []BackendServerID

// Table maps the buckets of one service to candidate chains. Many buckets
// share a chain, so each bucket holds an index into the list of chains.
// A table is never modified after it is published.
type Table struct {
	Service ServiceID
	// Buckets holds, for each bucket, an index into Chains. Its length is a
	// power of two and never changes during the lifetime of a service.
	Buckets []uint16
	Chains  []Chain
}

// Chain returns the candidate chain of a bucket. The bucket must be below
// len(t.Buckets).
func (t *Table) Chain(bucket uint32) Chain {
	return t.Chains[t.Buckets[bucket]]
}

// Choices is the number of leading candidates of a chain that may accept new
// flows: the owner and the choices after it. Later candidates are earlier owners.
// If fewer backend servers are eligible, earlier owners may be among the first
// Choices candidates. They are draining, without share or in a data centre out of
// service, and accept no new flows because of that state.
const Choices = 3
