package consensus

import (
	"slices"
	"time"
)

// leading is what a member knows while it leads.
type leading struct {
	// progress holds every member of the membership in force, itself included.
	progress map[MemberID]*progress
	// opened is the index of the entry that opened the term.
	opened       Index
	heartbeatDue time.Time
	// round numbers the confirmations of leadership.
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

// transfer is a hand-over under way.
type transfer struct {
	to       MemberID
	due      time.Time
	campaign bool
}

func (c *Core) becomeLeader() {
	c.leader = c.config.Self
	c.leading = &leading{progress: map[MemberID]*progress{}}
	c.changeRole(Leader, "elected")
	c.trackMembers()
	c.leading.progress[c.config.Self].advance(c.disk.durable)
	c.leading.opened = c.log.lastIndex() + 1
	c.appendEntry(Entry{Kind: EntryEmpty})
	c.heartbeat()
}

// stopLeading answers all that waits, and forgets what only a leader knows.
func (c *Core) stopLeading() {
	if c.leading == nil {
		return
	}
	left := c.leading
	c.leading = nil
	c.leader = MemberID{}
	for _, proposal := range left.proposals {
		c.refuse(proposal.tag, RefusedOutcomeUnknown)
	}
	for _, read := range left.reads {
		c.refuse(read.tag, RefusedNotLeader)
	}
}

// trackMembers makes the progress match the membership in force.
func (c *Core) trackMembers() {
	membership := c.log.membership()
	known := c.leading.progress
	c.leading.progress = map[MemberID]*progress{}
	for _, member := range membership.Members {
		p, ok := known[member.ID]
		if !ok {
			p = newProgress(c.log.lastIndex()+1, c.now)
		}
		c.leading.progress[member.ID] = p
	}
}

// appendEntry adds an entry to the leader's log and offers it to the members.
func (c *Core) appendEntry(entry Entry) Index {
	entry.Index = c.log.lastIndex() + 1
	entry.Term = c.hard.Term
	c.log.append(entry)
	c.disk.changedFrom(entry.Index)
	if entry.Kind == EntryMembership {
		c.trackMembers()
	}
	c.replicateAll()
	return entry.Index
}

// propose logs an entry for a client, or refuses it.
func (c *Core) propose(tag Tag, entry Entry) {
	reason, refused := c.refusesProposal()
	if refused {
		c.refuse(tag, reason)
		return
	}
	index := c.appendEntry(entry)
	c.leading.proposals = append(c.leading.proposals, waitingProposal{index: index, tag: tag})
}

func (c *Core) refusesProposal() (RefusalReason, bool) {
	switch {
	case c.role != Leader:
		return RefusedNotLeader, true
	case c.leading.transfer != nil:
		return RefusedNotReady, true
	case c.log.lastIndex()-c.commit >= Index(c.config.MaxUncommitted):
		return RefusedBusy, true
	default:
		return 0, false
	}
}

// acceptProposals answers the proposals whose entries have been handed out.
func (c *Core) acceptProposals() {
	for len(c.leading.proposals) > 0 && c.leading.proposals[0].index <= c.applied {
		done := c.leading.proposals[0]
		c.leading.proposals = c.leading.proposals[1:]
		c.emit(Committed{Tag: done.tag, Index: done.index})
	}
}

// advanceCommit commits what a quorum has on disk, if it is of this term: an
// entry of an earlier term is committed only by one of this term after it.
func (c *Core) advanceCommit() {
	matches := make([]Index, 0, len(c.leading.progress))
	voters := c.log.membership().Voters()
	for _, voter := range voters {
		matches = append(matches, c.leading.progress[voter].match)
	}
	slices.Sort(matches)
	reached := matches[len(matches)-c.log.membership().Quorum()]
	term, _ := c.log.term(reached)
	if reached <= c.commit || term != c.hard.Term {
		return
	}
	c.commit = reached
	c.replicateAll()
}

// ready reports whether an entry of the leader's own term is committed. Before
// that its commit index may lag behind what was accepted.
func (c *Core) ready() bool {
	return c.role == Leader && c.commit >= c.leading.opened
}

// leadingDeadline returns when the leader must act without any event.
func (c *Core) leadingDeadline() time.Time {
	due := c.leading.heartbeatDue
	lease := c.quorumHeard().Add(c.config.ElectionTimeout)
	if lease.Before(due) {
		due = lease
	}
	if c.leading.transfer != nil && c.leading.transfer.due.Before(due) {
		due = c.leading.transfer.due
	}
	return due
}

func (c *Core) leadingDeadlineReached() {
	if !c.now.Before(c.quorumHeard().Add(c.config.ElectionTimeout)) {
		c.becomeFollower(c.hard.Term, MemberID{}, "no quorum heard of")
		return
	}
	if c.leading.transfer != nil && !c.now.Before(c.leading.transfer.due) {
		c.leading.transfer = nil
	}
	if !c.now.Before(c.leading.heartbeatDue) {
		c.heartbeat()
	}
}

// quorumHeard returns the latest time at which a quorum, with this member, had
// been heard of. It is the present for a voter alone.
func (c *Core) quorumHeard() time.Time {
	heard, ok := c.quorumHeardOf(c.log.membership())
	if !ok {
		return time.Time{}
	}
	return heard
}

// quorumHeardOf is quorumHeard for any membership. It reports false when too
// few of its voters are tracked.
func (c *Core) quorumHeardOf(membership Membership) (time.Time, bool) {
	var times []time.Time
	for _, voter := range membership.Voters() {
		if voter == c.config.Self {
			times = append(times, c.now)
			continue
		}
		if p, ok := c.leading.progress[voter]; ok {
			times = append(times, p.heard)
		}
	}
	if len(times) < membership.Quorum() {
		return time.Time{}, false
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[membership.Quorum()-1], true
}

// heartbeat sends to every member and begins a new round.
func (c *Core) heartbeat() {
	c.leading.heartbeatDue = c.now.Add(c.config.HeartbeatInterval)
	c.leading.round++
	for _, member := range c.log.membership().Members {
		if member.ID != c.config.Self {
			c.sendHeartbeat(member.ID)
		}
	}
}

// transferLeadership begins to hand over to the voter that is furthest.
func (c *Core) transferLeadership() {
	if c.role != Leader || c.leading.transfer != nil {
		return
	}
	var to MemberID
	var best Index
	for _, voter := range c.log.membership().Voters() {
		p := c.leading.progress[voter]
		recent := c.now.Before(p.heard.Add(c.config.ElectionTimeout))
		if voter != c.config.Self && recent && p.match > best {
			to = voter
			best = p.match
		}
	}
	if best == 0 {
		return
	}
	c.leading.transfer = &transfer{to: to, due: c.now.Add(c.config.ElectionTimeout)}
	c.continueTransfer()
}

// continueTransfer lets the chosen voter campaign once it has the whole log.
func (c *Core) continueTransfer() {
	t := c.leading.transfer
	if t == nil || t.campaign || c.leading.progress[t.to].match < c.log.lastIndex() {
		return
	}
	t.campaign = true
	c.send(t.to, c.hard.Term, CampaignNow{})
}
