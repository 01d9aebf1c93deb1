// Package subscriber keeps one process's view current: it watches the control
// instances by long poll and hands each newer view to the process's control
// loop. It decides nothing about the view.
package subscriber

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/wire"
)

const (
	// pollWait is how long a control instance may hold back an answer.
	pollWait = 2 * time.Second
	// pollTimeout bounds one call, answer held back or not.
	pollTimeout = 2 * pollWait
	// minBackoff and maxBackoff bound the pause before another instance is
	// asked after an error.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// Config says who watches and whom it asks.
type Config struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	// Controls lists the RPC addresses of the control instances.
	Controls []netip.AddrPort
	Log      *slog.Logger
}

// Deliver hands a view to the control loop. An error ends the subscription.
type Deliver func(ctx context.Context, view *core.View) error

// Run watches until ctx is done or deliver fails. It asks one control instance
// at a time and turns to the next after an error.
func Run(ctx context.Context, config Config, deliver Deliver) error {
	var have core.Revision
	backoff := minBackoff
	for turn := 0; ctx.Err() == nil; turn++ {
		client := wire.NewClient(config.Controls[turn%len(config.Controls)])
		before := have
		err := follow(ctx, config, client, &have, deliver)
		client.Close()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if have > before {
			backoff = minBackoff
		}
		config.Log.Warn("watch interrupted", "peer", client.Peer(), "revision", have, "error", err)
		pause(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return ctx.Err()
}

// follow watches one control instance until a call fails.
func follow(ctx context.Context, config Config, client *wire.Client, have *core.Revision, deliver Deliver) error {
	for {
		view, err := poll(ctx, config, client, *have)
		if err != nil {
			return err
		}
		if view == nil || view.Revision <= *have {
			continue
		}
		err = deliver(ctx, view)
		if err != nil {
			return err
		}
		*have = view.Revision
	}
}

func poll(ctx context.Context, config Config, client *wire.Client, have core.Revision) (*core.View, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request := &wire.WatchRequest{
		Instance:   config.Instance,
		DataCentre: config.DataCentre,
		Have:       have,
		Wait:       pollWait,
	}
	reply := &wire.WatchReply{}
	err := client.Call(ctx, wire.MethodWatch, request, reply)
	if err != nil {
		return nil, err
	}
	return reply.View, nil
}

// pause waits for a random time of between half and all of the backoff.
func pause(ctx context.Context, backoff time.Duration) {
	timer := time.NewTimer(backoff/2 + rand.N(backoff/2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
