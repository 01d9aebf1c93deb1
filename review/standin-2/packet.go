package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	flagReset   = 2
	flagAck     = 4
	flagSyn     = 16
	flagFin     = 32
	flagBounced = 128
)

const (
	headerBytes = 36
	offsetEcho  = 2
	offsetSum   = 18
	offsetFlags = 30
	offsetPad   = 31
	// maxDatagram is larger than any packet.
	maxDatagram = 2048
)

// flowKey names a flow by its two ends.
type flowKey struct {
	client, route netip.AddrPort
}

func (k flowKey) String() string { return k.client.String() + ">" + k.route.String() }

// packet is a packet as one end of a flow writes it.
type packet struct {
	source, dest netip.AddrPort
	flags        byte
	seq, ack     uint32
	data         []byte
	// sum is zero in a reset of the system.
	sum uint32
	raw []byte
}

// encode returns the datagram, with the sum that only the ends of a flow can compute.
func (p packet) encode() []byte {
	d := make([]byte, headerBytes, headerBytes+len(p.data))
	source, dest := p.source.Addr().As4(), p.dest.Addr().As4()
	binary.BigEndian.PutUint16(d[0:], uint16(len(p.data)))
	copy(d[6:], source[:])
	binary.BigEndian.PutUint16(d[10:], p.dest.Port())
	binary.BigEndian.PutUint16(d[12:], p.source.Port())
	copy(d[14:], dest[:])
	binary.BigEndian.PutUint32(d[22:], p.seq)
	binary.BigEndian.PutUint32(d[26:], p.ack)
	d[offsetFlags] = p.flags
	d = append(d, p.data...)
	binary.BigEndian.PutUint32(d[offsetSum:], sumOf(d))
	return d
}

// decode reads a datagram. It reports false if the datagram isn't a packet.
func decode(d []byte) (packet, bool) {
	if len(d) < headerBytes || int(binary.BigEndian.Uint16(d)) != len(d)-headerBytes {
		return packet{}, false
	}
	return packet{
		source: netip.AddrPortFrom(netip.AddrFrom4([4]byte(d[6:10])), binary.BigEndian.Uint16(d[12:])),
		dest:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(d[14:18])), binary.BigEndian.Uint16(d[10:])),
		flags:  d[offsetFlags], seq: binary.BigEndian.Uint32(d[22:]), ack: binary.BigEndian.Uint32(d[26:]),
		data: d[headerBytes:], sum: binary.BigEndian.Uint32(d[offsetSum:]), raw: d,
	}, true
}

// genuine reports whether an end of a flow wrote the packet as it is.
func (p packet) genuine() bool { return p.sum == sumOf(p.raw) }

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

// sumKey is the key of the sum.
const sumKey = "ends of flows"

// sumOf returns the keyed sum over all fields but echo, pad, the sum itself and BOUNCED. It
// is never zero.
func sumOf(d []byte) uint32 {
	covered := append([]byte(nil), d...)
	clear(covered[offsetEcho : offsetEcho+2])
	clear(covered[offsetSum : offsetSum+4])
	clear(covered[offsetPad:headerBytes])
	covered[offsetFlags] &^= flagBounced
	h := fnv.New32a()
	_, _ = h.Write([]byte(sumKey))
	_, _ = h.Write(covered)
	return max(h.Sum32(), 1)
}
