package consensus

import "fmt"

// Action is an output of a core, for its driver to carry out: a type below, by value.
type Action interface{ isAction() }

// Persist stores and syncs state, which the driver then reports by Persisted.
// The parts are stored in the order of the fields.
type Persist struct {
	Sequence Sequence
	// HardState replaces the stored one; nil keeps it.
	HardState *HardState
	// Snapshot replaces the stored one; nil keeps it. Entries up to its index
	// are no longer needed.
	Snapshot *Snapshot
	// Reset discards all stored entries. It is set only together with Snapshot.
	Reset bool
	// Entries replace the stored entries from the index of the first one on.
	Entries []Entry
	// Commit is the known commit index. It is a hint: after a restart a member
	// applies the log up to it before it has contact with a leader.
	Commit Index
}

// Send sends a message, which may be dropped.
type Send struct{ Message Message }

// Apply passes committed entries to the state machine, in order, each once per core.
type Apply struct{ Entries []Entry }

// Restore replaces the state machine's state by a snapshot.
type Restore struct{ Snapshot Snapshot }

// Committed answers a proposal or membership change: it is committed at Index and
// has been passed to the driver by Apply.
type Committed struct {
	Tag   Tag
	Index Index
}

// Refused answers a proposal, a membership change or a read.
type Refused struct {
	Tag     Tag
	Refusal Refusal
}

// ReadReady answers a ReadBarrier: once all earlier actions are carried out, the
// state machine has applied everything committed before the ReadBarrier.
type ReadReady struct {
	Tag   Tag
	Index Index
}

// RoleChanged reports a new role, term or leader, for logs and clients.
type RoleChanged struct {
	Role   Role
	Term   Term
	Leader MemberID
	Cause  string
}

// MessageDropped reports a message that was not processed, for logs and counters.
type MessageDropped struct {
	From   MemberID
	Reason DropReason
}

// Removed reports that a committed change has removed this member from the group.
type Removed struct{ By MemberID }

func (Persist) isAction()        {}
func (Send) isAction()           {}
func (Apply) isAction()          {}
func (Restore) isAction()        {}
func (Committed) isAction()      {}
func (Refused) isAction()        {}
func (ReadReady) isAction()      {}
func (RoleChanged) isAction()    {}
func (MessageDropped) isAction() {}
func (Removed) isAction()        {}

// DropReason is why a message was not processed.
type DropReason uint8

const (
	// DropWrongAddressee is a message for another member or incarnation.
	DropWrongAddressee DropReason = iota + 1
	// DropNotMember is a message from a sender that is not a member, or no longer.
	DropNotMember
	// DropBusy is a message dropped because too many messages wait for the disk.
	DropBusy
)

// String returns the reason in words.
func (r DropReason) String() string {
	switch r {
	case DropWrongAddressee:
		return "addressed to another incarnation"
	case DropNotMember:
		return "sender is not a member"
	case DropBusy:
		return "too much waits for the disk"
	default:
		return "unknown"
	}
}

// RefusalReason is why a proposal, membership change or read was refused.
type RefusalReason uint8

const (
	// RefusedNotLeader: this member isn't the leader. Nothing was done.
	RefusedNotLeader RefusalReason = iota + 1
	// RefusedBusy: too many proposals or reads are pending. Nothing was done.
	RefusedBusy
	// RefusedNotReady: the leader has no committed entry of its term yet, or is
	// transferring leadership. Nothing was done.
	RefusedNotReady
	// RefusedOutcomeUnknown: leadership was lost after the entry was appended. It
	// may still be committed.
	RefusedOutcomeUnknown
	// RefusedChangePending: the last membership change is not committed.
	RefusedChangePending
	// RefusedAlreadyMember: the member to add is already a member.
	RefusedAlreadyMember
	// RefusedNotMember: no such member to remove, or the one to add was removed before.
	RefusedNotMember
	// RefusedLeaderRemoval: the leader can't remove itself.
	RefusedLeaderRemoval
	// RefusedNoQuorum: the leader had no contact with a quorum of the new membership
	// within the election timeout.
	RefusedNoQuorum
)

// String returns the reason in words.
func (r RefusalReason) String() string {
	switch r {
	case RefusedNotLeader:
		return "not the leader"
	case RefusedBusy:
		return "too many are waiting"
	case RefusedNotReady:
		return "the leader is not ready"
	case RefusedOutcomeUnknown:
		return "leadership was lost, outcome unknown"
	case RefusedChangePending:
		return "another membership change is not committed yet"
	case RefusedAlreadyMember:
		return "is a member already"
	case RefusedNotMember:
		return "is not a member"
	case RefusedLeaderRemoval:
		return "the leader can't remove itself"
	case RefusedNoQuorum:
		return "too few voters would be reachable after the change"
	default:
		return "unknown"
	}
}

// Refusal is the error returned for a refused proposal, membership change or read.
type Refusal struct {
	Reason RefusalReason
	// Leader is the leader; the zero value if unknown.
	Leader Member
}

// Error returns the reason and the leader's ID, if known.
func (r Refusal) Error() string {
	if r.Leader.ID == (MemberID{}) {
		return r.Reason.String()
	}
	return fmt.Sprintf("%s (leader is %s)", r.Reason, r.Leader.ID)
}
