package consensus

// waitingRead is a read that waits for a quorum to confirm the leader.
type waitingRead struct {
	tag Tag
	// round must be confirmed by a quorum.
	round uint64
	// index must have been applied.
	index Index
}

// readBarrier begins to confirm that this member leads, or refuses.
func (c *Core) readBarrier(tag Tag) {
	switch {
	case c.role != Leader:
		c.refuse(tag, RefusedNotLeader)
	case !c.ready():
		c.refuse(tag, RefusedNotReady)
	case len(c.leading.reads) >= c.config.MaxReads:
		c.refuse(tag, RefusedBusy)
	default:
		c.queueRead(tag)
	}
}

// queueRead lets the read wait for a round that begins after it. Reads that come
// while a round is under way share the next one.
func (c *Core) queueRead(tag Tag) {
	underWay := c.leading.round > c.confirmedRound()
	c.leading.reads = append(c.leading.reads, waitingRead{tag: tag, round: c.leading.round + 1, index: c.commit})
	if !underWay {
		c.heartbeat()
	}
}

// confirmReads answers the reads whose round a quorum has confirmed, and begins
// the round that the rest waits for.
func (c *Core) confirmReads() {
	confirmed := c.confirmedRound()
	for len(c.leading.reads) > 0 {
		read := c.leading.reads[0]
		if read.round > confirmed || read.index > c.applied {
			break
		}
		c.leading.reads = c.leading.reads[1:]
		c.emit(ReadReady{Tag: read.tag, Index: read.index})
	}
	if len(c.leading.reads) > 0 && confirmed == c.leading.round && c.leading.reads[0].round > confirmed {
		c.heartbeat()
	}
}

// confirmedRound returns the latest round that a quorum has confirmed.
func (c *Core) confirmedRound() uint64 {
	membership := c.log.membership()
	confirmed := c.leading.round
	for confirmed > 0 && !c.roundHasQuorum(membership, confirmed) {
		confirmed = c.roundBelow(membership, confirmed)
	}
	return confirmed
}

func (c *Core) roundHasQuorum(membership Membership, round uint64) bool {
	count := 0
	for _, voter := range membership.Voters() {
		if voter == c.config.Self || c.leading.progress[voter].round >= round {
			count++
		}
	}
	return count >= membership.Quorum()
}

// roundBelow returns the highest round below the given one that any voter has
// confirmed.
func (c *Core) roundBelow(membership Membership, round uint64) uint64 {
	var below uint64
	for _, voter := range membership.Voters() {
		confirmed := c.leading.progress[voter].round
		if voter != c.config.Self && confirmed < round {
			below = max(below, confirmed)
		}
	}
	return below
}
