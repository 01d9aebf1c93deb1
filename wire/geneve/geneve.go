// Package geneve encodes and decodes the datagrams that carry callers' packets
// between the fabric, entry instances and companions: Geneve over UDP
// (RFC 8926) around IPv4 packets that hold TCP.
//
// A datagram between the fabric and the system has no options of the system. One
// between entry instances and companions carries the route option: the revision by
// which the packet was routed, and the candidate companions with the index of the
// one that the datagram is sent to. Its virtual network identifier is the service's
// ID.
//
// The package makes no decisions. Malformed input is rejected with a Drop.
package geneve

import (
	"net/netip"

	"zinniapulley.dev/core"
)

// MaxDatagram is the size in bytes of the largest UDP payload, and so of a read
// buffer.
const MaxDatagram = 65_507

// MaxOptionsLen is the most bytes of Geneve options that a datagram may have.
const MaxOptionsLen = 128

// MaxOverhead is the most bytes that encapsulation adds to the inner packet, without
// the outer IPv4 and UDP headers.
const MaxOverhead = headerLen + MaxOptionsLen

// headerLen is the length in bytes of the Geneve header without options.
const headerLen = 8

const (
	// optionClass is the class of the system's options, from the range for
	// experimental use.
	optionClass = 0xFF5A
	// routeType is the type of the route option. Its critical bit is set.
	routeType = criticalBit | 0x01
	// criticalBit marks an option type that a receiver must understand.
	criticalBit = 0x80
)

// Inner is the TCP packet that a datagram carries.
type Inner struct {
	Key   core.FlowKey
	Flags core.TCPFlags
	Seq   uint32
	Ack   uint32
	// PayloadLen is the number of bytes of TCP payload.
	PayloadLen int
	// Packet is the whole IPv4 packet. It aliases the datagram.
	Packet []byte
}

// Fabric is the content of a datagram between the fabric and the system.
type Fabric struct {
	// Network is the virtual network identifier.
	Network uint32
	Inner   Inner
}

// Envelope is the content of a datagram between instances of the system.
type Envelope struct {
	Service core.ServiceID
	// Revision is that of the view by which the packet was routed.
	Revision core.Revision
	// HopIndex is the index in Hops of the companion that the datagram is
	// sent to. Forwarding only increases it.
	HopIndex uint8
	// HopCount is the number of elements of Hops that are in use.
	HopCount uint8
	// Hops holds the IPv4 UDP addresses of the candidate companions.
	Hops [core.MaxHops]netip.AddrPort
	// Entry is the UDP address of the entry instance that first routed the
	// packet. It is the zero value if there is none.
	Entry netip.AddrPort
	Inner Inner
}

// Hop returns the address that the datagram is sent to.
func (e *Envelope) Hop() netip.AddrPort {
	return e.Hops[e.HopIndex]
}
