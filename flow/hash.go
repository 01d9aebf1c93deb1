// Package flow decides where packets of a flow go: an entry instance maps a
// packet's flow key to a bucket and the bucket's candidate chain, and a
// companion decides whether a packet that it receives belongs to a flow of its
// own backend server or is forwarded to the next candidate.
//
// The package does no I/O and reads no clock.
package flow

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"zinniapulley.dev/core"
)

// hashInputLen is the length in bytes of the hash input: seed, two IPv4
// addresses and two ports.
const hashInputLen = 8 + 4 + 2 + 4 + 2

// Hash returns the keyed hash of a flow. All instances that share the seed
// agree on it.
func Hash(seed uint64, key core.FlowKey) uint64 {
	var input [hashInputLen]byte
	caller := key.Caller.Addr().As4()
	service := key.Service.Addr().As4()
	binary.BigEndian.PutUint64(input[0:8], seed)
	copy(input[8:12], caller[:])
	binary.BigEndian.PutUint16(input[12:14], key.Caller.Port())
	copy(input[14:18], service[:])
	binary.BigEndian.PutUint16(input[18:20], key.Service.Port())
	return xxhash.Sum64(input[:])
}

// Bucket returns the bucket of a hash among count buckets, a power of two.
func Bucket(hash uint64, count int) uint32 {
	return uint32(hash & uint64(count-1))
}
