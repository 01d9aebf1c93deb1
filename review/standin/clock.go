package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// contactBound is how long after a disruption a machine counts as in touch again.
	contactBound = 4 * time.Second
	// clockStep is how far the time of day has jumped ahead on the machine.
	clockStep = 2400 * time.Millisecond
	// restartDelay is the platform's delay before it starts a process again.
	restartDelay = 200 * time.Millisecond
)

func init() { cases["stepped-clock"] = steppedClock }

// steppedClock: a target is added while the time of day of its machine has jumped ahead. The
// jump ends, and then the process beside the target is stopped and started in planned work.
func steppedClock(d *deployment, trouble bool) (int, error) {
	added := false
	d.skipTarget = func(m *machine) bool { return m == d.of("side")[0] && !added }
	err := d.startStandard(30 * time.Millisecond)
	if err != nil {
		return exitNotRun, err
	}
	added = true
	m := d.of("side")[0]
	if trouble {
		d.bornOffset = clockStep
	}
	t, err := d.newTarget(m, "shop", 4, 30*time.Millisecond)
	if err != nil {
		return exitNotRun, err
	}
	start := time.Now()
	time.Sleep(300 * time.Millisecond)
	var lock sync.Mutex
	var flows []*flow
	var opening sync.WaitGroup
	for i := range 40 {
		c, err := d.newClient(zones[0])
		if err != nil {
			return exitNotRun, err
		}
		opening.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			f, err := c.openFlow(feedRoute)
			if err != nil {
				return
			}
			_, err = f.request(http.MethodGet, fmt.Sprintf("first-%d", i), 2*time.Second)
			if err == nil && t.holds(f.key) {
				lock.Lock()
				flows = append(flows, f)
				lock.Unlock()
			}
		})
	}
	opening.Wait()
	if len(flows) == 0 {
		return exitNotRun, errors.New("no flow opened at the added target")
	}
	d.record("%d flows are open at the added target %s, which started %v ago", len(flows), t.id, time.Since(start).Round(time.Millisecond))
	time.Sleep(time.Until(start.Add(1500 * time.Millisecond)))
	d.signal(m, syscall.SIGTERM)
	<-m.ended
	time.Sleep(restartDelay)
	err = d.start(m)
	if err != nil {
		return exitNotRun, err
	}
	d.record("%s is started again", m.name)
	// All machines are in touch again, and the flows are idle for less than the idle timeout.
	time.Sleep(contactBound + 2*time.Second)
	lost := 0
	var all sync.WaitGroup
	for i, f := range flows {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			idle := time.Since(f.lastUsed)
			held := t.holds(f.key)
			_, err := f.request(http.MethodGet, fmt.Sprintf("second-%d", i), 4*time.Second)
			d.record("flow %s: %v; held by its target before: %t, after: %t; age %v, idle before %v", f.key, err, held, t.holds(f.key),
				time.Since(f.openedAt).Round(time.Millisecond), idle.Round(time.Millisecond))
			if errors.Is(err, errReset) && held && t.holds(f.key) {
				lock.Lock()
				lost++
				lock.Unlock()
			}
		})
	}
	all.Wait()
	d.record("FLOW: %d of %d open flows were reset by the system while their target held them", lost, len(flows))
	if lost > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
