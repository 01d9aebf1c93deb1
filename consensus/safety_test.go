package consensus

// recordCommitted records the entries that the node has committed. It checks state
// machine safety: no two nodes commit different entries at the same index.
func (c *cluster) recordCommitted(n *node) {
	for index := n.core.log.firstIndex(); index <= n.core.commit; index++ {
		entry := n.core.log.slice(index, 1)[0]
		known, ok := c.committed[index]
		if ok && (known.entry.Term != entry.Term || string(known.entry.Command) != string(entry.Command)) {
			c.t.Fatalf("%s committed a different entry at %d", n.id, index)
		}
		if !ok {
			hash := nextHash(c.committed[index-1].hash, entry)
			c.committed[index] = committedEntry{entry: entry, term: n.core.hardState.Term, hash: hash}
			c.highestCommitted = index
			if entry.Kind == EntryMembership {
				c.committedMembership = entry.Membership
			}
		}
	}
}

// recordLeader checks election safety and leader completeness.
func (c *cluster) recordLeader(n *node, change RoleChanged) {
	if change.Role != Leader {
		return
	}
	if other, ok := c.leaders[change.Term]; ok {
		c.t.Fatalf("%s and %s were both elected in term %d", other, n.id, change.Term)
	}
	c.leaders[change.Term] = n.id
	for index := n.core.log.firstIndex(); index <= c.highestCommitted; index++ {
		known := c.committed[index]
		term, ok := n.core.log.term(index)
		if known.term < change.Term && (!ok || term != known.entry.Term) {
			c.t.Fatalf("%s was elected in term %d without entry %d, committed in term %d", n.id, change.Term, index, known.term)
		}
	}
}

// checkLogs compares the logs of all pairs of nodes that are up.
func (c *cluster) checkLogs() {
	for i, a := range c.nodes {
		for _, b := range c.nodes[i+1:] {
			if a.up && b.up {
				c.checkLogMatching(a, b)
			}
		}
	}
}

// checkLogMatching checks that two logs which share an entry of the same index and
// term are identical up to there.
func (c *cluster) checkLogMatching(a, b *node) {
	low := max(a.core.log.firstIndex(), b.core.log.firstIndex())
	matched := false
	for index := min(a.core.log.lastIndex(), b.core.log.lastIndex()); index >= low; index-- {
		left := a.core.log.slice(index, 1)[0]
		right := b.core.log.slice(index, 1)[0]
		same := left.Term == right.Term
		if matched && !same {
			c.t.Fatalf("logs of %s and %s differ at %d, below a match", a.id, b.id, index)
		}
		if same && string(left.Command) != string(right.Command) {
			c.t.Fatalf("%s and %s hold different commands at %d in term %d", a.id, b.id, index, left.Term)
		}
		matched = matched || same
	}
}

// checkRounds checks that no member has confirmed a round that the leader hasn't begun.
func (c *cluster) checkRounds(n *node) {
	if n.core.role != Leader {
		return
	}
	for member, p := range n.core.leaderState.progress {
		if p.round > n.core.leaderState.round {
			c.t.Fatalf("%s has begun round %d, but counts %d as confirmed by %s", n.id, n.core.leaderState.round, p.round, member)
		}
	}
}
