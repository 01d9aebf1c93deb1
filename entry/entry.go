// Package entry assembles the entry instance: it takes packets from the fabric
// and sends each to the companion that the published tables name. It holds no
// state that a flow needs to survive.
package entry

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/core"
	"zinniapulley.dev/flow"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/subscriber"
)

// mailboxSize is the length of the control loop's mailbox in events.
const mailboxSize = 64

// Config sets up an entry instance.
type Config struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	// Packets is the UDP address at which the fabric delivers packets.
	Packets netip.AddrPort
	// Controls lists the RPC addresses of the control instances.
	Controls []netip.AddrPort
	Log      *slog.Logger
	Metrics  metrics.Registry
}

// Entry is one entry instance.
type Entry struct {
	config     Config
	conn       *net.UDPConn
	forwarding atomic.Pointer[flow.Forwarding]
	loop       *loop.Loop[viewArrived]
	traffic    *traffic
}

// New opens the entry instance's socket. Packets wait there until Run.
func New(config Config) (*Entry, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(config.Packets))
	if err != nil {
		return nil, core.At("listen for packets", core.Peer(config.Packets.String()), err)
	}
	e := &Entry{
		config: config,
		conn:   conn,
		loop:   loop.New[viewArrived](mailboxSize),
	}
	e.traffic = newTraffic(conn, &e.forwarding, config)
	return e, nil
}

// Packets returns the UDP address of the entry instance.
func (e *Entry) Packets() netip.AddrPort {
	return e.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Run serves until ctx is done. A packet that has been read is sent on before
// Run returns.
func (e *Entry) Run(ctx context.Context) error {
	trafficDone := make(chan struct{})
	go func() {
		defer close(trafficDone)
		e.traffic.run()
	}()
	go e.subscribe(ctx)
	e.loop.Run(ctx, &control{entry: e})
	err := e.conn.SetReadDeadline(time.Now())
	<-trafficDone
	closeErr := e.conn.Close()
	if err == nil {
		err = closeErr
	}
	return core.At("stop entry", core.Peer(e.config.Instance), err)
}

func (e *Entry) subscribe(ctx context.Context) {
	config := subscriber.Config{
		Instance:   e.config.Instance,
		DataCentre: e.config.DataCentre,
		Controls:   e.config.Controls,
		Log:        e.config.Log,
	}
	err := subscriber.Run(ctx, config, func(ctx context.Context, view *core.View) error {
		return e.loop.Send(ctx, viewArrived{view: view})
	})
	e.config.Log.Info("subscription ended", "error", err)
}

// viewArrived is the one event of an entry instance's control loop.
type viewArrived struct {
	view *core.View
}

// control owns the control state of an entry instance.
type control struct {
	entry    *Entry
	revision core.Revision
}

// Handle puts a newer view in force.
func (c *control) Handle(_ time.Time, event viewArrived) {
	if event.view.Revision <= c.revision {
		return
	}
	c.revision = event.view.Revision
	c.entry.forwarding.Store(flow.Compile(event.view))
	metrics.GetOrRegisterGauge("revision", c.entry.config.Metrics).Update(int64(c.revision))
	c.entry.config.Log.Info("view in force", "revision", c.revision,
		"services", len(event.view.Services), "backendServers", len(event.view.BackendServers))
}

// Wake has nothing to do: an entry instance has no deadlines.
func (c *control) Wake(time.Time) {}

// Deadline reports that there is none.
func (c *control) Deadline() (time.Time, bool) {
	return time.Time{}, false
}
