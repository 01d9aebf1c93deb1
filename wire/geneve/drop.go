package geneve

// Drop is the reason why a datagram was rejected. It is an error without
// allocation, so that a flood of invalid datagrams costs no memory, and an index
// for counters: values are from 0 to DropCount-1.
type Drop uint8

// The reasons why a datagram is rejected.
const (
	// DropTruncated: the datagram ends before a header or a length it states.
	DropTruncated Drop = iota
	// DropGeneveVersion: the Geneve version isn't 0.
	DropGeneveVersion
	// DropOptionsLength: the Geneve options are longer than MaxOptionsLen or
	// don't end where the header states.
	DropOptionsLength
	// DropCriticalOption: a critical Geneve option is unknown.
	DropCriticalOption
	// DropProtocol: the Geneve payload isn't IPv4, or it is a control message.
	DropProtocol
	// DropRouteOption: the route option is missing, repeated or malformed.
	DropRouteOption
	// DropNetwork: the virtual network identifier names no service.
	DropNetwork
	// DropIPv4Header: the inner IPv4 header is malformed.
	DropIPv4Header
	// DropIPv4Checksum: the checksum of the inner IPv4 header is wrong.
	DropIPv4Checksum
	// DropFragment: the inner IPv4 packet is a fragment.
	DropFragment
	// DropNotTCP: the inner IPv4 packet isn't TCP.
	DropNotTCP
	// DropTCPHeader: the inner TCP header is malformed.
	DropTCPHeader

	// DropCount is the number of reasons.
	DropCount
)

var dropNames = [DropCount]string{
	DropTruncated:      "truncated",
	DropGeneveVersion:  "geneve version",
	DropOptionsLength:  "geneve options length",
	DropCriticalOption: "unknown critical option",
	DropProtocol:       "geneve protocol",
	DropRouteOption:    "route option",
	DropNetwork:        "virtual network identifier",
	DropIPv4Header:     "ipv4 header",
	DropIPv4Checksum:   "ipv4 checksum",
	DropFragment:       "ipv4 fragment",
	DropNotTCP:         "not tcp",
	DropTCPHeader:      "tcp header",
}

// Error returns the reason's name.
func (d Drop) Error() string {
	if d >= DropCount {
		return "unknown"
	}
	return dropNames[d]
}
