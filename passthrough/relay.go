package passthrough

import "net/netip"

// Relay has a companion, the conductor, pass copies of a caller's packet to others whose
// records can't tell whether they hold the packet's flow. The conductor answers with a
// SurveyResult. An entry instance sends it only to companions whose status has Relays set.
type Relay struct {
	// Number identifies the relay at the entry instance.
	Number uint32
	Ask    []netip.AddrPort
	// Packet is the caller's packet as the entry instance received it.
	Packet []byte
}

// RelayedCopy is a copy of the packet of a Relay. A companion that doesn't hold the flow
// answers to the conductor with the number, the holder with a note to the entry instance.
type RelayedCopy struct {
	// Number identifies the relay at its conductor.
	Number uint32
	Entry  netip.AddrPort
	Packet []byte
}
