package core

// MaxChain is the most candidates in one chain: the owner, the further choices
// and the earlier owners that may still have flows of the bucket.
const MaxChain = 6

// MaxHops is the longest candidate list that a packet may carry: the hops of
// one chain already visited, and those of a newer chain still to be visited.
const MaxHops = 2 * MaxChain

// Chain lists the backend servers that may hold a flow of a bucket, in the
// order in which a packet visits them. Element 0 is the owner, the others below
// Choices are further choices, later ones are earlier owners. A chain is never
// modified after it is published.
type Chain []BackendServerID

// Table maps the buckets of one service to candidate chains. Many buckets
// share a chain, so each bucket holds an index into the list of chains.
// A table is never modified after it is published.
type Table struct {
	Service ServiceID
	// Buckets holds, for each bucket, an index into Chains. Its length is a
	// power of two and never changes in the life of a service.
	Buckets []uint16
	Chains  []Chain
}

// Chain returns the candidate chain of a bucket. The bucket must be below
// len(t.Buckets).
func (t *Table) Chain(bucket uint32) Chain {
	return t.Chains[t.Buckets[bucket]]
}

// Choices is how many leading candidates of a chain may take new flows: the
// owner and the choices after it. Later candidates are earlier owners. Where
// fewer backend servers may take new flows, the chain has fewer choices, and
// all earlier owners in it are draining, without share or taken out, so that
// their own state keeps them from taking new flows.
const Choices = 3
