// Package joint runs a whole deployment as separate processes, injects overlapping
// failures, and then checks the deployment's guarantees against what callers and
// backend servers recorded.
package joint

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/standin/deployment"
)

// Options configures a joint run.
type Options struct {
	Binary deployment.Binary
	// Example names the example deployment.
	Example string
	// Folder receives settings files, logs and data folders.
	Folder string
	// Seed determines the order and the targets of the failures.
	Seed uint64
	// FlowsPerTarget is how many long-lived flows are held for each backend
	// server of a stream service, and how many callers send requests for each
	// one of a request service.
	FlowsPerTarget int
	// Rounds is how many times all failures are injected.
	Rounds int
	// Progress receives one line for each step; nil for none.
	Progress io.Writer
}

const (
	// readyTimeout bounds the wait for the deployment to be ready.
	readyTimeout = 30 * time.Second
	// inForceTimeout bounds the wait for a change to be in force everywhere.
	inForceTimeout = 30 * time.Second
	// pollInterval is the time between two reads of the deployment's status.
	pollInterval = 100 * time.Millisecond
	// maxStartInterval limits the random pause between the starts of two failures.
	maxStartInterval = 500 * time.Millisecond
)

// Run starts the deployment, holds flows open, injects the failures, and returns
// what callers and backend servers recorded.
func Run(ctx context.Context, options Options) (Report, error) {
	deployed, err := deployment.Start(deployment.Options{
		Binary:  options.Binary,
		Example: options.Example,
		Folder:  options.Folder,
		Seed:    options.Seed,
	})
	if err != nil {
		return Report{}, err
	}
	defer deployed.Close()
	r := newRun(options, deployed)
	err = r.awaitReady(ctx)
	if err != nil {
		return Report{}, err
	}
	r.openFlows(ctx)
	for range options.Rounds {
		err = r.round(ctx)
		if err != nil {
			return Report{}, err
		}
	}
	err = r.awaitSettled(ctx)
	if err != nil {
		return Report{}, err
	}
	return r.report(), nil
}

// run is one joint run.
type run struct {
	options   Options
	deployed  *deployment.Deployment
	random    *rand.Rand
	operators operators
	flows     flows
	record    record
}

// record holds what the run itself recorded.
type record struct {
	// outages lists when data centres were out of service.
	outages []outage
	races   []race
	// accepted lists the revisions of accepted changes.
	accepted []core.Revision
}

// outage is a period in which a data centre was out of service.
type outage struct {
	dataCentre core.DataCentre
	requested  time.Time
	inForce    time.Time
	ended      time.Time
	// late lists the backend servers that received bytes between inForce and
	// ended.
	late []core.InstanceID
}

// race is the outcome of two concurrent submissions with the same base revision.
type race struct {
	accepted  int
	conflicts int
}

func newRun(options Options, deployed *deployment.Deployment) *run {
	return &run{
		options:   options,
		deployed:  deployed,
		random:    rand.New(rand.NewPCG(options.Seed, 1)),
		operators: newOperators(deployed),
	}
}
