package joint

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/config"
	"zinniapulley.dev/control/operator"
	"zinniapulley.dev/core"
	"zinniapulley.dev/settings"
)

// Durations of the failures.
const (
	// controlIsolationTime is how long a control instance stays isolated.
	controlIsolationTime = 4 * time.Second
	// entryDownTime is how long a killed entry instance stays down.
	entryDownTime = 2 * time.Second
	// fabricDetectionTime is how long the fabric keeps sending packets to a killed
	// entry instance.
	fabricDetectionTime = 300 * time.Millisecond
	// outTime is how long a data centre stays out of service once that is in
	// force. It is also the pause after each change of draining.
	outTime = 2 * time.Second
	// settleTime is the pause after each round.
	settleTime = 2 * time.Second
)

// failure injects one failure and restores normal operation.
type failure struct {
	name string
	run  func(context.Context) error
}

// round injects every failure once, overlapping, in seeded order.
func (r *run) round(ctx context.Context) error {
	failures := r.failures()
	r.random.Shuffle(len(failures), func(i, j int) { failures[i], failures[j] = failures[j], failures[i] })
	errs := make([]error, len(failures))
	var running sync.WaitGroup
	for i, f := range failures {
		r.logf("failure: %s", f.name)
		running.Go(func() { errs[i] = errors.Annotate(f.run(ctx), f.name) })
		err := sleep(ctx, time.Duration(r.random.Int64N(int64(maxStartInterval))))
		if err != nil {
			return err
		}
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return sleep(ctx, settleTime)
}

// failures draws the targets of one round. Failures don't interfere: the drained
// backend server isn't in the data centre that is out of service, and two of three
// control instances stay connected.
func (r *run) failures() []failure {
	isolated := pickRandom(r.random, r.instances(settings.RoleControl))
	entry := pickRandom(r.random, r.instances(settings.RoleEntry))
	out := pickRandom(r.random, r.dataCentres())
	drained := pickRandom(r.random, r.streamCompanionsOutside(out))
	return []failure{
		{name: fmt.Sprintf("control instance %s isolated", isolated), run: func(ctx context.Context) error { return r.isolateControl(ctx, isolated) }},
		{name: fmt.Sprintf("entry instance %s killed", entry), run: func(ctx context.Context) error { return r.killEntry(ctx, entry) }},
		{name: fmt.Sprintf("data centre %s taken out of service and back", out), run: func(ctx context.Context) error { return r.takeDataCentreOut(ctx, out) }},
		{name: fmt.Sprintf("backend server %s drained", drained), run: func(ctx context.Context) error { return r.drain(ctx, drained) }},
		{name: "two operators submit concurrently", run: r.raceSubmissions},
	}
}

func pickRandom[T any](random *rand.Rand, from []T) T {
	return from[random.IntN(len(from))]
}

func (r *run) instances(role settings.Role) []core.InstanceID {
	var instances []core.InstanceID
	for _, s := range r.deployed.Settings {
		if s.Role == role {
			instances = append(instances, s.Instance)
		}
	}
	return instances
}

func (r *run) dataCentres() []core.DataCentre {
	var names []core.DataCentre
	for name := range r.deployed.Configuration.DataCentres {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (r *run) streamCompanionsOutside(out core.DataCentre) []core.InstanceID {
	var instances []core.InstanceID
	for _, s := range r.deployed.Settings {
		if s.Role != settings.RoleCompanion || s.DataCentre == out {
			continue
		}
		if r.deployed.Configuration.Services[s.Companion.Service].Kind == config.Stream {
			instances = append(instances, s.Instance)
		}
	}
	return instances
}

// isolateControl silently cuts a control instance off from all other processes for
// controlIsolationTime.
func (r *run) isolateControl(ctx context.Context, instance core.InstanceID) error {
	r.deployed.CutControl(instance, true)
	defer r.deployed.CutControl(instance, false)
	return sleep(ctx, controlIsolationTime)
}

// killEntry kills an entry instance, removes it from the fabric after the
// detection time, and starts it again.
func (r *run) killEntry(ctx context.Context, instance core.InstanceID) error {
	process := r.deployed.Process(instance)
	err := process.Kill()
	if err != nil {
		return err
	}
	err = sleep(ctx, fabricDetectionTime)
	if err != nil {
		return err
	}
	packets := r.settingsOf(instance).Entry.Packets
	r.deployed.Fabric.RemoveEntry(packets)
	err = sleep(ctx, entryDownTime)
	if err != nil {
		return err
	}
	err = process.Start()
	if err != nil {
		return err
	}
	r.deployed.Fabric.AddEntry(packets)
	return nil
}

func (r *run) settingsOf(instance core.InstanceID) *settings.Settings {
	i := slices.IndexFunc(r.deployed.Settings, func(s *settings.Settings) bool { return s.Instance == instance })
	return r.deployed.Settings[i]
}

// takeDataCentreOut takes a data centre out of service, waits until that is in
// force, and puts it back.
func (r *run) takeDataCentreOut(ctx context.Context, name core.DataCentre) error {
	o := outage{dataCentre: name, requested: time.Now()}
	revision, err := r.operators.setDataCentre(ctx, name, config.Out)
	if err != nil {
		return err
	}
	err = r.operators.awaitInForce(ctx, revision)
	if err != nil {
		return err
	}
	o.inForce = time.Now()
	err = sleep(ctx, outTime)
	if err != nil {
		return err
	}
	o.ended = time.Now()
	o.late = r.receivedBytesSince(name, o.inForce)
	_, err = r.operators.setDataCentre(ctx, name, config.In)
	r.record.outages = append(r.record.outages, o)
	r.record.accepted = append(r.record.accepted, revision)
	return err
}

// receivedBytesSince lists the data centre's backend servers that received bytes
// after the given time.
func (r *run) receivedBytesSince(name core.DataCentre, since time.Time) []core.InstanceID {
	var late []core.InstanceID
	for _, server := range r.deployed.Backends {
		if server.Identity().DataCentre == name && server.LastByte().After(since) {
			late = append(late, server.Identity().Instance)
		}
	}
	return late
}

// drain starts and ends draining of a backend server.
func (r *run) drain(ctx context.Context, instance core.InstanceID) error {
	for _, drain := range []bool{true, false} {
		_, err := r.operators.client.Drain(ctx, operator.Drain{Instance: instance, Drain: drain})
		if err != nil {
			return errors.Trace(err)
		}
		err = sleep(ctx, outTime)
		if err != nil {
			return err
		}
	}
	return nil
}

// raceSubmissions submits the same section twice, concurrently and with the same
// base.
func (r *run) raceSubmissions(ctx context.Context) error {
	section, err := r.operators.client.Section(ctx, config.SectionLimits)
	if err != nil {
		return errors.Trace(err)
	}
	var errs [2]error
	var racing sync.WaitGroup
	ids := [2]config.RequestID{r.operators.requestID(), r.operators.requestID()}
	moves := [2]int{50 + r.random.IntN(10), 70 + r.random.IntN(10)}
	for i := range errs {
		racing.Go(func() {
			_, errs[i] = r.operators.submitLimits(ctx, ids[i], section.Revision, moves[i])
		})
	}
	racing.Wait()
	return r.recordRace(errs)
}

func (r *run) recordRace(errs [2]error) error {
	var outcome race
	for _, err := range errs {
		var refused *operator.Error
		switch {
		case err == nil:
			outcome.accepted++
		case errors.As(err, &refused) && refused.Code == operator.CodeConflict:
			outcome.conflicts++
		default:
			return errors.Trace(err)
		}
	}
	r.record.races = append(r.record.races, outcome)
	return nil
}
