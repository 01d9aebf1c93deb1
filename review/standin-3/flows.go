package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// serverCount is how many servers the service of the flows has, and maxRequests how many
	// requests a flow carries at most.
	serverCount = 3
	maxRequests = 6
	// drainFor is how long a server drains before it departs.
	drainFor = 4 * time.Second
	// leavingFor is how long a server goes on that leaves.
	leavingFor = 14 * time.Second
	// flowDeadline is how long a caller waits for a response.
	flowDeadline = 2 * time.Second
)

// contact is how long after a disruption no machine is in touch.
const contact = 4 * time.Second

// flowLoad is what callers do: how many flows they keep open, and the bounds of the time
// between two requests on one.
type flowLoad struct {
	count              int
	minPause, maxPause time.Duration
}

// manyFlows and calmFlows are loads of the cases.
var (
	manyFlows = flowLoad{count: 120, minPause: time.Second, maxPause: 8 * time.Second}
	calmFlows = flowLoad{count: 120, minPause: 4 * time.Second, maxPause: 13 * time.Second}
)

// flowDeployment is a small deployment whose callers keep flows open.
type flowDeployment struct {
	*deployment
	servers []*server
	flows   *longFlows
	close   []func()
	// judgedFrom is when resets begin to count.
	judgedFrom time.Time
}

// startFlows starts a deployment and its callers.
func startFlows(ctx context.Context, root string, r *record, load flowLoad, work, longWork time.Duration) (*flowDeployment, error) {
	d, err := newDeployment(root, r, []string{"sul-a", "sul-b"})
	if err != nil {
		return nil, err
	}
	f := &flowDeployment{deployment: d}
	f.close = append(f.close, d.close)
	if err := d.startCore("sul-a", "sul-b", "sul-a"); err != nil {
		return f, err
	}
	var fronts []*machine
	for _, zone := range d.zones {
		front, err := d.startFront(zone)
		if err != nil {
			return f, err
		}
		fronts = append(fronts, front)
	}
	route := routeOf{Name: "r-order", Type: "unsafe", Service: "balcao", Host: d.address(), Port: 8443, TimeoutMs: 2000, ObjectiveMs: 200}
	if _, err := d.configure(ctx, 1, []routeOf{route}, []serviceOf{{Name: route.Service, ColdS: 2}}); err != nil {
		return f, err
	}
	for i := range serverCount {
		side, err := d.startSide(d.zones[i%2], route.Service)
		if err != nil {
			return f, err
		}
		s, err := startServer(side, 5, work, 0)
		if err != nil {
			return f, err
		}
		s.longWork = longWork
		f.servers = append(f.servers, s)
	}
	for _, front := range fronts {
		if err := d.awaitReady(ctx, front); err != nil {
			return f, err
		}
	}
	router := startRouter(d, fronts)
	f.close = append(f.close, router.close)
	var callers []*caller
	for range 4 {
		c, err := newCaller(d, router)
		if err != nil {
			return f, err
		}
		f.close = append(f.close, c.close)
		callers = append(callers, c)
	}
	f.flows = startLongFlows(callers, route.address(), load.count, load.minPause, load.maxPause, flowDeadline, f.held)
	time.Sleep(6 * time.Second)
	return f, nil
}

// held reports whether a server that lives holds the flow.
func (f *flowDeployment) held(lost resetFlow) bool {
	for _, s := range f.servers {
		if s.holds(lost.flow) {
			counts := !lost.at.Before(f.judgedFrom)
			f.record.add("flow %v, held by server %s, was reset %.1f s after it opened, idle for %v; counts: %t", lost.flow, s.id, lost.at.Sub(lost.opened).Seconds(), lost.idle, counts)
			return counts
		}
	}
	return false
}

func (f *flowDeployment) end() {
	for i := len(f.close) - 1; i >= 0; i-- {
		f.close[i]()
	}
	for _, s := range f.servers {
		s.stop()
	}
}

// judge ends the callers and reports whether open flows were reset.
func (f *flowDeployment) judge() int {
	ended := f.flows.end()
	f.record.say("flows ended: %v", ended)
	f.record.say("open flows that were reset although their server lives and holds them, as far as it counts: %d", f.flows.broken)
	if f.flows.broken > 0 {
		return broken
	}
	return held
}

// leavingServer empties a server, as planned. With trouble it closes its port for health
// checks when it begins to leave. It keeps its flows, as a leaving server does.
func leavingServer(root string, r *record, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	f, err := startFlows(ctx, root, r, calmFlows, 39*time.Millisecond, 230*time.Millisecond)
	if f != nil {
		defer f.end()
	}
	if err != nil {
		r.say("%v", err)
		return notRun
	}
	leaving := f.servers[0]
	leaving.drain()
	if !closed(leaving.drainAcked, 2*time.Second) {
		r.say("server %s got no acknowledgement", leaving.id)
		return notRun
	}
	if trouble {
		_ = leaving.health.Close()
		r.say("server %s, which leaves, accepts no more health checks", leaving.id)
	}
	time.Sleep(leavingFor)
	return f.judge()
}

// lateDeparture stops a server, as planned, and starts it again under its id. With trouble
// its departure arrives late, while callers have open flows at the new one.
func lateDeparture(root string, r *record, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	f, err := startFlows(ctx, root, r, manyFlows, 39*time.Millisecond, 0)
	if f != nil {
		defer f.end()
	}
	if err != nil {
		r.say("%v", err)
		return notRun
	}
	old := f.servers[0]
	old.drain()
	if !closed(old.drainAcked, 2*time.Second) {
		r.say("server %s got no acknowledgement", old.id)
		return notRun
	}
	time.Sleep(drainFor)
	if !trouble {
		depart(old)
	}
	old.stop()
	time.Sleep(2200 * time.Millisecond)
	next, err := startServerAs(old.machine, old.id, old.slots, old.work, 0)
	if err != nil {
		r.say("%v", err)
		return notRun
	}
	f.servers[0] = next
	time.Sleep(3 * time.Second)
	if trouble {
		r.say("the departure of the earlier server arrives")
		depart(old)
	}
	f.judgedFrom = time.Now().Add(contact)
	time.Sleep(7 * time.Second)
	r.say("the new server took %d opening packets", len(next.taken()))
	return f.judge()
}

// depart sends the departure of a server.
func depart(s *server) {
	d := s.machine.deployment
	url := "http://" + d.at(s.machine.ip, d.ports.Control).String() + names["server"] + s.id
	request, _ := http.NewRequest(http.MethodDelete, url, nil)
	response, err := d.client.Do(request)
	if err != nil {
		d.record.add("server %s: departure not answered: %v", s.id, err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	d.record.add("server %s: departure answered with %d", s.id, response.StatusCode)
}

// versionZero sends a first configuration, whose version is 0 with trouble and 1 without,
// and requests once it must be in force.
func versionZero(root string, r *record, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	d, err := newDeployment(root, r, []string{"sul-a", "sul-b"})
	if err != nil {
		r.say("%v", err)
		return notRun
	}
	defer d.close()
	outcomes, acknowledged, err := runVersionZero(ctx, d, trouble)
	if err != nil {
		r.say("%v", err)
		return notRun
	}
	r.say("requests sent more than %v after the acknowledgement: %v", propagation, counts(outcomes))
	for _, o := range outcomes {
		if o.answer == "reset before it opened" && o.sentAt.After(acknowledged.Add(propagation)) {
			return broken
		}
	}
	return held
}

// propagation is the time within which a configuration is in force.
const propagation = 3 * time.Second

func runVersionZero(ctx context.Context, d *deployment, trouble bool) ([]outcome, time.Time, error) {
	fail := func(err error) ([]outcome, time.Time, error) { return nil, time.Time{}, err }
	if err := d.startCore("sul-a", "sul-b", "sul-a"); err != nil {
		return fail(err)
	}
	var fronts []*machine
	for _, zone := range d.zones {
		front, err := d.startFront(zone)
		if err != nil {
			return fail(err)
		}
		fronts = append(fronts, front)
	}
	route := routeOf{Name: "r-stock", Type: "safe", Service: "balcao", Host: d.address(), Port: 8443, TimeoutMs: 1500, ObjectiveMs: 150}
	for _, zone := range d.zones {
		side, err := d.startSide(zone, route.Service)
		if err != nil {
			return fail(err)
		}
		s, err := startServer(side, 5, 30*time.Millisecond, 0)
		if err != nil {
			return fail(err)
		}
		defer s.stop()
	}
	time.Sleep(2 * time.Second)
	version := 1
	if trouble {
		version = 0
	}
	acknowledged, err := d.configure(ctx, version, []routeOf{route}, []serviceOf{{Name: route.Service, ColdS: 2}})
	if err != nil {
		return fail(fmt.Errorf("first configuration: %w", err))
	}
	d.record.say("configuration of version %d acknowledged", version)
	time.Sleep(propagation + 2*time.Second)
	router := startRouter(d, fronts)
	defer router.close()
	c, err := newCaller(d, router)
	if err != nil {
		return fail(err)
	}
	defer c.close()
	load := startLoad([]*caller{c}, route.address(), 10, 1500*time.Millisecond)
	time.Sleep(5 * time.Second)
	return load.outcomes(), acknowledged, nil
}
