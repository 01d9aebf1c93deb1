package tcpstack

import (
	"net/netip"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"zinniapulley.dev/core"
	"zinniapulley.dev/relay"
)

// parse reads the headers of an IPv4 packet, as if from a caller. It returns false
// if the packet isn't valid IPv4 with a whole TCP header.
func parse(packet []byte) (relay.Segment, bool) {
	ip := header.IPv4(packet)
	if !ip.IsValid(len(packet)) || ip.TransportProtocol() != header.TCPProtocolNumber {
		return relay.Segment{}, false
	}
	segment := header.TCP(ip.Payload())
	if len(segment) < header.TCPMinimumSize {
		return relay.Segment{}, false
	}
	return relay.Segment{
		Key: core.FlowKey{
			Caller:  addrPort(ip.SourceAddress(), segment.SourcePort()),
			Service: addrPort(ip.DestinationAddress(), segment.DestinationPort()),
		},
		Flags:  core.TCPFlags(segment.Flags()),
		Seq:    segment.SequenceNumber(),
		Ack:    segment.AckNumber(),
		Packet: packet,
	}, true
}

// flowKey returns the key of the flow with the stack's identifier id.
func flowKey(id stack.TransportEndpointID) core.FlowKey {
	return core.FlowKey{
		Caller:  addrPort(id.RemoteAddress, id.RemotePort),
		Service: addrPort(id.LocalAddress, id.LocalPort),
	}
}

// endpointID returns the stack's identifier of a flow.
func endpointID(key core.FlowKey) stack.TransportEndpointID {
	return stack.TransportEndpointID{
		LocalAddress:  tcpip.AddrFrom4(key.Service.Addr().As4()),
		LocalPort:     key.Service.Port(),
		RemoteAddress: tcpip.AddrFrom4(key.Caller.Addr().As4()),
		RemotePort:    key.Caller.Port(),
	}
}

func addrPort(addr tcpip.Address, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(addr.As4()), port)
}
