package traffic

import (
	"net/netip"

	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
)

// Codec is the format of the packets of a platform. It decides nothing.
type Codec interface {
	// FromCaller decodes a packet that a caller sent. The packet shares memory
	// with the datagram.
	FromCaller(datagram []byte) (passthrough.Packet, error)
	// FromServer decodes a packet that a backend server sent or gave back.
	FromServer(datagram []byte) (passthrough.Packet, error)
	// Restore makes a packet that was given back what it was before.
	Restore(datagram []byte)
	// Reset returns a reset of the flow, to be sent to the caller.
	Reset(key core.FlowKey, seq uint32) []byte
	// Request returns the identity of the request that begins in the packet; empty if
	// it names none. It is for the log alone.
	Request(datagram []byte) string
	// Caller returns the address to which packets for the caller are sent.
	Caller(key core.FlowKey) netip.AddrPort
}
