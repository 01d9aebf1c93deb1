package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/platform/platformtest"
	"zinniapulley.dev/standin/packets"
)

// The jobs service has routes of two priorities and servers that run few requests at
// once. Surges of ordinary jobs exceed what the servers can run, servers become slow, and
// callers are moved between data centres.
const (
	jobsService core.ServiceName = "jobs"

	// jobTime is how long a job runs, slowFactor how many times as long at a slow server.
	// The three servers run 240 jobs a second.
	jobTime    = 100 * time.Millisecond
	slowFactor = 3
	// urgentRate, ordinaryRate and surgeRate are the jobs a second from all callers.
	// Urgent jobs alone stay below what the servers can run while one is slow (187 a
	// second), so that none has to be refused for want of slots.
	urgentRate   = 50.0
	ordinaryRate = 60.0
	surgeRate    = 300.0
	// maxAttempts is how often a caller tries a job.
	maxAttempts = 3
	// minJobFault and maxJobFault bound the duration of a surge, a slow server and a
	// move, maxJobPause the pause before the next.
	minJobFault = time.Second
	maxJobFault = 3 * time.Second
	maxJobPause = 1500 * time.Millisecond
)

const (
	// compareWindow is the time after the sending of an urgent job within which an
	// ordinary job that is admitted is compared with it.
	compareWindow = 100 * time.Millisecond
	// settleTime is how long after a disturbance of a process its decisions aren't
	// compared.
	settleTime = 2 * time.Second
	// stallTime is how late a timer of the soak or the response to an announcement may
	// be before it counts as a disturbance, stallCheck the interval of the timer.
	stallTime  = 50 * time.Millisecond
	stallCheck = 10 * time.Millisecond
	// maxOvertaken is how many urgent jobs that were refused wrongly are described.
	maxOvertaken = 3
)

var (
	urgentRoute   = netip.MustParseAddrPort("198.18.0.3:443")
	ordinaryRoute = netip.MustParseAddrPort("198.18.0.4:443")
)

// JobCounts counts jobs, and attempts that were reset before the flow opened.
type JobCounts struct{ Sent, Answered, Refused int }

// String returns the counts in words.
func (c JobCounts) String() string {
	return fmt.Sprintf("%d of %d answered, %d attempts refused", c.Answered, c.Sent, c.Refused)
}

// timeline is a list of points in time.
type timeline struct {
	lock  sync.Mutex
	times []time.Time
}

// add adds the present.
func (t *timeline) add() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.times = append(t.times, time.Now())
}

// quiet reports whether the list has no time from settleTime before a time to another.
func (t *timeline) quiet(from, to time.Time) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, at := range t.times {
		if !at.Before(from.Add(-settleTime)) && !at.After(to) {
			return false
		}
	}
	return true
}

// attempt is one attempt of a job by an entry instance.
type attempt struct {
	packets.Attempt
	entry *process
}

// admission is the opening of a flow at a server.
type admission struct {
	server *backend
	at     time.Time
}

// jobs is what callers and servers saw of the jobs.
type jobs struct {
	servers []*backend
	// surging and moved are set while ordinary jobs surge and callers are moved.
	surging, moved atomic.Bool
	// stalls holds the times at which this process was short of processor time.
	stalls timeline
	lock   sync.Mutex
	// refused lists the urgent attempts that were reset before they opened, ordinary
	// the ordinary attempts.
	refused, ordinary []attempt
	admitted          map[core.FlowKey]admission
	// runs counts the runs of each job, answers the answered jobs.
	runs    map[string]int
	answers map[string]bool
	counts  map[netip.AddrPort]*JobCounts
}

func newJobs() *jobs {
	return &jobs{
		admitted: make(map[core.FlowKey]admission), runs: make(map[string]int), answers: make(map[string]bool),
		counts: map[netip.AddrPort]*JobCounts{urgentRoute: {}, ordinaryRoute: {}},
	}
}

// addServer makes a backend server run jobs. opened is called for each of its flows.
func (j *jobs) addServer(b *backend, opened func(core.FlowKey)) {
	j.servers = append(j.servers, b)
	b.server.Slots = jobSlots
	b.server.RunTime.Store(int64(jobTime))
	b.server.OnOpen = func(key core.FlowKey) {
		opened(key)
		j.lock.Lock()
		defer j.lock.Unlock()
		j.admitted[key] = admission{server: b, at: time.Now()}
	}
	b.server.OnRun = func(job string) {
		j.lock.Lock()
		defer j.lock.Unlock()
		j.runs[job]++
	}
}

// runJobs sends jobs and injects the faults of their servers until ctx is done.
func (d *deployment) runJobs(ctx context.Context) {
	var working sync.WaitGroup
	defer working.Wait()
	for zone := range byte(2) {
		clients, err := packets.NewClients(d.address(groupCaller, callers+2+zone, platformtest.PortPackets))
		if err != nil {
			d.recorder.violation("%v", err)
			continue
		}
		defer clients.Close()
		for i, route := range []netip.AddrPort{urgentRoute, ordinaryRoute} {
			random := rand.New(rand.NewPCG(d.options.Seed, 200+2*uint64(zone)+uint64(i)))
			working.Go(func() { d.sendJobs(ctx, clients, zone, route, random) })
		}
	}
	j := d.jobs
	for i, fault := range []func(*rand.Rand) func(){j.surge, j.slow, j.move} {
		random := rand.New(rand.NewPCG(d.options.Seed, 300+uint64(i)))
		working.Go(func() { d.injectJobFaults(ctx, random, fault) })
	}
	working.Go(func() { j.watchStalls(ctx) })
	working.Wait()
}

// injectJobFaults begins and ends faults of one kind until ctx is done.
func (d *deployment) injectJobFaults(ctx context.Context, random *rand.Rand, fault func(*rand.Rand) func()) {
	for ctx.Err() == nil {
		randomPause(ctx, random, maxJobPause)
		end := fault(random)
		sleep(ctx, minJobFault+time.Duration(random.Int64N(int64(maxJobFault-minJobFault))))
		end()
	}
}

func (j *jobs) surge(*rand.Rand) (end func()) {
	j.surging.Store(true)
	return func() { j.surging.Store(false) }
}

func (j *jobs) move(*rand.Rand) (end func()) {
	j.moved.Store(true)
	return func() { j.moved.Store(false) }
}

// slow makes a third of the servers slow. Its end is a disturbance: a companion that
// has measured a slow server admits more from one answer to the next.
func (j *jobs) slow(random *rand.Rand) (end func()) {
	b := j.servers[random.IntN(len(j.servers))]
	b.server.RunTime.Store(int64(slowFactor * jobTime))
	return func() {
		b.server.RunTime.Store(int64(jobTime))
		b.companion.disturbed.add()
	}
}

// watchStalls records when this process is short of processor time.
func (j *jobs) watchStalls(ctx context.Context) {
	for ctx.Err() == nil {
		begin := time.Now()
		sleep(ctx, stallCheck)
		if time.Since(begin) > stallCheck+stallTime {
			j.stalls.add()
		}
	}
}

// sendJobs sends the jobs of one data centre's callers on a route until ctx is done.
func (d *deployment) sendJobs(ctx context.Context, clients *packets.Clients, zone byte, route netip.AddrPort, random *rand.Rand) {
	var sent sync.WaitGroup
	defer sent.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		rate := urgentRate
		if route == ordinaryRoute {
			rate = ordinaryRate
			if d.jobs.surging.Load() {
				rate = surgeRate
			}
		}
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(2*time.Second)/rate))
		from := zone
		// Half of the callers of the second data centre are moved to the first.
		if d.jobs.moved.Load() && zone == 1 && number%2 == 0 {
			from = 0
		}
		first := random.IntN(entries)
		sent.Go(func() { d.sendJob(ctx, clients, from, route, first, fmt.Sprintf("%v-%d-%d", route, zone, number)) })
	}
}

// sendJob tries a job until it is answered or may not be repeated. Each attempt goes to
// another entry instance of the data centre, if there is one.
func (d *deployment) sendJob(ctx context.Context, clients *packets.Clients, zone byte, route netip.AddrPort, first int, job string) {
	d.jobs.sent(route)
	for number := range maxAttempts {
		entry := d.entryOf(zone, first+number)
		a := attempt{
			Attempt: clients.Try(ctx, route, netip.AddrPortFrom(entry.settings.Address, platformtest.PortPackets), job),
			entry:   entry,
		}
		if ctx.Err() != nil {
			return
		}
		d.jobs.ended(job, a)
		if a.Err == nil || (a.Opened && route == urgentRoute) {
			return
		}
	}
}

// entryOf returns one of the entry instances of a data centre.
func (d *deployment) entryOf(zone byte, number int) *process {
	var candidates []*process
	for _, p := range d.processes {
		if p.role == roleEntry && p.settings.DataCentre == zoneOf(zone) {
			candidates = append(candidates, p)
		}
	}
	return candidates[number%len(candidates)]
}

func (j *jobs) sent(route netip.AddrPort) {
	j.lock.Lock()
	defer j.lock.Unlock()
	j.counts[route].Sent++
}

// ended records the end of an attempt.
func (j *jobs) ended(job string, a attempt) {
	j.lock.Lock()
	defer j.lock.Unlock()
	route := a.Key.Service
	refused := a.Err == packets.ErrReset && !a.Opened
	if a.Err == nil {
		j.counts[route].Answered++
		j.answers[job] = true
	}
	if refused {
		j.counts[route].Refused++
	}
	switch {
	case route == ordinaryRoute:
		j.ordinary = append(j.ordinary, a)
	case refused:
		j.refused = append(j.refused, a)
	}
}

// check checks what callers and servers saw of the jobs.
func (j *jobs) check(r *recorder) {
	j.lock.Lock()
	defer j.lock.Unlock()
	r.report.Urgent, r.report.Ordinary = *j.counts[urgentRoute], *j.counts[ordinaryRoute]
	for job, runs := range j.runs {
		if runs > 1 && isOnce(job) {
			r.violation("job %s, which may run only once, ran %d times", job, runs)
		}
	}
	for job := range j.answers {
		if j.runs[job] == 0 {
			r.violation("job %s was answered and has not run", job)
		}
	}
	overtaken := 0
	for i := range j.refused {
		text := j.overtaker(r.start, &j.refused[i])
		if text == "" {
			continue
		}
		overtaken++
		if overtaken <= maxOvertaken {
			r.overtaken("%s", text)
		}
	}
	if overtaken > maxOvertaken {
		r.overtaken("%d more urgent jobs were refused while ordinary ones were admitted", overtaken-maxOvertaken)
	}
}

// isOnce reports whether a job may run only once, by its name.
func isOnce(job string) bool { return strings.HasPrefix(job, urgentRoute.String()) }

// overtaker describes an ordinary job that a server admitted although it was sent after
// an urgent one, which was refused, by the same entry instance, and within compareWindow.
// It returns "" if there is none.
//
// Not every such pair can be compared. What companions were asked to admit can't be seen
// from outside: an entry instance may not have offered the urgent job to the server that
// admitted the ordinary one, because it was just learning of that server, or lost its
// packet. Pairs are left out if the entry instance or the server's companion was started,
// paused or late with an answer to an announcement within settleTime, if the server has
// just become fast again, or if this process was short of processor time. Packets of a
// steady entry instance aren't lost on loopback: its socket holds more than it receives
// in compareWindow. An ordinary job whose first packet was not the one admitted is not
// within compareWindow of its sending, and not compared.
func (j *jobs) overtaker(start time.Time, urgent *attempt) string {
	until := urgent.Sent.Add(compareWindow)
	for i := range j.ordinary {
		o := &j.ordinary[i]
		a, opened := j.admitted[o.Key]
		if !opened || o.entry != urgent.entry || !o.Sent.After(urgent.Sent) || a.at.After(until) {
			continue
		}
		if o.entry.disturbed.quiet(urgent.Sent, a.at) && a.server.companion.disturbed.quiet(urgent.Sent, a.at) && j.stalls.quiet(urgent.Sent, a.at) {
			return fmt.Sprintf("urgent job %v, sent at %.3f s by %s, was refused after %v, while %s admitted the ordinary job %v, sent %v after it",
				urgent.Key, urgent.Sent.Sub(start).Seconds(), urgent.entry.name, urgent.Ended.Sub(urgent.Sent), a.server.server.Name, o.Key, o.Sent.Sub(urgent.Sent))
		}
	}
	return ""
}
