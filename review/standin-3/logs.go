package main

import (
	"context"
	"os"
	"sync/atomic"
	"time"
)

const (
	// propagation is the time within which a configuration is in force.
	propagation = 3 * time.Second
	// stallBefore is how long the log of an entry instance isn't read before the
	// configuration changes.
	stallBefore = 14 * time.Second
)

// logReader reads what a process writes to its standard output, unless it is paused.
type logReader struct {
	paused atomic.Bool
	bytes  atomic.Int64
}

// open returns the end of a pipe for a process and what is called once that has started.
func (l *logReader) open() (*os.File, func()) {
	read, write, err := os.Pipe()
	if err != nil {
		panic(err)
	}
	return write, func() {
		go func() {
			buffer := make([]byte, 4096)
			for {
				for l.paused.Load() {
					time.Sleep(20 * time.Millisecond)
				}
				n, err := read.Read(buffer)
				l.bytes.Add(int64(n))
				if err != nil {
					return
				}
			}
		}()
	}
}

// startWithReader starts the process of the machine with a reader of what it writes.
func (m *machine) startWithReader() (*logReader, error) {
	reader := &logReader{}
	m.logs = reader.open
	return reader, m.start()
}

// logStall lets nobody read the log of one of two entry instances for some time, while
// callers send requests. Then the configuration changes twice; the second change adds a
// route. It must be served within the propagation time.
func logStall(root string, r *record, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	d, err := newDeployment(root, r, []string{"sul-a", "sul-b"})
	if err != nil {
		r.say("%v", err)
		return notRun
	}
	defer d.close()
	acknowledged, stalled, other, err := runLogStall(ctx, d, trouble)
	if err != nil {
		r.say("%v", err)
		return notRun
	}
	r.say("requests on the added route, sent over %v after the acknowledgement: through the first entry instance %v, through the second %v",
		propagation, counts(stalled), counts(other))
	for _, o := range stalled {
		if o.answer == "reset before it opened" && o.sentAt.After(acknowledged.Add(propagation)) {
			r.say("request %s was refused %.1f s after the acknowledgement", o.id, o.sentAt.Sub(acknowledged).Seconds())
			return broken
		}
	}
	return held
}

func runLogStall(ctx context.Context, d *deployment, trouble bool) (time.Time, []outcome, []outcome, error) {
	fail := func(err error) (time.Time, []outcome, []outcome, error) { return time.Time{}, nil, nil, err }
	if err := d.startCore("sul-a", "sul-b", "sul-a"); err != nil {
		return fail(err)
	}
	var fronts []*machine
	var readers, companions []*logReader
	for _, zone := range d.zones {
		front := d.add("front", "entry", zone, "")
		reader, err := front.startWithReader()
		if err != nil {
			return fail(err)
		}
		fronts, readers = append(fronts, front), append(readers, reader)
	}
	route := routeOf{Name: "r-stock", Type: "safe", Service: "balcao", Host: d.address(), Port: 8443, TimeoutMs: 1500, ObjectiveMs: 150}
	added := routeOf{Name: "r-added", Type: "safe", Service: "balcao", Host: d.address(), Port: 8443, TimeoutMs: 1500, ObjectiveMs: 150}
	services := []serviceOf{{Name: route.Service, ColdS: 2}}
	if _, err := d.configure(ctx, 1, []routeOf{route}, services); err != nil {
		return fail(err)
	}
	for _, zone := range d.zones {
		side := d.add("side", "companion", zone, route.Service)
		reader, err := side.startWithReader()
		if err != nil {
			return fail(err)
		}
		companions = append(companions, reader)
		s, err := startServer(side, 5, 20*time.Millisecond, 0)
		if err != nil {
			return fail(err)
		}
		defer s.stop()
	}
	var callers []*caller
	for _, front := range fronts {
		if err := d.awaitReady(ctx, front); err != nil {
			return fail(err)
		}
		router := startRouter(d, []*machine{front})
		defer router.close()
		c, err := newCaller(d, router)
		if err != nil {
			return fail(err)
		}
		defer c.close()
		callers = append(callers, c)
	}
	usual := startLoad(callers, route.address(), 80, 1500*time.Millisecond)
	time.Sleep(2 * time.Second)
	if trouble {
		stalled := readers[:1]
		if os.Getenv("STALL") == "companions" {
			stalled = companions
		}
		d.record.say("logs of %d processes aren't read from now on", len(stalled))
		for _, reader := range stalled {
			reader.paused.Store(true)
		}
	}
	time.Sleep(stallBefore)
	d.record.say("read so far: %d and %d bytes of entry instances, %d and %d of companions",
		readers[0].bytes.Load(), readers[1].bytes.Load(), companions[0].bytes.Load(), companions[1].bytes.Load())
	route.TimeoutMs = 1600
	if _, err := d.configure(ctx, 2, []routeOf{route}, services); err != nil {
		return fail(err)
	}
	time.Sleep(time.Second)
	acknowledged, err := d.configure(ctx, 3, []routeOf{route, added}, services)
	if err != nil {
		return fail(err)
	}
	time.Sleep(propagation + 500*time.Millisecond)
	first := startLoad(callers[:1], added.address(), 10, 1500*time.Millisecond)
	second := startLoad(callers[1:], added.address(), 10, 1500*time.Millisecond)
	time.Sleep(5 * time.Second)
	stalled, other := first.outcomes(), second.outcomes()
	d.record.say("usual requests: %v", counts(usual.outcomes()))
	for _, reader := range append(readers, companions...) {
		reader.paused.Store(false)
	}
	return acknowledged, stalled, other, nil
}
