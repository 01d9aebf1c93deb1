// Package entry assembles the entry instance: it receives packets from the fabric
// and sends each to the companion that the published tables name. It keeps no
// state for each flow, so flows survive its failure.
package entry

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/asynclog"
	"zinniapulley.dev/core"
	"zinniapulley.dev/flow"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/subscriber"
	"zinniapulley.dev/wire"
	"zinniapulley.dev/wire/geneve"
)

const (
	// mailboxSize is the capacity of the control loop's mailbox in events.
	mailboxSize = 64
	// logQueueSize is the most log lines of the packet path that may wait to be
	// written.
	logQueueSize = 4096
)

// Config configures an entry instance.
type Config struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	// Packets is the UDP address at which the fabric delivers packets.
	Packets netip.AddrPort
	// RPC is the TCP address at which the entry instance relays views to other
	// instances of its data centre. If it is invalid, it relays none.
	RPC netip.AddrPort
	// FloorFile is the file that stores the newest revision that was in force. It
	// is empty for an instance without a disk.
	FloorFile string
	// Network is the virtual network identifier of the fabric's datagrams.
	Network uint32
	// StopDeadline is how long a graceful stop may wait for the fabric to stop
	// sending packets here. Zero stops at once.
	StopDeadline time.Duration
	// Controls lists the RPC addresses of the control instances.
	Controls []netip.AddrPort
	Log      *slog.Logger
	Metrics  metrics.Registry
}

// Entry is a running entry instance.
type Entry struct {
	config     Config
	conn       *net.UDPConn
	forwarding atomic.Pointer[flow.ForwardingTable]
	loop       *loop.Loop[subscriber.Event]
	rpc        *wire.Server
	traffic    *traffic
	// asyncLog writes the log lines of the packet path.
	asyncLog *asynclog.Writer
}

// New opens the entry instance's socket. Packets are buffered there until Run.
func New(config Config) (*Entry, error) {
	conn, err := geneve.Listen(config.Packets)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		config: config,
		conn:   conn,
		loop:   loop.New[subscriber.Event](mailboxSize),
	}
	err = e.listen()
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	e.asyncLog = asynclog.New(config.Log.Handler(), logQueueSize)
	e.traffic = newTraffic(conn, &e.forwarding, config, e.asyncLog.Logger())
	return e, nil
}

// listen opens the RPC address, if there is one.
func (e *Entry) listen() error {
	if !e.config.RPC.IsValid() {
		return nil
	}
	server, err := wire.Listen(e.config.RPC)
	if err != nil {
		return err
	}
	e.rpc = server
	e.config.RPC = server.Address()
	return subscriber.Register(server, e.loop.Send)
}

// Packets returns the UDP address of the entry instance.
func (e *Entry) Packets() netip.AddrPort {
	return e.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Run serves until ctx is done, and then until the fabric has sent no packet for
// quietPeriod, the stop deadline has passed, or StopNow is called.
func (e *Entry) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	trafficDone := make(chan bool)
	go func() { trafficDone <- e.traffic.run() }()
	loopDone := make(chan struct{})
	go func() {
		defer close(loopDone)
		subscription := e.subscription()
		e.subscribe(serving, subscription)
		e.loop.Run(serving, subscriber.New(subscription, e.applyView))
	}()
	<-ctx.Done()
	e.traffic.stop(time.Now().Add(e.config.StopDeadline))
	busy := <-trafficDone
	stop()
	<-loopDone
	e.config.Log.Info("entry stopped", "packetsSinceStop", e.traffic.packetsSinceStop, "packetsStillArriving", busy)
	e.asyncLog.Close()
	return core.At("close packets", core.Peer(e.config.Instance), e.conn.Close())
}

// StopNow ends a graceful stop that still waits.
func (e *Entry) StopNow() {
	e.traffic.stop(time.Now())
}

func (e *Entry) subscription() subscriber.Config {
	return subscriber.Config{
		Instance:   e.config.Instance,
		DataCentre: e.config.DataCentre,
		Controls:   e.config.Controls,
		Relay:      e.config.RPC,
		FloorFile:  e.config.FloorFile,
		Log:        e.config.Log,
	}
}

// subscribe starts the goroutines that make the subscription's calls.
func (e *Entry) subscribe(ctx context.Context, config subscriber.Config) {
	go subscriber.Run(ctx, config, e.loop.Send)
	if e.rpc != nil {
		go e.rpc.Serve(ctx)
		go subscriber.RunRelay(ctx, config, e.loop.Send)
	}
}

// applyView passes a newer view to the traffic goroutine. The control loop calls
// it.
func (e *Entry) applyView(_ time.Time, view *core.View) {
	e.forwarding.Store(flow.Compile(view))
	metrics.GetOrRegisterGauge("revision", e.config.Metrics).Update(int64(view.Revision))
}
