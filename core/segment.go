package core

import "strings"

// TCPFlags holds the control bits of a TCP segment, in the order of the header.
type TCPFlags uint8

// The control bits of a TCP segment.
const (
	TCPFin TCPFlags = 1 << iota
	TCPSyn
	TCPRst
	TCPPsh
	TCPAck
)

// Has reports whether all the given bits are set.
func (f TCPFlags) Has(bits TCPFlags) bool {
	return f&bits == bits
}

// Opens reports whether the segment opens a new flow: SYN without ACK.
func (f TCPFlags) Opens() bool {
	return f&(TCPSyn|TCPAck) == TCPSyn
}

var flagNames = [...]string{"FIN", "SYN", "RST", "PSH", "ACK"}

// String returns the names of the bits, for example "SYN|ACK".
func (f TCPFlags) String() string {
	var names []string
	for i, name := range flagNames {
		if f&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, "|")
}
