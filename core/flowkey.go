package core

import (
	"net/netip"
)

// FlowKey identifies a TCP flow by both of its ends. Addresses are IPv4.
type FlowKey struct {
	// Caller is the caller's address and port.
	Caller netip.AddrPort
	// Service is the service's address and port.
	Service netip.AddrPort
}

// String returns "caller>service".
func (k FlowKey) String() string {
	return k.Caller.String() + ">" + k.Service.String()
}
