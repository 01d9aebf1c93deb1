package geneve

import (
	"encoding/binary"
	"net/netip"

	"zinniapulley.dev/core"
)

// The route option's data: revision (8 bytes), hop index (1), hop count (1),
// zero (2), entry (8: address, port, zero), then each hop (8: the same).
const (
	hopIndexAt   = 8
	hopCountAt   = 9
	entryAt      = 12
	hopsAt       = entryAt + addrPortLen
	addrPortLen  = 8
	maxRouteData = hopsAt + core.MaxHops*addrPortLen
)

// putRoute writes the route option's data and returns its length in bytes.
func putRoute(data *[maxRouteData]byte, e *Envelope) int {
	*data = [maxRouteData]byte{}
	binary.BigEndian.PutUint64(data[:], uint64(e.Revision))
	data[hopIndexAt] = e.HopIndex
	data[hopCountAt] = e.HopCount
	putAddrPort(data[entryAt:], e.Entry)
	end := hopsAt
	for _, hop := range e.Hops[:e.HopCount] {
		putAddrPort(data[end:], hop)
		end += addrPortLen
	}
	return end
}

// readRoute reads the route option's data into e.
func readRoute(data []byte, e *Envelope) error {
	if len(data) < hopsAt {
		return DropRouteOption
	}
	e.Revision = core.Revision(binary.BigEndian.Uint64(data))
	e.HopIndex = data[hopIndexAt]
	e.HopCount = data[hopCountAt]
	if e.HopCount > core.MaxHops || e.HopIndex >= e.HopCount {
		return DropRouteOption
	}
	if len(data) != hopsAt+int(e.HopCount)*addrPortLen {
		return DropRouteOption
	}
	e.Entry = readAddrPort(data[entryAt:])
	for i := range e.Hops[:e.HopCount] {
		e.Hops[i] = readAddrPort(data[hopsAt+i*addrPortLen:])
		if !e.Hops[i].IsValid() {
			return DropRouteOption
		}
	}
	return nil
}

// putAddrPort writes an IPv4 address and port; an invalid one becomes zeros.
func putAddrPort(data []byte, addr netip.AddrPort) {
	if !addr.IsValid() {
		return
	}
	ip := addr.Addr().As4()
	copy(data, ip[:])
	binary.BigEndian.PutUint16(data[4:], addr.Port())
}

// readAddrPort reads an IPv4 address and port; port zero gives an invalid one.
func readAddrPort(data []byte) netip.AddrPort {
	port := binary.BigEndian.Uint16(data[4:])
	if port == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(data[:4])), port)
}
