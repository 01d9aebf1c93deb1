package consensus

// receive handles a message, or drops it if its addressee or sender is wrong.
func (c *Core) receive(m Message) {
	if m.To != c.config.Self {
		c.emit(MessageDropped{From: m.From, Reason: DropWrongAddressee})
		return
	}
	if c.dropNonMember(m) {
		return
	}
	switch body := m.Body.(type) {
	case VoteRequest:
		c.receiveVoteRequest(m, body)
	case VoteReply:
		c.receiveVoteReply(m, body)
	case Append:
		c.receiveAppend(m, body)
	case AppendReply:
		c.receiveAppendReply(m, body)
	case InstallSnapshot:
		c.receiveSnapshot(m, body)
	case CampaignNow:
		c.receiveCampaignNow(m)
	case Expelled:
		c.receiveExpelled(m)
	}
}

// dropNonMember reports whether it dropped m: any message of a removed member, or a
// reply of a non-member. Requests of non-members pass: the sender's membership may be
// newer than this member's, and it addressed this very incarnation.
func (c *Core) dropNonMember(m Message) bool {
	membership := c.log.membership()
	if c.log.membershipAt(c.commit).WasRemoved(m.From) {
		c.emit(MessageDropped{From: m.From, Reason: DropNotMember})
		if _, isExpelled := m.Body.(Expelled); !isExpelled {
			c.send(m.From, c.hardState.Term, Expelled{})
		}
		return true
	}
	switch m.Body.(type) {
	case VoteReply, AppendReply:
		_, member := membership.Find(m.From)
		if !member {
			c.emit(MessageDropped{From: m.From, Reason: DropNotMember})
		}
		return !member
	default:
		return false
	}
}

// receiveExpelled marks this member as removed from the group.
func (c *Core) receiveExpelled(m Message) {
	if c.removed || c.role == Leader {
		return
	}
	c.removed = true
	c.emit(Removed{By: m.From})
}

// acceptLeader records the sender as the leader of its term. It reports false if the
// term is stale, after a reply with the current term, or if too many messages wait for
// the disk.
func (c *Core) acceptLeader(m Message) bool {
	if m.Term < c.hardState.Term {
		// The reply confirms no round: each term counts its own, and the sender may lead
		// the present term too.
		c.sendAfterPersist(m.From, c.hardState.Term, AppendReply{})
		return false
	}
	if len(c.disk.waiting) >= c.config.MaxPendingMessages {
		c.emit(MessageDropped{From: m.From, Reason: DropBusy})
		return false
	}
	c.becomeFollower(m.Term, m.From, "message from the leader")
	c.lastLeaderContact = c.now
	return true
}

func (c *Core) receiveAppend(m Message, body Append) {
	if !c.acceptLeader(m) {
		return
	}
	term, known := c.log.term(body.PrevIndex)
	if body.PrevIndex < c.log.firstIndex()-1 {
		// Up to the commit index this log matches the leader's.
		c.sendAfterPersist(m.From, m.Term, AppendReply{Accepted: true, Match: c.commit, Round: body.Round})
		return
	}
	if !known || term != body.PrevTerm {
		reply := AppendReply{RejectedPrev: body.PrevIndex, Hint: c.rejectionHint(body.PrevIndex), Round: body.Round}
		c.sendAfterPersist(m.From, m.Term, reply)
		return
	}
	c.mergeEntries(body.Entries)
	match := body.PrevIndex + Index(len(body.Entries))
	c.commit = max(c.commit, min(body.Commit, match))
	c.sendAfterPersist(m.From, m.Term, AppendReply{Accepted: true, Match: match, Round: body.Round})
}

// rejectionHint returns the index from which the leader should send after prev
// didn't match: the end of a shorter log, or the start of the conflicting term.
func (c *Core) rejectionHint(prev Index) Index {
	if prev > c.log.lastIndex() {
		return c.log.lastIndex() + 1
	}
	return max(c.log.firstOfTerm(prev), c.commit+1)
}

// mergeEntries appends missing entries, after truncating the log at the first entry
// whose term differs.
func (c *Core) mergeEntries(entries []Entry) {
	for _, entry := range entries {
		term, known := c.log.term(entry.Index)
		if known && term == entry.Term {
			continue
		}
		if entry.Index <= c.log.lastIndex() {
			c.truncate(entry.Index)
		}
		c.log.append(entry)
		c.disk.changedFrom(entry.Index)
	}
}

func (c *Core) truncate(from Index) {
	if from <= c.commit {
		panic("consensus: a committed entry would be replaced")
	}
	c.log.truncate(from)
	c.disk.truncated(from)
}

func (c *Core) receiveSnapshot(m Message, body InstallSnapshot) {
	if !c.acceptLeader(m) {
		return
	}
	snapshot := body.Snapshot
	if snapshot.Index <= c.commit {
		c.sendAfterPersist(m.From, m.Term, AppendReply{Accepted: true, Match: c.commit, Round: body.Round})
		return
	}
	c.commit = snapshot.Index
	term, known := c.log.term(snapshot.Index)
	if !known || term != snapshot.Term {
		c.log.reset(snapshot)
		c.disk.truncated(snapshot.Index + 1)
		c.disk.dirtySnapshot = true
		c.disk.dirtyReset = true
		c.disk.dirtyFrom = 0
	}
	c.sendAfterPersist(m.From, m.Term, AppendReply{Accepted: true, Match: snapshot.Index, Round: body.Round})
}
