package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["leaving-in-roll"] = leavingInRoll }

// rollDelay is the platform's delay between the end of a process and its next start.
const rollDelay = 1500 * time.Millisecond

// pause is how long the flows are idle at least between their two requests.
const pause = 3400 * time.Millisecond

// leavingInRoll: planned work only. A target leaves, and the entry instance of its zone and
// the process beside it are stopped and started again.
func leavingInRoll(d *deployment, trouble bool) (int, error) {
	err := d.startStandard(30 * time.Millisecond)
	if err != nil {
		return exitNotRun, err
	}
	t, entry, beside := d.targets[0], d.of("front")[0], d.of("side")[0]
	var flows []*flow
	for range 40 {
		c, err := d.newClient(zones[0])
		if err != nil {
			return exitNotRun, err
		}
		f, err := c.openFlow(feedRoute)
		time.Sleep(20 * time.Millisecond)
		if err == nil && t.holds(f.key) {
			flows = append(flows, f)
		}
	}
	if len(flows) == 0 {
		return exitNotRun, errors.New("no flow opened at the target")
	}
	d.record("%d flows are open at target %s on %s", len(flows), t.id, beside.name)
	entryEnded := make(chan struct{})
	roll := func(m *machine) error {
		d.signal(m, syscall.SIGTERM)
		<-m.ended
		d.record("%s has ended", m.name)
		if m == entry {
			close(entryEnded)
		}
		time.Sleep(rollDelay)
		d.record("%s starts again", m.name)
		return d.start(m)
	}
	ended := make(chan error, 2)
	begin := time.Now()
	lost := 0
	var lock sync.Mutex
	var all sync.WaitGroup
	for i, f := range flows {
		all.Go(func() {
			_, err := f.request(http.MethodGet, fmt.Sprintf("first-%d", i), 4*time.Second)
			time.Sleep(time.Until(begin.Add(pause + time.Duration(i)*50*time.Millisecond)))
			if err != nil || f.isClosed() || !t.holds(f.key) {
				d.record("flow %s: %v; closed by its target: %t", f.key, err, f.isClosed())
				f.finish()
				return
			}
			_, err = f.request(http.MethodGet, fmt.Sprintf("second-%d", i), 5*time.Second)
			held := t.holds(f.key)
			d.record("second request on flow %s through %s: %v; held by its target: %t, age %v", f.key, f.entry, err, held, time.Since(f.openedAt).Round(time.Millisecond))
			lock.Lock()
			defer lock.Unlock()
			if errors.Is(err, errReset) && held {
				lost++
			}
		})
	}
	go func() { ended <- roll(entry) }()
	<-entryEnded
	if trouble {
		t.lock.Lock()
		t.state = "draining"
		t.lock.Unlock()
		if !t.heartbeat() {
			return exitNotRun, errors.New("the target's draining was not acknowledged")
		}
	}
	// The process beside the target ends just before the entry instance starts.
	time.Sleep(rollDelay - 500*time.Millisecond)
	go func() { ended <- roll(beside) }()
	all.Wait()
	if err := errors.Join(<-ended, <-ended); err != nil {
		return exitNotRun, err
	}
	d.record("FLOW: %d of %d open flows were reset by the system while their target held them", lost, len(flows))
	if lost > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
