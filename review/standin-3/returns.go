package main

import (
	"context"
	"syscall"
	"time"
)

const (
	// returnRounds is how often the zone is emptied and taken back.
	returnRounds = 5
	// frozenBefore is how long the companion is frozen before the zone is emptied, emptyFor
	// how long the zone stays empty, and frozenAfter how long the companion is frozen after
	// that.
	frozenBefore = 300 * time.Millisecond
	emptyFor     = 2200 * time.Millisecond
	frozenAfter  = 100 * time.Millisecond
	// offered is how many requests come in a second.
	offered = 100
	// betweenReturns is the time between two rounds.
	betweenReturns = 5 * time.Second
)

// coldReturn empties a zone and takes it back several times. Its server is cold at the end
// of each. Its companion is frozen meanwhile. The cold server may not get more requests in a
// second than its limit.
func coldReturn(root string, r *record, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	d, err := newDeployment(root, r, []string{"sul-a", "sul-b"})
	if err != nil {
		r.say("%v", err)
		return notRun
	}
	defer d.close()
	spans, outcomes, err := runColdReturn(ctx, d, trouble)
	if err != nil {
		r.say("%v", err)
		return notRun
	}
	r.say("requests: %v", counts(outcomes))
	return judgeCold(r, spans, outcomes)
}

func runColdReturn(ctx context.Context, d *deployment, trouble bool) ([]coldSpan, []outcome, error) {
	if err := d.startCore("sul-a", "sul-b", "sul-a"); err != nil {
		return nil, nil, err
	}
	var fronts []*machine
	for range 2 {
		front, err := d.startFront("sul-a")
		if err != nil {
			return nil, nil, err
		}
		fronts = append(fronts, front)
	}
	route := routeOf{Name: "r-manual", Type: "download", Service: "manuais", Host: d.address(), Port: 8443, TimeoutMs: 5000, ObjectiveMs: 500}
	if _, err := d.configure(ctx, 1, []routeOf{route}, []serviceOf{{Name: route.Service, ColdS: coldFor.Seconds(), ColdPerS: coldRate}}); err != nil {
		return nil, nil, err
	}
	var servers []*server
	for _, zone := range d.zones {
		side, err := d.startSide(zone, route.Service)
		if err != nil {
			return nil, nil, err
		}
		s, err := startServer(side, 5, 20*time.Millisecond, 0)
		if err != nil {
			return nil, nil, err
		}
		defer s.stop()
		servers = append(servers, s)
	}
	for _, front := range fronts {
		if err := d.awaitReady(ctx, front); err != nil {
			return nil, nil, err
		}
	}
	router := startRouter(d, fronts)
	defer router.close()
	var callers []*caller
	for range 4 {
		c, err := newCaller(d, router)
		if err != nil {
			return nil, nil, err
		}
		defer c.close()
		callers = append(callers, c)
	}
	load := startLoad(callers, route.address(), offered, 5*time.Second)
	time.Sleep(2 * time.Second)
	var spans []coldSpan
	for range returnRounds {
		span, err := returnZone(ctx, d, servers[0], trouble)
		if err != nil {
			load.outcomes()
			return nil, nil, err
		}
		spans = append(spans, span)
		time.Sleep(betweenReturns)
	}
	return spans, load.outcomes(), nil
}

// returnZone empties the zone of a server and takes it back.
func returnZone(ctx context.Context, d *deployment, s *server, trouble bool) (coldSpan, error) {
	if trouble {
		s.machine.signal(syscall.SIGSTOP)
		defer s.machine.signal(syscall.SIGCONT)
	}
	time.Sleep(frozenBefore)
	if _, err := d.order(ctx, "POST", names["out"]+s.machine.zone, ""); err != nil {
		return coldSpan{}, err
	}
	time.Sleep(emptyFor)
	from := s.cool(coldFor)
	if _, err := d.order(ctx, "DELETE", names["out"]+s.machine.zone, ""); err != nil {
		return coldSpan{}, err
	}
	time.Sleep(frozenAfter)
	return coldSpan{server: s, from: from}, nil
}
