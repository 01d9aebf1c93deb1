// Package entry assembles the entry instance of pass-through forwarding: it receives
// the packets of callers and forwards each to a companion.
package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/asynclog"
	"zinniapulley.dev/core"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/roles/feed"
	"zinniapulley.dev/roles/traffic"
	"zinniapulley.dev/route"
	"zinniapulley.dev/wire/hop"
)

const (
	// mailboxSize is the capacity of the control goroutine's mailbox in events.
	mailboxSize = 64
	// logQueueLength is the maximum number of queued log lines of the packet path.
	logQueueLength = 512
	// tickInterval is the time between sweeps of the packet path's state, and how late a
	// lost query is repeated at most.
	tickInterval = 50 * time.Millisecond
	// heartbeatInterval is the time between heartbeats to the control instances, and
	// firstHeartbeatInterval the same for firstHeartbeats after a start or once the
	// control instances have changed.
	heartbeatInterval      = time.Second
	firstHeartbeatInterval = 200 * time.Millisecond
	firstHeartbeats        = 3 * time.Second
	// shutdownDelay is how long a shutdown waits until routers send callers' packets to
	// other entry instances: two failed health checks, each half a second, and one more.
	shutdownDelay = 1700 * time.Millisecond
)

// Config configures an entry instance.
type Config struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	// Packets is the UDP address at which callers' packets arrive.
	Packets netip.AddrPort
	// Peers is the UDP address for companions.
	Peers netip.AddrPort
	// Seeds returns the control instances that the settings currently name, at least
	// one.
	Seeds func() []netip.AddrPort
	// Network is what this instance may send a second, and receive, in bytes; zero if
	// unknown.
	Network int
	// PlanLeaving makes the instance plan which flows leave its data centre. LeavingCost
	// is the time that an answer must gain by that.
	PlanLeaving bool
	LeavingCost time.Duration
	Codec       traffic.Codec
	Log         *slog.Logger
	Metrics     metrics.Registry
}

// Entry is one entry instance.
type Entry struct {
	config  Config
	callers *net.UDPConn
	peers   *net.UDPConn
	loop    *loop.Loop[event]
	table   atomic.Pointer[route.Table]
	lines   *asynclog.Writer
	// companionCount is the number of companions that the packet path tracks.
	companionCount atomic.Int64
	stopping       atomic.Bool
	questions      chan question
}

// New opens the sockets. They buffer packets until Run is called.
func New(config Config) (*Entry, error) {
	callers, err := traffic.Listen(config.Packets)
	if err != nil {
		return nil, err
	}
	peers, err := traffic.Listen(config.Peers)
	if err != nil {
		_ = callers.Close()
		return nil, err
	}
	return &Entry{
		config: config, callers: callers, peers: peers,
		loop:      loop.New[event](mailboxSize),
		lines:     asynclog.New(config.Log.Handler(), logQueueLength),
		questions: make(chan question, maxQuestions),
	}, nil
}

// Ready reports whether routers should send callers' packets here.
func (e *Entry) Ready() bool {
	return !e.stopping.Load() && e.table.Load() != nil && e.companionCount.Load() > 0
}

// Run serves until ctx is done and the shutdown delay is over.
func (e *Entry) Run(ctx context.Context) error {
	traffic.Serve(ctx, traffic.Parts{
		Feed: func(ctx context.Context) {
			feed.Run(ctx, feed.Config{
				Instance: e.config.Instance, Seeds: e.config.Seeds, Log: e.config.Log,
				Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
				Post:   func(ctx context.Context, u feed.Update) error { return e.loop.Send(ctx, updated(u)) },
			})
		},
		Control: func(ctx context.Context) {
			e.loop.Run(ctx, &control{entry: e, controls: e.config.Seeds(), changedAt: time.Now()})
		},
		Packets: func(ctx context.Context) { traffic.Run(ctx, newPacketPath(e), tickInterval, e.callers, e.peers) },
		OnShutdown: func() {
			e.stopping.Store(true)
			e.config.Log.Info("entry instance shutting down", "wait", shutdownDelay)
		},
		ShutdownDelay: shutdownDelay,
	})
	e.lines.Close()
	return nil
}

// event is an event of the control goroutine.
type event interface {
	handle(c *control, now time.Time)
}

// updated is an update from a control instance.
type updated feed.Update

// control owns the control state of an entry instance.
type control struct {
	entry        *Entry
	controls     []netip.AddrPort
	heartbeatDue time.Time
	// changedAt is when this instance started or its control instances last changed.
	changedAt time.Time
}

// Handle processes one event.
func (c *control) Handle(now time.Time, e event) { e.handle(c, now) }

// Deadline returns when the next heartbeat is due.
func (c *control) Deadline() (time.Time, bool) { return c.heartbeatDue, true }

// Wake sends a heartbeat to the control instances.
func (c *control) Wake(now time.Time) {
	c.heartbeatDue = now.Add(nextHeartbeat(now.Sub(c.changedAt)))
	traffic.SendHeartbeat(c.entry.peers, c.controls, hop.Heartbeat{Packets: c.entry.config.Peers}, c.entry.config.Log)
}

// nextHeartbeat returns the time to the next heartbeat, so long after the last change.
func nextHeartbeat(sinceChange time.Duration) time.Duration {
	if sinceChange < firstHeartbeats {
		return firstHeartbeatInterval
	}
	return heartbeatInterval
}

func (u updated) handle(c *control, now time.Time) {
	if len(u.Controls) > 0 && !slices.Equal(u.Controls, c.controls) {
		c.controls, c.changedAt = u.Controls, now
		c.entry.config.Log.Info("control instances updated", "controls", u.Controls)
	}
	current := c.entry.table.Load()
	if u.View == nil || (current != nil && u.View.Revision <= current.View.Revision) {
		return
	}
	if current == nil {
		// Control has just become reachable: register this instance without delay.
		c.Wake(now)
	}
	c.entry.table.Store(route.Compile(u.View))
	c.entry.config.Log.Info("view in force", "revision", u.View.Revision, "version", u.View.Version,
		"routes", len(u.View.Routes), "out", u.View.Out)
}
