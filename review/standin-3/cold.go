package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	// The service's cold servers bear coldRate requests a second; coldFactor and coldSlack
	// are those of the settings.
	coldRate   = 10
	coldFactor = 1.5
	coldSlack  = 5
	coldFor    = 2 * time.Second
	// coldRounds is how often a server is replaced.
	coldRounds = 6
	// overlap is how long after the start of a new server the old one begins to drain.
	overlap = 800 * time.Millisecond
	// killAfter is how long after that the companion of the first new server is killed, and
	// killStep how much later that of each further one. restartAfter is how long the platform
	// takes to start it again. A server repeats the announcement that finds no companion.
	killAfter    = 150 * time.Millisecond
	killStep     = 50 * time.Millisecond
	restartAfter = 300 * time.Millisecond
	// offered is how many requests come in a second.
	offered = 100
	// drainFor is how long a server that leaves goes on.
	drainFor = 3 * time.Second
)

// coldWindow replaces a service's server several times, as in a release: the new one starts
// first, cold, and the old one drains. The companion of the new one is killed once and
// started again. No cold server may get more requests in a second than its limit.
func coldWindow(root string, r *record, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	d, err := newDeployment(root, r, []string{"sul-a", "sul-b"})
	if err != nil {
		r.say("%v", err)
		return notRun
	}
	defer d.close()
	spans, outcomes, err := runColdWindow(ctx, d, trouble)
	if err != nil {
		r.say("%v", err)
		return notRun
	}
	r.say("requests: %v", counts(outcomes))
	return judgeCold(r, spans, outcomes)
}

func runColdWindow(ctx context.Context, d *deployment, trouble bool) ([]coldSpan, []outcome, error) {
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
	side, err := d.startSide("sul-a", route.Service)
	if err != nil {
		return nil, nil, err
	}
	_, err = d.configure(ctx, 1, []routeOf{route}, []serviceOf{{Name: route.Service, ColdS: coldFor.Seconds(), ColdPerS: coldRate}})
	if err != nil {
		return nil, nil, err
	}
	current, err := startServer(side, 20, 20*time.Millisecond, 0)
	if err != nil {
		return nil, nil, err
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
	time.Sleep(time.Second)
	var spans []coldSpan
	for round := range coldRounds {
		next, err := replace(d, current, round, trouble)
		if err != nil {
			load.outcomes()
			return nil, nil, err
		}
		spans = append(spans, coldSpan{server: next, from: next.born})
		current = next
	}
	outcomes := load.outcomes()
	current.stop()
	return spans, outcomes, nil
}

// replace starts a new server, cold, and drains the old one. With trouble, the companion of
// the new one is killed once.
func replace(d *deployment, old *server, round int, trouble bool) (*server, error) {
	side, err := d.startSide(old.machine.zone, old.service)
	if err != nil {
		return nil, err
	}
	time.Sleep(700 * time.Millisecond)
	next, err := startServer(side, old.slots, old.work, coldFor)
	if err != nil {
		return nil, err
	}
	if !closed(next.acked, 2*time.Second) {
		return nil, fmt.Errorf("server %s got no acknowledgement", next.id)
	}
	time.Sleep(time.Until(next.born.Add(overlap)))
	old.drain()
	time.Sleep(killAfter + time.Duration(round)*killStep)
	if trouble {
		side.kill()
	}
	time.Sleep(restartAfter)
	if trouble {
		if err := side.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(drainFor)
	leave(old)
	return next, nil
}

// leave ends a server that has drained, and then its companion.
func leave(s *server) {
	d := s.machine.deployment
	url := "http://" + d.at(s.machine.ip, d.ports.Control).String() + names["server"] + s.id
	request, _ := http.NewRequest(http.MethodDelete, url, nil)
	response, err := d.client.Do(request)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	s.stop()
	s.machine.signal(syscall.SIGTERM)
}

// coldSpan is a time in which a server was cold.
type coldSpan struct {
	server *server
	from   time.Time
}

// judgeCold counts, for each time in which a server was cold, the requests that were sent
// and arrived within one second. A request counts with the opening packet of its flow, and
// only if it came to the server.
func judgeCold(r *record, spans []coldSpan, outcomes []outcome) int {
	sent := map[flowKey]time.Time{}
	for _, o := range outcomes {
		sent[o.flow] = o.sentAt
	}
	limit := int(coldRate*coldFactor + coldSlack)
	verdict := held
	for _, span := range spans {
		var takes []taken
		for _, t := range span.server.taken() {
			if t.request != "" && t.at.After(span.from) && t.at.Before(span.from.Add(coldFor)) && sent[t.flow].After(span.from) {
				takes = append(takes, t)
			}
		}
		most, from := 0, span.from
		for _, first := range takes {
			begin := sent[first.flow]
			inside := slices.DeleteFunc(slices.Clone(takes), func(t taken) bool {
				return sent[t.flow].Before(begin) || t.at.After(begin.Add(time.Second))
			})
			if len(inside) > most {
				most, from = len(inside), begin
			}
		}
		r.say("cold server %s: %d requests while it was cold, at most %d in a second (limit %d), from %.3f s after it became cold",
			span.server.id, len(takes), most, limit, from.Sub(span.from).Seconds())
		if most > limit {
			verdict = broken
		}
	}
	return verdict
}
