package consensus

// addMember appends a membership with the new learner, or refuses.
func (c *Core) addMember(e AddMember) {
	membership := c.log.membership()
	_, member := membership.Find(e.ID)
	switch {
	case c.refusesChange(e.Tag):
	case member:
		c.refuse(e.Tag, RefusedAlreadyMember)
	case membership.WasRemoved(e.ID):
		c.refuse(e.Tag, RefusedNotMember)
	default:
		c.propose(e.Tag, Entry{Kind: EntryMembership, Membership: membership.withLearner(e.ID, e.Address)})
	}
}

// removeMember appends a membership without the member, or refuses.
func (c *Core) removeMember(e RemoveMember) {
	membership := c.log.membership()
	_, member := membership.Find(e.ID)
	next := membership.without(e.ID)
	switch {
	case c.refusesChange(e.Tag):
	case !member:
		c.refuse(e.Tag, RefusedNotMember)
	case e.ID == c.config.Self:
		c.refuse(e.Tag, RefusedLeaderRemoval)
	case !c.hasActiveQuorum(next):
		c.refuse(e.Tag, RefusedNoQuorum)
	default:
		c.propose(e.Tag, Entry{Kind: EntryMembership, Membership: next})
	}
}

// refusesChange reports whether it refused, for a reason common to all changes.
func (c *Core) refusesChange(tag Tag) bool {
	switch {
	case c.role != Leader:
		c.refuse(tag, RefusedNotLeader)
	case !c.committedInTerm() || c.leaderState.transfer != nil:
		c.refuse(tag, RefusedNotReady)
	case c.changePending():
		c.refuse(tag, RefusedChangePending)
	default:
		return false
	}
	return true
}

func (c *Core) changePending() bool {
	return c.log.membershipIndex() > c.commit
}

// hasActiveQuorum reports whether this leader had contact with a quorum of the
// membership within the election timeout.
func (c *Core) hasActiveQuorum(membership Membership) bool {
	contact, ok := c.quorumContactIn(membership)
	return ok && c.now.Before(contact.Add(c.config.ElectionTimeout))
}

// promoteLearners proposes the next change for the first learner that can be
// promoted: it removes the older incarnation, or makes the learner a voter.
func (c *Core) promoteLearners() {
	if !c.committedInTerm() || c.changePending() || c.leaderState.transfer != nil {
		return
	}
	membership := c.log.membership()
	for _, member := range membership.Members {
		if member.Role != RoleLearner || !c.caughtUp(member.ID) {
			continue
		}
		next, ok := c.promotion(membership, member)
		if ok {
			c.appendEntry(Entry{Kind: EntryMembership, Membership: next})
			return
		}
	}
}

// promotion returns the membership after the learner's next change, and false while
// the older incarnation is active or the new membership has no active quorum.
func (c *Core) promotion(membership Membership, learner Member) (Membership, bool) {
	old, replaces := membership.otherVoter(learner.ID)
	if !replaces {
		learner.Role = RoleVoter
		learner.Replacing = false
		return membership.with(learner), true
	}
	oldActive := c.now.Before(c.leaderState.progress[old.ID].lastContact.Add(c.config.ElectionTimeout))
	learner.Replacing = true
	next := membership.without(old.ID).with(learner)
	return next, !oldActive && old.ID != c.config.Self && c.hasActiveQuorum(next)
}

// caughtUp reports whether the member has every committed entry and replied within
// the election timeout.
func (c *Core) caughtUp(id MemberID) bool {
	p := c.leaderState.progress[id]
	return p.match >= c.commit && c.now.Before(p.lastContact.Add(c.config.ElectionTimeout))
}
