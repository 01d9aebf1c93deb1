// Package demo runs all roles of the system in one process on loopback, with
// small backend servers and callers. It takes a data centre out and back under
// open flows and reports what callers and backend servers saw.
package demo

import (
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
)

// Options sets up a run.
type Options struct {
	// Example names the deployment to run.
	Example string
	// FlowsPerTarget is how many flows are opened for each backend server.
	FlowsPerTarget int
	// Seed makes the fabric's random choices repeatable.
	Seed uint64
	// Progress takes one line for each step. Nil: none.
	Progress io.Writer
	Log      *slog.Logger
}

const (
	// DefaultFlowsPerTarget is how many flows a demonstration opens for each
	// backend server.
	DefaultFlowsPerTarget = 20
	// readyTimeout bounds the wait for all backend servers to be announced.
	readyTimeout = 10 * time.Second
	// stableTime is how long the tables must stay as they are to be settled.
	stableTime = 1500 * time.Millisecond
	// settleTime lets a change reach every instance.
	settleTime = 2 * time.Second
	// outTime is how long the data centre stays out.
	outTime = 4 * time.Second
	// returnTime is how long the run goes on after the data centre is back.
	returnTime = 4 * time.Second
)

// Run runs the demonstration and returns its report.
func Run(ctx context.Context, options Options) (Report, error) {
	if options.FlowsPerTarget == 0 {
		options.FlowsPerTarget = DefaultFlowsPerTarget
	}
	bench, err := start(ctx, options)
	if err != nil {
		return Report{}, err
	}
	defer bench.stop()
	return bench.scenario(ctx)
}

// scenario opens flows, takes a data centre out and back, and reports.
func (b *bench) scenario(ctx context.Context) (Report, error) {
	b.say("waiting for %d backend servers", len(b.backends))
	err := b.awaitReady(ctx)
	if err != nil {
		return Report{}, err
	}
	b.say("opening %d flows", b.options.FlowsPerTarget*len(b.backends))
	flows := b.openFlows(ctx, b.options.FlowsPerTarget*len(b.backends))
	err = sleep(ctx, settleTime)
	if err != nil {
		return Report{}, err
	}
	imbalance := b.imbalance(flows)
	out := b.dataCentres[0]
	b.say("taking data centre %s out", out)
	outAt := time.Now()
	err = b.setDataCentre(ctx, out, false)
	if err != nil {
		return Report{}, err
	}
	err = sleep(ctx, outTime)
	if err != nil {
		return Report{}, err
	}
	lastPacket := b.lastPacket(out).Sub(outAt)
	b.say("opening flows while %s is out", out)
	during := b.openFlows(ctx, len(b.backends))
	b.say("bringing data centre %s back in", out)
	err = b.setDataCentre(ctx, out, true)
	if err != nil {
		return Report{}, err
	}
	err = sleep(ctx, returnTime)
	if err != nil {
		return Report{}, err
	}
	after := b.openFlows(ctx, len(b.backends)*2)
	b.say("closing flows")
	return b.report(out, lastPacket, imbalance, flows, during, after), nil
}

// sleep waits for the time to pass or ctx to end.
func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// awaitReady waits until every backend server is registered and the tables have
// settled.
func (b *bench) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var last core.Revision
	since := time.Now()
	for {
		view, err := b.newestView(ctx)
		if err != nil {
			return core.At("wait for backend servers", core.Peer(b.options.Example), err)
		}
		if view.Revision != last {
			last, since = view.Revision, time.Now()
		}
		if len(view.BackendServers) == len(b.backends) && time.Since(since) > stableTime {
			return nil
		}
	}
}
