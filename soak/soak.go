// Package soak runs a deployment of the real programs as separate processes on
// loopback, injects faults from outside, and checks the system's guarantees from the
// view of callers, backend servers and operators.
//
// A seed decides which processes are killed, paused, stopped or lose their disk,
// when operators change the configuration or take a data centre out of service, and when
// backend servers drain or restart. Meanwhile jobs of two priorities compete for servers that run few at once,
// get more than that for some seconds, become slow, and get callers of another data
// centre. Faults overlap. A seed repeats the faults, but since processes run in real
// time not the order of all packets.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Options configures a run.
type Options struct {
	Seed uint64
	// Length is how long faults are injected.
	Length time.Duration
	// Command is the path of the program and its arguments before the role.
	Command []string
	// Environment holds additional variables of each process, as "name=value".
	Environment []string
	// Network is the third octet of the loopback addresses of the run, which uses this
	// one and the next four. If they are in use, the run takes the next five that aren't.
	Network byte
	// Folder is for the settings, data and logs of the run.
	Folder string
}

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Violations lists the violated guarantees but the order of jobs, Overtaken the urgent
	// jobs that were refused while ordinary ones were admitted. Both are empty if the run
	// passed.
	Violations, Overtaken []string
	// Faults lists the injected faults, in order.
	Faults []string
	// Flows counts the flows opened, Requests the requests answered, ConfigChanges
	// the configuration changes acknowledged, Orders the orders on a data centre that were.
	Flows, Requests, ConfigChanges, Orders int
	// Urgent and Ordinary count the attempts of the jobs of either priority.
	Urgent, Ordinary JobCounts
}

// Passed reports whether no guarantee was violated.
func (r Report) Passed() bool { return len(r.Violations)+len(r.Overtaken) == 0 }

// String returns the report as lines of text: totals, violations and, if there are
// any, the faults.
func (r Report) String() string {
	text := fmt.Sprintf("seed %d: %d flows opened, %d requests answered, %d configurations and %d orders acknowledged, %d faults; urgent jobs: %v; ordinary jobs: %v",
		r.Seed, r.Flows, r.Requests, r.ConfigChanges, r.Orders, len(r.Faults), r.Urgent, r.Ordinary)
	for _, violation := range slices.Concat(r.Violations, r.Overtaken) {
		text += "\n  BROKEN " + violation
	}
	if !r.Passed() {
		for _, fault := range r.Faults {
			text += "\n  " + fault
		}
	}
	return text
}

// recorder collects the report. All goroutines of a run use it.
type recorder struct {
	lock   sync.Mutex
	start  time.Time
	report Report
}

func (r *recorder) violation(format string, arguments ...any) {
	r.add(&r.report.Violations, fmt.Sprintf(format, arguments...))
}

func (r *recorder) overtaken(format string, arguments ...any) {
	r.add(&r.report.Overtaken, fmt.Sprintf(format, arguments...))
}

func (r *recorder) fault(format string, arguments ...any) {
	r.add(&r.report.Faults, fmt.Sprintf(format, arguments...))
}

// add appends a text with its time to a list of the report.
func (r *recorder) add(list *[]string, text string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	*list = append(*list, r.stamp()+text)
}

func (r *recorder) stamp() string {
	return fmt.Sprintf("%6.2f s  ", time.Since(r.start).Seconds())
}

func (r *recorder) increment(counter *int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	*counter++
}

const (
	// groups is how many networks a run uses, lastNetwork the last one at which the next
	// five can be tried.
	groups      = 5
	lastNetwork = 255 - 2*groups
	errInUse    = syscall.EADDRINUSE
)

// settleTimeout bounds the time until the deployment serves: at the start, and again
// once all faults have ended.
const settleTimeout = 20 * time.Second

// Run runs one seed. The error reports that the deployment did not start.
func Run(ctx context.Context, options Options) (Report, error) {
	err := os.MkdirAll(options.Folder, 0o755)
	if err != nil {
		return Report{}, errors.Annotate(err, "create folder")
	}
	random := rand.New(rand.NewPCG(options.Seed, 1))
	r := &recorder{start: time.Now(), report: Report{Seed: options.Seed}}
	d, err := newDeployment(options, r)
	for errors.Is(err, errInUse) && options.Network < lastNetwork {
		options.Network += groups
		d, err = newDeployment(options, r)
	}
	if err != nil {
		return r.report, err
	}
	defer d.close()
	err = d.startAll()
	if err != nil {
		return r.report, err
	}
	o := &operator{deployment: d, recorder: r, random: rand.New(rand.NewPCG(options.Seed, 2))}
	err = o.submitFirst(ctx)
	if err != nil {
		return r.report, err
	}
	sender := &orders{deployment: d, recorder: r, random: rand.New(rand.NewPCG(options.Seed, 4))}
	runWorkload(ctx, options.Length, d, r, o, sender, random)
	finish(ctx, d, r, o, sender)
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.report, nil
}

// runWorkload injects faults while callers and the operator are active.
func runWorkload(ctx context.Context, length time.Duration, d *deployment, r *recorder, o *operator, sender *orders, random *rand.Rand) {
	limited, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var working sync.WaitGroup
	for i := range callers {
		working.Go(func() { d.runCaller(limited, byte(i)) })
	}
	working.Go(func() { o.run(limited) })
	working.Go(func() { sender.run(limited) })
	working.Go(func() { d.announce(limited) })
	working.Go(func() { d.runJobs(limited) })
	working.Go(func() { d.announceForeign(limited, rand.New(rand.NewPCG(d.options.Seed, 3))) })
	inject(limited, d, random)
	working.Wait()
	d.jobs.check(r)
}

// finish ends all faults and checks that the deployment recovers and that no
// acknowledged configuration or order is lost.
func finish(ctx context.Context, d *deployment, r *recorder, o *operator, sender *orders) {
	d.heal()
	limited, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	go d.announce(limited)
	if !o.readBack(limited) {
		r.violation("the configuration can't be read %v after the last fault", settleTimeout)
	}
	sender.checkLast(limited)
	if !d.waitUntilServing(limited) {
		r.violation("no flow opens %v after the last fault", settleTimeout)
	}
}
