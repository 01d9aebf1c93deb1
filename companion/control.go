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

// event is what the control loop takes.
type event interface {
	handle(c *control, now time.Time)
}

// control owns the control state of a companion. Only the control loop calls
// it.
type control struct {
	log      *slog.Logger
	config   Config
	traffic  *traffic
	view     *core.View
	identity wire.AnnounceReply
	startID  core.StartID
	revision metrics.Gauge
	// subscription keeps the view current.
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
	c.subscription = subscriber.New(subscription, c.putInForce)
	return c
}

// Handle carries out one event.
func (c *control) Handle(now time.Time, e event) {
	e.handle(c, now)
}

// Wake does what the subscription is due to do.
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

// putInForce takes a newer view.
func (c *control) putInForce(_ time.Time, view *core.View) {
	c.view = view
	c.revision.Update(int64(view.Revision))
	c.inform()
}

// announced is the answer of a control instance to an announcement.
type announced struct {
	reply   wire.AnnounceReply
	startID core.StartID
}

func (e announced) handle(c *control, _ time.Time) {
	if e.reply == c.identity {
		return
	}
	c.identity, c.startID = e.reply, e.startID
	c.log.Info("backend server registered", "backendServer", e.reply.BackendServer, "service", e.reply.Service)
	c.inform()
}

// beat asks what the next heartbeat says and whom it goes to.
type beat struct {
	reply loop.Reply[heartbeat]
}

// heartbeat is what a heartbeat says. Without a relay, control itself gets it.
type heartbeat struct {
	report   membership.Report
	relay    netip.AddrPort
	hasRelay bool
}

func (e beat) handle(c *control, _ time.Time) {
	next := heartbeat{report: membership.Report{
		BackendServer: c.identity.BackendServer,
		StartID:       c.startID,
		Capacity:      c.config.Capacity,
		State:         core.BackendServing,
	}}
	next.relay, next.hasRelay = c.subscription.Relay()
	e.reply.Answer(next)
}

// superseded says that a later start has replaced this one.
type superseded struct{}

func (superseded) handle(c *control, _ time.Time) {
	c.log.Error("this start of the backend server was replaced by a later one; it is no longer announced",
		"instance", c.config.Instance, "backendServer", c.identity.BackendServer, "startID", c.startID)
}

// inform hands the traffic goroutine what it needs of the control state.
func (c *control) inform() {
	if c.identity.BackendServer == 0 {
		return
	}
	c.traffic.update(trafficState{
		backendServer: c.identity.BackendServer,
		service:       c.identity.Service,
		forwarding:    flow.Compile(c.view),
		self:          c.self(),
		connections:   c.config.Capacity.Connections,
	})
}

// self returns what the view says of the own backend server.
func (c *control) self() flow.Self {
	for i := range c.view.BackendServers {
		server := &c.view.BackendServers[i]
		if server.ID == c.identity.BackendServer {
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
