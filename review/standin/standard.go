package main

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

var (
	feedRoute  = netip.MustParseAddrPort("127.1.0.1:443")
	orderRoute = netip.MustParseAddrPort("127.1.0.1:8443")
)

// standardRoutes are the routes that all cases begin with.
var standardRoutes = []routeSpec{
	{"feed", feedRoute, "safe", "shop"},
	{"order", orderRoute, "unsafe", "shop"},
}

var errNotReady = errors.New("the deployment did not become ready")

// startStandard starts three control instances, two entry instances and companions with
// targets of the service shop, one in each zone, and sends the first configuration.
func (d *deployment) startStandard(work time.Duration) error {
	for _, zone := range zones {
		d.addMachine("control", zone, "")
	}
	for _, zone := range zones[:2] {
		d.addMachine("front", zone, "")
	}
	for _, zone := range zones {
		d.addMachine("side", zone, "shop")
	}
	err := d.startAll()
	if err != nil {
		return err
	}
	if !d.order(http.MethodPut, names.Configuration, configuration(1, 15000, []string{"shop", "files"}, standardRoutes), 15*time.Second, 0) {
		return errNotReady
	}
	for _, m := range d.of("side") {
		if d.skipTarget != nil && d.skipTarget(m) {
			continue
		}
		_, err = d.newTarget(m, m.service, 4, work)
		if err != nil {
			return err
		}
	}
	if !d.waitReady(15 * time.Second) {
		return errNotReady
	}
	// The routers need two checks, and the entry instances their first reports.
	time.Sleep(2 * time.Second)
	return nil
}

// lostFlow is a flow that the system reset although its target held it.
type lostFlow struct {
	f  *flow
	at *target
}

// holder returns the target that holds a flow, nil for none.
func (d *deployment) holder(key flowKey) *target {
	for _, t := range d.targets {
		if t.holds(key) {
			return t
		}
	}
	return nil
}

// longFlows opens so many long flows, sends a request on each about once in the given
// interval until the end, and returns those that the system reset while their target held
// them, and the requests that got no answer for it.
func (d *deployment) longFlows(count int, interval time.Duration, end time.Time) ([]lostFlow, []string, error) {
	var lock sync.Mutex
	var lost []lostFlow
	var unanswered []string
	var failed error
	var all sync.WaitGroup
	for i := range count {
		c, err := d.newClient(zones[i%2])
		if err != nil {
			return nil, nil, err
		}
		all.Go(func() {
			time.Sleep(time.Duration(i) * interval / time.Duration(count))
			f, err := c.openFlow(feedRoute)
			if err != nil {
				lock.Lock()
				failed = fmt.Errorf("open flow %s: %w", f.key, err)
				lock.Unlock()
				return
			}
			route, method := f.key, http.MethodGet
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("flow-%d-request-%d", i, n)
				idle := time.Since(f.lastUsed)
				_, err = f.request(method, id, 4*time.Second)
				if err == nil {
					select {
					case <-f.reset:
						err = errReset
					case <-time.After(interval):
						continue
					}
				}
				at := d.holder(route)
				d.record("request %s on flow %s: %v; held by a target: %t, age %v, idle before %v", id, route, err, at != nil,
					time.Since(f.openedAt).Round(time.Millisecond), idle.Round(time.Millisecond))
				lock.Lock()
				defer lock.Unlock()
				if errors.Is(err, errReset) && at != nil && time.Since(f.openedAt) < time.Minute {
					lost = append(lost, lostFlow{f, at})
					if len(d.ranAt(id)) == 0 {
						unanswered = append(unanswered, id)
					}
				}
				return
			}
			f.finish()
		})
	}
	all.Wait()
	return lost, unanswered, failed
}
