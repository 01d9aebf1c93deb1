// Package replica runs one member of the replicated log: it drives the consensus
// core, stores what the core asks to be stored, sends its messages to the peers
// and applies committed commands to a state machine.
//
// A Replica belongs to the control goroutine of its process. Disk and network
// run in goroutines of their own, which post their results back as events.
package replica

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/consensus"
	"zinniapulley.dev/core"
	"zinniapulley.dev/durable"
)

// StateMachine is the deterministic state that committed commands change.
type StateMachine interface {
	// Apply carries out one command. All members apply the same commands in the
	// same order.
	Apply(command []byte) any
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(state []byte) error
}

// Event is what the goroutines of a Replica post: Delivered, Saved or
// SaveFailed.
type Event interface{ isReplicaEvent() }

// Delivered is a message from a peer, which answers at Address.
type Delivered struct {
	Message consensus.Message
	Address netip.AddrPort
}

// Saved reports that all Persist actions up to Sequence are synced.
type Saved struct{ Sequence consensus.Sequence }

// SaveFailed reports a failed write. It is being repeated.
type SaveFailed struct{ Err error }

func (Delivered) isReplicaEvent()  {}
func (Saved) isReplicaEvent()      {}
func (SaveFailed) isReplicaEvent() {}

const (
	// stallLimit is how long a leader's disk may take before another member
	// should lead. It is a few times the longest sync of a sound disk under load.
	stallLimit = 700 * time.Millisecond
	// lostVoterLimit is how long a voter must not have been heard of before it
	// may be removed to make the group more tolerant. It is below the time within
	// which a replaced machine must have been made up for, 4 s.
	lostVoterLimit = 2500 * time.Millisecond
	// upkeepInterval is the time between looks at the disk and the membership.
	upkeepInterval = 250 * time.Millisecond
	// minVoters is the least number of voters that a removal may leave.
	minVoters = 3
	// snapshotBytes is how many bytes of commands are applied between snapshots. A
	// start applies them again before it can tell anyone what is in force.
	snapshotBytes = 256 << 10
	// keepEntries is how many entries stay in memory behind a snapshot, for
	// members that are a little behind.
	keepEntries = 16
)

// Config sets up a Replica.
type Config struct {
	// Address is where this member answers its peers.
	Address netip.AddrPort
	StateMachine StateMachine
	Log     *slog.Logger
	// Post hands an event to the control goroutine, waiting for room.
	Post func(context.Context, Event) error
	// Random spreads election timeouts.
	Random *rand.Rand
}

// Replica is one member. It isn't safe for concurrent use.
type Replica struct {
	config  Config
	self    consensus.MemberID
	core    *consensus.Core
	folder  *durable.Folder
	ctx     context.Context
	end     context.CancelFunc
	storage storage
	peers   map[consensus.MemberID]*peer
	// addresses holds where members answer that the own log doesn't name: the
	// leader of one that joins, and members that were removed.
	addresses map[consensus.MemberID]netip.AddrPort

	lastTag   consensus.Tag
	proposals map[consensus.Tag]func(any, error)
	reads     map[consensus.Tag]func(error)
	// results holds what Apply returned for the entries of the event in hand.
	results      map[consensus.Index]any
	appliedBytes int
	appliedIndex consensus.Index
	upkeepDue    time.Time
	removed      bool
	role         consensus.Role
}

// New returns a member for the state in the folder, which must hold some. Its
// goroutines end with ctx. The machine is restored from the folder's snapshot.
func New(ctx context.Context, now time.Time, config Config, folder *durable.Folder) (*Replica, error) {
	base := folder.Base()
	if len(base.Stored.Snapshot.State) > 0 {
		err := config.StateMachine.Restore(base.Stored.Snapshot.State)
		if err != nil {
			return nil, core.At("restore snapshot", core.Peer(base.Self.String()), err)
		}
	}
	r := &Replica{
		config: config, self: base.Self, folder: folder,
		peers:     make(map[consensus.MemberID]*peer),
		addresses: make(map[consensus.MemberID]netip.AddrPort),
		proposals: make(map[consensus.Tag]func(any, error)),
		reads:     make(map[consensus.Tag]func(error)),
		results:   make(map[consensus.Index]any),
		upkeepDue: now.Add(upkeepInterval), role: consensus.Follower,
		appliedIndex: base.Stored.Snapshot.Index,
	}
	r.ctx, r.end = context.WithCancel(ctx)
	r.core = consensus.New(now, consensus.Config{
		Self: base.Self, Random: config.Random, KeepEntries: keepEntries,
	}, base.Stored)
	r.storage = newStorage(r.ctx, folder, config.Post)
	for _, action := range r.core.Start() {
		r.carryOut(action)
	}
	clear(r.results)
	return r, nil
}

// Self returns this member's name.
func (r *Replica) Self() consensus.MemberID { return r.self }

// Status returns the state of the replicated log as this member sees it.
func (r *Replica) Status() consensus.Status { return r.core.Status() }

// MembershipIndex returns the index of the entry that made the membership in force.
// It changes with each change of it.
func (r *Replica) MembershipIndex() consensus.Index { return r.core.MembershipIndex() }

// Leading reports whether this member leads, as far as it knows.
func (r *Replica) Leading() bool { return r.role == consensus.Leader }

// Removed reports that the group has removed this member. It must come back
// under a new incarnation.
func (r *Replica) Removed() bool { return r.removed }

// Leader returns the address of the member that leads as far as this one knows,
// and false if it knows none.
func (r *Replica) Leader() (netip.AddrPort, bool) {
	status := r.core.Status()
	return r.addressOf(status, status.Leader)
}

// Close ends the member's goroutines and answers what waits.
func (r *Replica) Close() {
	r.end()
	lost := errors.New("the member of the replicated log has ended, outcome unknown")
	for tag, done := range r.proposals {
		delete(r.proposals, tag)
		done(nil, lost)
	}
	for tag, done := range r.reads {
		delete(r.reads, tag)
		done(lost)
	}
}

// Ended is closed once the folder is no longer used, after Close.
func (r *Replica) Ended() <-chan struct{} { return r.storage.ended }

// Propose hands in a command. done is called once, with what Apply returned or
// with a consensus.Refusal.
func (r *Replica) Propose(now time.Time, command []byte, done func(any, error)) {
	r.lastTag++
	r.proposals[r.lastTag] = done
	r.handle(now, consensus.Propose{Tag: r.lastTag, Command: command})
}

// ConfirmLeadership asks a quorum whether this member leads. done is called once, without
// an error when the machine holds all that was accepted before the call.
func (r *Replica) ConfirmLeadership(now time.Time, done func(error)) {
	r.lastTag++
	r.reads[r.lastTag] = done
	r.handle(now, consensus.ReadBarrier{Tag: r.lastTag})
}

// AddMember asks for a member to be added. It is not answered: a member that isn't
// added asks again.
func (r *Replica) AddMember(now time.Time, id consensus.MemberID, address netip.AddrPort) {
	r.lastTag++
	r.handle(now, consensus.AddMember{Tag: r.lastTag, ID: id, Address: address})
}

// TransferLeadership makes another member lead, for a graceful stop.
func (r *Replica) TransferLeadership(now time.Time) {
	r.handle(now, consensus.TransferLeadership{})
}

// Handle takes an event that one of the goroutines has posted.
func (r *Replica) Handle(now time.Time, event Event) {
	switch e := event.(type) {
	case Delivered:
		r.addresses[e.Message.From] = e.Address
		r.handle(now, consensus.Received{Message: e.Message})
	case Saved:
		r.storage.saved()
		r.handle(now, consensus.Persisted{Sequence: e.Sequence})
		r.storage.next(now)
	case SaveFailed:
		r.config.Log.Error("state not stored, trying again", "member", r.self, "error", e.Err)
	}
}

// Deadline returns when Wake is due.
func (r *Replica) Deadline() time.Time {
	due, ok := r.core.Deadline()
	if ok && due.Before(r.upkeepDue) {
		return due
	}
	return r.upkeepDue
}

// Wake acts on the time that has passed.
func (r *Replica) Wake(now time.Time) {
	due, ok := r.core.Deadline()
	if ok && !now.Before(due) {
		r.handle(now, consensus.DeadlineReached{})
	}
	if now.Before(r.upkeepDue) {
		return
	}
	r.upkeepDue = now.Add(upkeepInterval)
	r.forgetAddresses()
	if r.Leading() {
		r.leaveStalledDisk(now)
		r.removeLostVoter(now)
	}
}

// leaveStalledDisk hands over when the own disk doesn't answer.
func (r *Replica) leaveStalledDisk(now time.Time) {
	since, waiting := r.storage.waitingSince()
	if !waiting || now.Sub(since) < stallLimit {
		return
	}
	r.config.Log.Warn("own disk is stalled, handing over leadership", "member", r.self, "waiting", now.Sub(since))
	r.handle(now, consensus.TransferLeadership{})
}

// removeLostVoter removes a voter that has long not been heard of, where that
// lowers the quorum: where the number of voters is even.
func (r *Replica) removeLostVoter(now time.Time) {
	status := r.core.Status()
	voters := len(status.Membership.Voters())
	if voters%2 != 0 || voters-1 < minVoters {
		return
	}
	for _, match := range status.Match {
		if match.ID == r.self || !status.Membership.IsVoter(match.ID) || now.Sub(match.LastContact) < lostVoterLimit {
			continue
		}
		r.config.Log.Warn("removing a voter that is not heard of", "voter", match.ID, "silent", now.Sub(match.LastContact), "voters", voters)
		r.lastTag++
		r.handle(now, consensus.RemoveMember{Tag: r.lastTag, ID: match.ID})
		return
	}
}

// handle hands an event to the core and carries out the actions.
func (r *Replica) handle(now time.Time, event consensus.Event) {
	for _, action := range r.core.Handle(now, event) {
		r.carryOut(action)
	}
	clear(r.results)
	r.storage.next(now)
	if r.appliedBytes >= snapshotBytes {
		r.snapshot(now)
	}
}

func (r *Replica) carryOut(action consensus.Action) {
	switch a := action.(type) {
	case consensus.Persist:
		r.storage.add(a)
	case consensus.Send:
		r.send(a.Message)
	case consensus.Apply:
		r.apply(a.Entries)
	case consensus.Restore:
		r.restore(a.Snapshot)
	case consensus.Committed:
		r.answer(a.Tag, r.results[a.Index], nil)
	case consensus.Refused:
		r.answer(a.Tag, nil, a.Refusal)
	case consensus.ReadReady:
		r.answer(a.Tag, nil, nil)
	case consensus.RoleChanged:
		r.role = a.Role
		r.config.Log.Info("role in the replicated log changed", "member", r.self, "role", a.Role, "term", a.Term, "leader", a.Leader, "cause", a.Cause)
	case consensus.MessageDropped:
		r.config.Log.Debug("message of the replicated log dropped", "from", a.From, "reason", a.Reason)
	case consensus.Removed:
		r.removed = true
		r.config.Log.Warn("removed from the replicated log", "member", r.self, "by", a.By)
	}
}

func (r *Replica) apply(entries []consensus.Entry) {
	for _, entry := range entries {
		r.appliedIndex = entry.Index
		switch entry.Kind {
		case consensus.EntryCommand:
			r.results[entry.Index] = r.config.StateMachine.Apply(entry.Command)
			r.appliedBytes += len(entry.Command)
		case consensus.EntryMembership:
			r.config.Log.Info("members of the replicated log changed", "members", memberNames(entry.Membership), "index", entry.Index)
		}
	}
}

func memberNames(membership consensus.Membership) []string {
	names := make([]string, 0, len(membership.Members))
	for _, member := range membership.Members {
		names = append(names, member.ID.String()+" "+member.Role.String())
	}
	return names
}

func (r *Replica) restore(snapshot consensus.Snapshot) {
	err := r.config.StateMachine.Restore(snapshot.State)
	if err != nil {
		// The state was written by a member of the same program, and its checksum
		// was right: going on would serve a state that nobody accepted.
		panic(core.At("restore snapshot", core.Peer(r.self.String()), err))
	}
	r.appliedIndex = snapshot.Index
	r.appliedBytes = 0
}

// snapshot makes the machine's state replace the log so far.
func (r *Replica) snapshot(now time.Time) {
	r.appliedBytes = 0
	state, err := r.config.StateMachine.Snapshot()
	if err != nil {
		r.config.Log.Error("snapshot failed, the log is kept", "member", r.self, "error", err)
		return
	}
	r.handle(now, consensus.SnapshotTaken{Index: r.appliedIndex, State: state})
}

// answer calls back whoever waits under the tag.
func (r *Replica) answer(tag consensus.Tag, result any, err error) {
	if done, ok := r.proposals[tag]; ok {
		delete(r.proposals, tag)
		done(result, err)
		return
	}
	if done, ok := r.reads[tag]; ok {
		delete(r.reads, tag)
		done(err)
		return
	}
	if err != nil {
		r.config.Log.Info("membership change refused", "member", r.self, "reason", err)
	}
}
