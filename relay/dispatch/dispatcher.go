package dispatch

import (
	"math/rand/v2"
	"time"

	"zinniapulley.dev/admission"
	"zinniapulley.dev/claim"
	"zinniapulley.dev/core"
	"zinniapulley.dev/request"
)

// Config sets up a dispatcher.
type Config struct {
	Self          core.InstanceID
	BackendServer core.BackendServerID
	// StartID is the backend server's.
	StartID core.StartID
	// Incarnation tells this start of the companion from all earlier ones,
	// whose incarnations are lower.
	Incarnation uint64
	Slots       admission.SlotLimits
	Requests    request.Limits
	Claims      claim.CoordinatorLimits
	Chooser     request.Chooser
	Random      *rand.Rand
}

// unheard differs from every slot count, so that the next one is told.
var unheard = request.Load{Free: -1, Bound: -1}

// Dispatcher is the request side of one companion's control state.
type Dispatcher struct {
	self     core.InstanceID
	requests *request.Core
	slots    *admission.Slots
	keeper   *claim.Coordinator
	// keyed holds what the requests of this companion's callers add to their
	// runs; executions holds what runs here, for any asker.
	keyed      map[core.RequestID]*Keyed
	executions map[core.AttemptID]*execution
	// told is the own slot count that the request core last heard of.
	told    request.Load
	actions []Action
}

// New returns the dispatcher of a companion, and its first actions.
func New(now time.Time, config Config) (*Dispatcher, []Action) {
	d := &Dispatcher{
		self:       config.Self,
		requests:   request.New(config.Self, config.Requests, config.Chooser, config.Random),
		slots:      admission.NewSlots(now, config.Slots, config.StartID),
		keeper:     claim.NewCoordinator(config.Claims, config.Self, config.BackendServer, config.Incarnation),
		keyed:      make(map[core.RequestID]*Keyed),
		executions: make(map[core.AttemptID]*execution),
		told:       unheard,
	}
	d.do(Propose(d.keeper.Started(now)))
	return d, d.take()
}

// Counts returns what became of the callers' requests so far.
func (d *Dispatcher) Counts() request.Counts {
	return d.requests.Counts()
}

// Slots returns the own slot count.
func (d *Dispatcher) Slots(now time.Time) admission.SlotCounts {
	return d.slots.Counts(now)
}

// Idle reports whether nothing is left to do for any caller, asker or claim. A
// companion that stops exits only then, or at its stop deadline.
func (d *Dispatcher) Idle() bool {
	return d.requests.Open() == 0 && len(d.executions) == 0 && d.keeper.Open() == 0
}

// Handle takes one event and returns what to do, in order.
func (d *Dispatcher) Handle(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Submitted:
		d.submitted(now, e)
	case RequestEvent:
		d.request(now, e.Event)
	case ClaimEvent:
		d.claims(now, d.keeper.Handle(now, e.Event))
	case ReserveRequested:
		d.reserveAsked(now, e)
	case RunRequested:
		d.runAsked(now, e)
	case CancelRequested:
		d.cancelAsked(now, e)
	case Executed:
		d.executed(now, e)
	case Replayed:
		d.replayed(now, e)
	case BackendChanged:
		d.slots.Restarted(e.StartID)
		d.slots.SetDraining(e.Draining)
	}
	d.tellOwnLoad(now)
	return d.take()
}

// Wake does what is due at the given time.
func (d *Dispatcher) Wake(now time.Time) []Action {
	d.slots.Wake(now)
	d.claims(now, d.keeper.Wake(now))
	d.withdrawLate(now)
	d.place(now, d.requests.Wake(now))
	d.tellOwnLoad(now)
	return d.take()
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
	add(d.keeper.Deadline())
	add(d.claimDeadline())
	return due, !due.IsZero()
}

func (d *Dispatcher) submitted(now time.Time, e Submitted) {
	if e.Keyed != nil {
		d.keyed[e.ID] = e.Keyed
	}
	d.request(now, request.Arrived{
		ID:         e.ID,
		Deadline:   e.Deadline,
		Repeatable: e.Repeatable,
		Keyed:      e.Keyed != nil,
	})
}

// request hands an event to the request core and does what it asks for.
func (d *Dispatcher) request(now time.Time, event request.Event) {
	actions := d.requests.Handle(now, event)
	switch e := event.(type) {
	case request.CallerDisconnected:
		delete(d.keyed, e.ID)
	case request.PeersChanged:
		d.told = unheard
	}
	d.place(now, actions)
}

// place carries out the request core's actions: those for this companion at
// once, the others by messages.
func (d *Dispatcher) place(now time.Time, actions []request.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case request.Reserve:
			d.reserve(now, a)
		case request.Run:
			d.run(now, a)
		case request.Cancel:
			d.cancel(now, a)
		case request.Finish:
			d.end(a.ID, a)
		case request.Abort:
			d.end(a.ID, a)
		case request.Refuse:
			d.end(a.ID, a)
		default:
			d.do(CallerAction{Action: a})
		}
	}
}

func (d *Dispatcher) end(id core.RequestID, action request.Action) {
	delete(d.keyed, id)
	d.do(CallerAction{Action: action})
}

func (d *Dispatcher) reserve(now time.Time, a request.Reserve) {
	if a.Peer == d.self {
		d.reserveAsked(now, ReserveRequested{Attempt: a.Attempt, Requester: d.self})
		return
	}
	d.do(SendReserve(a))
}

func (d *Dispatcher) run(now time.Time, a request.Run) {
	keyed := d.keyed[a.Attempt.Request]
	if a.Peer == d.self {
		d.runAsked(now, RunRequested{Attempt: a.Attempt, Requester: d.self, Deadline: now.Add(a.Timeout), Keyed: keyed})
		return
	}
	d.do(SendRun{Attempt: a.Attempt, Peer: a.Peer, Timeout: a.Timeout, Keyed: keyed})
}

func (d *Dispatcher) cancel(now time.Time, a request.Cancel) {
	if a.Peer == d.self {
		d.cancelAsked(now, CancelRequested{Attempt: a.Attempt})
		return
	}
	d.do(SendCancel(a))
}

// tellOwnLoad lets the request core know of slots that came free.
func (d *Dispatcher) tellOwnLoad(now time.Time) {
	load := d.load(now)
	if load == d.told {
		return
	}
	d.told = load
	d.request(now, request.PeerLoad{Peer: d.self, Load: load})
	d.tellOwnLoad(now)
}

func (d *Dispatcher) load(now time.Time) request.Load {
	counts := d.slots.Counts(now)
	return request.Load{Free: counts.Free(), Bound: counts.Bound}
}

func (d *Dispatcher) do(action Action) {
	d.actions = append(d.actions, action)
}

func (d *Dispatcher) take() []Action {
	actions := d.actions
	d.actions = nil
	return actions
}
