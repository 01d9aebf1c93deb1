// Package soak runs a deployment of the real programs as separate processes on
// loopback, injects faults from outside them, and checks the promises from what
// callers, backend servers and operators see.
//
// A run is drawn from a seed: which processes are killed, paused, stopped or lose
// their disk, when operators change the configuration, and when backend servers
// drain or start again. Faults overlap. Timing is the machine's, so that a seed
// repeats the faults but not each packet.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Options sets up a run.
type Options struct {
	Seed uint64
	// Length is how long faults are injected.
	Length time.Duration
	// Command starts the program: its path and arguments before the role.
	Command []string
	// Environment is added to the environment of each process.
	Environment []string
	// Network is the third number of the loopback addresses used, so that several
	// runs can go on at once. It and the four numbers after it must be free.
	Network byte
	// Folder holds settings, data and logs of the run.
	Folder string
}

// Report is what a run came to.
type Report struct {
	Seed uint64
	// Violations lists the promises that were broken, none for a good run.
	Violations []string
	// Faults lists what was injected, in order.
	Faults []string
	// Flows, Requests, ConfigChanges count what went well.
	Flows, Requests, ConfigChanges int
}

// String returns the report in lines.
func (r Report) String() string {
	text := fmt.Sprintf("seed %d: %d flows opened, %d requests answered, %d orders acknowledged, %d faults", r.Seed, r.Flows, r.Requests, r.ConfigChanges, len(r.Faults))
	for _, violation := range r.Violations {
		text += "\n  BROKEN " + violation
	}
	if len(r.Violations) > 0 {
		for _, fault := range r.Faults {
			text += "\n  " + fault
		}
	}
	return text
}

// watch collects what happens. It is used by all goroutines of a run.
type watch struct {
	lock   sync.Mutex
	start  time.Time
	report Report
}

func (w *watch) violation(format string, arguments ...any) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.report.Violations = append(w.report.Violations, w.stamp()+fmt.Sprintf(format, arguments...))
}

func (w *watch) fault(format string, arguments ...any) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.report.Faults = append(w.report.Faults, w.stamp()+fmt.Sprintf(format, arguments...))
}

func (w *watch) stamp() string {
	return fmt.Sprintf("%6.2f s  ", time.Since(w.start).Seconds())
}

func (w *watch) count(counter *int) {
	w.lock.Lock()
	defer w.lock.Unlock()
	*counter++
}

// settleTime is how long the deployment may take to serve at the start, and again
// once all faults have ended.
const settleTime = 20 * time.Second

// Run plays one seed.
func Run(ctx context.Context, options Options) (Report, error) {
	err := os.MkdirAll(options.Folder, 0o755)
	if err != nil {
		return Report{}, errors.Annotate(err, "create folder")
	}
	random := rand.New(rand.NewPCG(options.Seed, 1))
	w := &watch{start: time.Now(), report: Report{Seed: options.Seed}}
	d, err := newDeployment(options, w)
	if err != nil {
		return w.report, err
	}
	defer d.close()
	err = d.startAll()
	if err != nil {
		return w.report, err
	}
	o := &operator{deployment: d, watch: w, random: rand.New(rand.NewPCG(options.Seed, 2))}
	err = o.first(ctx)
	if err != nil {
		return w.report, err
	}
	play(ctx, options.Length, d, w, o, random)
	finish(ctx, d, w, o)
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.report, nil
}

// play injects faults while callers and the operator are at work.
func play(ctx context.Context, length time.Duration, d *deployment, w *watch, o *operator, random *rand.Rand) {
	limited, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var working sync.WaitGroup
	for i := range callers {
		working.Go(func() { d.call(limited, byte(i)) })
	}
	working.Go(func() { o.work(limited) })
	working.Go(func() { d.announce(limited) })
	inject(limited, d, random)
	working.Wait()
}

// finish ends all faults and checks that everything works again and nothing that was
// accepted is gone.
func finish(ctx context.Context, d *deployment, w *watch, o *operator) {
	d.heal()
	limited, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	go d.announce(limited)
	if !o.readBack(limited) {
		w.violation("the configuration can't be read %v after the last fault", settleTime)
	}
	if !d.serves(limited) {
		w.violation("no flow opens %v after the last fault", settleTime)
	}
}
