package consensus

// addMember logs a learner, or refuses.
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

// removeMember logs a membership without the member, or refuses.
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
	case !c.hasQuorumOf(next):
		c.refuse(e.Tag, RefusedNoQuorum)
	default:
		c.propose(e.Tag, Entry{Kind: EntryMembership, Membership: next})
	}
}

// refusesChange refuses what holds for every membership change.
func (c *Core) refusesChange(tag Tag) bool {
	switch {
	case c.role != Leader:
		c.refuse(tag, RefusedNotLeader)
	case !c.ready() || c.leading.transfer != nil:
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

// hasQuorumOf reports whether a quorum of the membership was heard of within
// the election timeout.
func (c *Core) hasQuorumOf(membership Membership) bool {
	heard, ok := c.quorumHeardOf(membership)
	return ok && c.now.Before(heard.Add(c.config.ElectionTimeout))
}

// promoteLearners takes the next step for the first learner that has caught up:
// its older incarnation leaves, or it becomes a voter.
func (c *Core) promoteLearners() {
	if !c.ready() || c.changePending() || c.leading.transfer != nil {
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

// promotion returns the membership after the learner's next step, and false
// while the step would be unsafe or leave the group without a quorum.
func (c *Core) promotion(membership Membership, learner Member) (Membership, bool) {
	old, replaces := membership.otherVoter(learner.ID)
	if !replaces {
		learner.Role = RoleVoter
		learner.Replacing = false
		return membership.with(learner), true
	}
	stillHeard := c.now.Before(c.leading.progress[old.ID].heard.Add(c.config.ElectionTimeout))
	learner.Replacing = true
	next := membership.without(old.ID).with(learner)
	return next, !stillHeard && old.ID != c.config.Self && c.hasQuorumOf(next)
}

// caughtUp reports whether the member holds all that is committed, and was heard
// of within the election timeout.
func (c *Core) caughtUp(id MemberID) bool {
	p := c.leading.progress[id]
	return p.match >= c.commit && c.now.Before(p.heard.Add(c.config.ElectionTimeout))
}
