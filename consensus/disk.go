package consensus

// disk tracks what changed since the last Persist action, which Persist actions are
// outstanding, and what waits for them.
type disk struct {
	dirtyHardState bool
	dirtySnapshot  bool
	dirtyReset     bool
	// dirtyFrom is the lowest changed entry; zero means none.
	dirtyFrom Index

	issued Sequence
	synced Sequence
	// durable is the last index synced on the local disk.
	durable    Index
	unreported []unreportedPersist
	waiting    []waitingMessage
	// unsequenced holds the current event's messages, before its Persist is issued.
	unsequenced []Message
	restore     *waitingRestore
}

// unreportedPersist is an outstanding Persist, with the log's last index on disk
// once it is synced.
type unreportedPersist struct {
	sequence  Sequence
	lastIndex Index
}

type waitingMessage struct {
	sequence Sequence
	message  Message
}

type waitingRestore struct {
	sequence Sequence
	snapshot Snapshot
}

// changedFrom records that the log changed from index on.
func (d *disk) changedFrom(index Index) {
	if d.dirtyFrom == 0 || index < d.dirtyFrom {
		d.dirtyFrom = index
	}
}

// truncated records that the entries from index on are discarded.
func (d *disk) truncated(from Index) {
	d.durable = min(d.durable, from-1)
	for i := range d.unreported {
		d.unreported[i].lastIndex = min(d.unreported[i].lastIndex, from-1)
	}
}

func (d *disk) dirty() bool {
	return d.dirtyHardState || d.dirtySnapshot || d.dirtyFrom != 0
}

// sendAfterPersist sends a message once all state as of this event is synced. A
// message to this member itself is processed at that time.
func (c *Core) sendAfterPersist(to MemberID, term Term, body Body) {
	c.disk.unsequenced = append(c.disk.unsequenced, Message{From: c.config.Self, To: to, Term: term, Body: body})
}

// flushDisk issues a Persist for the changed state, then sends the event's messages
// or queues them until it is synced.
func (c *Core) flushDisk() {
	if c.disk.dirty() {
		c.issuePersist()
	}
	messages := c.disk.unsequenced
	c.disk.unsequenced = nil
	for _, message := range messages {
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
	if d.dirtyHardState {
		hard := c.hardState
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
	d.unreported = append(d.unreported, unreportedPersist{sequence: d.issued, lastIndex: c.log.lastIndex()})
	d.dirtyHardState, d.dirtySnapshot, d.dirtyReset, d.dirtyFrom = false, false, false, 0
	c.emit(persist)
}

// persisted handles the report that all Persist actions up to sequence are synced.
func (c *Core) persisted(sequence Sequence) {
	d := &c.disk
	d.synced = max(d.synced, min(sequence, d.issued))
	for len(d.unreported) > 0 && d.unreported[0].sequence <= d.synced {
		d.durable = d.unreported[0].lastIndex
		d.unreported = d.unreported[1:]
	}
	c.finishRestore()
	c.releaseWaiting()
	if c.role == Leader {
		c.leaderState.progress[c.config.Self].advance(d.durable)
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
