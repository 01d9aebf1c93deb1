package consensus

// disk tracks what is stored: what changed since the last Persist, which Persist
// actions are outstanding, and what waits for them.
type disk struct {
	dirtyHard     bool
	dirtySnapshot bool
	dirtyReset    bool
	// dirtyFrom is the lowest changed entry; zero means none.
	dirtyFrom Index

	issued Sequence
	synced Sequence
	// durable is the last index that is synced here.
	durable Index
	marks   []diskMark
	waiting []waitingMessage
	// fresh are messages of the event in hand, not yet given a sequence.
	fresh   []Message
	restore *waitingRestore
}

// diskMark says how far the log reaches on disk once a sequence is synced.
type diskMark struct {
	sequence Sequence
	last     Index
}

type waitingMessage struct {
	sequence Sequence
	message  Message
}

type waitingRestore struct {
	sequence Sequence
	snapshot Snapshot
}

// changedFrom notes that the log changed from index on.
func (d *disk) changedFrom(index Index) {
	if d.dirtyFrom == 0 || index < d.dirtyFrom {
		d.dirtyFrom = index
	}
}

// truncated notes that entries from index on are void.
func (d *disk) truncated(from Index) {
	d.durable = min(d.durable, from-1)
	for i := range d.marks {
		d.marks[i].last = min(d.marks[i].last, from-1)
	}
}

func (d *disk) dirty() bool {
	return d.dirtyHard || d.dirtySnapshot || d.dirtyFrom != 0
}

// sendStored sends a message once all state as of this event is on disk. A
// message to this member itself is taken at that time.
func (c *Core) sendStored(to MemberID, term Term, body Body) {
	c.disk.fresh = append(c.disk.fresh, Message{From: c.config.Self, To: to, Term: term, Body: body})
}

// flushDisk issues a Persist for what changed and hands out the messages that
// wait for nothing.
func (c *Core) flushDisk() {
	if c.disk.dirty() {
		c.issuePersist()
	}
	fresh := c.disk.fresh
	c.disk.fresh = nil
	for _, message := range fresh {
		if c.disk.synced == c.disk.issued {
			c.emit(Send{Message: message})
			continue
		}
		if len(c.disk.waiting) >= c.config.MaxPendingMessages {
			c.emit(MessageDropped{From: c.config.Self, Reason: DropBusy})
			continue
		}
		c.disk.waiting = append(c.disk.waiting, waitingMessage{sequence: c.disk.issued, message: message})
	}
}

func (c *Core) issuePersist() {
	d := &c.disk
	d.issued++
	persist := Persist{Sequence: d.issued, Commit: c.commit}
	if d.dirtyHard {
		hard := c.hard
		persist.HardState = &hard
	}
	if d.dirtySnapshot {
		snapshot := c.log.snapshot
		persist.Snapshot = &snapshot
		persist.Reset = d.dirtyReset
	}
	if d.dirtyReset {
		d.restore = &waitingRestore{sequence: d.issued, snapshot: c.log.snapshot}
	}
	if d.dirtyFrom != 0 {
		persist.Entries = c.log.slice(d.dirtyFrom, int(c.log.lastIndex()-d.dirtyFrom)+1)
	}
	d.marks = append(d.marks, diskMark{sequence: d.issued, last: c.log.lastIndex()})
	d.dirtyHard, d.dirtySnapshot, d.dirtyReset, d.dirtyFrom = false, false, false, 0
	c.emit(persist)
}

// persisted takes the report that all up to sequence is synced.
func (c *Core) persisted(sequence Sequence) {
	d := &c.disk
	d.synced = max(d.synced, min(sequence, d.issued))
	for len(d.marks) > 0 && d.marks[0].sequence <= d.synced {
		d.durable = d.marks[0].last
		d.marks = d.marks[1:]
	}
	c.finishRestore()
	c.releaseWaiting()
	if c.role == Leader {
		c.leading.progress[c.config.Self].advance(d.durable)
	}
}

func (c *Core) finishRestore() {
	restore := c.disk.restore
	if restore == nil || restore.sequence > c.disk.synced {
		return
	}
	c.disk.restore = nil
	c.applied = restore.snapshot.Index
	c.emit(Restore{Snapshot: restore.snapshot})
}

func (c *Core) releaseWaiting() {
	for len(c.disk.waiting) > 0 && c.disk.waiting[0].sequence <= c.disk.synced {
		message := c.disk.waiting[0].message
		c.disk.waiting = c.disk.waiting[1:]
		if message.To == c.config.Self {
			c.receive(message)
			continue
		}
		c.emit(Send{Message: message})
	}
}
