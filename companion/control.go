package companion

import (
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/core"
	"zinniapulley.dev/flow"
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
	revision metrics.Gauge
}

func newControl(config Config, traffic *traffic) *control {
	return &control{
		log:      config.Log,
		config:   config,
		traffic:  traffic,
		view:     &core.View{},
		revision: metrics.GetOrRegisterGauge("revision", config.Metrics),
	}
}

// Handle carries out one event.
func (c *control) Handle(now time.Time, e event) {
	e.handle(c, now)
}

// Wake has nothing to do: the companion's control loop has no deadlines.
func (c *control) Wake(time.Time) {}

// Deadline reports that there is none.
func (c *control) Deadline() (time.Time, bool) {
	return time.Time{}, false
}

// viewArrived is a view from a control instance.
type viewArrived struct {
	view *core.View
}

func (e viewArrived) handle(c *control, _ time.Time) {
	if e.view.Revision <= c.view.Revision {
		return
	}
	c.view = e.view
	c.revision.Update(int64(e.view.Revision))
	c.log.Info("view in force", "revision", e.view.Revision, "services", len(e.view.Services),
		"backendServers", len(e.view.BackendServers))
	c.inform()
}

// announced is the answer of a control instance to an announcement.
type announced struct {
	reply wire.AnnounceReply
}

func (e announced) handle(c *control, _ time.Time) {
	if e.reply == c.identity {
		return
	}
	c.identity = e.reply
	c.log.Info("backend server registered", "backendServer", e.reply.BackendServer, "service", e.reply.Service)
	c.inform()
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
				DataCentreIn: c.view.DataCentreIn(server.DataCentre),
			}
		}
	}
	return flow.Self{}
}
