// Package companion assembles the companion of pass-through forwarding: the process
// beside one backend server that all packets to and from it pass through.
package companion

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
	"zinniapulley.dev/passthrough/gate"
	"zinniapulley.dev/roles/feed"
	"zinniapulley.dev/roles/traffic"
	"zinniapulley.dev/route"
)

const (
	// mailboxSize is the capacity of the control goroutine's mailbox in events.
	mailboxSize = 64
	// logQueueLength is the maximum number of queued log lines of the packet path.
	logQueueLength = 512
	// tickInterval is the time between sweeps of the packet path's state, and the
	// minimum between statuses to the entry instances.
	tickInterval = 100 * time.Millisecond
	// shutdownDelay is how long a shutdown waits for responses to running requests.
	shutdownDelay = 400 * time.Millisecond
	// callTimeout bounds a call of the backend server.
	callTimeout = time.Second
)

// processStart is when the process started.
var processStart = time.Now()

// Config configures a companion.
type Config struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	// Packets is the UDP address for entry instances.
	Packets netip.AddrPort
	// Outbound is the UDP address to which the backend server sends.
	Outbound netip.AddrPort
	// Server is the UDP address at which the backend server receives packets.
	Server netip.AddrPort
	// Health is the TCP address at which the backend server accepts health checks while
	// it runs, invalid for none. Probes connect to it and send nothing.
	Health netip.AddrPort
	// Service is the service that the backend server should announce. It is only logged.
	Service core.ServiceName
	// Seeds returns the control instances that the settings currently name, at least
	// one.
	Seeds   func() []netip.AddrPort
	Gate    gate.Config
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

// state is the control state that the packet path uses. It is immutable.
type state struct {
	table   *route.Table
	target  gate.Target
	entries []netip.AddrPort
}

// New opens the sockets. They buffer packets until Run is called.
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
		lines: asynclog.New(config.Log.Handler(), logQueueLength),
	}
	c.state.Store(&state{})
	return c, nil
}

// Ready reports whether the companion can admit flows.
func (c *Companion) Ready() bool {
	s := c.state.Load()
	return !c.stopping.Load() && s.table != nil && s.target.Known
}

// Announce records an announcement of the backend server. The packet path uses it once
// Announce has returned without an error; those of [gate.Registration.Announce] reject it.
func (c *Companion) Announce(ctx context.Context, a gate.Announcement) error {
	return c.call(ctx, "announce", func(reply loop.Reply[error]) event { return announced{a: a, reply: reply} })
}

// Depart records the departure of the backend server.
func (c *Companion) Depart(ctx context.Context, server string) error {
	return c.call(ctx, "depart", func(reply loop.Reply[error]) event { return departed{server: server, reply: reply} })
}

func (c *Companion) call(ctx context.Context, step core.Step, build func(loop.Reply[error]) event) error {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := loop.Ask(limited, c.loop, build)
	if err == nil {
		err = answer
	}
	return core.At(step, core.Peer(c.config.Instance), err)
}

// Run serves until ctx is done and the shutdown delay is over.
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
			c.loop.Run(ctx, newControl(c))
		},
		Packets: func(ctx context.Context) { traffic.Run(ctx, newPacketPath(c), tickInterval, c.peers, c.outbound) },
		OnShutdown: func() {
			c.stopping.Store(true)
			err := c.loop.Post(stopping{})
			c.config.Log.Info("companion shutting down", "wait", shutdownDelay, "error", err)
		},
		ShutdownDelay: shutdownDelay,
	})
	c.lines.Close()
	return nil
}
