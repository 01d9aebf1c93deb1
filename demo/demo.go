// Package demo runs all roles of the system in one process on loopback, with
// small backend servers and callers. It takes a data centre out of service and
// back while flows are open, and reports what callers and backend servers observed.
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
	// Progress receives one line for each step. Nil discards them.
	Progress io.Writer
	Log      *slog.Logger
}

const (
	// DefaultFlowsPerTarget is how many flows a demonstration opens for each
	// backend server.
	DefaultFlowsPerTarget = 20
	// readyTimeout bounds the wait for all backend servers to be announced.
	readyTimeout = 10 * time.Second
	// stableTime is how long the tables must stay unchanged to count as settled.
	stableTime = 1500 * time.Millisecond
	// settleTime lets a change reach every instance.
	settleTime = 2 * time.Second
	// outOfServiceTime is how long the data centre stays out of service.
	outOfServiceTime = 4 * time.Second
	// afterReturnTime is how long the run goes on after the data centre's return.
	afterReturnTime = 4 * time.Second
)

// Run runs the demonstration and returns its report.
func Run(ctx context.Context, options Options) (Report, error) {
	if options.FlowsPerTarget == 0 {
		options.FlowsPerTarget = DefaultFlowsPerTarget
	}
	b, err := start(ctx, options)
	if err != nil {
		return Report{}, err
	}
	defer b.stop()
	return b.scenario(ctx)
}

// scenario opens flows, takes a data centre out of service and back, and reports.
func (b *testbed) scenario(ctx context.Context) (Report, error) {
	b.progressf("waiting for %d backend servers", len(b.backends))
	err := b.awaitReady(ctx)
	if err != nil {
		return Report{}, err
	}
	b.progressf("opening %d flows", b.options.FlowsPerTarget*len(b.backends))
	flows := b.openFlows(ctx, b.options.FlowsPerTarget*len(b.backends))
	err = sleep(ctx, settleTime)
	if err != nil {
		return Report{}, err
	}
	imbalance := b.imbalance(flows)
	out := b.dataCentres[0]
	b.progressf("taking data centre %s out of service", out)
	outAt := time.Now()
	err = b.setDataCentre(ctx, out, false)
	if err != nil {
		return Report{}, err
	}
	err = sleep(ctx, outOfServiceTime)
	if err != nil {
		return Report{}, err
	}
	lastPacket := b.lastPacket(out).Sub(outAt)
	b.progressf("opening flows while %s is out of service", out)
	during := b.openFlows(ctx, len(b.backends))
	b.progressf("returning data centre %s to service", out)
	err = b.setDataCentre(ctx, out, true)
	if err != nil {
		return Report{}, err
	}
	err = sleep(ctx, afterReturnTime)
	if err != nil {
		return Report{}, err
	}
	after := b.openFlows(ctx, len(b.backends)*2)
	b.progressf("closing flows")
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
func (b *testbed) awaitReady(ctx context.Context) error {
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
