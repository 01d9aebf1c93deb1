package consensus

import "time"

// resetElection sets the next election deadline: between one and two timeouts.
func (c *Core) resetElection() {
	c.electionDue = c.now.Add(c.config.ElectionTimeout + c.spread(c.config.ElectionTimeout))
}

// spread returns a random time below the limit.
func (c *Core) spread(limit time.Duration) time.Duration {
	return time.Duration(c.config.Random.Int64N(int64(limit)))
}

// mayCampaign reports whether this member is a voter of the log it has.
func (c *Core) mayCampaign() bool {
	return !c.removed && c.log.membership().IsVoter(c.config.Self)
}

// campaign asks all voters for a vote. A pre-vote changes no state, so that a
// member which was cut off can't raise the term of a group that has a leader.
func (c *Core) campaign(pre, transfer bool) {
	c.resetElection()
	c.leader = MemberID{}
	c.votes = map[MemberID]bool{}
	term := c.hard.Term + 1
	if pre {
		c.changeRole(PreCandidate, "no leader heard of")
	} else {
		c.hard = HardState{Term: term, Vote: c.config.Self}
		c.disk.dirtyHard = true
		c.changeRole(Candidate, "asks for votes")
	}
	request := VoteRequest{Pre: pre, Transfer: transfer, LastIndex: c.log.lastIndex(), LastTerm: c.log.lastTerm()}
	for _, voter := range c.log.membership().Voters() {
		if voter != c.config.Self {
			c.sendStored(voter, term, request)
		}
	}
	if pre {
		c.countVote(c.config.Self)
		return
	}
	// The own vote counts once it is on disk.
	c.sendStored(c.config.Self, term, VoteReply{Granted: true})
}

// receiveVoteRequest answers a vote or pre-vote request.
func (c *Core) receiveVoteRequest(m Message, request VoteRequest) {
	if c.refusesElection(m, request) {
		c.sendStored(m.From, c.hard.Term, VoteReply{Pre: request.Pre})
		return
	}
	if request.Pre {
		// A granted pre-vote carries the term asked for, to be told from
		// answers to earlier ones.
		c.sendStored(m.From, m.Term, VoteReply{Pre: true, Granted: true})
		return
	}
	if m.Term > c.hard.Term {
		c.becomeFollower(m.Term, MemberID{}, "vote request of a later term")
	}
	granted := c.hard.Vote == m.From || c.hard.Vote == MemberID{}
	if granted {
		c.hard.Vote = m.From
		c.disk.dirtyHard = true
		c.resetElection()
	}
	c.sendStored(m.From, c.hard.Term, VoteReply{Granted: granted})
}

// refusesElection reports whether the request is refused without a change of
// state: it is of the past, its log lacks entries, or there is a leader.
func (c *Core) refusesElection(m Message, request VoteRequest) bool {
	if m.Term < c.hard.Term || (request.Pre && m.Term == c.hard.Term) {
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

// hasLeader reports whether this member leads or has lately heard of a leader.
func (c *Core) hasLeader() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != MemberID{} && c.now.Before(c.heard.Add(c.config.ElectionTimeout))
}

func (c *Core) receiveVoteReply(m Message, reply VoteReply) {
	if !reply.Granted {
		if m.Term > c.hard.Term {
			c.becomeFollower(m.Term, MemberID{}, "vote reply of a later term")
		}
		return
	}
	wanted := c.role == Candidate && !reply.Pre && m.Term == c.hard.Term
	wantedPre := c.role == PreCandidate && reply.Pre && m.Term == c.hard.Term+1
	if wanted || wantedPre {
		c.countVote(m.From)
	}
}

// countVote counts the votes of voters and acts on a majority.
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
	if m.Term == c.hard.Term && c.role == Follower && c.mayCampaign() {
		c.campaign(false, true)
	}
}

// becomeFollower follows a leader, or nobody, in the given term.
func (c *Core) becomeFollower(term Term, leader MemberID, cause string) {
	if term > c.hard.Term {
		c.hard = HardState{Term: term}
		c.disk.dirtyHard = true
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
	c.emit(RoleChanged{Role: role, Term: c.hard.Term, Leader: c.leader, Cause: cause})
}
