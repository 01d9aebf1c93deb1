// Package companion assembles the companion of pass-through forwarding: the
// process beside one backend server, through which all its packets go.
package companion

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/asynclog"
	"zinniapulley.dev/core"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/roles/feed"
	"zinniapulley.dev/roles/traffic"
	"zinniapulley.dev/route"
)

const (
	// mailboxSize is the length of the control goroutine's mailbox in events.
	mailboxSize = 64
	// logQueue is the most log lines of the packet path that wait to be written.
	logQueue = 512
	// tickInterval is the time between statuses to the entry instances.
	tickInterval = 100 * time.Millisecond
	// leaveTime is how long a stop waits for running requests to be answered.
	leaveTime = 400 * time.Millisecond
	// askTimeout bounds how long the backend server's own call may wait.
	askTimeout = time.Second
)

// began is when the process began.
var began = time.Now()

// ErrOutdated refuses an announcement that a later one has overtaken.
const ErrOutdated = errors.ConstError("a later start or announcement is known here")

// Config sets up a companion.
type Config struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	// Packets is the UDP address for entry instances.
	Packets netip.AddrPort
	// Outbound is the UDP address to which the backend server sends.
	Outbound netip.AddrPort
	// Server is the UDP address at which the backend server takes packets.
	Server netip.AddrPort
	// Health is the TCP address at which the backend server takes health checks for as
	// long as it runs. It is only connected to. Invalid for none.
	Health netip.AddrPort
	// Service is what the backend server is expected to serve.
	Service core.ServiceName
	// Seeds returns the control instances that the settings name by now; at least
	// one.
	Seeds   func() []netip.AddrPort
	Gate    passthrough.GateConfig
	Codec   traffic.Codec
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Companion is the process beside one backend server.
type Companion struct {
	config   Config
	peers    *net.UDPConn
	outbound *net.UDPConn
	loop     *loop.Loop[event]
	lines    *asynclog.Writer
	state    atomic.Pointer[state]
	stopping atomic.Bool
}

// state is what the control goroutine has the packet path work by. It is
// immutable.
type state struct {
	table   *route.Table
	target  passthrough.Target
	entries []netip.AddrPort
}

// New opens the sockets. Packets wait there until Run.
func New(config Config) (*Companion, error) {
	peers, err := traffic.Listen(config.Packets)
	if err != nil {
		return nil, err
	}
	outbound, err := traffic.Listen(config.Outbound)
	if err != nil {
		_ = peers.Close()
		return nil, err
	}
	c := &Companion{
		config: config, peers: peers, outbound: outbound,
		loop:  loop.New[event](mailboxSize),
		lines: asynclog.New(config.Log.Handler(), logQueue),
	}
	c.state.Store(&state{})
	return c, nil
}

// Ready reports whether the companion can admit flows.
func (c *Companion) Ready() bool {
	s := c.state.Load()
	return !c.stopping.Load() && s.table != nil && s.target.Known
}

// Announce takes what the backend server says of itself. Once it has returned
// without an error, the packet path works by it.
func (c *Companion) Announce(ctx context.Context, a passthrough.Announcement) error {
	return c.ask(ctx, "announce", func(reply loop.Reply[error]) event { return announced{a: a, reply: reply} })
}

// Depart takes the backend server's goodbye.
func (c *Companion) Depart(ctx context.Context, server string) error {
	return c.ask(ctx, "depart", func(reply loop.Reply[error]) event { return departed{server: server, reply: reply} })
}

func (c *Companion) ask(ctx context.Context, step core.Step, build func(loop.Reply[error]) event) error {
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := loop.Ask(limited, c.loop, build)
	if err == nil {
		err = answer
	}
	return core.At(step, core.Peer(c.config.Instance), err)
}

// Run serves until ctx is done, and then until the running requests are answered
// or the time for it is over.
func (c *Companion) Run(ctx context.Context) error {
	traffic.Serve(ctx, traffic.Parts{
		Feed: func(ctx context.Context) {
			feed.Run(ctx, feed.Config{
				Instance: c.config.Instance, Seeds: c.config.Seeds, Log: c.config.Log,
				Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
				Post:   func(ctx context.Context, u feed.Update) error { return c.loop.Send(ctx, updated(u)) },
			})
		},
		Control: func(ctx context.Context) {
			c.loop.Run(ctx, &control{companion: c, controls: c.config.Seeds(), registration: passthrough.NewRegistration(began, c.config.Gate.AnnouncementLimit)})
		},
		Packets: func(ctx context.Context) { traffic.Run(ctx, newOwner(c), tickInterval, c.peers, c.outbound) },
		OnShutdown: func() {
			c.stopping.Store(true)
			err := c.loop.Post(stopping{})
			c.config.Log.Info("leaving", "wait", leaveTime, "error", err)
		},
		ShutdownDelay: leaveTime,
	})
	c.lines.Close()
	return nil
}
