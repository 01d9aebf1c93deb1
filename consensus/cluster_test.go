package consensus

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"zinniapulley.dev/core"
)

// failer is the part of testing.T and rapid.T that the cluster needs.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// node is one instance of the cluster with a disk that loses unsynced writes.
type node struct {
	id       MemberID
	up       bool
	core     *Core
	disk     Stored
	unsynced []Persist
	// index and hash are the state machine: what it applied last, and a hash
	// over all it applied.
	index Index
	hash  uint64
}

type link struct{ from, to core.InstanceID }

// committedEntry is what the cluster remembers of an entry that some member
// knew to be committed.
type committedEntry struct {
	entry Entry
	// term is that of the first member that knew.
	term Term
	hash uint64
}

// cluster runs cores over a network and disks that the test breaks at will, and
// checks the safety properties after every event.
type cluster struct {
	t       failer
	now     time.Time
	nodes   []*node
	network []Message
	cut     map[link]bool
	nextTag Tag
	nextInc Incarnation

	leaders   map[Term]MemberID
	committed map[Index]committedEntry
	highest   Index
	// membership is the one committed last.
	membership Membership
	accepted   map[Tag]Index
	refused    map[Tag]Refusal
	ready      map[Tag]Index
	// floor is, per read, what was committed when it was asked.
	floor     map[Tag]Index
	destroyed map[MemberID]bool
	dropped   []MessageDropped
	changes   []RoleChanged
}

func newCluster(t failer, size int) *cluster {
	c := &cluster{
		t: t, now: time.Unix(1_000_000, 0), cut: map[link]bool{},
		leaders: map[Term]MemberID{}, committed: map[Index]committedEntry{},
		accepted: map[Tag]Index{}, refused: map[Tag]Refusal{}, ready: map[Tag]Index{},
		floor: map[Tag]Index{}, destroyed: map[MemberID]bool{},
	}
	var members []Member
	for i := range size {
		c.nextInc++
		id := MemberID{Instance: core.InstanceID("c" + strconv.Itoa(i)), Incarnation: c.nextInc}
		members = append(members, Member{ID: id, Role: RoleVoter})
	}
	base := Snapshot{Index: 1, Term: 1, Membership: Membership{Members: members}}
	c.committed[1] = committedEntry{entry: Entry{Index: 1, Term: 1}, term: 1}
	c.highest = 1
	c.membership = base.Membership
	for _, member := range members {
		n := &node{id: member.ID, disk: Stored{HardState: HardState{Term: 1}, Snapshot: base}}
		c.nodes = append(c.nodes, n)
		c.start(n)
	}
	return c
}

func testConfig(id MemberID) Config {
	return Config{
		Self: id, Random: rand.New(rand.NewPCG(uint64(id.Incarnation), 7)),
		MaxAppendEntries: 3, MaxInflight: 4, KeepEntries: 2, MaxUncommitted: 64,
	}
}

// start brings a node up from what its disk holds.
func (c *cluster) start(n *node) {
	n.up = true
	n.unsynced = nil
	n.index = n.disk.Snapshot.Index
	n.hash = c.committed[n.index].hash
	n.core = New(c.now, testConfig(n.id), Stored{
		HardState: n.disk.HardState, Snapshot: n.disk.Snapshot, Entries: slices.Clone(n.disk.Entries), Commit: n.disk.Commit,
	})
	for _, action := range n.core.Start() {
		c.carryOut(n, action)
	}
}

// crash stops a node and loses the unsynced writes but for the first keep.
func (c *cluster) crash(n *node, keep int) {
	for _, persist := range n.unsynced[:keep] {
		n.store(persist)
	}
	n.up = false
	n.unsynced = nil
	n.core = nil
}

// wipe brings a node back with an empty disk, under a new incarnation.
func (c *cluster) wipe(n *node) {
	c.destroyed[n.id] = true
	c.nextInc++
	n.id.Incarnation = c.nextInc
	n.disk = Stored{}
	c.start(n)
}

// store takes a Persist onto the disk.
func (n *node) store(p Persist) {
	if p.HardState != nil {
		n.disk.HardState = *p.HardState
	}
	if p.Snapshot != nil {
		n.disk.Snapshot = *p.Snapshot
		if p.Reset {
			n.disk.Entries = nil
		}
	}
	n.disk.Commit = max(n.disk.Commit, p.Commit)
	if len(p.Entries) > 0 {
		from := p.Entries[0].Index
		n.disk.Entries = slices.DeleteFunc(slices.Clone(n.disk.Entries), func(e Entry) bool { return e.Index >= from })
		n.disk.Entries = append(n.disk.Entries, p.Entries...)
	}
	base := n.disk.Snapshot.Index
	n.disk.Entries = slices.DeleteFunc(slices.Clone(n.disk.Entries), func(e Entry) bool { return e.Index <= base })
}

// sync stores the first count unsynced writes and reports them.
func (c *cluster) sync(n *node, count int) {
	done := n.unsynced[:count]
	n.unsynced = n.unsynced[count:]
	for _, persist := range done {
		n.store(persist)
	}
	if count > 0 {
		c.handle(n, Persisted{Sequence: done[count-1].Sequence})
	}
}

// handle gives a node an event, carries out the actions and checks all.
func (c *cluster) handle(n *node, event Event) {
	actions := n.core.Handle(c.now, event)
	c.noteCommitted(n)
	for _, action := range actions {
		c.carryOut(n, action)
	}
	c.check()
}

func (c *cluster) carryOut(n *node, action Action) {
	switch a := action.(type) {
	case Persist:
		n.unsynced = append(n.unsynced, a)
	case Send:
		c.network = append(c.network, a.Message)
	case Apply:
		c.apply(n, a.Entries)
	case Restore:
		n.index = a.Snapshot.Index
		n.hash = hashOf(a.Snapshot.State)
		c.compareState(n)
	case Committed:
		c.accepted[a.Tag] = a.Index
		if n.index < a.Index {
			c.t.Fatalf("%s accepted %d before it applied it", n.id, a.Index)
		}
	case Refused:
		c.refused[a.Tag] = a.Refusal
	case ReadReady:
		c.ready[a.Tag] = a.Index
		if n.index < c.floor[a.Tag] {
			c.t.Fatalf("%s answered a read at %d, but %d was committed when it was asked", n.id, n.index, c.floor[a.Tag])
		}
	case RoleChanged:
		c.changes = append(c.changes, a)
		c.noteLeader(n, a)
	case MessageDropped:
		c.dropped = append(c.dropped, a)
	}
}

func (c *cluster) apply(n *node, entries []Entry) {
	for _, entry := range entries {
		if entry.Index != n.index+1 {
			c.t.Fatalf("%s applied %d after %d", n.id, entry.Index, n.index)
		}
		n.index = entry.Index
		n.hash = nextHash(n.hash, entry)
	}
	c.compareState(n)
}

func (c *cluster) compareState(n *node) {
	if want := c.committed[n.index].hash; n.hash != want {
		c.t.Fatalf("%s has another state at %d than was committed", n.id, n.index)
	}
}

// hashOf decodes a snapshot's state, which is a state machine's hash.
func hashOf(state []byte) uint64 {
	hash, _ := strconv.ParseUint(string(state), 10, 64)
	return hash
}

func nextHash(before uint64, entry Entry) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, before, entry.Index, entry.Term, entry.Kind, string(entry.Command))
	return h.Sum64()
}

// noteCommitted remembers what the node knows to be committed. State machine
// safety: nobody ever knows another entry at that index.
func (c *cluster) noteCommitted(n *node) {
	for index := n.core.log.firstIndex(); index <= n.core.commit; index++ {
		entry := n.core.log.slice(index, 1)[0]
		known, ok := c.committed[index]
		if ok && (known.entry.Term != entry.Term || string(known.entry.Command) != string(entry.Command)) {
			c.t.Fatalf("%s committed another entry at %d", n.id, index)
		}
		if !ok {
			hash := nextHash(c.committed[index-1].hash, entry)
			c.committed[index] = committedEntry{entry: entry, term: n.core.hard.Term, hash: hash}
			c.highest = index
			if entry.Kind == EntryMembership {
				c.membership = entry.Membership
			}
		}
	}
}

// noteLeader checks election safety and leader completeness.
func (c *cluster) noteLeader(n *node, change RoleChanged) {
	if change.Role != Leader {
		return
	}
	if other, ok := c.leaders[change.Term]; ok {
		c.t.Fatalf("%s and %s were both elected in term %d", other, n.id, change.Term)
	}
	c.leaders[change.Term] = n.id
	for index := n.core.log.firstIndex(); index <= c.highest; index++ {
		known := c.committed[index]
		term, ok := n.core.log.term(index)
		if known.term < change.Term && (!ok || term != known.entry.Term) {
			c.t.Fatalf("%s was elected in term %d without entry %d, committed in term %d", n.id, change.Term, index, known.term)
		}
	}
}

// check compares the logs of all pairs of nodes that are up.
func (c *cluster) check() {
	for i, a := range c.nodes {
		for _, b := range c.nodes[i+1:] {
			if a.up && b.up {
				c.checkLogMatching(a, b)
			}
		}
	}
}

// checkLogMatching: if two logs have an entry of the same index and term, they
// are the same up to there.
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

// deliver hands over message i of the network, unless its link is cut or its
// addressee is down. A message for an older incarnation reaches the process that
// now runs at its place.
func (c *cluster) deliver(i int) {
	m := c.network[i]
	c.network = slices.Delete(c.network, i, i+1)
	if c.cut[link{from: m.From.Instance, to: m.To.Instance}] {
		return
	}
	for _, n := range c.nodes {
		if n.id.Instance == m.To.Instance && n.up {
			c.handle(n, Received{Message: m})
		}
	}
}

// advance moves time and wakes the nodes whose deadline has come.
func (c *cluster) advance(by time.Duration) {
	c.now = c.now.Add(by)
	for _, n := range c.nodes {
		if !n.up {
			continue
		}
		due, ok := n.core.Deadline()
		if ok && !due.After(c.now) {
			c.handle(n, DeadlineReached{})
		}
	}
}

// runFor lets the cluster work without further faults: disks sync, messages
// arrive in order, and time passes. Cuts and stopped nodes stay.
func (c *cluster) runFor(d time.Duration) {
	end := c.now.Add(d)
	for !c.now.After(end) {
		for len(c.network) > 0 {
			c.deliver(0)
			c.syncAll()
		}
		c.syncAll()
		if len(c.network) == 0 {
			c.advance(10 * time.Millisecond)
		}
	}
}

func (c *cluster) syncAll() {
	for _, n := range c.nodes {
		if n.up {
			c.sync(n, len(n.unsynced))
		}
	}
}

// leaderNode returns the leader of the highest term, or nil.
func (c *cluster) leaderNode() *node {
	var found *node
	for _, n := range c.nodes {
		if n.up && n.core.role == Leader && (found == nil || n.core.hard.Term > found.core.hard.Term) {
			found = n
		}
	}
	return found
}

func (c *cluster) tag() Tag {
	c.nextTag++
	return c.nextTag
}

func (c *cluster) propose(n *node) Tag {
	tag := c.tag()
	c.handle(n, Propose{Tag: tag, Command: []byte(fmt.Sprint("command ", tag))})
	return tag
}

func (c *cluster) read(n *node) Tag {
	tag := c.tag()
	c.floor[tag] = c.highest
	c.handle(n, ReadBarrier{Tag: tag})
	return tag
}

func (c *cluster) snapshot(n *node) {
	c.handle(n, SnapshotTaken{Index: n.index, State: []byte(strconv.FormatUint(n.hash, 10))})
}

// join asks the leader to add a node that is no member.
func (c *cluster) join(leader, n *node) Tag {
	tag := c.tag()
	c.handle(leader, AddMember{Tag: tag, ID: n.id, Address: netip.MustParseAddrPort("127.0.0.1:1")})
	return tag
}

// isolate cuts all links to and from a node.
func (c *cluster) isolate(n *node) {
	for _, other := range c.nodes {
		c.cut[link{from: n.id.Instance, to: other.id.Instance}] = true
		c.cut[link{from: other.id.Instance, to: n.id.Instance}] = true
	}
}

func (c *cluster) heal() {
	c.cut = map[link]bool{}
}

// mayWipe reports whether the group keeps a quorum without the node's disk, by
// the membership committed last and by every later one in any log.
func (c *cluster) mayWipe(n *node) bool {
	if !c.keepsQuorum(c.membership, n.id) {
		return false
	}
	for _, entry := range c.pendingEntries() {
		pending := entry.Kind == EntryMembership && entry.Index > c.highest
		if pending && !c.keepsQuorum(entry.Membership, n.id) {
			return false
		}
	}
	return true
}

// keepsQuorum reports whether a majority of the voters still has its disk once
// the given member has lost its own.
func (c *cluster) keepsQuorum(membership Membership, lost MemberID) bool {
	left := 0
	for _, voter := range membership.Voters() {
		if voter != lost && !c.destroyed[voter] {
			left++
		}
	}
	return left >= membership.Quorum()
}

// pendingEntries returns all that is in logs and under way.
func (c *cluster) pendingEntries() []Entry {
	var entries []Entry
	for _, n := range c.nodes {
		entries = append(entries, n.disk.Entries...)
		if n.up {
			entries = append(entries, n.core.log.entries...)
		}
	}
	for _, m := range c.network {
		if body, ok := m.Body.(Append); ok {
			entries = append(entries, body.Entries...)
		}
	}
	return entries
}
