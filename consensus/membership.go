package consensus

import (
	"net/netip"
	"slices"
)

// maxRemoved is the maximum length of Membership.Removed.
const maxRemoved = 64

// MemberRole determines whether a member counts toward quorums.
type MemberRole uint8

const (
	// RoleVoter counts toward the quorum of elections and commits.
	RoleVoter MemberRole = iota + 1
	// RoleLearner receives the log but doesn't count toward quorums.
	RoleLearner
)

// String returns the role's name.
func (r MemberRole) String() string {
	switch r {
	case RoleVoter:
		return "voter"
	case RoleLearner:
		return "learner"
	default:
		return "unknown"
	}
}

// Member is one member of the group.
type Member struct {
	ID MemberID
	// Address is where peers reach the member's driver.
	Address netip.AddrPort
	Role    MemberRole
	// Replacing marks a learner whose older incarnation has been removed. It becomes
	// a voter with the next change.
	Replacing bool
}

// Membership lists the members of the group, ordered by ID. It is immutable.
type Membership struct {
	Members []Member
	// Removed lists the most recently removed members, the latest at the end.
	Removed []MemberID
}

// Find returns the member with the given ID.
func (m Membership) Find(id MemberID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id MemberID) bool {
	member, ok := m.Find(id)
	return ok && member.Role == RoleVoter
}

// WasRemoved reports whether id is among the most recently removed members.
func (m Membership) WasRemoved(id MemberID) bool {
	return slices.Contains(m.Removed, id)
}

// Voters returns the IDs of the voters in order.
func (m Membership) Voters() []MemberID {
	var voters []MemberID
	for _, member := range m.Members {
		if member.Role == RoleVoter {
			voters = append(voters, member.ID)
		}
	}
	return voters
}

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int {
	return len(m.Voters())/2 + 1
}

// otherVoter returns the voter that is another incarnation of id's instance.
func (m Membership) otherVoter(id MemberID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID.Instance == id.Instance && member.ID != id && member.Role == RoleVoter {
			return member, true
		}
	}
	return Member{}, false
}

// withLearner returns the membership with the learner added. It replaces a learner
// that is another incarnation of the same instance.
func (m Membership) withLearner(id MemberID, address netip.AddrPort) Membership {
	next := m
	learner := Member{ID: id, Address: address, Role: RoleLearner}
	for _, member := range m.Members {
		if member.ID.Instance == id.Instance && member.Role == RoleLearner {
			learner.Replacing = member.Replacing
			next = next.without(member.ID)
		}
	}
	return next.with(learner)
}

// with returns the membership with the member added or updated.
func (m Membership) with(member Member) Membership {
	members := slices.DeleteFunc(slices.Clone(m.Members), func(other Member) bool { return other.ID == member.ID })
	members = append(members, member)
	slices.SortFunc(members, func(a, b Member) int { return compareMembers(a.ID, b.ID) })
	return Membership{Members: members, Removed: m.Removed}
}

// without returns the membership with the member moved to Removed.
func (m Membership) without(id MemberID) Membership {
	members := slices.DeleteFunc(slices.Clone(m.Members), func(other Member) bool { return other.ID == id })
	removed := append(slices.Clone(m.Removed), id)
	if len(removed) > maxRemoved {
		removed = removed[len(removed)-maxRemoved:]
	}
	return Membership{Members: members, Removed: removed}
}
