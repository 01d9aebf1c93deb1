package consensus

import "time"

// progress is what a leader knows of one member.
type progress struct {
	// match is the last index known to equal the leader's log, on disk there.
	match Index
	// next is the next index to send.
	next Index
	// probing holds back entries until the member's log end is found.
	probing bool
	// inflight holds the last index of each unanswered message with entries.
	inflight []Index
	// snapshotDue is when a snapshot under way is sent again; zero for none.
	snapshotDue time.Time
	// heard is when the member was heard of last, in this leader's term.
	heard time.Time
	// round is the latest round that the member has confirmed.
	round uint64
}

func newProgress(next Index, now time.Time) *progress {
	return &progress{next: next, probing: true, heard: now}
}

// advance notes that the member's log matches up to index.
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

// backUp makes the next message begin at or before the hint.
func (p *progress) backUp(hint Index) {
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

// replicate sends what the member lacks, as far as its window has room.
func (c *Core) replicate(to MemberID) {
	p := c.leading.progress[to]
	for !p.probing && p.next <= c.log.lastIndex() && len(p.inflight) < c.config.MaxInflight {
		if p.next < c.log.firstIndex() {
			c.sendSnapshot(to, p)
			return
		}
		c.sendEntries(to, p, c.config.MaxAppendEntries)
	}
}

// sendHeartbeat sends a message in any case. While the log end is looked for, it
// carries no entries.
func (c *Core) sendHeartbeat(to MemberID) {
	p := c.leading.progress[to]
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
	body := Append{PrevIndex: prev, PrevTerm: term, Entries: entries, Commit: c.commit, Round: c.leading.round}
	if len(entries) > 0 {
		p.next += Index(len(entries))
		p.inflight = append(p.inflight, p.next-1)
	}
	c.send(to, c.hard.Term, body)
}

// sendSnapshot sends the snapshot, unless one is under way: it is sent again
// after an election timeout only. It reports whether it sent.
func (c *Core) sendSnapshot(to MemberID, p *progress) bool {
	if c.now.Before(p.snapshotDue) {
		return false
	}
	p.snapshotDue = c.now.Add(c.config.ElectionTimeout)
	c.send(to, c.hard.Term, InstallSnapshot{Snapshot: c.log.snapshot, Round: c.leading.round})
	return true
}

// sendSnapshotHeartbeat keeps a member following while a snapshot is under way.
func (c *Core) sendSnapshotHeartbeat(to MemberID) {
	snapshot := c.log.snapshot
	body := Append{PrevIndex: snapshot.Index, PrevTerm: snapshot.Term, Commit: c.commit, Round: c.leading.round}
	c.send(to, c.hard.Term, body)
}

// receiveAppendReply learns how far a member's log reaches.
func (c *Core) receiveAppendReply(m Message, reply AppendReply) {
	if m.Term > c.hard.Term {
		c.becomeFollower(m.Term, MemberID{}, "reply of a later term")
		return
	}
	if c.role != Leader || m.Term < c.hard.Term {
		return
	}
	p := c.leading.progress[m.From]
	p.heard = c.now
	p.round = max(p.round, reply.Round)
	if reply.Accepted {
		c.memberAccepted(p, reply)
	} else if reply.RejectedPrev > p.match {
		p.backUp(reply.Hint)
		c.resend(m.From, p)
	}
	c.replicate(m.From)
	c.continueTransfer()
}

func (c *Core) memberAccepted(p *progress, reply AppendReply) {
	p.advance(reply.Match)
	// A match just before next shows that the log end is found.
	if p.match+1 >= p.next {
		p.probing = false
		p.snapshotDue = time.Time{}
	}
}

// resend looks again for the member's log end, after a rejection.
func (c *Core) resend(to MemberID, p *progress) {
	if p.next < c.log.firstIndex() {
		c.sendSnapshot(to, p)
		return
	}
	c.sendEntries(to, p, 0)
}
