package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

const (
	headLen     = 36
	flagReset   = 2
	flagAck     = 4
	flagSyn     = 16
	flagFin     = 32
	flagBounced = 128
)

// packet is one packet of a flow.
type packet struct {
	from, to netip.AddrPort
	flags    byte
	seq, ack uint32
	data     []byte
}

func (p packet) has(flags byte) bool { return p.flags&flags == flags }

// opens reports whether the packet requests a new flow.
func (p packet) opens() bool { return p.flags&(flagSyn|flagAck) == flagSyn }

// encode returns the datagram of a packet, with its keyed sum.
func (p packet) encode() []byte {
	d := make([]byte, headLen, headLen+len(p.data))
	binary.BigEndian.PutUint16(d[0:], uint16(len(p.data)))
	from, to := p.from.Addr().As4(), p.to.Addr().As4()
	copy(d[6:], from[:])
	binary.BigEndian.PutUint16(d[10:], p.to.Port())
	binary.BigEndian.PutUint16(d[12:], p.from.Port())
	copy(d[14:], to[:])
	binary.BigEndian.PutUint32(d[22:], p.seq)
	binary.BigEndian.PutUint32(d[26:], p.ack)
	d[30] = p.flags
	d = append(d, p.data...)
	binary.BigEndian.PutUint32(d[18:], sumOf(d))
	return d
}

// decode returns the packet of a datagram and whether its sum is right.
func decode(d []byte) (packet, bool) {
	if len(d) < headLen || int(binary.BigEndian.Uint16(d)) != len(d)-headLen {
		return packet{}, false
	}
	address := func(at, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(d[at:at+4])), binary.BigEndian.Uint16(d[port:]))
	}
	p := packet{
		from: address(6, 12), to: address(14, 10), flags: d[30],
		seq: binary.BigEndian.Uint32(d[22:]), ack: binary.BigEndian.Uint32(d[26:]), data: append([]byte(nil), d[headLen:]...),
	}
	return p, binary.BigEndian.Uint32(d[18:]) == sumOf(d)
}

// sumOf covers all fields but the sum, those that the system may use, and the mark of
// returned packets.
func sumOf(d []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("key of callers and servers"))
	_, _ = h.Write(d[0:2])
	_, _ = h.Write(d[6:18])
	_, _ = h.Write(d[22:30])
	_, _ = h.Write([]byte{d[30] &^ flagBounced})
	_, _ = h.Write(d[headLen:])
	return h.Sum32()
}
