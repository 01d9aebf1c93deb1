package consensus

import (
	"math/rand/v2"
	"time"
)

// Config holds the settings of a core. Zero values of the limits and durations
// take the defaults.
type Config struct {
	Self MemberID
	// ElectionTimeout is the shortest time without a leader before a voter
	// campaigns, and the longest a leader leads without hearing of a quorum.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the longest time between messages of a leader.
	HeartbeatInterval time.Duration
	// MaxAppendEntries is the most entries in one message.
	MaxAppendEntries int
	// MaxInflight is the most unanswered messages with entries per member.
	MaxInflight int
	// MaxUncommitted is the most entries that wait for a quorum.
	MaxUncommitted int
	// MaxReads is the most reads that wait for a quorum.
	MaxReads int
	// MaxPendingMessages is the most messages that wait for the disk.
	MaxPendingMessages int
	// KeepEntries is how many entries stay in memory behind a snapshot.
	KeepEntries int
	// Random spreads the election timeouts.
	Random *rand.Rand
}

// Defaults of Config.
const (
	DefaultElectionTimeout   = 500 * time.Millisecond
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultMaxAppendEntries  = 256
	DefaultMaxInflight       = 16
	DefaultMaxUncommitted    = 4096
	DefaultMaxReads          = 4096
	DefaultMaxPendingMessages        = 1024
	DefaultKeepEntries       = 256
)

func (c Config) withDefaults() Config {
	orDuration(&c.ElectionTimeout, DefaultElectionTimeout)
	orDuration(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	orInt(&c.MaxAppendEntries, DefaultMaxAppendEntries)
	orInt(&c.MaxInflight, DefaultMaxInflight)
	orInt(&c.MaxUncommitted, DefaultMaxUncommitted)
	orInt(&c.MaxReads, DefaultMaxReads)
	orInt(&c.MaxPendingMessages, DefaultMaxPendingMessages)
	orInt(&c.KeepEntries, DefaultKeepEntries)
	return c
}

func orDuration(value *time.Duration, otherwise time.Duration) {
	if *value == 0 {
		*value = otherwise
	}
}

func orInt(value *int, otherwise int) {
	if *value == 0 {
		*value = otherwise
	}
}

// Role is what a member does in its term.
type Role uint8

const (
	// Follower takes entries from a leader. Learners are followers.
	Follower Role = iota + 1
	// PreCandidate asks whether it would be elected.
	PreCandidate
	// Candidate asks for votes.
	Candidate
	// Leader adds entries to the log.
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

// Core is the replicated log of one member.
type Core struct {
	config Config
	log    *entryLog
	hard   HardState
	role   Role
	leader MemberID
	commit Index
	// applied is the last index handed out by Apply or Restore.
	applied Index

	// heard is when the leader was heard of last.
	heard       time.Time
	electionDue time.Time
	votes       map[MemberID]bool
	removed     bool

	// leading is set while this member leads.
	leading *leading
	disk    disk

	now     time.Time
	actions []Action
}

// New returns a core for what the folder holds. It starts as a follower.
func New(now time.Time, config Config, stored Stored) *Core {
	c := &Core{
		config: config.withDefaults(),
		log:    newEntryLog(stored),
		hard:   stored.HardState,
		role:   Follower,
		commit: stored.Snapshot.Index,
		now:    now,
	}
	c.applied = stored.Snapshot.Index
	c.disk.durable = c.log.lastIndex()
	c.commit = max(c.commit, min(stored.Commit, c.log.lastIndex()))
	// A group whose members all start again should not wait for a whole timeout. A
	// member that starts alone does no harm: its pre-vote is refused.
	c.electionDue = now.Add(c.config.ElectionTimeout/4 + c.spread(c.config.ElectionTimeout/4))
	return c
}

// Start hands out what the folder's state is known to have committed. It is called
// once, before Handle.
func (c *Core) Start() []Action {
	c.actions = nil
	c.applyCommitted()
	return c.actions
}

// Handle takes one event at the given time and returns what is to be done, in
// that order.
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
	c.afterEvent()
	return c.actions
}

// afterEvent brings what follows from the new state into the actions.
func (c *Core) afterEvent() {
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
		return c.leadingDeadline(), true
	}
	return c.electionDue, c.mayCampaign()
}

func (c *Core) deadlineReached() {
	if c.role == Leader {
		c.leadingDeadlineReached()
		return
	}
	if c.mayCampaign() && !c.now.Before(c.electionDue) {
		c.campaign(true, false)
	}
}

// applyCommitted hands out the entries that are committed and on disk here.
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
		c.acceptProposals()
	}
}

// snapshotTaken makes the handed-in state the stored snapshot.
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

// Status is a view of a core for logs, metrics and operators.
type Status struct {
	Self       MemberID
	Role       Role
	Term       Term
	Leader     MemberID
	Commit     Index
	Applied    Index
	LastIndex  Index
	Membership Membership
	// Removed is set once the group has told this member that it is out.
	Removed bool
	// Match holds, on a leader, how far each member's log is known to reach.
	Match []MemberMatch
}

// MemberMatch is how far a member's log is known to reach, and when it was heard
// of last.
type MemberMatch struct {
	ID    MemberID
	Match Index
	LastContact time.Time
}

// MembershipIndex returns the index of the membership in force.
func (c *Core) MembershipIndex() Index { return c.log.membershipIndex() }

// Status returns the core's present state.
func (c *Core) Status() Status {
	status := Status{
		Self: c.config.Self, Role: c.role, Term: c.hard.Term, Leader: c.leader,
		Commit: c.commit, Applied: c.applied, LastIndex: c.log.lastIndex(),
		Membership: c.log.membership(), Removed: c.removed,
	}
	if c.role != Leader {
		return status
	}
	for _, member := range status.Membership.Members {
		p := c.leading.progress[member.ID]
		status.Match = append(status.Match, MemberMatch{ID: member.ID, Match: p.match, LastContact: p.heard})
	}
	return status
}

func (c *Core) emit(action Action) {
	c.actions = append(c.actions, action)
}

// send hands out a message that depends on nothing that is not yet on disk.
func (c *Core) send(to MemberID, term Term, body Body) {
	c.emit(Send{Message: Message{From: c.config.Self, To: to, Term: term, Body: body}})
}

// refuse answers a proposal, change or read with a refusal.
func (c *Core) refuse(tag Tag, reason RefusalReason) {
	leader, _ := c.log.membership().Find(c.leader)
	c.emit(Refused{Tag: tag, Refusal: Refusal{Reason: reason, Leader: leader}})
}
