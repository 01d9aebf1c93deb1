// Package companion assembles the process beside a backend server: it announces
// the server, admits its flows, forwards packets of other companions' flows, and
// relays the bytes of its own flows to the server (package relay).
package companion

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/core"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/relay/tcpstack"
	"zinniapulley.dev/subscriber"
)

// mailboxSize is the capacity of the control loop's mailbox in events.
const mailboxSize = 256

// Config configures a companion.
type Config struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	Service    core.ServiceName
	// BackendServer is the TCP address of the backend server.
	BackendServer netip.AddrPort
	// Packets is the UDP address for packets from entry instances and peers.
	Packets netip.AddrPort
	// RPC is the TCP address for calls from peers.
	RPC netip.AddrPort
	// FabricReturn is the UDP address of the fabric for packets to callers.
	FabricReturn netip.AddrPort
	// Capacity is the load that the backend server can handle when warm.
	Capacity core.Capacity
	// Controls lists the RPC addresses of the control instances.
	Controls []netip.AddrPort
	Log      *slog.Logger
	Metrics  metrics.Registry
}

// Companion is one companion instance.
type Companion struct {
	config  Config
	conn    *net.UDPConn
	loop    *loop.Loop[event]
	traffic *traffic
	stack   *tcpstack.Terminator
}

// New opens the companion's socket. Packets are buffered there until Run.
func New(config Config) (*Companion, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(config.Packets))
	if err != nil {
		return nil, core.At("listen for packets", core.Peer(config.Packets.String()), err)
	}
	c := &Companion{
		config: config,
		conn:   conn,
		loop:   loop.New[event](mailboxSize),
	}
	c.traffic = newTraffic(conn, config)
	delivery := newDelivery(conn, config, c.traffic)
	c.stack, err = tcpstack.New(tcpstack.Options{}, delivery)
	if err != nil {
		_ = conn.Close()
		return nil, core.At("start tcp stack", core.Peer(config.Instance), err)
	}
	c.traffic.terminator = c.stack
	return c, nil
}

// Packets returns the UDP address of the companion.
func (c *Companion) Packets() netip.AddrPort {
	return c.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Run serves until ctx is done, then resets the flows that are still open.
func (c *Companion) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	trafficDone := make(chan struct{})
	go func() {
		defer close(trafficDone)
		c.traffic.run(ctx)
	}()
	go c.traffic.read()
	subscription := c.subscription()
	go subscriber.Run(ctx, subscription, c.sendSubscriptionEvent)
	announcerDone := make(chan struct{})
	go func() {
		defer close(announcerDone)
		newAnnouncer(c.config, c.Packets(), c.loop).run(ctx)
	}()
	c.loop.Run(ctx, newControl(c.config, c.traffic, subscription))
	<-announcerDone
	c.stack.Close()
	<-trafficDone
	return core.At("close packets", core.Peer(c.config.Instance), c.conn.Close())
}

func (c *Companion) subscription() subscriber.Config {
	return subscriber.Config{
		Instance:   c.config.Instance,
		DataCentre: c.config.DataCentre,
		Controls:   c.config.Controls,
		Log:        c.config.Log,
	}
}

// sendSubscriptionEvent sends an event of the subscription to the control loop.
func (c *Companion) sendSubscriptionEvent(ctx context.Context, e subscriber.Event) error {
	return c.loop.Send(ctx, subscriptionEvent{event: e})
}

// startID returns an identifier for this start of the backend server.
func startID() core.StartID {
	return core.StartID(time.Now().UnixNano())
}
