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

// testingT is the part of testing.T and rapid.T that the cluster needs.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// node is one instance of the cluster with a disk that loses unsynced writes.
type node struct {
	id   MemberID
	up   bool
	core *Core
	disk Stored
	// frozen is set while the process stands still. Its events wait in held.
	frozen   bool
	held     []Event
	unsynced []Persist
	// index and hash are the state machine: the last applied index and a hash over
	// all applied entries.
	index Index
	hash  uint64
}

type link struct{ from, to core.InstanceID }

// committedEntry is an entry that some node has committed.
type committedEntry struct {
	entry Entry
	// term is the term of the first node that committed the entry.
	term Term
	hash uint64
}

// cluster runs cores over a simulated network and disks with injected faults, and
// checks Raft's safety properties after every event.
type cluster struct {
	t               testingT
	now             time.Time
	nodes           []*node
	network         []Message
	cut             map[link]bool
	nextTag         Tag
	nextIncarnation Incarnation

	leaders          map[Term]MemberID
	committed        map[Index]committedEntry
	highestCommitted Index
	// committedMembership is the most recently committed membership.
	committedMembership Membership
	committedTags       map[Tag]Index
	refused             map[Tag]Refusal
	ready               map[Tag]Index
	// readFloor is the highest committed index at the start of each read.
	readFloor map[Tag]Index
	lostDisks map[MemberID]bool
	dropped   []MessageDropped
	changes   []RoleChanged
}

func newCluster(t testingT, size int) *cluster {
	c := &cluster{
		t: t, now: time.Unix(1_000_000, 0), cut: map[link]bool{},
		leaders: map[Term]MemberID{}, committed: map[Index]committedEntry{},
		committedTags: map[Tag]Index{}, refused: map[Tag]Refusal{}, ready: map[Tag]Index{},
		readFloor: map[Tag]Index{}, lostDisks: map[MemberID]bool{},
	}
	var members []Member
	for i := range size {
		c.nextIncarnation++
		id := MemberID{Instance: core.InstanceID("c" + strconv.Itoa(i)), Incarnation: c.nextIncarnation}
		members = append(members, Member{ID: id, Role: RoleVoter})
	}
	base := Snapshot{Index: 1, Term: 1, Membership: Membership{Members: members}}
	c.committed[1] = committedEntry{entry: Entry{Index: 1, Term: 1}, term: 1}
	c.highestCommitted = 1
	c.committedMembership = base.Membership
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

// start starts a node from the content of its disk.
func (c *cluster) start(n *node) {
	n.up = true
	n.frozen, n.held = false, nil
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

// crash stops a node, which loses all unsynced writes except the first keep.
func (c *cluster) crash(n *node, keep int) {
	for _, persist := range n.unsynced[:keep] {
		n.store(persist)
	}
	n.up = false
	n.frozen, n.held = false, nil
	n.unsynced = nil
	n.core = nil
}

// thaw lets a frozen node handle the events that have waited, in any order, since they
// come from several connections and timers.
func (c *cluster) thaw(n *node, random *rand.Rand) {
	held := append(n.held, DeadlineReached{})
	n.frozen, n.held = false, nil
	random.Shuffle(len(held), func(i, j int) { held[i], held[j] = held[j], held[i] })
	for _, event := range held {
		c.handle(n, event)
	}
}

// wipe restarts a node with an empty disk under a new incarnation.
func (c *cluster) wipe(n *node) {
	c.lostDisks[n.id] = true
	c.nextIncarnation++
	n.id.Incarnation = c.nextIncarnation
	n.disk = Stored{}
	c.start(n)
}

// store writes a Persist to the disk.
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

// handle passes an event to a node, carries out the actions and checks the safety
// properties. The events of a frozen node wait.
func (c *cluster) handle(n *node, event Event) {
	if n.frozen {
		n.held = append(n.held, event)
		return
	}
	actions := n.core.Handle(c.now, event)
	c.recordCommitted(n)
	for _, action := range actions {
		c.carryOut(n, action)
	}
	c.checkLogs()
	c.checkRounds(n)
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
		c.committedTags[a.Tag] = a.Index
		if n.index < a.Index {
			c.t.Fatalf("%s reported %d as committed before applying it", n.id, a.Index)
		}
	case Refused:
		c.refused[a.Tag] = a.Refusal
	case ReadReady:
		c.ready[a.Tag] = a.Index
		if n.index < c.readFloor[a.Tag] {
			c.t.Fatalf("%s answered a read at %d, but %d was committed when the read started", n.id, n.index, c.readFloor[a.Tag])
		}
	case RoleChanged:
		c.changes = append(c.changes, a)
		c.recordLeader(n, a)
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
		c.t.Fatalf("state of %s at %d differs from the committed state", n.id, n.index)
	}
}

// hashOf decodes the state machine's hash from a snapshot's state.
func hashOf(state []byte) uint64 {
	hash, _ := strconv.ParseUint(string(state), 10, 64)
	return hash
}

func nextHash(before uint64, entry Entry) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, before, entry.Index, entry.Term, entry.Kind, string(entry.Command))
	return h.Sum64()
}

// deliver delivers message i of the network, unless its link is cut or its addressee
// is down. A message for an older incarnation reaches the current incarnation of the
// instance.
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

// advance moves time forward and handles the deadlines that it reaches.
func (c *cluster) advance(by time.Duration) {
	c.now = c.now.Add(by)
	for _, n := range c.nodes {
		if !n.up || n.frozen {
			continue
		}
		due, ok := n.core.Deadline()
		if ok && !due.After(c.now) {
			c.handle(n, DeadlineReached{})
		}
	}
}

// runFor runs the cluster for d without further faults: disks sync, messages arrive
// in order, and time passes. Cut links and stopped nodes stay as they are.
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
		if n.up && n.core.role == Leader && (found == nil || n.core.hardState.Term > found.core.hardState.Term) {
			found = n
		}
	}
	return found
}

func (c *cluster) newTag() Tag {
	c.nextTag++
	return c.nextTag
}

func (c *cluster) propose(n *node) Tag {
	tag := c.newTag()
	c.handle(n, Propose{Tag: tag, Command: []byte(fmt.Sprint("command ", tag))})
	return tag
}

func (c *cluster) read(n *node) Tag {
	tag := c.newTag()
	c.readFloor[tag] = c.highestCommitted
	c.handle(n, ReadBarrier{Tag: tag})
	return tag
}

func (c *cluster) snapshot(n *node) {
	c.handle(n, SnapshotTaken{Index: n.index, State: []byte(strconv.FormatUint(n.hash, 10))})
}

// join makes the leader add a node that isn't a member.
func (c *cluster) join(leader, n *node) Tag {
	tag := c.newTag()
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

// canWipe reports whether the group keeps a quorum without the node's disk, in the
// last committed membership and in every later one in any log or message.
func (c *cluster) canWipe(n *node) bool {
	if !c.keepsQuorum(c.committedMembership, n.id) {
		return false
	}
	for _, entry := range c.pendingEntries() {
		pending := entry.Kind == EntryMembership && entry.Index > c.highestCommitted
		if pending && !c.keepsQuorum(entry.Membership, n.id) {
			return false
		}
	}
	return true
}

// keepsQuorum reports whether a quorum of voters with intact disks remains after the
// given member has lost its disk.
func (c *cluster) keepsQuorum(membership Membership, lost MemberID) bool {
	left := 0
	for _, voter := range membership.Voters() {
		if voter != lost && !c.lostDisks[voter] {
			left++
		}
	}
	return left >= membership.Quorum()
}

// pendingEntries returns all entries in logs, on disks and in messages in flight.
func (c *cluster) pendingEntries() []Entry {
	var entries []Entry
	for _, n := range c.nodes {
		entries = append(entries, n.disk.Entries...)
		if n.up {
			entries = append(entries, n.core.log.entries...)
		}
	}
	for _, m := range c.messages() {
		if body, ok := m.Body.(Append); ok {
			entries = append(entries, body.Entries...)
		}
	}
	return entries
}

// messages returns all messages in flight, and those that wait for frozen nodes.
func (c *cluster) messages() []Message {
	messages := slices.Clone(c.network)
	for _, n := range c.nodes {
		for _, event := range n.held {
			if received, ok := event.(Received); ok {
				messages = append(messages, received.Message)
			}
		}
	}
	return messages
}
