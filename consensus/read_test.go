package consensus

import (
	"slices"
	"testing"
	"time"
)

// elect makes a node the leader by an election that the present leader requests.
func (c *cluster) elect(n *node) {
	c.t.Helper()
	for range 10 {
		leader := c.leaderNode()
		if leader == n {
			return
		}
		if leader != nil {
			c.handle(n, Received{Message: Message{From: leader.id, To: n.id, Term: n.core.hardState.Term, Body: CampaignNow{}}})
		}
		c.runFor(time.Second)
	}
	c.t.Fatalf("%s was not elected", n.id)
}

// heldBack removes the messages from one node to another from the network.
func (c *cluster) heldBack(from, to *node) []Message {
	var held []Message
	c.network = slices.DeleteFunc(c.network, func(m Message) bool {
		matches := m.From == from.id && m.To == to.id
		if matches {
			held = append(held, m)
		}
		return matches
	})
	return held
}

// A follower that woke up handled a heartbeat of its leader's earlier term, and its reply
// in the present term carried the earlier term's round, a far higher one. The leader, which
// had restarted meanwhile, then counted rounds as confirmed that it hadn't begun, and
// answered reads without a quorum: after a freeze, with a configuration that another
// leader had replaced.
func TestHeartbeatOfAnEarlierTermConfirmsNoRound(t *testing.T) {
	c := newCluster(t, 3)
	c.runFor(5 * time.Second)
	leader := c.leaderNode()
	follower := c.nodes[0]
	if follower == leader {
		follower = c.nodes[1]
	}
	c.network = nil
	c.handle(leader, ReadBarrier{Tag: c.newTag()})
	late := c.heldBack(leader, follower)
	if len(late) == 0 {
		t.Fatal("no heartbeat was sent")
	}
	c.crash(leader, len(leader.unsynced))
	c.runFor(3 * time.Second)
	c.start(leader)
	c.runFor(time.Second)
	c.elect(leader)

	c.network = late
	for len(c.network) > 0 {
		c.deliver(0)
	}
	c.isolate(leader)
	read := c.read(leader)
	if _, ready := c.ready[read]; ready {
		t.Fatal("a read was answered though no other member has confirmed its round")
	}
	c.heal()
	c.runFor(time.Second)
	if _, ready := c.ready[read]; !ready {
		t.Fatal("a read was not answered once the others could confirm its round")
	}
}
