package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// requestDeadline is the deadline of a request.
const requestDeadline = 1500 * time.Millisecond

// enoughFlows is how many flows a case holds open at the target that it disturbs.
const enoughFlows = 3

// openAt opens flows and sends a request on each, until enough of them are held by one
// target.
func openAt(d *deployment, t *target) ([]*clientFlow, error) {
	var held []*clientFlow
	for i := range 40 {
		f, err := d.client.open(d.route)
		if err != nil || f.request(fmt.Sprintf("early-%d", i), requestDeadline) != nil {
			continue
		}
		if f.target == t.id {
			held = append(held, f)
		}
		if len(held) == enoughFlows {
			return held, nil
		}
	}
	return nil, fmt.Errorf("%d flows were opened at %s", len(held), t.id)
}

// checkFlows sends another request on each flow. It reports whether the rule FLOW is
// broken: the system resets a flow that its living target holds open.
func checkFlows(r *record, flows []*clientFlow, t *target) (bool, error) {
	broken, answered := false, 0
	for i, f := range flows {
		held := t.holds(f.key)
		err := f.request(fmt.Sprintf("late-%d", i), requestDeadline)
		switch {
		case err == nil:
			answered++
		case errors.Is(err, errSystemReset) && held && t.holds(f.key):
			r.add("FLOW: %v was reset by the system while %s lives and holds it open", f.key, t.id)
			broken = true
		}
	}
	if !broken && answered < len(flows) {
		return false, fmt.Errorf("%d of %d flows answered, none was reset", answered, len(flows))
	}
	return broken, nil
}

// begin starts all processes, submits a configuration and starts the targets beside the
// given nodes.
func (d *deployment) begin(ctx context.Context, sides ...*node) error {
	err := d.startAll(ctx)
	if err != nil {
		return err
	}
	for i, n := range sides {
		_, err = startTarget(d.record, n, incarnation{id: fmt.Sprintf("i-%d", i+1), service: n.service})
		if err != nil {
			return err
		}
	}
	err = d.configure(ctx)
	if err != nil {
		return err
	}
	err = d.awaitService(ctx)
	if err != nil {
		return err
	}
	sleep(ctx, contactTime+time.Second)
	return ctx.Err()
}

// delayedHeartbeat delivers a heartbeat of a target that has crashed once its successor
// holds flows at the same address and the companion beside them was restarted by plan.
func delayedHeartbeat(ctx context.Context, r *record, folder string, trouble bool) (bool, error) {
	d, err := newDeployment(r, folder, shape{controls: 3, entries: 2, sides: 3})
	if err != nil {
		return false, err
	}
	defer d.stopAll()
	err = d.begin(ctx, d.sides[1:]...)
	if err != nil {
		return false, err
	}
	earlier, err := startTarget(r, d.sides[0], incarnation{id: "i-earlier", service: service})
	if err != nil {
		return false, err
	}
	sleep(ctx, 3*time.Second)
	delayed := earlier.body()
	sent := time.Now()
	r.add("heartbeat of %s is held up: %s", earlier.id, delayed)
	earlier.crash()
	r.add("target %s crashes", earlier.id)
	sleep(ctx, 2200*time.Millisecond)
	t, err := startTarget(r, d.sides[0], incarnation{id: "i-later", service: service})
	if err != nil {
		return false, err
	}
	defer t.crash()
	began := time.Now()
	sleep(ctx, 200*time.Millisecond)
	flows, err := openAt(d, t)
	if err != nil {
		return false, err
	}
	// The restart fits between two heartbeats.
	sleep(ctx, time.Until(began.Add(heartbeatInterval+20*time.Millisecond)))
	err = d.restart(d.sides[0])
	if err != nil {
		return false, err
	}
	if trouble {
		awaitListener(ctx, d.sides[0])
		status, err := callHTTP(ctx, http.MethodPut, "http://"+d.sides[0].control.String()+names.Instances+earlier.id, delayed)
		r.add("heartbeat of %s arrives %v late -> %d %v", earlier.id, time.Since(sent), status, err)
	}
	sleep(ctx, contactTime+3*time.Second)
	return checkFlows(r, flows, t)
}

// awaitListener waits until the node accepts heartbeats.
func awaitListener(ctx context.Context, n *node) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp4", n.control.String(), 100*time.Millisecond)
		if err == nil {
			_ = conn.Close()
			return
		}
		sleep(ctx, 5*time.Millisecond)
	}
}

// reusedAddress delivers a heartbeat of a target whose machine is gone, once a machine with
// a target of another service is at its address and the companion there was killed.
func reusedAddress(ctx context.Context, r *record, folder string, trouble bool) (bool, error) {
	d, err := newDeployment(r, folder, shape{controls: 3, entries: 2, sides: 4})
	if err != nil {
		return false, err
	}
	defer d.stopAll()
	reused := d.sides[0]
	reused.service, d.sides[3].service = otherService, otherService
	err = d.begin(ctx, d.sides[1:]...)
	if err != nil {
		return false, err
	}
	earlier, err := startTarget(r, reused, incarnation{id: "i-earlier", service: otherService})
	if err != nil {
		return false, err
	}
	sleep(ctx, 3*time.Second)
	delayed := earlier.body()
	sent := time.Now()
	r.add("heartbeat of %s is held up: %s", earlier.id, delayed)
	earlier.crash()
	d.kill(reused)
	r.add("target %s and its machine are gone", earlier.id)
	sleep(ctx, 2200*time.Millisecond)
	reused.service = service
	err = d.start(reused, false)
	if err != nil {
		return false, err
	}
	awaitListener(ctx, reused)
	t, err := startTarget(r, reused, incarnation{id: "i-later", service: service})
	if err != nil {
		return false, err
	}
	defer t.crash()
	began := time.Now()
	sleep(ctx, 150*time.Millisecond)
	d.kill(reused)
	sleep(ctx, restartDelay)
	err = d.start(reused, false)
	if err != nil {
		return false, err
	}
	awaitListener(ctx, reused)
	if trouble {
		status, err := callHTTP(ctx, http.MethodPut, "http://"+reused.control.String()+names.Instances+earlier.id, delayed)
		r.add("heartbeat of %s arrives %v late -> %d %v", earlier.id, time.Since(sent), status, err)
	}
	var requests sync.WaitGroup
	for i := 0; time.Since(began) < 2*heartbeatInterval; i++ {
		requests.Go(func() {
			f, err := d.client.open(d.other)
			if err == nil {
				_ = f.request(fmt.Sprintf("manual-%d", i), requestDeadline)
			}
		})
		sleep(ctx, 20*time.Millisecond)
	}
	requests.Wait()
	t.lock.Lock()
	defer t.lock.Unlock()
	r.add("%d flows of service %s were taken by a target of service %s", len(t.foreign), otherService, service)
	return len(t.foreign) > 0, nil
}

// foreignHeartbeat sends a heartbeat that lacks fields, from another writer.
func foreignHeartbeat(ctx context.Context, r *record, folder string, trouble bool) (bool, error) {
	d, err := newDeployment(r, folder, shape{controls: 3, entries: 2, sides: 3})
	if err != nil {
		return false, err
	}
	defer d.stopAll()
	err = d.begin(ctx, d.sides[1:]...)
	if err != nil {
		return false, err
	}
	t, err := startTarget(r, d.sides[0], incarnation{id: "i-known", service: service})
	if err != nil {
		return false, err
	}
	defer t.crash()
	sleep(ctx, 500*time.Millisecond)
	flows, err := openAt(d, t)
	if err != nil {
		return false, err
	}
	sleep(ctx, contactTime)
	if trouble {
		foreign := target{incarnation: incarnation{id: "i-foreign", service: service}, record: r, node: d.sides[0], born: time.Now().UnixMilli()}
		body, err := incomplete(foreign.body())
		if err != nil {
			return false, err
		}
		status, err := callHTTP(ctx, http.MethodPut, "http://"+d.sides[0].control.String()+names.Instances+foreign.id, body)
		r.add("heartbeat of another writer: %s -> %d %v", body, status, err)
	}
	sleep(ctx, time.Second)
	return checkFlows(r, flows, t)
}
