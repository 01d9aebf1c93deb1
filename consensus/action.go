package consensus

import "fmt"

// Action is what a core asks of its driver: one of the types below, by value.
type Action interface{ isAction() }

// Persist asks for state to be stored and synced, then reported by Persisted.
// The parts are stored in the order of the fields.
type Persist struct {
	Sequence Sequence
	// HardState replaces the stored one; nil leaves it.
	HardState *HardState
	// Snapshot replaces the stored one; nil leaves it. Entries up to its index
	// are no longer needed.
	Snapshot *Snapshot
	// Reset says that all stored entries are void, with a Snapshot only.
	Reset bool
	// Entries replace the stored entries from the first one's index on.
	Entries []Entry
	// Commit is how far the log is known to be committed. It is a hint: a member
	// that starts again applies up to it before it hears of a leader.
	Commit Index
}

// Send asks for a message to be sent. It may be dropped.
type Send struct{ Message Message }

// Apply hands committed entries to the state machine, in order, each once in a
// run of the core.
type Apply struct{ Entries []Entry }

// Restore replaces the state machine by a snapshot.
type Restore struct{ Snapshot Snapshot }

// Committed answers a proposal or membership change: it is committed at Index and
// has been handed out by Apply.
type Committed struct {
	Tag   Tag
	Index Index
}

// Refused answers a proposal, a membership change or a read.
type Refused struct {
	Tag     Tag
	Refusal Refusal
}

// ReadReady answers a ReadBarrier: the state machine, as it is after all actions
// before this one, holds all that was accepted before the read was asked.
type ReadReady struct {
	Tag   Tag
	Index Index
}

// RoleChanged tells of a new role, term or leader, for logs and clients.
type RoleChanged struct {
	Role   Role
	Term   Term
	Leader MemberID
	Cause  string
}

// MessageDropped tells of a message that was not taken, for logs and counters.
type MessageDropped struct {
	From   MemberID
	Reason DropReason
}

// Removed says that a committed change has removed this member from the group.
type Removed struct{ By MemberID }

func (Persist) isAction()        {}
func (Send) isAction()           {}
func (Apply) isAction()          {}
func (Restore) isAction()        {}
func (Committed) isAction()       {}
func (Refused) isAction()        {}
func (ReadReady) isAction()      {}
func (RoleChanged) isAction()    {}
func (MessageDropped) isAction() {}
func (Removed) isAction()        {}

// DropReason says why a message was not taken.
type DropReason uint8

const (
	// DropWrongAddressee is a message for another member or incarnation.
	DropWrongAddressee DropReason = iota + 1
	// DropNotMember is a message from one that is no member, or no longer.
	DropNotMember
	// DropBusy is a message that came while too much waited for the disk.
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

// RefusalReason says why a proposal, change or read was refused.
type RefusalReason uint8

const (
	// RefusedNotLeader: another member leads, or none. Nothing was done.
	RefusedNotLeader RefusalReason = iota + 1
	// RefusedBusy: too many are waiting. Nothing was done.
	RefusedBusy
	// RefusedNotReady: the leader has not yet committed in its term, or hands
	// over. Nothing was done.
	RefusedNotReady
	// RefusedOutcomeUnknown: leadership was lost after the entry was logged. It
	// may be accepted yet.
	RefusedOutcomeUnknown
	// RefusedChangePending: the last membership change is not committed.
	RefusedChangePending
	// RefusedAlreadyMember: the member to add is a member.
	RefusedAlreadyMember
	// RefusedNotMember: the member to remove is none, or was removed before.
	RefusedNotMember
	// RefusedLeaderRemoval: the leader can't remove itself.
	RefusedLeaderRemoval
	// RefusedNoQuorum: too few voters of the membership that the change makes
	// were heard of lately.
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

// Refusal is the typed answer to what a core doesn't do.
type Refusal struct {
	Reason RefusalReason
	// Leader is who leads, as far as known.
	Leader Member
}

// Error returns the reason and the leader's name, if known.
func (r Refusal) Error() string {
	if r.Leader.ID == (MemberID{}) {
		return r.Reason.String()
	}
	return fmt.Sprintf("%s (leader is %s)", r.Reason, r.Leader.ID)
}
