// Package feed keeps an instance current: it asks control instances, one at a
// time, for what has changed since the last answer, and goes on to the next one
// when an answer fails, is late or is known to be behind. An instance that has just
// started asks all seeds at once, since it can do nothing without a view.
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
	// LongPollTimeout is how long a control instance holds an answer back while nothing has
	// changed.
	LongPollTimeout = 500 * time.Millisecond
	// callTimeout is how long an answer may take before the control instance or
	// the connection to it is given up: twice the wait.
	callTimeout = 2 * LongPollTimeout
	// stay is how long one control instance is asked before another is drawn, so that
	// the load spreads again after some were down.
	stay = 15 * time.Second
	// pauseMin and pauseMax bound the pause after a failed call.
	pauseMin = 50 * time.Millisecond
	pauseMax = 150 * time.Millisecond
)

// errBehind reports a control instance that can't be sure to have what is in
// force.
const errBehind = errors.ConstError("the control instance has lost its leader")

// Update is what an answer brought.
type Update struct {
	// View is nil when it hasn't changed.
	View *route.View
	// Entries and Controls list addresses; they are nil when they haven't changed.
	Entries, Controls []netip.AddrPort
}

// Config sets up a feed.
type Config struct {
	Instance core.InstanceID
	// Seeds returns the control instances that the settings name by now; at least
	// one.
	Seeds func() []netip.AddrPort
	Log   *slog.Logger
	// Post hands an update to the control goroutine.
	Post func(context.Context, Update) error
	// Random picks the control instance to ask next.
	Random *rand.Rand
}

// feed is the state of the one goroutine that asks.
type feed struct {
	config   Config
	controls []netip.AddrPort
	request  wire.SyncRequest
	client   *wire.Client
	at       netip.AddrPort
	since    time.Time
	pause    time.Duration
	lost     bool
}

// Run asks until ctx is done.
func Run(ctx context.Context, config Config) {
	f := &feed{config: config, controls: config.Seeds(), pause: pauseMin}
	f.request.Instance = config.Instance
	f.start(ctx)
	for ctx.Err() == nil {
		err := f.ask(ctx)
		f.report(err)
		if err == nil {
			f.pause = pauseMin
			continue
		}
		f.moveOn()
		select {
		case <-ctx.Done():
		case <-time.After(f.pause):
		}
		f.pause = min(2*f.pause, pauseMax)
	}
}

// report logs when the control instances are lost or found again.
func (f *feed) report(err error) {
	if (err != nil) == f.lost {
		return
	}
	f.lost = err != nil
	f.config.Log.Info("control instances", "reached", !f.lost, "at", f.at, "revision", f.request.Revision, "error", err)
}

// moveOn has another control instance asked next.
func (f *feed) moveOn() {
	if f.client != nil {
		f.client.Close()
		f.client = nil
	}
}

func (f *feed) ask(ctx context.Context) error {
	if f.client != nil && time.Since(f.since) > stay {
		f.moveOn()
	}
	if f.client == nil {
		f.since = time.Now()
		f.at = f.next()
		f.client = wire.NewClient(f.at)
	}
	reply, err := call(ctx, f.client, f.request)
	if err != nil {
		return err
	}
	return f.take(ctx, reply)
}

func call(ctx context.Context, client *wire.Client, request wire.SyncRequest) (wire.SyncReply, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.SyncReply
	err := client.Call(limited, wire.MethodSync, request, &reply)
	return reply, err
}

// next returns a control instance at random, another than the last one if there
// is one. Seeds stay in the draw, so that a wholly new set is found too.
func (f *feed) next() netip.AddrPort {
	all := f.controls
	if len(all) == 0 || f.config.Random.IntN(4) == 0 {
		all = f.config.Seeds()
	}
	i := f.config.Random.IntN(len(all))
	if all[i] == f.at {
		i = (i + 1) % len(all)
	}
	return all[i]
}

// take hands the news of an answer on.
func (f *feed) take(ctx context.Context, reply wire.SyncReply) error {
	if reply.Behind && f.request.Revision > 0 {
		f.learnControls(reply.Controls)
		return core.At("sync", core.Peer(f.at.String()), errBehind)
	}
	view, err := reply.View.Decode()
	if err != nil {
		return core.At("sync", core.Peer(f.at.String()), err)
	}
	update := Update{View: view}
	if reply.Peers != f.request.Peers {
		update.Entries = parse(reply.Entries)
		update.Controls = parse(reply.Controls)
		f.learnControls(reply.Controls)
		f.request.Peers = reply.Peers
	}
	if view != nil {
		f.request.Revision = view.Revision
	}
	err = f.config.Post(ctx, update)
	if err == nil && reply.Behind {
		err = errBehind
	}
	return core.At("sync", core.Peer(f.at.String()), err)
}

func (f *feed) learnControls(addresses []string) {
	controls := parse(addresses)
	if len(controls) > 0 {
		f.controls = controls
	}
}

// parse returns the addresses that can be read.
func parse(addresses []string) []netip.AddrPort {
	parsed := make([]netip.AddrPort, 0, len(addresses))
	for _, address := range addresses {
		a, err := netip.ParseAddrPort(address)
		if err == nil {
			parsed = append(parsed, a)
		}
	}
	return parsed
}
