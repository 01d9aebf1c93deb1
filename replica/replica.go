// Package replica runs one member of the replicated log: it drives the consensus
// core, stores its Persist actions, sends its messages to the peers and applies
// committed commands to a state machine.
//
// A Replica belongs to the control goroutine of its process. Disk and network
// I/O run in goroutines of their own, which post their results back as events.
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
	// Apply applies one command. All members apply the same commands in the same
	// order.
	Apply(command []byte) any
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(state []byte) error
}

// Event is posted by a Replica's goroutines or its RPC service: Delivered, Saved or
// SaveFailed.
type Event interface{ isReplicaEvent() }

// Delivered is a message from a peer that can be reached at Address.
type Delivered struct {
	Message consensus.Message
	Address netip.AddrPort
}

// Saved reports that all Persist actions up to Sequence are synced.
type Saved struct{ Sequence consensus.Sequence }

// SaveFailed reports a failed write, which will be retried.
type SaveFailed struct{ Err error }

func (Delivered) isReplicaEvent()  {}
func (Saved) isReplicaEvent()      {}
func (SaveFailed) isReplicaEvent() {}

const (
	// diskStallTimeout is how long a write of the leader may take before it transfers
	// leadership. It is a few times the longest sync of a healthy disk under load.
	diskStallTimeout = 700 * time.Millisecond
	// lostVoterTimeout is how long a voter must have been without contact before it
	// may be removed, so that the group tolerates another failure. It is below the
	// 4 s within which the group must have compensated for a replaced machine.
	lostVoterTimeout = 2500 * time.Millisecond
	// maintenanceInterval is the time between checks of the disk and the membership.
	maintenanceInterval = 250 * time.Millisecond
	// minVoters is the minimum number of voters that a removal may leave.
	minVoters = 3
	// snapshotThresholdBytes is how many bytes of commands are applied between
	// snapshots. A restart applies them again before it can serve the state in force.
	snapshotThresholdBytes = 256 << 10
	// keepEntries is the number of entries kept in memory before a snapshot's index,
	// for slightly lagging members.
	keepEntries = 16
)

// Config configures a Replica.
type Config struct {
	// Address is where peers reach this member.
	Address      netip.AddrPort
	StateMachine StateMachine
	Log          *slog.Logger
	// Post passes an event to the control goroutine and blocks while its mailbox is
	// full.
	Post func(context.Context, Event) error
	// Random randomizes the election timeouts.
	Random *rand.Rand
}

// Replica is one member of the replicated log. It isn't safe for concurrent use.
type Replica struct {
	config  Config
	self    consensus.MemberID
	core    *consensus.Core
	folder  *durable.Folder
	ctx     context.Context
	cancel  context.CancelFunc
	storage storage
	peers   map[consensus.MemberID]*peer
	// addresses holds the addresses of message senders, for those that the membership
	// doesn't list: the leader while this member joins, and removed members.
	addresses map[consensus.MemberID]netip.AddrPort

	lastTag   consensus.Tag
	proposals map[consensus.Tag]func(any, error)
	reads     map[consensus.Tag]func(error)
	// results holds the results of Apply for the entries of the current event.
	results        map[consensus.Index]any
	appliedBytes   int
	appliedIndex   consensus.Index
	maintenanceDue time.Time
	removed        bool
	role           consensus.Role
}

// New returns a member for the state in the folder, which must not be empty. Its
// goroutines end with ctx. The state machine is restored from the folder's snapshot.
func New(ctx context.Context, now time.Time, config Config, folder *durable.Folder) (*Replica, error) {
	saved := folder.State()
	if len(saved.Stored.Snapshot.State) > 0 {
		err := config.StateMachine.Restore(saved.Stored.Snapshot.State)
		if err != nil {
			return nil, core.At("restore snapshot", core.Peer(saved.Self.String()), err)
		}
	}
	r := &Replica{
		config: config, self: saved.Self, folder: folder,
		peers:          make(map[consensus.MemberID]*peer),
		addresses:      make(map[consensus.MemberID]netip.AddrPort),
		proposals:      make(map[consensus.Tag]func(any, error)),
		reads:          make(map[consensus.Tag]func(error)),
		results:        make(map[consensus.Index]any),
		maintenanceDue: now.Add(maintenanceInterval), role: consensus.Follower,
		appliedIndex: saved.Stored.Snapshot.Index,
	}
	r.ctx, r.cancel = context.WithCancel(ctx)
	r.core = consensus.New(now, consensus.Config{
		Self: saved.Self, Random: config.Random, KeepEntries: keepEntries,
	}, saved.Stored)
	r.storage = newStorage(r.ctx, folder, config.Post)
	for _, action := range r.core.Start() {
		r.carryOut(action)
	}
	clear(r.results)
	return r, nil
}

// Self returns this member's ID.
func (r *Replica) Self() consensus.MemberID { return r.self }

// Status returns this member's view of the replicated log.
func (r *Replica) Status() consensus.Status { return r.core.Status() }

// MembershipIndex returns the index of the entry that set the membership in force.
func (r *Replica) MembershipIndex() consensus.Index { return r.core.MembershipIndex() }

// Leading reports whether this member considers itself the leader.
func (r *Replica) Leading() bool { return r.role == consensus.Leader }

// Removed reports whether the group has removed this member. It can rejoin only under
// a new incarnation.
func (r *Replica) Removed() bool { return r.removed }

// Leader returns the address of the leader, and false if it is unknown.
func (r *Replica) Leader() (netip.AddrPort, bool) {
	status := r.core.Status()
	return r.addressOf(status, status.Leader)
}

// Close stops the member's goroutines and fails all pending proposals and reads.
func (r *Replica) Close() {
	r.cancel()
	stopped := errors.New("the member of the replicated log was closed, outcome unknown")
	for tag, done := range r.proposals {
		delete(r.proposals, tag)
		done(nil, stopped)
	}
	for tag, done := range r.reads {
		delete(r.reads, tag)
		done(stopped)
	}
}

// Ended is closed once the folder is no longer used, after Close.
func (r *Replica) Ended() <-chan struct{} { return r.storage.ended }

// Propose proposes a command. done is called once, with the result of Apply or an
// error, such as a consensus.Refusal.
func (r *Replica) Propose(now time.Time, command []byte, done func(any, error)) {
	r.lastTag++
	r.proposals[r.lastTag] = done
	r.handle(now, consensus.Propose{Tag: r.lastTag, Command: command})
}

// ReadBarrier starts a linearizable read: it confirms with a quorum that this member
// leads. done is called once, with a nil error if the state machine has applied
// everything committed before the call.
func (r *Replica) ReadBarrier(now time.Time, done func(error)) {
	r.lastTag++
	r.reads[r.lastTag] = done
	r.handle(now, consensus.ReadBarrier{Tag: r.lastTag})
}

// AddMember proposes to add a member. It reports no outcome: a member that isn't added
// requests it again.
func (r *Replica) AddMember(now time.Time, id consensus.MemberID, address netip.AddrPort) {
	r.lastTag++
	r.handle(now, consensus.AddMember{Tag: r.lastTag, ID: id, Address: address})
}

// TransferLeadership transfers leadership to another member, for a graceful stop.
func (r *Replica) TransferLeadership(now time.Time) {
	r.handle(now, consensus.TransferLeadership{})
}

// Handle processes a posted event.
func (r *Replica) Handle(now time.Time, event Event) {
	switch e := event.(type) {
	case Delivered:
		r.addresses[e.Message.From] = e.Address
		r.handle(now, consensus.Received{Message: e.Message})
	case Saved:
		r.storage.writeDone()
		r.handle(now, consensus.Persisted{Sequence: e.Sequence})
		r.storage.startWrite(now)
	case SaveFailed:
		r.config.Log.Error("saving the state of the replicated log failed, retrying", "member", r.self, "error", e.Err)
	}
}

// Deadline returns when Wake is due.
func (r *Replica) Deadline() time.Time {
	due, ok := r.core.Deadline()
	if ok && due.Before(r.maintenanceDue) {
		return due
	}
	return r.maintenanceDue
}

// Wake handles the deadlines that have been reached by now.
func (r *Replica) Wake(now time.Time) {
	due, ok := r.core.Deadline()
	if ok && !now.Before(due) {
		r.handle(now, consensus.DeadlineReached{})
	}
	if now.Before(r.maintenanceDue) {
		return
	}
	r.maintenanceDue = now.Add(maintenanceInterval)
	r.evictAddresses()
	if r.Leading() {
		r.transferIfDiskStalled(now)
		r.removeLostVoter(now)
	}
}

// transferIfDiskStalled transfers leadership if a write to the local disk stalls.
func (r *Replica) transferIfDiskStalled(now time.Time) {
	since, waiting := r.storage.writingSince()
	if !waiting || now.Sub(since) < diskStallTimeout {
		return
	}
	r.config.Log.Warn("write to the local disk is stalled, transferring leadership", "member", r.self, "waiting", now.Sub(since))
	r.handle(now, consensus.TransferLeadership{})
}

// removeLostVoter removes a voter without contact for lostVoterTimeout if that lowers
// the quorum, which it does if the number of voters is even.
func (r *Replica) removeLostVoter(now time.Time) {
	status := r.core.Status()
	voters := len(status.Membership.Voters())
	if voters%2 != 0 || voters-1 < minVoters {
		return
	}
	for _, match := range status.Match {
		if match.ID == r.self || !status.Membership.IsVoter(match.ID) || now.Sub(match.LastContact) < lostVoterTimeout {
			continue
		}
		r.config.Log.Warn("removing a voter without recent contact", "voter", match.ID, "silent", now.Sub(match.LastContact), "voters", voters)
		r.lastTag++
		r.handle(now, consensus.RemoveMember{Tag: r.lastTag, ID: match.ID})
		return
	}
}

// handle passes an event to the core and carries out the actions.
func (r *Replica) handle(now time.Time, event consensus.Event) {
	for _, action := range r.core.Handle(now, event) {
		r.carryOut(action)
	}
	clear(r.results)
	r.storage.startWrite(now)
	if r.appliedBytes >= snapshotThresholdBytes {
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
		// The state was written by a member running the same program, and its checksum
		// is valid: continuing would serve a state that was never committed.
		panic(core.At("restore snapshot", core.Peer(r.self.String()), err))
	}
	r.appliedIndex = snapshot.Index
	r.appliedBytes = 0
}

// snapshot passes the state machine's state to the core as a snapshot.
func (r *Replica) snapshot(now time.Time) {
	r.appliedBytes = 0
	state, err := r.config.StateMachine.Snapshot()
	if err != nil {
		r.config.Log.Error("snapshot failed, log not compacted", "member", r.self, "error", err)
		return
	}
	r.handle(now, consensus.SnapshotTaken{Index: r.appliedIndex, State: state})
}

// answer calls the callback of the proposal or read with the tag.
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
