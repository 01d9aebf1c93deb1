package consensus

import "time"

// resetElection sets the election deadline, one to two election timeouts from now.
func (c *Core) resetElection() {
	c.electionDue = c.now.Add(c.config.ElectionTimeout + c.jitter(c.config.ElectionTimeout))
}

// jitter returns a random duration below limit.
func (c *Core) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.config.Random.Int64N(int64(limit)))
}

// mayCampaign reports whether this member is a voter in the membership in force.
func (c *Core) mayCampaign() bool {
	return !c.removed && c.log.membership().IsVoter(c.config.Self)
}

// campaign requests votes or pre-votes from all voters. A pre-vote changes no state,
// so a member that was partitioned off can't raise the term of a group with a leader.
func (c *Core) campaign(pre, transfer bool) {
	c.resetElection()
	c.leader = MemberID{}
	c.votes = map[MemberID]bool{}
	term := c.hardState.Term + 1
	if pre {
		c.changeRole(PreCandidate, "election timeout")
	} else {
		c.hardState = HardState{Term: term, Vote: c.config.Self}
		c.disk.dirtyHardState = true
		c.changeRole(Candidate, "requesting votes")
	}
	request := VoteRequest{Pre: pre, Transfer: transfer, LastIndex: c.log.lastIndex(), LastTerm: c.log.lastTerm()}
	for _, voter := range c.log.membership().Voters() {
		if voter != c.config.Self {
			c.sendAfterPersist(voter, term, request)
		}
	}
	if pre {
		c.countVote(c.config.Self)
		return
	}
	// The member's own vote counts only once it is on disk.
	c.sendAfterPersist(c.config.Self, term, VoteReply{Granted: true})
}

// receiveVoteRequest answers a vote or pre-vote request.
func (c *Core) receiveVoteRequest(m Message, request VoteRequest) {
	if c.rejectsVote(m, request) {
		c.sendAfterPersist(m.From, c.hardState.Term, VoteReply{Pre: request.Pre})
		return
	}
	if request.Pre {
		// A granted pre-vote carries the requested term, which distinguishes it from
		// replies to earlier requests.
		c.sendAfterPersist(m.From, m.Term, VoteReply{Pre: true, Granted: true})
		return
	}
	if m.Term > c.hardState.Term {
		c.becomeFollower(m.Term, MemberID{}, "vote request with a higher term")
	}
	granted := c.hardState.Vote == m.From || c.hardState.Vote == MemberID{}
	if granted {
		c.hardState.Vote = m.From
		c.disk.dirtyHardState = true
		c.resetElection()
	}
	c.sendAfterPersist(m.From, c.hardState.Term, VoteReply{Granted: granted})
}

// rejectsVote reports whether a vote request is rejected without a change of state:
// its term is stale, the candidate's log is behind, or there is an active leader.
func (c *Core) rejectsVote(m Message, request VoteRequest) bool {
	if m.Term < c.hardState.Term || (request.Pre && m.Term == c.hardState.Term) {
		return true
	}
	if request.LastTerm != c.log.lastTerm() {
		if request.LastTerm < c.log.lastTerm() {
			return true
		}
	} else if request.LastIndex < c.log.lastIndex() {
		return true
	}
	return c.hasLeader() && !request.Transfer
}

// hasLeader reports whether this member leads or had contact with the leader within
// the election timeout.
func (c *Core) hasLeader() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != MemberID{} && c.now.Before(c.lastLeaderContact.Add(c.config.ElectionTimeout))
}

func (c *Core) receiveVoteReply(m Message, reply VoteReply) {
	if !reply.Granted {
		if m.Term > c.hardState.Term {
			c.becomeFollower(m.Term, MemberID{}, "vote reply with a higher term")
		}
		return
	}
	wanted := c.role == Candidate && !reply.Pre && m.Term == c.hardState.Term
	wantedPre := c.role == PreCandidate && reply.Pre && m.Term == c.hardState.Term+1
	if wanted || wantedPre {
		c.countVote(m.From)
	}
}

// countVote records a voter's vote. With a quorum, a pre-candidate becomes a
// candidate, a candidate the leader.
func (c *Core) countVote(from MemberID) {
	membership := c.log.membership()
	if membership.IsVoter(from) {
		c.votes[from] = true
	}
	if len(c.votes) < membership.Quorum() {
		return
	}
	if c.role == PreCandidate {
		c.campaign(false, false)
		return
	}
	c.becomeLeader()
}

func (c *Core) receiveCampaignNow(m Message) {
	if m.Term == c.hardState.Term && c.role == Follower && c.mayCampaign() {
		c.campaign(false, true)
	}
}

// becomeFollower follows a leader, or none if it is zero, in the given term.
func (c *Core) becomeFollower(term Term, leader MemberID, cause string) {
	if term > c.hardState.Term {
		c.hardState = HardState{Term: term}
		c.disk.dirtyHardState = true
	}
	c.stopLeading()
	if c.role != Follower || c.leader != leader {
		c.leader = leader
		c.changeRole(Follower, cause)
	}
	c.resetElection()
}

func (c *Core) changeRole(role Role, cause string) {
	c.role = role
	c.emit(RoleChanged{Role: role, Term: c.hardState.Term, Leader: c.leader, Cause: cause})
}
