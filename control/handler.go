package control

import (
	"log/slog"
	"time"

	"zinniapulley.dev/control/state"
	"zinniapulley.dev/core"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/membership"
	"zinniapulley.dev/publish"
	"zinniapulley.dev/wire"
)

// event is a message to the control loop. Each event implements its own handling
// on the handler.
type event interface {
	handle(h *handler, now time.Time)
}

// handler owns all control state of a control instance. Only the control loop
// calls it. It is the StateMachine that the log applies commands to, so that each
// applied command is published, no matter which instance proposed it.
type handler struct {
	log        *slog.Logger
	machine    *state.Machine
	commandLog Log
	// bootstrap is proposed by a leader that finds no configuration; nil for none.
	bootstrap *state.Bootstrap

	// now is the time of the event being handled.
	now     time.Time
	leading bool

	leases       *membership.Leases
	source       *publish.Source
	tracker      *publish.Tracker
	relays       *publish.Relays
	waiters      map[publish.WaiterID]waiter
	lastWaiter   publish.WaiterID
	confirmation confirmation
	// tickPending is set while a proposed Tick is outstanding.
	tickPending bool
}

func newHandler(log *slog.Logger, bootstrap *state.Bootstrap) *handler {
	return &handler{
		log:       log,
		machine:   state.New(),
		bootstrap: bootstrap,
		leases:    membership.NewLeases(membership.DefaultLease),
		source:    publish.NewSource(),
		tracker:   publish.NewTracker(),
		relays:    publish.NewRelays(),
		waiters:   make(map[publish.WaiterID]waiter),
	}
}

// Handle handles one event.
func (h *handler) Handle(now time.Time, e event) {
	h.now = now
	h.checkLeadership(now)
	e.handle(h, now)
	h.checkLeadership(now)
}

// Wake handles what is due at the leader: expired leases, table changes, long
// polls whose wait has ended, and confirmations of the leadership.
func (h *handler) Wake(now time.Time) {
	h.now = now
	h.checkLeadership(now)
	if !h.leading {
		return
	}
	h.expireLeases(now)
	h.tickTablesIfDue(now)
	h.deliver(h.source.ExpireWaiters(now))
	h.tracker.Expire(now)
	h.confirmIfDue(now)
}

// Deadline returns when the next lease or long poll expires, or the next table
// change or confirmation is due.
func (h *handler) Deadline() (time.Time, bool) {
	if !h.leading {
		return time.Time{}, false
	}
	due := h.confirmation.next
	for _, next := range []func() (time.Time, bool){h.leases.Next, h.source.NextDeadline, h.nextTableTick} {
		at, ok := next()
		if ok && at.Before(due) {
			due = at
		}
	}
	return due, true
}

// checkLeadership starts or ends this instance's term as leader when the log
// reports a change.
func (h *handler) checkLeadership(now time.Time) {
	leading := h.commandLog.Leading()
	if leading == h.leading {
		return
	}
	h.leading = leading
	h.log.Info("leadership changed", "leading", leading, "leader", h.commandLog.Leader(), "revision", h.machine.View().Revision)
	if leading {
		h.startTerm(now)
		return
	}
	h.endTerm()
}

func (h *handler) startTerm(now time.Time) {
	h.leases.StartTerm(now, h.machine.Members().Servers())
	h.tracker = publish.NewTracker()
	h.tracker.Publish(now, h.machine.View().Revision)
	h.relays = publish.NewRelays()
	h.confirmation.next = now
	if h.bootstrap != nil && h.machine.Config().Empty() {
		h.propose(state.Command{Bootstrap: h.bootstrap}, func(result state.Result, err error) {
			h.log.Info("initial configuration proposed", "revision", result.Revision, "refusal", result.Refusal, "error", err)
		})
	}
}

func (h *handler) endTerm() {
	refusal := h.notLeader()
	for id, w := range h.waiters {
		w.reply.Answer(watchAnswer{err: refusal})
		delete(h.waiters, id)
	}
	h.source.Invalidate()
	h.confirmation.fail(refusal)
}

func (h *handler) notLeader() error {
	return &NotLeaderError{Leader: h.commandLog.Leader()}
}

// propose stamps a command with the current time and proposes it to the log.
func (h *handler) propose(command state.Command, done func(state.Result, error)) {
	command.At = h.now.Round(0).UTC()
	h.commandLog.Propose(h.now, command, done)
}

// Apply applies one command and publishes the resulting view.
func (h *handler) Apply(command state.Command) state.Result {
	result := h.machine.Apply(command)
	for _, server := range result.Departed {
		h.leases.Remove(server.ID)
		h.log.Info("backend server removed", "backendServer", server.ID, "instance", server.Instance,
			"dataCentre", server.DataCentre, "startID", server.StartID, "revision", result.Revision)
	}
	h.logDecisions(result)
	h.publishView()
	return result
}

// Snapshot returns the whole replicated state.
func (h *handler) Snapshot() state.Snapshot {
	return h.machine.Snapshot()
}

// Restore replaces the whole replicated state.
func (h *handler) Restore(snapshot state.Snapshot) error {
	restored, err := state.Restore(snapshot)
	if err != nil {
		return core.At("restore snapshot", "", err)
	}
	h.machine = restored
	h.publishView()
	return nil
}

// watchAnswer is the answer to a Watch call.
type watchAnswer struct {
	reply wire.WatchReply
	err   error
}

// waiter is a Watch call, a long poll that waits for a newer view.
type waiter struct {
	reply loop.Reply[watchAnswer]
}
