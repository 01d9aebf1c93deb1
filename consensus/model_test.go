package consensus

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSafetyAndRecoveryUnderFaults runs three to five cores with lost, duplicated,
// reordered and delayed messages, one-way partitions, processes that stand still,
// crashes that lose unsynced writes, lost disks, snapshots and membership changes. The
// cluster checks election safety, log matching, leader completeness, state machine safety and
// linearizable reads after every event. At the end the faults stop, and the group
// must elect a leader, commit a proposal and converge.
func TestSafetyAndRecoveryUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.IntRange(3, 5).Draw(t, "size"))
		c.runFor(2 * time.Second)
		m := &modelActions{c: c}
		t.Repeat(map[string]func(*rapid.T){
			"stress":   m.stress,
			"stress2":  m.stress,
			"stress3":  m.stress,
			"stress4":  m.stress,
			"run":      m.run,
			"advance":  m.advance,
			"restart":  m.restart,
			"restart2": m.restart,
			"stop":     m.stop,
			"freeze":   m.freeze,
			"thaw":     m.thaw,
			"wipe":     m.wipe,
			"join":     m.join,
			"remove":   m.remove,
			"cut":      m.cut,
			"isolate":  m.isolate,
			"heal":     m.heal,
			"snapshot": m.snapshot,
			"transfer": m.transfer,
		})
		c.mustRecover()
	})
}

// modelActions holds the actions that rapid draws from.
type modelActions struct{ c *cluster }

// pick draws a node that is up, or skips the action.
func (m *modelActions) pick(t *rapid.T) *node {
	n := m.c.nodes[rapid.IntRange(0, len(m.c.nodes)-1).Draw(t, "node")]
	if !n.up {
		t.Skip("node is down")
	}
	return n
}

// stress runs the cluster with lost, duplicated, reordered and delayed messages and
// slow disks, while clients send proposals and reads to every node that considers
// itself the leader.
func (m *modelActions) stress(t *rapid.T) {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	steps := rapid.IntRange(5, 150).Draw(t, "steps")
	disk := rapid.IntRange(2, 30).Draw(t, "disk")
	for range steps {
		m.stressStep(random, disk)
	}
}

// stressStep executes one random step; disk is the percentage of steps that sync a
// disk.
func (m *modelActions) stressStep(random *rand.Rand, disk int) {
	n := m.c.nodes[random.IntN(len(m.c.nodes))]
	roll := random.IntN(100)
	switch {
	case roll < disk && n.up:
		m.c.sync(n, random.IntN(len(n.unsynced)+1))
	case roll < 38 && n.up && n.core.role == Leader:
		m.c.propose(n)
	case roll < 44 && n.up && n.core.role == Leader:
		m.c.read(n)
	case roll < 50:
		m.c.advance(time.Duration(random.IntN(200)) * time.Millisecond)
	case len(m.c.network) > 0:
		m.stepNetwork(random)
	}
}

// stepNetwork delivers, loses or duplicates a message in flight.
func (m *modelActions) stepNetwork(random *rand.Rand) {
	i := random.IntN(min(len(m.c.network), 1+random.IntN(12)))
	roll := random.IntN(100)
	switch {
	case roll < 3:
		m.c.network = slices.Delete(m.c.network, i, i+1)
	case roll < 6:
		m.c.network = append(m.c.network, m.c.network[i])
	default:
		m.c.deliver(i)
	}
}

func (m *modelActions) run(t *rapid.T) {
	m.c.runFor(time.Duration(rapid.IntRange(0, 1200).Draw(t, "ms")) * time.Millisecond)
}

func (m *modelActions) advance(t *rapid.T) {
	m.c.advance(time.Duration(rapid.IntRange(1, 1100).Draw(t, "ms")) * time.Millisecond)
}

// stop crashes a node, which keeps a prefix of its unsynced writes.
func (m *modelActions) stop(t *rapid.T) {
	n := m.pick(t)
	m.c.crash(n, rapid.IntRange(0, len(n.unsynced)).Draw(t, "kept"))
}

// restart starts a node, after crashing it if it is up.
func (m *modelActions) restart(t *rapid.T) {
	n := m.c.nodes[rapid.IntRange(0, len(m.c.nodes)-1).Draw(t, "node")]
	if n.up {
		m.c.crash(n, rapid.IntRange(0, len(n.unsynced)).Draw(t, "kept"))
	}
	m.c.start(n)
}

// freeze makes a process stand still.
func (m *modelActions) freeze(t *rapid.T) { m.pick(t).frozen = true }

func (m *modelActions) thaw(t *rapid.T) {
	n := m.pick(t)
	if !n.frozen {
		t.Skip("node isn't frozen")
	}
	m.c.thaw(n, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2)))
}

func (m *modelActions) wipe(t *rapid.T) {
	n := m.c.nodes[rapid.IntRange(0, len(m.c.nodes)-1).Draw(t, "node")]
	if !m.c.canWipe(n) {
		t.Skip("the group would lose its quorum permanently")
	}
	m.c.wipe(n)
}

func (m *modelActions) join(t *rapid.T) {
	leader := m.c.leaderNode()
	n := m.pick(t)
	if leader == nil {
		t.Skip("no leader")
	}
	m.c.join(leader, n)
}

func (m *modelActions) remove(t *rapid.T) {
	leader := m.c.leaderNode()
	n := m.pick(t)
	if leader == nil {
		t.Skip("no leader")
	}
	next := leader.core.log.membership().without(n.id)
	if len(next.Voters()) < 2 || !m.c.keepsQuorum(next, MemberID{}) {
		t.Skip("the group would lose its quorum permanently")
	}
	m.c.handle(leader, RemoveMember{Tag: m.c.newTag(), ID: n.id})
}

func (m *modelActions) cut(t *rapid.T) {
	from := m.c.nodes[rapid.IntRange(0, len(m.c.nodes)-1).Draw(t, "from")]
	to := m.c.nodes[rapid.IntRange(0, len(m.c.nodes)-1).Draw(t, "to")]
	m.c.cut[link{from: from.id.Instance, to: to.id.Instance}] = true
}

func (m *modelActions) isolate(t *rapid.T) { m.c.isolate(m.pick(t)) }

func (m *modelActions) heal(*rapid.T) { m.c.heal() }

func (m *modelActions) snapshot(t *rapid.T) { m.c.snapshot(m.pick(t)) }

func (m *modelActions) transfer(t *rapid.T) { m.c.handle(m.pick(t), TransferLeadership{}) }

// mustRecover ends all faults and requires the whole group to recover, with every
// instance a voter again.
func (c *cluster) mustRecover() {
	c.heal()
	for _, n := range c.nodes {
		switch {
		case !n.up:
			c.start(n)
		case n.frozen:
			c.thaw(n, rand.New(rand.NewPCG(1, 2)))
		}
	}
	for range 4 * len(c.nodes) {
		c.runFor(3 * time.Second)
		c.joinMissing()
	}
	c.runFor(3 * time.Second)
	leader := c.leaderNode()
	if leader == nil {
		c.t.Fatalf("no leader was elected after the faults ended")
	}
	tag := c.propose(leader)
	read := c.read(leader)
	c.runFor(time.Second)
	if _, ok := c.committedTags[tag]; !ok {
		c.t.Fatalf("a proposal was not committed after the faults ended")
	}
	if _, ok := c.ready[read]; !ok {
		c.t.Fatalf("a read was not answered after the faults ended")
	}
	for _, n := range c.nodes {
		if n.index != leader.index {
			c.t.Fatalf("%s has applied up to %d, the leader up to %d", n.id, n.index, leader.index)
		}
		if !leader.core.log.membership().IsVoter(n.id) {
			c.t.Fatalf("%s did not become a voter again", n.id)
		}
	}
}

// joinMissing adds one node that isn't a member. A removed node is wiped first, as a
// removed incarnation can't join again.
func (c *cluster) joinMissing() {
	leader := c.leaderNode()
	if leader == nil {
		return
	}
	membership := leader.core.log.membership()
	for _, n := range c.nodes {
		if _, member := membership.Find(n.id); member {
			continue
		}
		if membership.WasRemoved(n.id) {
			c.wipe(n)
		}
		c.join(leader, n)
		return
	}
}
