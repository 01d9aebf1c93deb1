package flow

// DropReason says why a packet is dropped.
type DropReason uint8

const (
	// DropNone means that the packet is not dropped.
	DropNone DropReason = iota
	// DropNotIPv4 is a packet whose addresses are not IPv4.
	DropNotIPv4
	// DropUnknownService is a packet to an address that no service has.
	DropUnknownService
	// DropNoCandidate is a packet to a service without a reachable candidate.
	DropNoCandidate
	// DropWrongService is a packet that reached the companion of a backend
	// server of another service.
	DropWrongService
	// DropBadHops is a packet whose candidate list or hop index is invalid.
	DropBadHops
	// DropLeaseUnconfirmed is a packet that arrived while it was not confirmed that the
	// own data centre is in.
	DropLeaseUnconfirmed
	// DropHalfOpen is a packet that a half-open flow can't yet judge.
	DropHalfOpen
	// DropUnmatchedReset is a reset of a flow that nobody has. It gets no answer.
	DropUnmatchedReset
	// DropDataCentreOut is a packet at an instance whose own data centre is
	// out.
	DropDataCentreOut
	// DropViewBehind is a SYN that no candidate took while the last one still
	// had an older view than the packet; the caller's retry finds it caught up.
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
