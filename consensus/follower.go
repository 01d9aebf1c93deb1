package consensus

// receive takes a message that came in, unless its addressee or sender is wrong.
func (c *Core) receive(m Message) {
	if m.To != c.config.Self {
		c.emit(MessageDropped{From: m.From, Reason: DropWrongAddressee})
		return
	}
	if c.senderIsOut(m) {
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

// senderIsOut drops a message of a removed member, and replies of any that isn't
// a member. Requests of unknown members pass: their membership may be newer than
// this member's, and they know this incarnation by name.
func (c *Core) senderIsOut(m Message) bool {
	membership := c.log.membership()
	if c.log.membershipAt(c.commit).WasRemoved(m.From) {
		c.emit(MessageDropped{From: m.From, Reason: DropNotMember})
		if _, isExpelled := m.Body.(Expelled); !isExpelled {
			c.send(m.From, c.hard.Term, Expelled{})
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

// receiveExpelled ends this member's part in the group.
func (c *Core) receiveExpelled(m Message) {
	if c.removed || c.role == Leader {
		return
	}
	c.removed = true
	c.emit(Removed{By: m.From})
}

// followsSender makes the sender the leader of its term, and reports false, with
// an answer that names the later term, when the term is of the past.
func (c *Core) followsSender(m Message, round uint64) bool {
	if m.Term < c.hard.Term {
		c.sendStored(m.From, c.hard.Term, AppendReply{Round: round})
		return false
	}
	if len(c.disk.waiting) >= c.config.MaxPendingMessages {
		c.emit(MessageDropped{From: m.From, Reason: DropBusy})
		return false
	}
	c.becomeFollower(m.Term, m.From, "leader heard of")
	c.heard = c.now
	return true
}

func (c *Core) receiveAppend(m Message, body Append) {
	if !c.followsSender(m, body.Round) {
		return
	}
	term, known := c.log.term(body.PrevIndex)
	if body.PrevIndex < c.log.firstIndex()-1 {
		// All up to the commit index equals the leader's log.
		c.sendStored(m.From, m.Term, AppendReply{Accepted: true, Match: c.commit, Round: body.Round})
		return
	}
	if !known || term != body.PrevTerm {
		reply := AppendReply{RejectedPrev: body.PrevIndex, Hint: c.hintFor(body.PrevIndex), Round: body.Round}
		c.sendStored(m.From, m.Term, reply)
		return
	}
	c.takeEntries(body.Entries)
	match := body.PrevIndex + Index(len(body.Entries))
	c.commit = max(c.commit, min(body.Commit, match))
	c.sendStored(m.From, m.Term, AppendReply{Accepted: true, Match: match, Round: body.Round})
}

// hintFor returns from where the leader should send when prev didn't match: the
// end of a shorter log, or the start of the term that differs.
func (c *Core) hintFor(prev Index) Index {
	if prev > c.log.lastIndex() {
		return c.log.lastIndex() + 1
	}
	return max(c.log.firstOfTerm(prev), c.commit+1)
}

// takeEntries adds the entries that are missing and replaces those of other
// terms.
func (c *Core) takeEntries(entries []Entry) {
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
	if !c.followsSender(m, body.Round) {
		return
	}
	snapshot := body.Snapshot
	if snapshot.Index <= c.commit {
		c.sendStored(m.From, m.Term, AppendReply{Accepted: true, Match: c.commit, Round: body.Round})
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
	c.sendStored(m.From, m.Term, AppendReply{Accepted: true, Match: snapshot.Index, Round: body.Round})
}
