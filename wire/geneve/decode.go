package geneve

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"zinniapulley.dev/core"
)

// Decoder decodes datagrams. It reuses its memory from one datagram to the next, so
// each goroutine needs its own. The zero value is ready for use.
type Decoder struct {
	geneve    layers.Geneve
	ip        layers.IPv4
	tcp       layers.TCP
	truncated truncation
}

// truncation records whether a layer found its data truncated.
type truncation bool

// SetTruncated implements gopacket.DecodeFeedback.
func (t *truncation) SetTruncated() {
	*t = true
}

// DecodeFabric decodes a datagram that carries a caller's packet from the
// fabric to an entry instance. Its errors are of type Drop.
func (d *Decoder) DecodeFabric(datagram []byte) (Fabric, error) {
	err := d.decodeGeneve(datagram)
	if err != nil {
		return Fabric{}, err
	}
	inner, err := d.decodeInner(d.geneve.Payload)
	if err != nil {
		return Fabric{}, err
	}
	return Fabric{Network: d.geneve.VNI, Inner: inner}, nil
}

// DecodeAnswer decodes a datagram that carries a packet for a caller from the
// system to the fabric: the inner packet's source is the service. Its errors are of
// type Drop.
func (d *Decoder) DecodeAnswer(datagram []byte) (Fabric, error) {
	answer, err := d.DecodeFabric(datagram)
	if err != nil {
		return Fabric{}, err
	}
	key := answer.Inner.Key
	answer.Inner.Key = core.FlowKey{Caller: key.Service, Service: key.Caller}
	return answer, nil
}

// DecodePeer decodes a datagram that carries a caller's packet from an entry
// instance or a companion to a companion. Its errors are of type Drop.
func (d *Decoder) DecodePeer(datagram []byte) (Envelope, error) {
	var e Envelope
	err := d.decodeGeneve(datagram)
	if err != nil {
		return Envelope{}, err
	}
	if d.geneve.VNI == 0 {
		return Envelope{}, DropNetwork
	}
	e.Service = core.ServiceID(d.geneve.VNI)
	err = d.decodeRoute(&e)
	if err != nil {
		return Envelope{}, err
	}
	e.Inner, err = d.decodeInner(d.geneve.Payload)
	if err != nil {
		return Envelope{}, err
	}
	return e, nil
}

// decodeGeneve decodes the Geneve header and checks everything except the route
// option.
func (d *Decoder) decodeGeneve(datagram []byte) error {
	if len(datagram) < headerLen {
		return DropTruncated
	}
	// The library counts option bytes in 8 bits, so the length is checked before it
	// decodes.
	optionsLen := int(datagram[0]&0x3f) * 4
	if optionsLen > MaxOptionsLen {
		return DropOptionsLength
	}
	d.truncated = false
	err := d.geneve.DecodeFromBytes(datagram, &d.truncated)
	if err != nil {
		return d.reason(DropOptionsLength)
	}
	if d.geneve.Version != 0 {
		return DropGeneveVersion
	}
	if len(d.geneve.Contents) != headerLen+optionsLen {
		return DropOptionsLength
	}
	if d.geneve.Protocol != layers.EthernetTypeIPv4 || d.geneve.OAMPacket {
		return DropProtocol
	}
	return d.checkOptions()
}

// checkOptions rejects critical options other than the route option.
func (d *Decoder) checkOptions() error {
	for _, option := range d.geneve.Options {
		if isRoute(option) {
			continue
		}
		if option.Type&criticalBit != 0 {
			return DropCriticalOption
		}
	}
	return nil
}

// decodeRoute finds the one route option and reads it into e.
func (d *Decoder) decodeRoute(e *Envelope) error {
	found := false
	for _, option := range d.geneve.Options {
		if !isRoute(option) {
			continue
		}
		if found {
			return DropRouteOption
		}
		found = true
		err := readRoute(option.Data, e)
		if err != nil {
			return err
		}
	}
	if !found {
		return DropRouteOption
	}
	return nil
}

func isRoute(option *layers.GeneveOption) bool {
	return option.Class == optionClass && option.Type == routeType
}

// DecodePacket decodes an IPv4 packet from a caller to a service. Its errors are of
// type Drop.
func (d *Decoder) DecodePacket(packet []byte) (Inner, error) {
	return d.decodeInner(packet)
}

// decodeInner decodes the IPv4 and TCP headers of a caller's packet.
func (d *Decoder) decodeInner(packet []byte) (Inner, error) {
	err := d.decodeIPv4(packet)
	if err != nil {
		return Inner{}, err
	}
	d.truncated = false
	err = d.tcp.DecodeFromBytes(d.ip.Payload, &d.truncated)
	if err != nil {
		return Inner{}, d.reason(DropTCPHeader)
	}
	return Inner{
		Key: core.FlowKey{
			Caller:  addrPort(d.ip.SrcIP, d.tcp.SrcPort),
			Service: addrPort(d.ip.DstIP, d.tcp.DstPort),
		},
		Flags:      flags(&d.tcp),
		Seq:        d.tcp.Seq,
		Ack:        d.tcp.Ack,
		PayloadLen: len(d.tcp.Payload),
		Packet:     packet[:d.ip.Length],
	}, nil
}

// decodeIPv4 decodes the IPv4 header and checks that the packet is an unfragmented
// TCP packet.
func (d *Decoder) decodeIPv4(packet []byte) error {
	d.truncated = false
	err := d.ip.DecodeFromBytes(packet, &d.truncated)
	if err != nil {
		return d.reason(DropIPv4Header)
	}
	if d.truncated {
		return DropTruncated
	}
	// The library accepts a length of zero and replaces it by the packet's.
	if d.ip.Version != 4 || int(d.ip.Length) != len(d.ip.Contents)+len(d.ip.Payload) {
		return DropIPv4Header
	}
	if packet[2] == 0 && packet[3] == 0 {
		return DropIPv4Header
	}
	if gopacket.FoldChecksum(gopacket.ComputeChecksum(d.ip.Contents, 0)) != 0 {
		return DropIPv4Checksum
	}
	if d.ip.Flags&layers.IPv4MoreFragments != 0 || d.ip.FragOffset != 0 {
		return DropFragment
	}
	if d.ip.Protocol != layers.IPProtocolTCP {
		return DropNotTCP
	}
	return nil
}

// reason returns DropTruncated if the last layer was truncated, and other if not.
func (d *Decoder) reason(other Drop) Drop {
	if d.truncated {
		return DropTruncated
	}
	return other
}

func addrPort(ip []byte, port layers.TCPPort) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip)), uint16(port))
}

func flags(tcp *layers.TCP) core.TCPFlags {
	var f core.TCPFlags
	if tcp.FIN {
		f |= core.TCPFin
	}
	if tcp.SYN {
		f |= core.TCPSyn
	}
	if tcp.RST {
		f |= core.TCPRst
	}
	if tcp.PSH {
		f |= core.TCPPsh
	}
	if tcp.ACK {
		f |= core.TCPAck
	}
	return f
}
