package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of packets, as PROTOCOL gives them.
const (
	flagReset   = 2
	flagAck     = 4
	flagSyn     = 16
	flagFin     = 32
	flagBounced = 128
)

// Offsets of header fields, as PROTOCOL gives them.
const (
	headerBytes = 36
	offsetSum   = 18
	offsetFlags = 30
	offsetPad   = 31
	maxPacket   = 2048
)

// sumKey is the key of the sum, known to clients and targets only.
var sumKey = []byte("review-stand-in-sum-key")

// flowKey identifies a flow: the client's end and the route's end.
type flowKey struct{ client, route netip.AddrPort }

func (k flowKey) String() string { return k.client.String() + ">" + k.route.String() }

// packet encodes a packet with its sum.
func packet(from, to netip.AddrPort, flags byte, seq, ack uint32, data []byte) []byte {
	p := make([]byte, headerBytes, headerBytes+len(data))
	binary.BigEndian.PutUint16(p[0:], uint16(len(data)))
	source, dest := from.Addr().As4(), to.Addr().As4()
	copy(p[6:], source[:])
	binary.BigEndian.PutUint16(p[10:], to.Port())
	binary.BigEndian.PutUint16(p[12:], from.Port())
	copy(p[14:], dest[:])
	binary.BigEndian.PutUint32(p[22:], seq)
	binary.BigEndian.PutUint32(p[26:], ack)
	p[offsetFlags] = flags
	p = append(p, data...)
	binary.BigEndian.PutUint32(p[offsetSum:], sumOf(p))
	return p
}

// sumOf returns the keyed sum over all fields except echo, pad and BOUNCED. It is never 0.
func sumOf(p []byte) uint32 {
	covered := append(append([]byte(nil), sumKey...), p...)
	own := covered[len(sumKey):]
	clear(own[2:4])
	clear(own[offsetSum : offsetSum+4])
	clear(own[offsetPad:headerBytes])
	own[offsetFlags] &^= flagBounced
	return crc32.ChecksumIEEE(covered) | 1
}

func storedSum(p []byte) uint32 { return binary.BigEndian.Uint32(p[offsetSum:]) }
func seqOf(p []byte) uint32     { return binary.BigEndian.Uint32(p[22:]) }
func ackOf(p []byte) uint32     { return binary.BigEndian.Uint32(p[26:]) }

// endsOf returns the source and destination of a packet.
func endsOf(p []byte) (source, dest netip.AddrPort) {
	source = netip.AddrPortFrom(netip.AddrFrom4([4]byte(p[6:10])), binary.BigEndian.Uint16(p[12:]))
	dest = netip.AddrPortFrom(netip.AddrFrom4([4]byte(p[14:18])), binary.BigEndian.Uint16(p[10:]))
	return source, dest
}
