// Package locality decides which part of the new flows of a data centre may be served by
// another, and by which. It does no I/O and reads no clock.
//
// An entry instance doesn't know the demand of its data centre, of which it sees a part.
// A plan is therefore a share of the flows, and it follows figures that all entry
// instances of the data centre receive alike: the requests that run at its backend servers
// and what these sustain. Each instance applies its share to its own flows, so that the
// flows that leave add up to the same share of the whole demand.
package locality
