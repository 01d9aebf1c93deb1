package joint

import (
	"context"
	"fmt"
	"io"

	"github.com/juju/errors"
	"zinniapulley.dev/control/operator"
	"zinniapulley.dev/core"
	"zinniapulley.dev/settings"
	"zinniapulley.dev/standin/session"
)

// Report is what callers, backend servers and operators recorded.
type Report struct {
	Example string `json:"example"`
	Seed    uint64 `json:"seed"`
	// Flows counts the long-lived flows; the next four fields, by outcome.
	Flows        int `json:"flows"`
	Kept         int `json:"flowsKept"`
	GivenUp      int `json:"flowsGivenUp"`
	Refused      int `json:"flowsRefused"`
	WrongService int `json:"wrongServiceFlows"`
	// Broken lists the flows that ended unexpectedly.
	Broken []BrokenFlow `json:"flowsBroken"`
	// LatePackets lists the backend servers that received bytes while their data
	// centre was out of service everywhere.
	LatePackets []core.InstanceID `json:"latePackets"`
	// OutSeconds is the longest time from a request to take a data centre out of
	// service until it was in force everywhere.
	OutSeconds float64 `json:"outSeconds"`
	// OverBound lists the backend servers that exceeded their connection limit.
	OverBound []core.InstanceID `json:"overBound"`
	// Races counts the pairs of concurrent submissions, BadRaces those without
	// exactly one acceptance and one conflict.
	Races    int `json:"races"`
	BadRaces int `json:"badRaces"`
}

// BrokenFlow is a flow that ended unexpectedly.
type BrokenFlow struct {
	Instance core.InstanceID `json:"instance"`
	Cause    session.Cause   `json:"cause"`
	Error    string          `json:"error"`
}

// Violations describes each violated guarantee in one line.
func (r Report) Violations() []string {
	var violations []string
	add := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	for _, broken := range r.Broken {
		add("an open flow to %s was broken: %s (%s)", broken.Instance, broken.Cause, broken.Error)
	}
	if r.WrongService > 0 {
		add("%d flows reached another service", r.WrongService)
	}
	for _, instance := range r.LatePackets {
		add("%s received bytes while its data centre was out of service", instance)
	}
	for _, instance := range r.OverBound {
		add("%s exceeded its connection limit", instance)
	}
	if r.BadRaces > 0 {
		add("%d of %d races did not accept exactly one submission", r.BadRaces, r.Races)
	}
	if r.Kept == 0 {
		add("no flow was kept, so the run is inconclusive")
	}
	return violations
}

// Print writes the report in human-readable form.
func (r Report) Print(out io.Writer) {
	line := func(name string, value any) { _, _ = fmt.Fprintf(out, "%-40s %v\n", name, value) }
	line("example", r.Example)
	line("seed", r.Seed)
	line("long-lived flows", r.Flows)
	line("flows kept", r.Kept)
	line("flows ended by a data centre outage", r.GivenUp)
	line("flows refused", r.Refused)
	line("flows broken", len(r.Broken))
	line("flows that reached another service", r.WrongService)
	line("seconds until an outage was in force", fmt.Sprintf("%.2f", r.OutSeconds))
	line("races, races with a wrong outcome", fmt.Sprintf("%d, %d", r.Races, r.BadRaces))
	for _, violation := range r.Violations() {
		line("FAULT", violation)
	}
}

// report closes the flows and collects what was recorded.
func (r *run) report() Report {
	report := Report{Example: r.options.Example, Seed: r.options.Seed, Races: len(r.record.races)}
	for _, s := range r.flows.sessions {
		r.countFlow(&report, s.Close())
	}
	for _, server := range r.deployed.Backends {
		limit := r.settingsOf(server.Identity().Instance).Companion.Capacity.Connections
		if server.Peak() > limit {
			report.OverBound = append(report.OverBound, server.Identity().Instance)
		}
	}
	for _, o := range r.record.outages {
		report.LatePackets = append(report.LatePackets, o.late...)
		report.OutSeconds = max(report.OutSeconds, o.inForce.Sub(o.requested).Seconds())
	}
	for _, outcome := range r.record.races {
		if outcome.accepted != 1 || outcome.conflicts != 1 {
			report.BadRaces++
		}
	}
	return report
}

func (r *run) countFlow(report *Report, end session.End) {
	report.Flows++
	if end.WrongService {
		report.WrongService++
	}
	switch {
	case end.Cause == session.CauseNone:
		report.Kept++
	case end.Cause == session.CauseRefused:
		report.Refused++
	case r.endedWithDataCentre(end):
		report.GivenUp++
	default:
		report.Broken = append(report.Broken, BrokenFlow{
			Instance: end.Identity.Instance, Cause: end.Cause, Error: end.Err.Error(),
		})
	}
}

// endedWithDataCentre reports whether the flow ended while its backend server's
// data centre was being taken, or was, out of service.
func (r *run) endedWithDataCentre(end session.End) bool {
	for _, o := range r.record.outages {
		if o.dataCentre == end.Identity.DataCentre && end.At.After(o.requested) && end.At.Before(o.ended) {
			return true
		}
	}
	return false
}

// awaitReady waits until every backend server is registered and every entry and
// companion instance has the newest view in force.
func (r *run) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	subscribers := len(r.instances(settings.RoleEntry)) + len(r.instances(settings.RoleCompanion))
	return r.await(ctx, func(status operator.Status) bool {
		return len(status.BackendServers) == len(r.deployed.Backends) && len(status.Subscribers) >= subscribers &&
			inForce(status, status.Revision)
	})
}

// awaitSettled waits until the newest revision is in force everywhere.
func (r *run) awaitSettled(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	return r.await(ctx, func(status operator.Status) bool { return inForce(status, status.Revision) })
}

// await polls the deployment's status until the condition holds.
func (r *run) await(ctx context.Context, condition func(operator.Status) bool) error {
	for {
		status, err := r.operators.client.Status(ctx)
		if err != nil {
			return errors.Annotate(err, "read status")
		}
		if condition(status) {
			return nil
		}
		err = sleep(ctx, pollInterval)
		if err != nil {
			return errors.Annotatef(err, "%d backend servers and %d subscribers at revision %v, %s",
				len(status.BackendServers), len(status.Subscribers), status.Revision, describeLagging(status, status.Revision))
		}
	}
}

func (r *run) logf(format string, args ...any) {
	if r.options.Progress != nil {
		_, _ = fmt.Fprintf(r.options.Progress, format+"\n", args...)
	}
}
