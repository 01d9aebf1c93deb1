package geneve

import (
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"zinniapulley.dev/core"
)

// resetTTL is the time to live of a reset, in hops.
const resetTTL = 64

// Reset returns the IPv4 packet that answers a caller's packet with a TCP reset, as
// RFC 9293 section 3.10.7.1 specifies. It returns nil for a packet that is itself a
// reset, which gets no answer.
func Reset(inner Inner) ([]byte, error) {
	if inner.Flags.Has(core.TCPRst) {
		return nil, nil
	}
	ip := &layers.IPv4{
		Version:  4,
		TTL:      resetTTL,
		Protocol: layers.IPProtocolTCP,
		SrcIP:    inner.Key.Service.Addr().AsSlice(),
		DstIP:    inner.Key.Caller.Addr().AsSlice(),
	}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(inner.Key.Service.Port()),
		DstPort: layers.TCPPort(inner.Key.Caller.Port()),
		RST:     true,
	}
	setResetNumbers(tcp, inner)
	err := tcp.SetNetworkLayerForChecksum(ip)
	if err != nil {
		return nil, core.At("encode reset", core.Peer(inner.Key.Caller.String()), err)
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	err = gopacket.SerializeLayers(buffer, options, ip, tcp)
	return buffer.Bytes(), core.At("encode reset", core.Peer(inner.Key.Caller.String()), err)
}

// setResetNumbers sets the numbers that make the caller accept the reset: the
// sequence number that it acknowledged, or an acknowledgement of all that it sent.
func setResetNumbers(tcp *layers.TCP, inner Inner) {
	if inner.Flags.Has(core.TCPAck) {
		tcp.Seq = inner.Ack
		return
	}
	tcp.ACK = true
	tcp.Ack = inner.Seq + uint32(inner.PayloadLen)
	if inner.Flags.Has(core.TCPSyn) {
		tcp.Ack++
	}
	if inner.Flags.Has(core.TCPFin) {
		tcp.Ack++
	}
}
