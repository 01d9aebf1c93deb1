package companion

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/core"
	"zinniapulley.dev/flow"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/membership"
	"zinniapulley.dev/subscriber"
	"zinniapulley.dev/wire"
)

// event is an input of the control loop.
type event interface {
	handle(c *control, now time.Time)
}

// control owns the control state of a companion. Only the control loop uses it.
type control struct {
	log          *slog.Logger
	config       Config
	traffic      *traffic
	view         *core.View
	registration wire.AnnounceReply
	startID      core.StartID
	revision     metrics.Gauge
	// subscription keeps the view up to date.
	subscription *subscriber.Subscription
}

func newControl(config Config, traffic *traffic, subscription subscriber.Config) *control {
	c := &control{
		log:      config.Log,
		config:   config,
		traffic:  traffic,
		view:     &core.View{},
		revision: metrics.GetOrRegisterGauge("revision", config.Metrics),
	}
	c.subscription = subscriber.New(subscription, c.applyView)
	return c
}

// Handle handles one event.
func (c *control) Handle(now time.Time, e event) {
	e.handle(c, now)
}

// Wake runs the subscription's due timers.
func (c *control) Wake(now time.Time) {
	c.subscription.Wake(now)
}

// Deadline returns when the subscription is due next, and false if it isn't.
func (c *control) Deadline() (time.Time, bool) {
	return c.subscription.Deadline()
}

// subscriptionEvent is an event of the subscription.
type subscriptionEvent struct {
	event subscriber.Event
}

func (e subscriptionEvent) handle(c *control, now time.Time) {
	c.subscription.Handle(now, e.event)
}

// applyView replaces the view by a newer one.
func (c *control) applyView(_ time.Time, view *core.View) {
	c.view = view
	c.revision.Update(int64(view.Revision))
	c.updateTraffic()
}

// registered is an accepted announcement, with control's reply.
type registered struct {
	reply   wire.AnnounceReply
	startID core.StartID
}

func (e registered) handle(c *control, _ time.Time) {
	if e.reply == c.registration {
		return
	}
	c.registration, c.startID = e.reply, e.startID
	c.log.Info("backend server registered", "backendServer", e.reply.BackendServer, "service", e.reply.Service)
	c.updateTraffic()
}

// heartbeatRequested is the announcer's request for the next heartbeat.
type heartbeatRequested struct {
	reply loop.Reply[heartbeat]
}

// heartbeat is the content and the destination of a heartbeat. Without a relay
// it is sent to control.
type heartbeat struct {
	report   membership.Report
	relay    netip.AddrPort
	hasRelay bool
}

func (e heartbeatRequested) handle(c *control, _ time.Time) {
	next := heartbeat{report: membership.Report{
		BackendServer: c.registration.BackendServer,
		StartID:       c.startID,
		Capacity:      c.config.Capacity,
		State:         core.BackendServing,
	}}
	next.relay, next.hasRelay = c.subscription.Relay()
	e.reply.Answer(next)
}

// superseded reports that a later start of the backend server is registered.
type superseded struct{}

func (superseded) handle(c *control, _ time.Time) {
	c.log.Error("backend server superseded by its later start; no longer announced",
		"instance", c.config.Instance, "backendServer", c.registration.BackendServer, "startID", c.startID)
}

// updateTraffic sends the traffic goroutine the control state that it needs.
func (c *control) updateTraffic() {
	if c.registration.BackendServer == 0 {
		return
	}
	c.traffic.update(trafficState{
		backendServer: c.registration.BackendServer,
		service:       c.registration.Service,
		forwarding:    flow.Compile(c.view),
		self:          c.self(),
		connections:   c.config.Capacity.Connections,
	})
}

// self returns the state of this companion's backend server in the view.
func (c *control) self() flow.Self {
	for i := range c.view.BackendServers {
		server := &c.view.BackendServers[i]
		if server.ID == c.registration.BackendServer {
			return flow.Self{
				Known:        true,
				State:        server.State,
				Share:        server.Share,
				DataCentreIn: c.view.DataCentreInService(server.DataCentre),
			}
		}
	}
	return flow.Self{}
}
