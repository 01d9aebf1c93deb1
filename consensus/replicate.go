package consensus

import "time"

// progress is a leader's replication state for one member.
type progress struct {
	// match is the last index up to which the member has the leader's log on disk.
	match Index
	// next is the next index to send.
	next Index
	// probing withholds entries until the point where the logs match is found.
	probing bool
	// inflight holds the last index of each unacknowledged Append with entries.
	inflight []Index
	// snapshotRetryDue is when a snapshot in flight is sent again; zero for none.
	snapshotRetryDue time.Time
	// lastContact is when the member last replied, at first the start of its progress.
	lastContact time.Time
	// round is the latest heartbeat round that the member has confirmed.
	round uint64
}

func newProgress(next Index, now time.Time) *progress {
	return &progress{next: next, probing: true, lastContact: now}
}

// advance records that the member's log matches up to index.
func (p *progress) advance(index Index) {
	if index < p.match {
		return
	}
	p.match = index
	p.next = max(p.next, index+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
}

// backtrack moves next back to hint after a rejection, and starts probing.
func (p *progress) backtrack(hint Index) {
	p.next = max(p.match+1, min(p.next, hint))
	p.inflight = nil
	p.probing = true
}

func (c *Core) replicateAll() {
	for _, member := range c.log.membership().Members {
		if member.ID != c.config.Self {
			c.replicate(member.ID)
		}
	}
}

// replicate sends the entries that the member lacks, within MaxInflight.
func (c *Core) replicate(to MemberID) {
	p := c.leaderState.progress[to]
	for !p.probing && p.next <= c.log.lastIndex() && len(p.inflight) < c.config.MaxInflight {
		if p.next < c.log.firstIndex() {
			c.sendSnapshot(to, p)
			return
		}
		c.sendEntries(to, p, c.config.MaxAppendEntries)
	}
}

// sendHeartbeat sends an Append without entries, or the snapshot if the member needs
// entries that are no longer in memory.
func (c *Core) sendHeartbeat(to MemberID) {
	p := c.leaderState.progress[to]
	if p.next >= c.log.firstIndex() {
		c.sendEntries(to, p, 0)
		return
	}
	if !c.sendSnapshot(to, p) {
		c.sendSnapshotHeartbeat(to)
	}
}

func (c *Core) sendEntries(to MemberID, p *progress, limit int) {
	prev := p.next - 1
	term, _ := c.log.term(prev)
	entries := c.log.slice(p.next, limit)
	body := Append{PrevIndex: prev, PrevTerm: term, Entries: entries, Commit: c.commit, Round: c.leaderState.round}
	if len(entries) > 0 {
		p.next += Index(len(entries))
		p.inflight = append(p.inflight, p.next-1)
	}
	c.send(to, c.hardState.Term, body)
}

// sendSnapshot sends the snapshot unless it was sent less than an election timeout
// ago, and reports whether it did.
func (c *Core) sendSnapshot(to MemberID, p *progress) bool {
	if c.now.Before(p.snapshotRetryDue) {
		return false
	}
	p.snapshotRetryDue = c.now.Add(c.config.ElectionTimeout)
	c.send(to, c.hardState.Term, InstallSnapshot{Snapshot: c.log.snapshot, Round: c.leaderState.round})
	return true
}

// sendSnapshotHeartbeat sends a heartbeat that keeps a member a follower while it
// receives a snapshot.
func (c *Core) sendSnapshotHeartbeat(to MemberID) {
	snapshot := c.log.snapshot
	body := Append{PrevIndex: snapshot.Index, PrevTerm: snapshot.Term, Commit: c.commit, Round: c.leaderState.round}
	c.send(to, c.hardState.Term, body)
}

// receiveAppendReply updates the sender's progress.
func (c *Core) receiveAppendReply(m Message, reply AppendReply) {
	if m.Term > c.hardState.Term {
		c.becomeFollower(m.Term, MemberID{}, "append reply with a higher term")
		return
	}
	if c.role != Leader || m.Term < c.hardState.Term {
		return
	}
	p := c.leaderState.progress[m.From]
	p.lastContact = c.now
	p.round = max(p.round, reply.Round)
	if reply.Accepted {
		c.appendAccepted(p, reply)
	} else if reply.RejectedPrev > p.match {
		p.backtrack(reply.Hint)
		c.probe(m.From, p)
	}
	c.replicate(m.From)
	c.continueTransfer()
}

func (c *Core) appendAccepted(p *progress, reply AppendReply) {
	p.advance(reply.Match)
	// The logs match up to just before next, so probing is complete.
	if p.match+1 >= p.next {
		p.probing = false
		p.snapshotRetryDue = time.Time{}
	}
}

// probe tests after a rejection whether the logs match just before next.
func (c *Core) probe(to MemberID, p *progress) {
	if p.next < c.log.firstIndex() {
		c.sendSnapshot(to, p)
		return
	}
	c.sendEntries(to, p, 0)
}
