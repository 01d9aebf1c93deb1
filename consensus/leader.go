package consensus

import (
	"slices"
	"time"
)

// leaderState is the volatile state of a leader.
type leaderState struct {
	// progress holds every member of the membership in force, the leader included.
	progress map[MemberID]*progress
	// termStart is the index of the empty entry that opens the leader's term.
	termStart    Index
	heartbeatDue time.Time
	// round numbers the heartbeat rounds that confirm leadership.
	round     uint64
	reads     []waitingRead
	proposals []waitingProposal
	transfer  *transfer
}

// waitingProposal is a proposal or change whose entry is not applied yet.
type waitingProposal struct {
	index Index
	tag   Tag
}

// transfer is a leadership transfer in progress.
type transfer struct {
	to           MemberID
	due          time.Time
	campaignSent bool
}

func (c *Core) becomeLeader() {
	c.leader = c.config.Self
	c.leaderState = &leaderState{progress: map[MemberID]*progress{}}
	c.changeRole(Leader, "elected")
	c.trackMembers()
	c.leaderState.progress[c.config.Self].advance(c.disk.durable)
	c.leaderState.termStart = c.log.lastIndex() + 1
	c.appendEntry(Entry{Kind: EntryEmpty})
	c.heartbeat()
}

// stopLeading discards the leader state and refuses the pending proposals and reads.
func (c *Core) stopLeading() {
	if c.leaderState == nil {
		return
	}
	former := c.leaderState
	c.leaderState = nil
	c.leader = MemberID{}
	for _, proposal := range former.proposals {
		c.refuse(proposal.tag, RefusedOutcomeUnknown)
	}
	for _, read := range former.reads {
		c.refuse(read.tag, RefusedNotLeader)
	}
}

// trackMembers updates the progress map to the membership in force.
func (c *Core) trackMembers() {
	membership := c.log.membership()
	previous := c.leaderState.progress
	c.leaderState.progress = map[MemberID]*progress{}
	for _, member := range membership.Members {
		p, ok := previous[member.ID]
		if !ok {
			p = newProgress(c.log.lastIndex()+1, c.now)
		}
		c.leaderState.progress[member.ID] = p
	}
}

// appendEntry appends an entry to the leader's log and replicates it.
func (c *Core) appendEntry(entry Entry) Index {
	entry.Index = c.log.lastIndex() + 1
	entry.Term = c.hardState.Term
	c.log.append(entry)
	c.disk.changedFrom(entry.Index)
	if entry.Kind == EntryMembership {
		c.trackMembers()
	}
	c.replicateAll()
	return entry.Index
}

// propose appends an entry for a client, or refuses it.
func (c *Core) propose(tag Tag, entry Entry) {
	reason, refused := c.refusesProposal()
	if refused {
		c.refuse(tag, reason)
		return
	}
	index := c.appendEntry(entry)
	c.leaderState.proposals = append(c.leaderState.proposals, waitingProposal{index: index, tag: tag})
}

func (c *Core) refusesProposal() (RefusalReason, bool) {
	switch {
	case c.role != Leader:
		return RefusedNotLeader, true
	case c.leaderState.transfer != nil:
		return RefusedNotReady, true
	case c.log.lastIndex()-c.commit >= Index(c.config.MaxUncommitted):
		return RefusedBusy, true
	default:
		return 0, false
	}
}

// completeProposals answers the proposals whose entries have been applied.
func (c *Core) completeProposals() {
	for len(c.leaderState.proposals) > 0 && c.leaderState.proposals[0].index <= c.applied {
		done := c.leaderState.proposals[0]
		c.leaderState.proposals = c.leaderState.proposals[1:]
		c.emit(Committed{Tag: done.tag, Index: done.index})
	}
}

// advanceCommit commits what a quorum has on disk, if the last entry is of this term:
// entries of earlier terms are committed only through a later one of this term.
func (c *Core) advanceCommit() {
	matches := make([]Index, 0, len(c.leaderState.progress))
	voters := c.log.membership().Voters()
	for _, voter := range voters {
		matches = append(matches, c.leaderState.progress[voter].match)
	}
	slices.Sort(matches)
	reached := matches[len(matches)-c.log.membership().Quorum()]
	term, _ := c.log.term(reached)
	if reached <= c.commit || term != c.hardState.Term {
		return
	}
	c.commit = reached
	c.replicateAll()
}

// committedInTerm reports whether this member leads and an entry of its own term is
// committed. Before that its commit index may lag behind that of earlier leaders.
func (c *Core) committedInTerm() bool {
	return c.role == Leader && c.commit >= c.leaderState.termStart
}

// leaderDeadline returns when a heartbeat, check-quorum or a transfer's end is due.
func (c *Core) leaderDeadline() time.Time {
	due := c.leaderState.heartbeatDue
	quorumDeadline := c.quorumContact().Add(c.config.ElectionTimeout)
	if quorumDeadline.Before(due) {
		due = quorumDeadline
	}
	if c.leaderState.transfer != nil && c.leaderState.transfer.due.Before(due) {
		due = c.leaderState.transfer.due
	}
	return due
}

func (c *Core) leaderDeadlineReached() {
	if !c.now.Before(c.quorumContact().Add(c.config.ElectionTimeout)) {
		c.becomeFollower(c.hardState.Term, MemberID{}, "no contact with a quorum within the election timeout")
		return
	}
	if c.leaderState.transfer != nil && !c.now.Before(c.leaderState.transfer.due) {
		c.leaderState.transfer = nil
	}
	if !c.now.Before(c.leaderState.heartbeatDue) {
		c.heartbeat()
	}
}

// quorumContact returns the latest time since which a quorum, this leader included,
// has replied. For a single voter it is the current time.
func (c *Core) quorumContact() time.Time {
	contact, ok := c.quorumContactIn(c.log.membership())
	if !ok {
		return time.Time{}
	}
	return contact
}

// quorumContactIn is quorumContact for the given membership. It reports false when
// fewer than a quorum of its voters have progress.
func (c *Core) quorumContactIn(membership Membership) (time.Time, bool) {
	var times []time.Time
	for _, voter := range membership.Voters() {
		if voter == c.config.Self {
			times = append(times, c.now)
			continue
		}
		if p, ok := c.leaderState.progress[voter]; ok {
			times = append(times, p.lastContact)
		}
	}
	if len(times) < membership.Quorum() {
		return time.Time{}, false
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[membership.Quorum()-1], true
}

// heartbeat begins a new round and sends a heartbeat to every other member.
func (c *Core) heartbeat() {
	c.leaderState.heartbeatDue = c.now.Add(c.config.HeartbeatInterval)
	c.leaderState.round++
	for _, member := range c.log.membership().Members {
		if member.ID != c.config.Self {
			c.sendHeartbeat(member.ID)
		}
	}
}

// transferLeadership starts a transfer to the active voter with the highest match.
func (c *Core) transferLeadership() {
	if c.role != Leader || c.leaderState.transfer != nil {
		return
	}
	var to MemberID
	var best Index
	for _, voter := range c.log.membership().Voters() {
		p := c.leaderState.progress[voter]
		recent := c.now.Before(p.lastContact.Add(c.config.ElectionTimeout))
		if voter != c.config.Self && recent && p.match > best {
			to = voter
			best = p.match
		}
	}
	if best == 0 {
		return
	}
	c.leaderState.transfer = &transfer{to: to, due: c.now.Add(c.config.ElectionTimeout)}
	c.continueTransfer()
}

// continueTransfer sends CampaignNow to the chosen voter once its log is complete.
func (c *Core) continueTransfer() {
	t := c.leaderState.transfer
	if t == nil || t.campaignSent || c.leaderState.progress[t.to].match < c.log.lastIndex() {
		return
	}
	t.campaignSent = true
	c.send(t.to, c.hardState.Term, CampaignNow{})
}
