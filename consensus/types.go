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

// Incarnation tells one life of an instance's data folder from the next. It is
// random and never zero.
type Incarnation uint64

// Sequence numbers the Persist actions of one run of a core.
type Sequence uint64

// Tag is the driver's name for a proposal, a membership change or a read.
type Tag uint64

// MemberID names a member: an instance and the incarnation of its folder. The
// zero value names nobody.
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

// EntryKind says what an entry carries.
type EntryKind uint8

const (
	// EntryCommand carries a command of the state machine.
	EntryCommand EntryKind = iota + 1
	// EntryEmpty opens a leader's term and carries nothing.
	EntryEmpty
	// EntryMembership carries the membership from this entry on.
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

// HardState is what a member must not forget over a restart, besides its log.
type HardState struct {
	Term Term
	// Vote is whom the member voted for in Term; the zero value is nobody.
	Vote MemberID
}

// Snapshot is the state machine at an index, in place of the log up to there.
type Snapshot struct {
	Index      Index
	Term       Term
	Membership Membership
	State      []byte
}

// Stored is what a data folder holds: the parts of all synced Persist actions.
type Stored struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
	// Commit is the highest Commit of the actions.
	Commit Index
}

// Bootstrap returns the stored state of a new group whose only voter is the
// given member. It must be used once in the life of a deployment; the driver
// stores it before it builds a core from it.
func Bootstrap(first Member) Stored {
	return NewGroup([]Member{first})
}

// NewGroup returns the stored state with which each of the given voters starts a
// new group. All must start with the same list, and none of them may have taken
// part in a group under the same identity before.
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
