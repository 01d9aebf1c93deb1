package flow

// DropReason is why a packet is dropped.
type DropReason uint8

const (
	// DropNone means that the packet is not dropped.
	DropNone DropReason = iota
	// DropNotIPv4 is a packet whose addresses are not IPv4.
	DropNotIPv4
	// DropUnknownService is a packet to an address that no service has.
	DropUnknownService
	// DropNoCandidate is a packet to a service without reachable candidates.
	DropNoCandidate
	// DropWrongService is a packet that reached the companion of a backend
	// server of another service.
	DropWrongService
	// DropBadHops is a packet whose candidate list or hop index is invalid.
	DropBadHops
	// DropLeaseUnconfirmed is a packet that arrived while it was not confirmed
	// that the own data centre is in service, or before the first view.
	DropLeaseUnconfirmed
	// DropHalfOpen is a packet of a half-open flow whose SYN-ACK has not been
	// sent, so that it can neither confirm the flow nor be refused.
	DropHalfOpen
	// DropUnmatchedReset is a reset of a flow that no companion holds. It is not
	// answered.
	DropUnmatchedReset
	// DropDataCentreOut is a packet at an instance whose own data centre is out
	// of service.
	DropDataCentreOut
	// DropViewBehind is a SYN that no candidate admitted while the last one had
	// an older view than the packet. By the caller's retransmission the view
	// should have caught up.
	DropViewBehind

	// DropReasonCount is the number of reasons, for arrays of counters.
	DropReasonCount
)

var dropReasonNames = [DropReasonCount]string{
	"none", "not IPv4", "unknown service", "no candidate", "wrong service", "bad hops",
	"held", "unconfirmed", "stray reset", "data centre out", "view behind",
}

// String returns the reason in words.
func (r DropReason) String() string {
	if r >= DropReasonCount {
		return "unknown"
	}
	return dropReasonNames[r]
}
