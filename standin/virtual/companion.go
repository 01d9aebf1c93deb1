package virtual

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"time"

	"zinniapulley.dev/admission"
	"zinniapulley.dev/claim"
	"zinniapulley.dev/core"
	"zinniapulley.dev/relay/dispatch"
	"zinniapulley.dev/request"
)

// serviceID is the only service of a simulation.
const serviceID core.ServiceID = 1

// Companion is one companion with its backend server.
type Companion struct {
	Backend     *Backend
	sim         *Simulation
	id          core.InstanceID
	index       int
	incarnation uint64
	lastNumber  uint64
	down        bool
	inService   bool
	draining    bool
	dispatcher  *dispatch.Dispatcher
	wakeAt      time.Time
	waiting     map[core.RequestID]*Submission
	// requests holds the content of the requests submitted here, tokens that of the
	// attempts run for peers, answers the answers to attempts.
	requests map[core.RequestID]Token
	tokens   map[core.AttemptID]Token
	answers  map[core.AttemptID]*Answer
	// delivered holds the attempt whose answer each caller receives.
	delivered map[core.RequestID]core.AttemptID
	recorded  map[claim.Holder]Token
}

func newCompanion(sim *Simulation, index int, backend BackendOptions) *Companion {
	return &Companion{
		sim:       sim,
		id:        core.InstanceID(fmt.Sprintf("companion-%02d", index)),
		index:     index,
		inService: true,
		Backend:   newBackend(sim, backend),
	}
}

// start starts a new incarnation with a new dispatcher.
func (c *Companion) start() {
	c.incarnation++
	c.lastNumber = 0
	c.down = false
	c.waiting = make(map[core.RequestID]*Submission)
	c.tokens = make(map[core.AttemptID]Token)
	c.answers = make(map[core.AttemptID]*Answer)
	c.delivered = make(map[core.RequestID]core.AttemptID)
	c.recorded = make(map[claim.Holder]Token)
	c.requests = make(map[core.RequestID]Token)
	limits := admission.DefaultSlotLimits(c.Backend.options.Slots)
	limits.StopGrace = c.Backend.options.StopWithin
	config := dispatch.Config{
		Self:          c.id,
		BackendServer: core.BackendServerID(c.index + 1),
		StartID:       c.Backend.startID,
		Incarnation:   c.incarnation,
		Slots:         limits,
		Requests:      c.sim.options.Requests,
		Claims:        claim.DefaultCoordinatorLimits(),
		Chooser:       c.sim.options.Chooser,
		Random:        rand.New(rand.NewPCG(c.sim.options.Seed, uint64(c.index)<<32|c.incarnation)),
	}
	dispatcher, actions := dispatch.New(c.sim.now, config)
	c.dispatcher = dispatcher
	c.perform(actions)
}

// Crash stops the companion, which loses its state and its callers' flows.
func (c *Companion) Crash() {
	if c.down {
		return
	}
	c.down = true
	c.wakeAt = time.Time{}
	for _, s := range c.waiting {
		s.Disconnected = true
		s.Ended = c.sim.now
	}
	c.Backend.abandon()
	c.sim.updatePeers()
}

// Restart starts a crashed companion again.
func (c *Companion) Restart() {
	if !c.down {
		return
	}
	c.start()
	c.sim.updatePeers()
}

// RestartBackend restarts the backend server and notifies the companion.
func (c *Companion) RestartBackend() {
	c.Backend.Restart()
	c.handle(dispatch.BackendChanged{StartID: c.Backend.startID, Draining: c.draining})
}

// SetDraining starts or stops the draining of the backend server.
func (c *Companion) SetDraining(draining bool) {
	c.draining = draining
	c.handle(dispatch.BackendChanged{StartID: c.Backend.startID, Draining: draining})
}

// SetInService sets whether the companion's data centre is in service.
func (c *Companion) SetInService(in bool) {
	c.inService = in
	c.sim.updatePeers()
	c.SetDraining(!in)
}

// Idle reports whether no request, execution or claim is pending.
func (c *Companion) Idle() bool { return c.dispatcher.Idle() }

// Counts returns the outcomes of requests in the present incarnation.
func (c *Companion) Counts() request.Counts { return c.dispatcher.Counts() }

func (c *Companion) setPeers(peers []core.InstanceID) {
	c.handle(dispatch.RequestEvent{Event: request.PeersChanged{Peers: peers}})
}

// Submit submits a request as if it was read from a caller's flow. An empty key means
// that the request has none.
func (c *Companion) Submit(key, body string, repeatable bool, timeout time.Duration) *Submission {
	sim := c.sim
	token := Token{Submission: len(sim.RunLog.Submissions), Key: key, Body: body}
	s := sim.RunLog.submitted(token, repeatable, sim.now)
	if c.down {
		s.Disconnected = true
		s.Ended = sim.now
		return s
	}
	c.lastNumber++
	id := core.RequestID{Companion: c.id, Incarnation: c.incarnation, Number: c.lastNumber}
	c.waiting[id] = s
	c.requests[id] = token
	submitted := dispatch.Submitted{ID: id, Deadline: sim.now.Add(timeout), Repeatable: repeatable}
	if key != "" {
		submitted.Keyed = &dispatch.Keyed{
			Key:    claim.Key{Service: serviceID, Value: key},
			Digest: sha256.Sum256([]byte(body)),
		}
	}
	c.handle(submitted)
	return s
}

// Disconnect ends the flow of a caller that waits for its outcome.
func (c *Companion) Disconnect(s *Submission) {
	for id, waiting := range c.waiting {
		if waiting == s {
			s.Disconnected = true
			s.Ended = c.sim.now
			delete(c.waiting, id)
			c.handle(dispatch.RequestEvent{Event: request.CallerDisconnected{ID: id}})
			return
		}
	}
}

func (c *Companion) handle(event dispatch.Event) {
	if c.down {
		return
	}
	c.perform(c.dispatcher.Handle(c.sim.now, event))
}

// arm schedules the dispatcher's Wake at its deadline.
func (c *Companion) arm() {
	due, ok := c.dispatcher.Deadline(c.sim.now)
	if !ok || (c.wakeAt.Equal(due) && due.After(c.sim.now)) {
		return
	}
	c.wakeAt = due
	dispatcher := c.dispatcher
	c.sim.After(max(0, due.Sub(c.sim.now)), func() {
		if c.down || c.dispatcher != dispatcher || !c.wakeAt.Equal(due) {
			return
		}
		c.wakeAt = time.Time{}
		c.perform(dispatcher.Wake(c.sim.now))
	})
}

// Down reports whether the companion has crashed and not restarted yet.
func (c *Companion) Down() bool { return c.down }

// InService reports whether the companion's data centre is in service.
func (c *Companion) InService() bool { return c.inService }

// DataCentre returns the companion's data centre.
func (c *Companion) DataCentre() core.DataCentre { return c.Backend.options.DataCentre }
