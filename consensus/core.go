package consensus

import (
	"math/rand/v2"
	"time"
)

// Config holds the settings of a core. Zero limits and durations mean the defaults.
type Config struct {
	Self MemberID
	// ElectionTimeout is the minimum time without contact with a leader before a
	// voter campaigns, and the maximum time a leader keeps its role without contact
	// with a quorum (check-quorum).
	ElectionTimeout time.Duration
	// HeartbeatInterval is the maximum time between heartbeats of a leader.
	HeartbeatInterval time.Duration
	// MaxAppendEntries is the maximum number of entries in one Append.
	MaxAppendEntries int
	// MaxInflight is the maximum number of unacknowledged non-empty Appends per member.
	MaxInflight int
	// MaxUncommitted is how many uncommitted entries make a leader refuse proposals.
	MaxUncommitted int
	// MaxReads is the maximum number of reads that wait for a quorum.
	MaxReads int
	// MaxPendingMessages is the maximum number of messages that wait for a Persist.
	MaxPendingMessages int
	// KeepEntries is the number of entries kept in memory before a snapshot's index.
	KeepEntries int
	// Random randomizes the election timeouts.
	Random *rand.Rand
}

// Defaults of Config.
const (
	DefaultElectionTimeout    = 500 * time.Millisecond
	DefaultHeartbeatInterval  = 100 * time.Millisecond
	DefaultMaxAppendEntries   = 256
	DefaultMaxInflight        = 16
	DefaultMaxUncommitted     = 4096
	DefaultMaxReads           = 4096
	DefaultMaxPendingMessages = 1024
	DefaultKeepEntries        = 256
)

func (c Config) withDefaults() Config {
	defaultDuration(&c.ElectionTimeout, DefaultElectionTimeout)
	defaultDuration(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	defaultInt(&c.MaxAppendEntries, DefaultMaxAppendEntries)
	defaultInt(&c.MaxInflight, DefaultMaxInflight)
	defaultInt(&c.MaxUncommitted, DefaultMaxUncommitted)
	defaultInt(&c.MaxReads, DefaultMaxReads)
	defaultInt(&c.MaxPendingMessages, DefaultMaxPendingMessages)
	defaultInt(&c.KeepEntries, DefaultKeepEntries)
	return c
}

func defaultDuration(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

func defaultInt(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

// Role is a member's Raft role in its term.
type Role uint8

const (
	// Follower receives entries from a leader. Learners are followers.
	Follower Role = iota + 1
	// PreCandidate requests pre-votes.
	PreCandidate
	// Candidate requests votes.
	Candidate
	// Leader appends entries to the log and replicates them.
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	default:
		return "unknown"
	}
}

// Core is the Raft state of one member.
type Core struct {
	config    Config
	log       *entryLog
	hardState HardState
	role      Role
	leader    MemberID
	commit    Index
	// applied is the last index passed to the driver by Apply or Restore.
	applied Index

	// lastLeaderContact is when a message from the leader was last accepted.
	lastLeaderContact time.Time
	electionDue       time.Time
	votes             map[MemberID]bool
	removed           bool

	// leaderState is set while this member leads.
	leaderState *leaderState
	disk        disk

	now     time.Time
	actions []Action
}

// New returns a core, a follower, that continues from the stored state.
func New(now time.Time, config Config, stored Stored) *Core {
	c := &Core{
		config:    config.withDefaults(),
		log:       newEntryLog(stored),
		hardState: stored.HardState,
		role:      Follower,
		commit:    stored.Snapshot.Index,
		now:       now,
	}
	c.applied = stored.Snapshot.Index
	c.disk.durable = c.log.lastIndex()
	c.commit = max(c.commit, min(stored.Commit, c.log.lastIndex()))
	// The first election timeout is shorter, so that a group whose members all
	// restart elects a leader soon. A member that restarts alone does no harm: its
	// pre-vote is refused.
	c.electionDue = now.Add(c.config.ElectionTimeout/4 + c.jitter(c.config.ElectionTimeout/4))
	return c
}

// Start returns the actions that apply the stored entries known to be committed. It
// is called once, before Handle.
func (c *Core) Start() []Action {
	c.actions = nil
	c.applyCommitted()
	return c.actions
}

// Handle processes one event at the given time and returns the actions to carry
// out, in order.
func (c *Core) Handle(now time.Time, event Event) []Action {
	c.now = now
	c.actions = nil
	switch e := event.(type) {
	case DeadlineReached:
		c.deadlineReached()
	case Received:
		c.receive(e.Message)
	case Persisted:
		c.persisted(e.Sequence)
	case Propose:
		c.propose(e.Tag, Entry{Kind: EntryCommand, Command: e.Command})
	case ReadBarrier:
		c.readBarrier(e.Tag)
	case AddMember:
		c.addMember(e)
	case RemoveMember:
		c.removeMember(e)
	case SnapshotTaken:
		c.snapshotTaken(e)
	case TransferLeadership:
		c.transferLeadership()
	}
	c.finishEvent()
	return c.actions
}

// finishEvent emits the actions that follow from the state after an event.
func (c *Core) finishEvent() {
	c.flushDisk()
	if c.role == Leader {
		c.advanceCommit()
	}
	c.applyCommitted()
	if c.role == Leader {
		c.confirmReads()
		c.promoteLearners()
		c.flushDisk()
	}
}

// Deadline returns when DeadlineReached is due next, and false if it isn't.
func (c *Core) Deadline() (time.Time, bool) {
	if c.role == Leader {
		return c.leaderDeadline(), true
	}
	return c.electionDue, c.mayCampaign()
}

func (c *Core) deadlineReached() {
	if c.role == Leader {
		c.leaderDeadlineReached()
		return
	}
	if c.mayCampaign() && !c.now.Before(c.electionDue) {
		c.campaign(true, false)
	}
}

// applyCommitted emits Apply for the entries that are committed and on the local disk.
func (c *Core) applyCommitted() {
	if c.disk.restore != nil {
		return
	}
	high := min(c.commit, c.disk.durable)
	if high <= c.applied {
		return
	}
	entries := c.log.between(c.applied, high)
	c.applied = high
	c.emit(Apply{Entries: entries})
	if c.role == Leader {
		c.completeProposals()
	}
}

// snapshotTaken replaces the stored snapshot and compacts the log.
func (c *Core) snapshotTaken(e SnapshotTaken) {
	term, known := c.log.term(e.Index)
	if e.Index > c.applied || e.Index <= c.log.snapshot.Index || !known {
		return
	}
	membership := c.log.membershipAt(e.Index)
	c.log.snapshot = Snapshot{Index: e.Index, Term: term, Membership: membership, State: e.State}
	c.disk.dirtySnapshot = true
	if keep := Index(c.config.KeepEntries); e.Index > keep {
		c.log.compact(e.Index - keep)
	}
}

// Status is a core's state for logs, metrics and operators.
type Status struct {
	Self       MemberID
	Role       Role
	Term       Term
	Leader     MemberID
	Commit     Index
	Applied    Index
	LastIndex  Index
	Membership Membership
	// Removed is set once another member has reported that this one was removed.
	Removed bool
	// Match holds the match index of each member. It is empty unless leading.
	Match []MemberMatch
}

// MemberMatch is a member's match index and when it last replied to the leader.
type MemberMatch struct {
	ID          MemberID
	Match       Index
	LastContact time.Time
}

// MembershipIndex returns the index of the membership in force.
func (c *Core) MembershipIndex() Index { return c.log.membershipIndex() }

// Status returns the core's current state.
func (c *Core) Status() Status {
	status := Status{
		Self: c.config.Self, Role: c.role, Term: c.hardState.Term, Leader: c.leader,
		Commit: c.commit, Applied: c.applied, LastIndex: c.log.lastIndex(),
		Membership: c.log.membership(), Removed: c.removed,
	}
	if c.role != Leader {
		return status
	}
	for _, member := range status.Membership.Members {
		p := c.leaderState.progress[member.ID]
		status.Match = append(status.Match, MemberMatch{ID: member.ID, Match: p.match, LastContact: p.lastContact})
	}
	return status
}

func (c *Core) emit(action Action) {
	c.actions = append(c.actions, action)
}

// send emits a message that depends on no unsynced state.
func (c *Core) send(to MemberID, term Term, body Body) {
	c.emit(Send{Message: Message{From: c.config.Self, To: to, Term: term, Body: body}})
}

// refuse answers a proposal, membership change or read with a refusal.
func (c *Core) refuse(tag Tag, reason RefusalReason) {
	leader, _ := c.log.membership().Find(c.leader)
	c.emit(Refused{Tag: tag, Refusal: Refusal{Reason: reason, Leader: leader}})
}
