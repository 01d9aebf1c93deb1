package traffic

import (
	"net/netip"

	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
)

// Codec encodes and decodes a platform's packets. It makes no decisions.
type Codec interface {
	// FromCaller decodes a packet that a caller sent. The packet shares memory
	// with the datagram.
	FromCaller(datagram []byte) (passthrough.Packet, error)
	// FromServer decodes a packet that a backend server sent or returned.
	FromServer(datagram []byte) (passthrough.Packet, error)
	// Restore turns a packet that a backend server returned into the original again.
	Restore(datagram []byte)
	// Reset returns a TCP reset of the flow for the caller.
	Reset(key core.FlowKey, seq uint32) []byte
	// Request returns the identity of the request that begins in the packet, empty if
	// it has none. It is only logged.
	Request(datagram []byte) string
	// Caller returns the address for packets to the caller of the flow.
	Caller(key core.FlowKey) netip.AddrPort
}
