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

// event is what the control loop takes. Each event carries out its own step on
// the handler.
type event interface {
	handle(h *handler, now time.Time)
}

// handler owns all control state of a control instance. Only the control loop
// calls it. It is the Machine that the log applies commands to, so that each
// applied command is published, whoever proposed it.
type handler struct {
	log     *slog.Logger
	machine *state.Machine
	order   Log
	// first is proposed by a leader that finds no configuration; nil for none.
	first *state.Bootstrap

	// now is the time of the event being handled.
	now     time.Time
	leading bool

	leases      *membership.Leases
	source      *publish.Source
	tracker     *publish.Tracker
	relays      *publish.Relays
	watchers    map[publish.WaiterID]watcher
	lastWatcher publish.WaiterID
	confirm     confirmation
	// ticking is set while a command that lets the tables change is under way.
	ticking bool
}

func newHandler(log *slog.Logger, first *state.Bootstrap) *handler {
	return &handler{
		log:      log,
		machine:  state.New(),
		first:    first,
		leases:   membership.NewLeases(membership.DefaultLease),
		source:   publish.NewSource(),
		tracker:  publish.NewTracker(),
		relays:   publish.NewRelays(),
		watchers: make(map[publish.WaiterID]watcher),
	}
}

// Handle carries out one event.
func (h *handler) Handle(now time.Time, e event) {
	h.now = now
	h.follow(now)
	e.handle(h, now)
	h.follow(now)
}

// Wake takes out backend servers whose lease has expired, answers watchers that
// have waited long enough, and has the leadership confirmed.
func (h *handler) Wake(now time.Time) {
	h.now = now
	h.follow(now)
	if !h.leading {
		return
	}
	h.expire(now)
	h.moveTables(now)
	h.deliver(h.source.ExpireWaiters(now))
	h.tracker.Expire(now)
	h.confirmDue(now)
}

// Deadline returns when the next lease expires, watcher gives up or
// confirmation is due.
func (h *handler) Deadline() (time.Time, bool) {
	if !h.leading {
		return time.Time{}, false
	}
	due := h.confirm.next
	for _, next := range []func() (time.Time, bool){h.leases.Next, h.source.NextDeadline, h.tablesDue} {
		at, ok := next()
		if ok && at.Before(due) {
			due = at
		}
	}
	return due, true
}

// follow starts or ends a term of this instance as leader.
func (h *handler) follow(now time.Time) {
	leading := h.order.Leading()
	if leading == h.leading {
		return
	}
	h.leading = leading
	h.log.Info("leadership changed", "leading", leading, "leader", h.order.Leader(), "revision", h.machine.View().Revision)
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
	h.confirm.next = now
	if h.first != nil && h.machine.Config().Empty() {
		h.propose(state.Command{Bootstrap: h.first}, func(result state.Result, err error) {
			h.log.Info("initial configuration proposed", "revision", result.Revision, "refusal", result.Refusal, "error", err)
		})
	}
}

func (h *handler) endTerm() {
	refusal := h.notLeader()
	for id, w := range h.watchers {
		w.reply.Answer(watchAnswer{err: refusal})
		delete(h.watchers, id)
	}
	h.source.Invalidate()
	h.confirm.end(refusal)
}

func (h *handler) notLeader() error {
	return &NotLeaderError{Leader: h.order.Leader()}
}

// propose orders a command.
func (h *handler) propose(command state.Command, done func(state.Result, error)) {
	command.At = h.now.Round(0).UTC()
	h.order.Propose(h.now, command, done)
}

// Apply carries out one command and publishes what it led to.
func (h *handler) Apply(command state.Command) state.Result {
	result := h.machine.Apply(command)
	for _, server := range result.Departed {
		h.leases.Remove(server.ID)
		h.log.Info("backend server taken out", "backendServer", server.ID, "instance", server.Instance,
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

// watchAnswer is the answer to a watch.
type watchAnswer struct {
	reply wire.WatchReply
	err   error
}

// watcher is a call that waits for a newer view.
type watcher struct {
	reply loop.Reply[watchAnswer]
}
