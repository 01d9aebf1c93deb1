package consensus

import (
	"cmp"
	"fmt"

	"zinniapulley.dev/core"
)

// Term numbers an election. At most one leader is elected in a term.
type Term uint64

// Index numbers an entry of the log. The first entry has index 1.
type Index uint64

// Incarnation identifies one lifetime of an instance's data folder. It is random
// and never zero.
type Incarnation uint64

// Sequence numbers the Persist actions of a core, starting anew with each core.
type Sequence uint64

// Tag is the driver's ID for a proposal, a membership change or a read.
type Tag uint64

// MemberID identifies a member: an instance and the incarnation of its data
// folder. The zero value means no member.
type MemberID struct {
	Instance    core.InstanceID
	Incarnation Incarnation
}

// String returns "instance/incarnation", the incarnation in hexadecimal.
func (id MemberID) String() string {
	return fmt.Sprintf("%s/%x", id.Instance, uint64(id.Incarnation))
}

// compareMembers orders members by instance, then by incarnation.
func compareMembers(a, b MemberID) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
}

// EntryKind is the type of an entry's content.
type EntryKind uint8

const (
	// EntryCommand carries a command of the state machine.
	EntryCommand EntryKind = iota + 1
	// EntryEmpty is the no-op entry that a leader appends at the start of its term.
	EntryEmpty
	// EntryMembership carries the membership in force from this entry on.
	EntryMembership
)

// Entry is one entry of the log. It is immutable once it is in a log.
type Entry struct {
	Index      Index
	Term       Term
	Kind       EntryKind
	Command    []byte
	Membership Membership
}

// HardState is the state, besides the log, that must survive a restart.
type HardState struct {
	Term Term
	// Vote is the candidate that the member voted for in Term; zero for none.
	Vote MemberID
}

// Snapshot is the state machine's state at Index. It replaces the log up to there.
type Snapshot struct {
	Index      Index
	Term       Term
	Membership Membership
	State      []byte
}

// Stored is the content of a data folder: the result of all synced Persist actions.
type Stored struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
	// Commit is the highest Commit of those actions.
	Commit Index
}

// Bootstrap returns the stored state of a new group whose only voter is the
// given member. It must be used at most once per deployment; the driver stores the
// state before it builds a core from it.
func Bootstrap(first Member) Stored {
	return NewGroup([]Member{first})
}

// NewGroup returns the stored state with which each of the given voters starts a
// new group. All must start with the same list, and none of them may have been a
// member of a group under the same MemberID before.
func NewGroup(voters []Member) Stored {
	membership := Membership{}
	for _, voter := range voters {
		voter.Role = RoleVoter
		membership = membership.with(voter)
	}
	return Stored{
		HardState: HardState{Term: 1},
		Snapshot:  Snapshot{Index: 1, Term: 1, Membership: membership},
	}
}
