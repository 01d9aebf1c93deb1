package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/core"
	"zinniapulley.dev/durable"
	"zinniapulley.dev/passthrough/gate"
	"zinniapulley.dev/platform"
	"zinniapulley.dev/roles/companion"
	"zinniapulley.dev/roles/control"
	"zinniapulley.dev/roles/entry"
	"zinniapulley.dev/waitqueue"
)

const (
	// gcPercent is the heap growth that triggers a collection. The heaps are a few
	// megabytes, so collecting early costs little.
	gcPercent = 50
	// memoryLimitShare is the share of the configured memory that the Go runtime may use.
	memoryLimitShare = 0.8
	// announcementLimitIntervals is the age of a backend server's last announcement, in
	// announcement intervals, beyond which it gets no new flows.
	announcementLimitIntervals = 3.5
	// firstAnnouncementIntervals is the number of announcement intervals within which a
	// running backend server announces itself to a companion that has just started:
	// one, and one more for a failed attempt.
	firstAnnouncementIntervals = 2
)

// platformCommand holds the roles as the users' platform runs them.
type platformCommand struct {
	Entry     platformEntry     `cmd:"" help:"Run an entry instance."`
	Companion platformCompanion `cmd:"" help:"Run the companion of a backend server."`
	Control   platformControl   `cmd:"" help:"Run a control instance."`
}

// platformProcess holds what each of these roles is built from.
type platformProcess struct {
	MetricsPort uint16     `help:"TCP port of the metrics; 0 for none." default:"0"`
	LogLevel    slog.Level `help:"Lowest level that is logged: debug, info, warn or error." default:"info"`

	settings *platform.Settings
	log      *slog.Logger
	metrics  metrics.Registry
	// questions answers operators' questions at the metrics address, nil for none.
	questions    http.Handler
	currentSeeds atomic.Pointer[[]netip.AddrPort]
}

// load reads the settings file that the environment names.
func (p *platformProcess) load() error {
	settings, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(settings.Memory) * memoryLimitShare))
	}
	p.settings = settings
	p.currentSeeds.Store(&settings.Seeds)
	p.log = slog.New(slog.NewTextHandler(os.Stdout, &slog.HandlerOptions{Level: p.LogLevel})).With("instance", settings.Instance)
	p.metrics = metrics.NewRegistry()
	return nil
}

// internalAddress returns this process's address for traffic between instances.
func (p *platformProcess) internalAddress() netip.AddrPort {
	return netip.AddrPortFrom(p.settings.Address, p.settings.Internal)
}

// listener is an HTTP address of a role and its handler.
type listener struct {
	address netip.AddrPort
	handler http.Handler
}

// serve runs the role and its HTTP servers until a signal stops them.
func (p *platformProcess) serve(r role, listeners ...listener) error {
	if p.MetricsPort != 0 {
		listeners = append(listeners, listener{netip.AddrPortFrom(p.settings.Address, p.MetricsPort), metricsHandler(p.metrics, p.questions)})
	}
	for _, l := range listeners {
		if !l.address.IsValid() {
			continue
		}
		opened, err := net.Listen("tcp4", l.address.String())
		if err != nil {
			return core.At("listen", core.Peer(l.address.String()), err)
		}
		server := platform.NewServer(l.handler)
		go func() { _ = server.Serve(opened) }()
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go p.reloadOnSignal(ctx)
	p.log.Info("started", "dataCentre", p.settings.DataCentre, "address", p.settings.Address, "seeds", p.settings.Seeds, "first", p.settings.First)
	err := r.Run(ctx)
	p.log.Info("stopped", "error", err)
	return err
}

// seeds returns the control instances that the settings file names now. The file may
// change without a signal; while it can't be read, the last usable seeds stay.
func (p *platformProcess) seeds() []netip.AddrPort {
	_ = p.reloadSettings()
	return *p.currentSeeds.Load()
}

// reloadSettings reads the settings file and stores its seeds. It returns nil if the
// file is unusable.
func (p *platformProcess) reloadSettings() *platform.Settings {
	changed, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		p.log.Error("settings file is unusable, keeping the current seeds", "error", err)
		return nil
	}
	before := p.currentSeeds.Swap(&changed.Seeds)
	if !slices.Equal(*before, changed.Seeds) {
		p.log.Info("seeds changed", "before", *before, "seeds", changed.Seeds)
	}
	return changed
}

// reloadOnSignal reloads the settings on SIGHUP. Only the seeds of a running process
// change; other changed settings apply at its next start, and their names are logged.
func (p *platformProcess) reloadOnSignal(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			p.reload()
		}
	}
}

// reload reloads the settings and logs the outcome.
func (p *platformProcess) reload() {
	changed := p.reloadSettings()
	if changed == nil {
		return
	}
	p.log.Info("settings reloaded", "seeds", *p.currentSeeds.Load())
	p.warnRestartNeeded(changed)
}

// warnRestartNeeded logs the names of changed settings that apply only at the next start.
func (p *platformProcess) warnRestartNeeded(changed *platform.Settings) {
	names := p.settings.Changed(changed)
	if len(names) > 0 {
		p.log.Warn("changed settings apply at the next start", "settings", names)
	}
}

// metricsHandler writes the metrics as text and answers questions, if there is a handler.
func metricsHandler(registry metrics.Registry, questions http.Handler) http.Handler {
	mux := http.NewServeMux()
	if questions != nil {
		mux.Handle("GET "+pathExplain, questions)
	}
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WriteOnce(registry, w) })
	return mux
}

// platformEntry runs an entry instance.
type platformEntry struct {
	platformProcess

	PlanLeaving   bool    `help:"Plan which new flows leave the data centre; without it they leave by load alone."`
	LeavingCostMs float64 `help:"Cost of leaving the data centre: how many milliseconds an answer must gain by it, 0 to 60000." default:"5"`
}

// maxLeavingCostMs is the highest cost, in milliseconds: no request waits for longer.
const maxLeavingCostMs = 60_000

// Validate checks the flags; kong calls it.
func (c *platformEntry) Validate() error {
	if !(c.LeavingCostMs >= 0 && c.LeavingCostMs <= maxLeavingCostMs) {
		return errors.Errorf("--leaving-cost-ms=%v: must be from 0 to %d milliseconds", c.LeavingCostMs, maxLeavingCostMs)
	}
	return nil
}

// Run builds the entry instance from its settings and serves.
func (c *platformEntry) Run() error {
	err := c.load()
	if err != nil {
		return err
	}
	s := c.settings
	built, err := entry.New(entry.Config{
		Instance: s.Instance, DataCentre: s.DataCentre, Packets: s.Listen.Packets, Peers: c.internalAddress(), Seeds: c.seeds,
		Network: s.Network, PlanLeaving: c.PlanLeaving, LeavingCost: time.Duration(c.LeavingCostMs * float64(time.Millisecond)),
		Codec: platform.Datagrams{CallerPort: s.Listen.Packets.Port()}, Log: c.log, Metrics: c.metrics,
	})
	if err != nil {
		return err
	}
	c.questions = explainHandler(built)
	return c.serve(built, listener{s.Listen.Ready, platform.ReadyHandler(built)})
}

// platformCompanion runs a companion.
type platformCompanion struct {
	platformProcess
	RouteWeight map[string]float64 `help:"Weight of a route for its share of the backend server's capacity; repeatable. Routes without one have the weight 1." placeholder:"NAME=WEIGHT"`
}

// Validate reports invalid weights. Kong calls it when it parses the command line.
func (c *platformCompanion) Validate() error { return waitqueue.CheckWeights(c.RouteWeight) }

// Run builds the companion from its settings and serves.
func (c *platformCompanion) Run() error {
	err := c.load()
	if err != nil {
		return err
	}
	s := c.settings
	if !s.Server.IsValid() {
		return core.At("check settings", core.Peer(s.Instance), errors.New("address of the backend server is missing"))
	}
	built, err := companion.New(companion.Config{
		Instance: s.Instance, DataCentre: s.DataCentre, Packets: s.Listen.Packets, Outbound: s.Listen.Outbound,
		Server: s.Server, Health: s.Server, Service: s.Service, Seeds: c.seeds,
		Gate: gate.Config{
			DataCentre: s.DataCentre, AnnouncementLimit: time.Duration(float64(s.AnnounceInterval) * announcementLimitIntervals),
			FirstAnnouncementLimit: s.AnnounceInterval * firstAnnouncementIntervals,
			ColdFactor:             s.Bounds.ColdFactor, ColdSlack: s.Bounds.ColdSlack, MaxFlowAge: s.Bounds.MaxFlowAge,
			RouteWeights: c.RouteWeight,
		},
		Codec: platform.Datagrams{CallerPort: s.Listen.Packets.Port()}, Log: c.log, Metrics: c.metrics,
	})
	if err != nil {
		return err
	}
	return c.serve(built,
		listener{s.Listen.Ready, platform.ReadyHandler(built)},
		listener{s.Listen.Control, platform.RegistrarHandler(built, c.log)})
}

// platformControl runs a control instance.
type platformControl struct{ platformProcess }

// Run builds the control instance from its settings and serves.
func (c *platformControl) Run() error {
	err := c.load()
	if err != nil {
		return err
	}
	s := c.settings
	built, err := control.New(control.Config{
		Instance: s.Instance, RPC: c.internalAddress(), Seeds: c.seeds, First: s.First, Folder: s.Folder,
		Files: durable.Disk{}, Log: c.log, Metrics: c.metrics,
	})
	if err != nil {
		return err
	}
	return c.serve(built, listener{s.Listen.Control, platform.OperatorHandler(built, s.DataCentres, c.log)})
}
