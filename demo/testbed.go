package demo

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/companion"
	"zinniapulley.dev/config"
	"zinniapulley.dev/control"
	"zinniapulley.dev/core"
	"zinniapulley.dev/entry"
	"zinniapulley.dev/examples"
	"zinniapulley.dev/settings"
	"zinniapulley.dev/standin/caller"
	"zinniapulley.dev/standin/fabric"
	"zinniapulley.dev/standin/greeter"
	"zinniapulley.dev/standin/session"
	"zinniapulley.dev/wire"
)

// anyPort is a loopback address whose port the kernel chooses.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// firstCaller is the address of the callers. It is from a documentation range and
// appears only in the stand-ins' packets.
var firstCaller = netip.MustParseAddr("198.51.100.1")

// testbed is a running deployment with its stand-ins.
type testbed struct {
	options     Options
	document    config.Document
	dataCentres []core.DataCentre
	control     *control.Server
	backends    []*greeter.Server
	fabric      *fabric.Fabric
	callers     *caller.Stack
	running     sync.WaitGroup
	cancel      context.CancelFunc
}

// start runs one control instance and all entry instances and companions of the
// example in this process.
func start(ctx context.Context, options Options) (*testbed, error) {
	deployment, err := examples.Load(options.Example)
	if err != nil {
		return nil, errors.Trace(err)
	}
	document, err := config.Parse(deployment.Configuration)
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	b := &testbed{options: options, document: document, cancel: cancel}
	for name := range document.DataCentres {
		b.dataCentres = append(b.dataCentres, name)
	}
	slices.Sort(b.dataCentres)
	err = b.startAll(ctx, deployment)
	if err != nil {
		b.stop()
		return nil, err
	}
	return b, nil
}

func (b *testbed) startAll(ctx context.Context, deployment examples.Deployment) error {
	var err error
	b.fabric, err = fabric.New(fabric.Options{Seed: b.options.Seed})
	if err != nil {
		return errors.Trace(err)
	}
	b.callers, err = caller.New(b.fabric.Send)
	if err != nil {
		return errors.Trace(err)
	}
	b.fabric.Attach(firstCaller, b.callers.Deliver)
	err = b.startControl(ctx, deployment.Configuration)
	if err != nil {
		return err
	}
	for _, data := range deployment.Settings {
		err = b.startRole(ctx, data)
		if err != nil {
			return err
		}
	}
	return nil
}

func (b *testbed) startControl(ctx context.Context, document []byte) error {
	server, err := control.New(control.Config{
		Instance:             "control-1",
		RPC:                  anyPort,
		HashSeed:             b.options.Seed,
		InitialConfiguration: document,
		Log:                  b.options.Log,
	})
	if err != nil {
		return err
	}
	b.control = server
	b.run(ctx, server)
	return nil
}

// startRole starts the entry instance or companion of one settings document, on
// loopback ports that the kernel chooses.
func (b *testbed) startRole(ctx context.Context, data []byte) error {
	parsed, err := settings.Parse(data)
	if err != nil {
		return errors.Trace(err)
	}
	switch parsed.Role {
	case settings.RoleEntry:
		return b.startEntry(ctx, parsed)
	case settings.RoleCompanion:
		return b.startCompanion(ctx, parsed)
	default:
		return nil
	}
}

func (b *testbed) startEntry(ctx context.Context, s *settings.Settings) error {
	server, err := entry.New(entry.Config{
		Instance:   s.Instance,
		DataCentre: s.DataCentre,
		Packets:    anyPort,
		Controls:   []netip.AddrPort{b.control.RPC()},
		Log:        b.options.Log,
		Metrics:    metrics.NewRegistry(),
	})
	if err != nil {
		return err
	}
	b.fabric.AddEntry(server.Packets())
	b.run(ctx, server)
	return nil
}

func (b *testbed) startCompanion(ctx context.Context, s *settings.Settings) error {
	server, err := greeter.New(greeter.Identity{Service: s.Companion.Service, DataCentre: s.DataCentre, Instance: s.Instance})
	if err != nil {
		return err
	}
	b.backends = append(b.backends, server)
	companionServer, err := companion.New(companion.Config{
		Instance:      s.Instance,
		DataCentre:    s.DataCentre,
		Service:       s.Companion.Service,
		BackendServer: server.Address(),
		Packets:       anyPort,
		FabricReturn:  b.fabric.Return(),
		Capacity:      core.Capacity{Connections: s.Companion.Capacity.Connections, Slots: s.Companion.Capacity.Slots},
		Controls:      []netip.AddrPort{b.control.RPC()},
		Log:           b.options.Log,
		Metrics:       metrics.NewRegistry(),
	})
	if err != nil {
		return err
	}
	b.run(ctx, companionServer)
	return nil
}

// runner is a role; Run serves until ctx is done.
type runner interface {
	Run(ctx context.Context) error
}

func (b *testbed) run(ctx context.Context, r runner) {
	b.running.Go(func() {
		err := r.Run(ctx)
		if err != nil {
			b.options.Log.Error("role ended", "error", err)
		}
	})
}

// stop ends every role and stand-in.
func (b *testbed) stop() {
	b.cancel()
	b.running.Wait()
	for _, server := range b.backends {
		server.Close()
	}
	if b.callers != nil {
		b.callers.Close()
	}
	if b.fabric != nil {
		_ = b.fabric.Close()
	}
}

func (b *testbed) progressf(format string, args ...any) {
	if b.options.Progress != nil {
		_, _ = fmt.Fprintf(b.options.Progress, format+"\n", args...)
	}
}

// newestView returns the newest view, after a short pause.
func (b *testbed) newestView(ctx context.Context) (*core.View, error) {
	client := wire.NewClient(b.control.RPC())
	defer client.Close()
	var reply wire.WatchReply
	request := &wire.WatchRequest{Instance: "demo", Direct: true}
	err := client.Call(ctx, wire.MethodWatch, request, &reply)
	if err != nil {
		return nil, err
	}
	if reply.Answer.View == nil {
		reply.Answer.View = &core.View{}
	}
	return reply.Answer.View, sleep(ctx, 50*time.Millisecond)
}

// setDataCentre puts the data centre in or out of service, as the owning team.
func (b *testbed) setDataCentre(ctx context.Context, name core.DataCentre, in bool) error {
	request := config.SetDataCentre{
		Name: name, State: config.Out, At: time.Now(),
		Request: config.RequestID(fmt.Sprintf("demo-%d", time.Now().UnixNano())),
	}
	if in {
		request.State = config.In
	}
	request.Team, _ = b.document.Owner(config.SectionDataCentres)
	result, err := b.control.SetDataCentre(ctx, request)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(result.Refusal)
}

// openFlows opens count flows, distributed over the services in proportion to
// their backend servers.
func (b *testbed) openFlows(ctx context.Context, count int) []*session.Session {
	sessions := make([]*session.Session, count)
	var opening sync.WaitGroup
	for i := range count {
		service := b.backends[i%len(b.backends)].Identity().Service
		address := b.document.Services[service].Address
		opening.Go(func() {
			sessions[i] = session.Open(ctx, service, func(ctx context.Context) (net.Conn, error) {
				return b.callers.Dial(ctx, firstCaller, address)
			})
		})
	}
	opening.Wait()
	return sessions
}

// imbalance returns the highest ratio, over the services, of the most flows of a
// backend server to the mean. The backend servers of a service have equal capacity.
func (b *testbed) imbalance(sessions []*session.Session) float64 {
	perInstance := make(map[core.InstanceID]int)
	perService := make(map[core.ServiceName]int)
	for _, s := range sessions {
		perInstance[s.Identity().Instance]++
		perService[s.Service()]++
	}
	servers := make(map[core.ServiceName]int)
	for _, server := range b.backends {
		servers[server.Identity().Service]++
	}
	worst := 0.0
	for _, server := range b.backends {
		mean := float64(perService[server.Identity().Service]) / float64(servers[server.Identity().Service])
		if mean > 0 {
			worst = max(worst, float64(perInstance[server.Identity().Instance])/mean)
		}
	}
	return worst
}

// lastPacket returns when a backend server of the data centre last received a byte.
func (b *testbed) lastPacket(name core.DataCentre) time.Time {
	var last time.Time
	for _, server := range b.backends {
		if server.Identity().DataCentre == name && server.LastByte().After(last) {
			last = server.LastByte()
		}
	}
	return last
}
