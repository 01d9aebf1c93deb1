package dispatch

import (
	"math/rand/v2"
	"time"

	"zinniapulley.dev/admission"
	"zinniapulley.dev/claim"
	"zinniapulley.dev/core"
	"zinniapulley.dev/request"
)

// Config configures a dispatcher.
type Config struct {
	Self          core.InstanceID
	BackendServer core.BackendServerID
	// StartID is the start id of the backend server.
	StartID core.StartID
	// Incarnation is the number of this start of the companion. It is greater than
	// those of all earlier starts.
	Incarnation uint64
	Slots       admission.SlotLimits
	Requests    request.Limits
	Claims      claim.CoordinatorLimits
	Chooser     request.Chooser
	Random      *rand.Rand
}

// unreported differs from every slot count, so that the next one is reported.
var unreported = request.Load{Free: -1, Bound: -1}

// Dispatcher combines request scheduling, slots and claims at one companion.
type Dispatcher struct {
	self        core.InstanceID
	requests    *request.Core
	slots       *admission.Slots
	coordinator *claim.Coordinator
	// keyed holds the idempotency keys of requests of this companion's callers;
	// executions holds the attempts that run here, for any requester.
	keyed      map[core.RequestID]*Keyed
	executions map[core.AttemptID]*execution
	// reported is the own slot count last reported to the request core.
	reported request.Load
	actions  []Action
}

// New returns the dispatcher of a companion, and its first actions.
func New(now time.Time, config Config) (*Dispatcher, []Action) {
	d := &Dispatcher{
		self:        config.Self,
		requests:    request.New(config.Self, config.Requests, config.Chooser, config.Random),
		slots:       admission.NewSlots(now, config.Slots, config.StartID),
		coordinator: claim.NewCoordinator(config.Claims, config.Self, config.BackendServer, config.Incarnation),
		keyed:       make(map[core.RequestID]*Keyed),
		executions:  make(map[core.AttemptID]*execution),
		reported:    unreported,
	}
	d.emit(Propose(d.coordinator.StartupProposal(now)))
	return d, d.takeActions()
}

// Counts returns the outcomes of the callers' requests so far.
func (d *Dispatcher) Counts() request.Counts {
	return d.requests.Counts()
}

// Slots returns the slot counts of this companion's backend server.
func (d *Dispatcher) Slots(now time.Time) admission.SlotCounts {
	return d.slots.Counts(now)
}

// Idle reports whether no request, execution or claim is pending. A companion that
// is stopping exits only then, or at its stop deadline.
func (d *Dispatcher) Idle() bool {
	return d.requests.Open() == 0 && len(d.executions) == 0 && d.coordinator.Open() == 0
}

// Handle handles one event and returns the actions to carry out, in order.
func (d *Dispatcher) Handle(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Submitted:
		d.submitted(now, e)
	case RequestEvent:
		d.handleRequestEvent(now, e.Event)
	case ClaimEvent:
		d.performClaimActions(now, d.coordinator.Handle(now, e.Event))
	case ReserveRequested:
		d.reserveRequested(now, e)
	case RunRequested:
		d.runRequested(now, e)
	case CancelRequested:
		d.cancelRequested(now, e)
	case Executed:
		d.executed(now, e)
	case Replayed:
		d.replayed(now, e)
	case BackendChanged:
		d.slots.Restarted(e.StartID)
		d.slots.SetDraining(e.Draining)
	}
	d.reportOwnLoad(now)
	return d.takeActions()
}

// Wake runs the timers that are due and returns the actions to carry out, in order.
func (d *Dispatcher) Wake(now time.Time) []Action {
	d.slots.Wake(now)
	d.performClaimActions(now, d.coordinator.Wake(now))
	d.withdrawExpired(now)
	d.performRequestActions(now, d.requests.Wake(now))
	d.reportOwnLoad(now)
	return d.takeActions()
}

// Deadline returns when Wake is due next, and false if it isn't.
func (d *Dispatcher) Deadline(now time.Time) (time.Time, bool) {
	var due time.Time
	add := func(t time.Time, ok bool) {
		if ok && (due.IsZero() || t.Before(due)) {
			due = t
		}
	}
	add(d.requests.Deadline(now))
	add(d.slots.Deadline())
	add(d.coordinator.Deadline())
	add(d.claimDeadline())
	return due, !due.IsZero()
}

func (d *Dispatcher) submitted(now time.Time, e Submitted) {
	if e.Keyed != nil {
		d.keyed[e.ID] = e.Keyed
	}
	d.handleRequestEvent(now, request.Arrived{
		ID:         e.ID,
		Deadline:   e.Deadline,
		Repeatable: e.Repeatable,
		Keyed:      e.Keyed != nil,
	})
}

// handleRequestEvent passes an event to the request core and carries out the
// core's actions.
func (d *Dispatcher) handleRequestEvent(now time.Time, event request.Event) {
	actions := d.requests.Handle(now, event)
	switch e := event.(type) {
	case request.CallerDisconnected:
		delete(d.keyed, e.ID)
	case request.PeersChanged:
		d.reported = unreported
	}
	d.performRequestActions(now, actions)
}

// performRequestActions carries out the request core's actions: those for this
// companion at once, those for peers by messages.
func (d *Dispatcher) performRequestActions(now time.Time, actions []request.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case request.Reserve:
			d.reserve(now, a)
		case request.Run:
			d.run(now, a)
		case request.Cancel:
			d.cancel(now, a)
		case request.Finish:
			d.endRequest(a.ID, a)
		case request.Abort:
			d.endRequest(a.ID, a)
		case request.Refuse:
			d.endRequest(a.ID, a)
		default:
			d.emit(CallerAction{Action: a})
		}
	}
}

func (d *Dispatcher) endRequest(id core.RequestID, action request.Action) {
	delete(d.keyed, id)
	d.emit(CallerAction{Action: action})
}

func (d *Dispatcher) reserve(now time.Time, a request.Reserve) {
	if a.Peer == d.self {
		d.reserveRequested(now, ReserveRequested{Attempt: a.Attempt, Requester: d.self})
		return
	}
	d.emit(SendReserve(a))
}

func (d *Dispatcher) run(now time.Time, a request.Run) {
	keyed := d.keyed[a.Attempt.Request]
	if a.Peer == d.self {
		d.runRequested(now, RunRequested{Attempt: a.Attempt, Requester: d.self, Deadline: now.Add(a.Timeout), Keyed: keyed})
		return
	}
	d.emit(SendRun{Attempt: a.Attempt, Peer: a.Peer, Timeout: a.Timeout, Keyed: keyed})
}

func (d *Dispatcher) cancel(now time.Time, a request.Cancel) {
	if a.Peer == d.self {
		d.cancelRequested(now, CancelRequested{Attempt: a.Attempt})
		return
	}
	d.emit(SendCancel(a))
}

// reportOwnLoad reports a change of the own slot count to the request core, and
// again if the core's actions have changed it once more.
func (d *Dispatcher) reportOwnLoad(now time.Time) {
	load := d.load(now)
	if load == d.reported {
		return
	}
	d.reported = load
	d.handleRequestEvent(now, request.PeerLoad{Peer: d.self, Load: load})
	d.reportOwnLoad(now)
}

func (d *Dispatcher) load(now time.Time) request.Load {
	counts := d.slots.Counts(now)
	return request.Load{Free: counts.Free(), Bound: counts.Bound}
}

func (d *Dispatcher) emit(action Action) {
	d.actions = append(d.actions, action)
}

func (d *Dispatcher) takeActions() []Action {
	actions := d.actions
	d.actions = nil
	return actions
}
