package joint

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/config"
	"zinniapulley.dev/control/operator"
	"zinniapulley.dev/core"
	"zinniapulley.dev/settings"
	"zinniapulley.dev/standin/deployment"
)

// platformToken is the example token of the team that owns the data centres.
const platformToken = "example-platform"

// operators are the deployment's operators.
type operators struct {
	client *operator.Client
	// requests counts the requests, which gives each a unique ID.
	requests int
}

func newOperators(deployed *deployment.Deployment) operators {
	var controls []netip.AddrPort
	for _, s := range deployed.Settings {
		if s.Role == settings.RoleControl {
			controls = append(controls, s.Control.Operators)
		}
	}
	return operators{client: operator.NewClient(controls, platformToken)}
}

func (o *operators) requestID() config.RequestID {
	o.requests++
	return config.RequestID(fmt.Sprintf("joint-run-request-%d", o.requests))
}

// setDataCentre takes a data centre out of service or puts it back, and returns
// the revision.
func (o *operators) setDataCentre(ctx context.Context, name core.DataCentre, state config.DataCentreState) (core.Revision, error) {
	accepted, err := o.client.SetDataCentre(ctx, operator.SetDataCentre{
		Name: name, State: state, RequestID: o.requestID(),
	})
	return accepted.Revision, errors.Annotatef(err, "data centre %s %s", name, state)
}

// submitLimits submits the section "limits" with a base revision.
func (o *operators) submitLimits(ctx context.Context, id config.RequestID, base core.Revision, moves int) (core.Revision, error) {
	body, err := json.Marshal(config.Limits{BucketMoves: moves})
	if err != nil {
		return 0, errors.Trace(err)
	}
	accepted, err := o.client.Submit(ctx, operator.Submit{
		Section: config.SectionLimits, Base: base, RequestID: id, Body: body,
	})
	return accepted.Revision, err
}

// awaitInForce waits until every active subscriber has the revision in force.
func (o *operators) awaitInForce(ctx context.Context, revision core.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for {
		status, err := o.client.Status(ctx)
		if err != nil {
			return errors.Annotatef(err, "wait for revision %v", revision)
		}
		if inForce(status, revision) {
			return nil
		}
		err = sleep(ctx, pollInterval)
		if err != nil {
			return errors.Annotatef(err, "wait for revision %v, %s", revision, describeLagging(status, revision))
		}
	}
}

// activeSeconds is the longest time in seconds since a subscriber's last report for
// it to count as active.
const activeSeconds = 3

func inForce(status operator.Status, revision core.Revision) bool {
	for _, s := range status.Subscribers {
		if s.Revision < revision && s.HeardSeconds < activeSeconds {
			return false
		}
	}
	return true
}

func describeLagging(status operator.Status, revision core.Revision) string {
	text := "behind:"
	for _, s := range status.Subscribers {
		if s.Revision < revision {
			text += fmt.Sprintf(" %s at %v", s.Instance, s.Revision)
		}
	}
	return text
}

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
