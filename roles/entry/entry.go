// Package entry assembles the entry instance of pass-through forwarding: it takes
// packets of callers and sends each to a companion.
package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
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
	// mailboxSize is the length of the control goroutine's mailbox in events.
	mailboxSize = 64
	// logQueue is the most log lines of the packet path that wait to be written.
	logQueue = 512
	// tickInterval is the time between looks for what is due in the packet path.
	tickInterval = 250 * time.Millisecond
	// helloInterval is the time between hellos to the control instances.
	helloInterval = 200 * time.Millisecond
	// leaveTime is how long a stop waits for callers' packets to go elsewhere: the
	// two missed checks of the routers, each half a second, and one more.
	leaveTime = 1700 * time.Millisecond
)

// Config sets up an entry instance.
type Config struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	// Packets is the UDP address at which callers' packets arrive.
	Packets netip.AddrPort
	// Peers is the UDP address for companions.
	Peers netip.AddrPort
	// Seeds returns the control instances that the settings name by now; at least
	// one.
	Seeds   func() []netip.AddrPort
	Codec   traffic.Codec
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Entry is one entry instance.
type Entry struct {
	config  Config
	callers *net.UDPConn
	peers   *net.UDPConn
	loop    *loop.Loop[event]
	table   atomic.Pointer[route.Table]
	lines   *asynclog.Writer
	// known counts the companions that the packet path has heard of.
	known    atomic.Int64
	stopping atomic.Bool
}

// New opens the sockets. Packets wait there until Run.
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
		loop:  loop.New[event](mailboxSize),
		lines: asynclog.New(config.Log.Handler(), logQueue),
	}, nil
}

// Ready reports whether callers' packets should come here.
func (e *Entry) Ready() bool {
	return !e.stopping.Load() && e.table.Load() != nil && e.known.Load() > 0
}

// Run serves until ctx is done, and then until callers' packets go elsewhere.
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
			e.loop.Run(ctx, &control{entry: e, controls: e.config.Seeds()})
		},
		Packets: func(ctx context.Context) { traffic.Run(ctx, newOwner(e), tickInterval, e.callers, e.peers) },
		OnShutdown: func() {
			e.stopping.Store(true)
			e.config.Log.Info("leaving", "wait", leaveTime)
		},
		ShutdownDelay: leaveTime,
	})
	e.lines.Close()
	return nil
}

// event is what the control goroutine takes.
type event interface {
	handle(c *control, now time.Time)
}

// updated is news from a control instance.
type updated feed.Update

// control owns the control state of an entry instance.
type control struct {
	entry    *Entry
	controls []netip.AddrPort
	helloDue time.Time
}

// Handle takes one event.
func (c *control) Handle(now time.Time, e event) { e.handle(c, now) }

// Deadline returns when the next hello is due.
func (c *control) Deadline() (time.Time, bool) { return c.helloDue, true }

// Wake tells the control instances of this entry instance.
func (c *control) Wake(now time.Time) {
	c.helloDue = now.Add(helloInterval)
	traffic.SendHeartbeat(c.entry.peers, c.controls, hop.Hello{Packets: c.entry.config.Peers}, c.entry.config.Log)
}

func (u updated) handle(c *control, now time.Time) {
	if len(u.Controls) > 0 {
		c.controls = u.Controls
		c.entry.config.Log.Info("control instances known", "controls", u.Controls)
	}
	current := c.entry.table.Load()
	if u.View == nil || (current != nil && u.View.Revision <= current.View.Revision) {
		return
	}
	if current == nil {
		// Control has just been reached: it should hear of this instance at once.
		c.Wake(now)
	}
	c.entry.table.Store(route.Compile(u.View))
	c.entry.config.Log.Info("view in force", "revision", u.View.Revision, "version", u.View.Version,
		"routes", len(u.View.Routes), "out", u.View.Out)
}
