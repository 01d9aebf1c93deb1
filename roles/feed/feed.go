// Package feed keeps an instance current: it long-polls one control instance at a
// time for changes since the last reply, and switches to another one when a call
// fails, times out or reports that the control instance is behind. At the start it
// polls all seeds concurrently, since the instance can do nothing without a view.
package feed

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
	"zinniapulley.dev/route"
	"zinniapulley.dev/wire"
)

const (
	// LongPollTimeout is how long a control instance defers its reply while nothing
	// changes.
	LongPollTimeout = 500 * time.Millisecond
	// callTimeout bounds one call. When it expires, the connection is closed.
	callTimeout = 2 * LongPollTimeout
	// reselectInterval is how long one control instance is polled before another is
	// picked, so that the load spreads evenly again after some were down.
	reselectInterval = 15 * time.Second
	// backoffMin and backoffMax bound the delay after a failed call.
	backoffMin = 50 * time.Millisecond
	backoffMax = 150 * time.Millisecond
)

// errBehind reports that a control instance may lack the view in force.
const errBehind = errors.ConstError("the control instance has lost its leader")

// Update holds the changes of one reply.
type Update struct {
	// View is nil when it hasn't changed.
	View *route.View
	// Entries and Controls list addresses; they are nil when they haven't changed.
	Entries, Controls []netip.AddrPort
}

// Config configures a feed.
type Config struct {
	Instance core.InstanceID
	// Seeds returns the control instances that the settings currently name, at least
	// one.
	Seeds func() []netip.AddrPort
	Log   *slog.Logger
	// Post hands an update to the control goroutine.
	Post func(context.Context, Update) error
	// Random picks the next control instance to poll.
	Random *rand.Rand
}

// feed is the state of the polling goroutine.
type feed struct {
	config      Config
	controls    []netip.AddrPort
	request     wire.SyncRequest
	client      *wire.Client
	current     netip.AddrPort
	selectedAt  time.Time
	backoff     time.Duration
	unreachable bool
}

// Run polls until ctx is done.
func Run(ctx context.Context, config Config) {
	f := &feed{config: config, controls: config.Seeds(), backoff: backoffMin}
	f.request.Instance = config.Instance
	f.start(ctx)
	for ctx.Err() == nil {
		err := f.poll(ctx)
		f.report(err)
		if err == nil {
			f.backoff = backoffMin
			continue
		}
		f.disconnect()
		select {
		case <-ctx.Done():
		case <-time.After(f.backoff):
		}
		f.backoff = min(2*f.backoff, backoffMax)
	}
}

// report logs when the connection to the control instances is lost or restored.
func (f *feed) report(err error) {
	if (err != nil) == f.unreachable {
		return
	}
	f.unreachable = err != nil
	f.config.Log.Info("reachability of the control instances changed", "reached", !f.unreachable, "at", f.current, "revision", f.request.Revision, "error", err)
}

// disconnect closes the connection, so that another control instance is polled next.
func (f *feed) disconnect() {
	if f.client != nil {
		f.client.Close()
		f.client = nil
	}
}

func (f *feed) poll(ctx context.Context) error {
	if f.client != nil && time.Since(f.selectedAt) > reselectInterval {
		f.disconnect()
	}
	if f.client == nil {
		f.selectedAt = time.Now()
		f.current = f.pick()
		f.client = wire.NewClient(f.current)
	}
	reply, err := call(ctx, f.client, f.request)
	if err != nil {
		return err
	}
	return f.apply(ctx, reply)
}

func call(ctx context.Context, client *wire.Client, request wire.SyncRequest) (wire.SyncReply, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.SyncReply
	err := client.Call(limited, wire.MethodSync, request, &reply)
	if err != nil {
		// A call that was given up may still decode its reply.
		return wire.SyncReply{}, err
	}
	return reply, nil
}

// pick returns a random control instance, not the current one unless it is the only
// one. Some picks are from the seeds, so that the feed also finds a completely
// replaced set.
func (f *feed) pick() netip.AddrPort {
	all := f.controls
	if len(all) == 0 || f.config.Random.IntN(4) == 0 {
		all = f.config.Seeds()
	}
	i := f.config.Random.IntN(len(all))
	if all[i] == f.current {
		i = (i + 1) % len(all)
	}
	return all[i]
}

// apply posts the changes of a reply.
func (f *feed) apply(ctx context.Context, reply wire.SyncReply) error {
	if reply.Behind && f.request.Revision > 0 {
		f.setControls(reply.Controls)
		return core.At("sync", core.Peer(f.current.String()), errBehind)
	}
	view, err := reply.View.Decode()
	if err != nil {
		return core.At("sync", core.Peer(f.current.String()), err)
	}
	update := Update{View: view}
	if reply.Peers != f.request.Peers {
		update.Entries = parseAddresses(reply.Entries)
		update.Controls = parseAddresses(reply.Controls)
		f.setControls(reply.Controls)
		f.request.Peers = reply.Peers
	}
	if view != nil {
		f.request.Revision = view.Revision
	}
	err = f.config.Post(ctx, update)
	if err == nil && reply.Behind {
		err = errBehind
	}
	return core.At("sync", core.Peer(f.current.String()), err)
}

func (f *feed) setControls(addresses []string) {
	controls := parseAddresses(addresses)
	if len(controls) > 0 {
		f.controls = controls
	}
}

// parseAddresses returns the valid addresses and skips the others.
func parseAddresses(addresses []string) []netip.AddrPort {
	parsed := make([]netip.AddrPort, 0, len(addresses))
	for _, address := range addresses {
		a, err := netip.ParseAddrPort(address)
		if err == nil {
			parsed = append(parsed, a)
		}
	}
	return parsed
}
