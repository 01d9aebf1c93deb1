package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["leaving-target"] = leavingTarget }

// leavingTarget: a target leaves in planned work. It keeps its flows, but no longer accepts
// connections for health checks.
func leavingTarget(d *deployment, trouble bool) (int, error) {
	err := d.startStandard(400 * time.Millisecond)
	if err != nil {
		return exitNotRun, err
	}
	t := d.targets[0]
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
	if len(flows) < 2 {
		return exitNotRun, errors.New("too few flows opened at the target")
	}
	d.record("%d flows are open at target %s", len(flows), t.id)
	time.Sleep(6 * time.Second)
	t.lock.Lock()
	t.state = "draining"
	t.lock.Unlock()
	if !t.heartbeat() {
		return exitNotRun, errors.New("the target's draining was not acknowledged")
	}
	if trouble {
		d.record("target %s closes its health port", t.id)
		_ = t.health.Close()
	}
	time.Sleep(time.Second)
	lost := 0
	var lock sync.Mutex
	var all sync.WaitGroup
	for i, f := range flows {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 530 * time.Millisecond)
			held := t.holds(f.key)
			_, err := f.request(http.MethodGet, fmt.Sprintf("leaving-%d", i), 4*time.Second)
			d.record("flow %s: %v; held by its target before: %t, after: %t; age %v", f.key, err, held, t.holds(f.key), time.Since(f.openedAt).Round(time.Millisecond))
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
