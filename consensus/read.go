package consensus

// waitingRead is a read that waits for a quorum to confirm this leader.
type waitingRead struct {
	tag Tag
	// round is the heartbeat round that a quorum must confirm.
	round uint64
	// index is the read index, which must be applied first.
	index Index
}

// readBarrier queues a read, or refuses it.
func (c *Core) readBarrier(tag Tag) {
	switch {
	case c.role != Leader:
		c.refuse(tag, RefusedNotLeader)
	case !c.committedInTerm():
		c.refuse(tag, RefusedNotReady)
	case len(c.leaderState.reads) >= c.config.MaxReads:
		c.refuse(tag, RefusedBusy)
	default:
		c.queueRead(tag)
	}
}

// queueRead makes a read wait for the next round. Reads that arrive while a round is
// unconfirmed share the next one.
func (c *Core) queueRead(tag Tag) {
	unconfirmed := c.leaderState.round > c.confirmedRound()
	c.leaderState.reads = append(c.leaderState.reads, waitingRead{tag: tag, round: c.leaderState.round + 1, index: c.commit})
	if !unconfirmed {
		c.heartbeat()
	}
}

// confirmReads answers the reads whose round is confirmed and whose index is
// applied, and begins the round that the remaining reads wait for.
func (c *Core) confirmReads() {
	confirmed := c.confirmedRound()
	for len(c.leaderState.reads) > 0 {
		read := c.leaderState.reads[0]
		if read.round > confirmed || read.index > c.applied {
			break
		}
		c.leaderState.reads = c.leaderState.reads[1:]
		c.emit(ReadReady{Tag: read.tag, Index: read.index})
	}
	if len(c.leaderState.reads) > 0 && confirmed == c.leaderState.round && c.leaderState.reads[0].round > confirmed {
		c.heartbeat()
	}
}

// confirmedRound returns the latest round that a quorum has confirmed.
func (c *Core) confirmedRound() uint64 {
	membership := c.log.membership()
	confirmed := c.leaderState.round
	for confirmed > 0 && !c.roundHasQuorum(membership, confirmed) {
		confirmed = c.roundBelow(membership, confirmed)
	}
	return confirmed
}

func (c *Core) roundHasQuorum(membership Membership, round uint64) bool {
	count := 0
	for _, voter := range membership.Voters() {
		if voter == c.config.Self || c.leaderState.progress[voter].round >= round {
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
		confirmed := c.leaderState.progress[voter].round
		if voter != c.config.Self && confirmed < round {
			below = max(below, confirmed)
		}
	}
	return below
}
