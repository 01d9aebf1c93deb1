package geneve

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/juju/errors"
	"zinniapulley.dev/core"
)

// Errors of an Encoder about its input.
const (
	// ErrNetwork: the virtual network identifier doesn't fit in 24 bits, or it
	// names no service where one is needed.
	ErrNetwork = errors.ConstError("virtual network identifier out of range")
	// ErrHops: the hop index or count is out of range, or a hop isn't IPv4.
	ErrHops = errors.ConstError("hops out of range")
	// ErrTooLong: the packet doesn't fit in a datagram.
	ErrTooLong = errors.ConstError("packet too long")
)

// Encoder encodes datagrams. It reuses its memory from one datagram to the next, so
// each goroutine needs its own.
type Encoder struct {
	buffer gopacket.SerializeBuffer
	geneve layers.Geneve
	option layers.GeneveOption
	route  [maxRouteData]byte
}

// NewEncoder returns an Encoder.
func NewEncoder() *Encoder {
	e := &Encoder{}
	e.buffer = gopacket.NewSerializeBufferExpectedSize(headerLen+MaxOptionsLen, MaxDatagram)
	e.geneve.Protocol = layers.EthernetTypeIPv4
	e.geneve.Options = make([]*layers.GeneveOption, 0, 1)
	return e
}

// EncodeFabric returns a datagram between the fabric and the system that carries an
// IPv4 packet. The datagram is valid until the next call. Its errors are
// ErrNetwork and ErrTooLong.
func (e *Encoder) EncodeFabric(network uint32, packet []byte) ([]byte, error) {
	e.geneve.CriticalOption = false
	e.geneve.Options = e.geneve.Options[:0]
	return e.encode(network, packet)
}

// EncodePeer returns a datagram between instances of the system. The datagram
// is valid until the next call. Its errors are ErrNetwork, ErrHops and
// ErrTooLong.
func (e *Encoder) EncodePeer(envelope *Envelope) ([]byte, error) {
	if envelope.Service == 0 {
		return nil, ErrNetwork
	}
	if !hopsValid(envelope) {
		return nil, ErrHops
	}
	length := putRoute(&e.route, envelope)
	e.option = layers.GeneveOption{Class: optionClass, Type: routeType, Data: e.route[:length]}
	e.geneve.CriticalOption = true
	e.geneve.Options = append(e.geneve.Options[:0], &e.option)
	return e.encode(uint32(envelope.Service), envelope.Inner.Packet)
}

func (e *Encoder) encode(network uint32, packet []byte) ([]byte, error) {
	if network > uint32(core.MaxServiceID) {
		return nil, ErrNetwork
	}
	if len(packet) > MaxDatagram-headerLen-MaxOptionsLen {
		return nil, ErrTooLong
	}
	err := e.buffer.Clear()
	if err != nil {
		return nil, errors.Trace(err)
	}
	payload, err := e.buffer.AppendBytes(len(packet))
	if err != nil {
		return nil, errors.Trace(err)
	}
	copy(payload, packet)
	e.geneve.VNI = network
	err = e.geneve.SerializeTo(e.buffer, gopacket.SerializeOptions{FixLengths: true})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return e.buffer.Bytes(), nil
}

func hopsValid(envelope *Envelope) bool {
	if envelope.HopCount > core.MaxHops || envelope.HopIndex >= envelope.HopCount {
		return false
	}
	if envelope.Entry.IsValid() && !isIPv4(envelope.Entry) {
		return false
	}
	for _, hop := range envelope.Hops[:envelope.HopCount] {
		if !isIPv4(hop) {
			return false
		}
	}
	return true
}

func isIPv4(addr netip.AddrPort) bool {
	return addr.Addr().Is4() && addr.Port() != 0
}
