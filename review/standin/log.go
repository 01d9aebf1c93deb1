package main

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const propagationBound = 3 * time.Second

// addedRoute is a route that only the last configuration has.
var addedRoute = netip.MustParseAddrPort("127.1.0.9:443")

func init() { cases["stalled-log"] = stalledLog }

// stalledLog: nobody reads the standard output of one entry instance any more. The machines
// and links are left alone.
func stalledLog(d *deployment, trouble bool) (int, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return exitNotRun, err
	}
	defer func() { _ = writer.Close() }()
	defer func() { _ = reader.Close() }()
	var stalled atomic.Bool
	go func() {
		buffer := make([]byte, 4096)
		for {
			for stalled.Load() {
				time.Sleep(50 * time.Millisecond)
			}
			_, err := reader.Read(buffer)
			if err != nil {
				return
			}
		}
	}()
	d.outputOf = func(m *machine) *os.File {
		if m == d.of("front")[0] {
			return writer
		}
		return nil
	}
	err = d.startStandard(20 * time.Millisecond)
	if err != nil {
		return exitNotRun, err
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	for i := range 8 {
		c, err := d.newClient(zones[0])
		if err != nil {
			return exitNotRun, err
		}
		load.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
					_ = c.once(feedRoute, http.MethodGet, fmt.Sprintf("request-%d-%d", i, n), 2*time.Second)
				}
			}
		})
	}
	defer load.Wait()
	defer close(stop)
	if trouble {
		stalled.Store(true)
		d.record("the reader of the standard output of %s stops reading", d.of("front")[0].name)
	}
	time.Sleep(40 * time.Second)
	services := []string{"shop", "files"}
	for version := 2; version <= 3; version++ {
		if !d.order(http.MethodPut, names.Configuration, configuration(version, 15000+int64(version), services, standardRoutes), 5*time.Second, 0) {
			return exitNotRun, errors.New("a configuration was not acknowledged")
		}
		time.Sleep(time.Second)
	}
	routes := append(append([]routeSpec{}, standardRoutes...), routeSpec{"added", addedRoute, "safe", "shop"})
	if !d.order(http.MethodPut, names.Configuration, configuration(4, 15000, services, routes), 5*time.Second, 0) {
		return exitNotRun, errors.New("version 4 was not acknowledged")
	}
	time.Sleep(propagationBound + time.Second)
	refused, served := 0, 0
	for i := range 4 {
		c, err := d.newClient(zones[i%2])
		if err != nil {
			return exitNotRun, err
		}
		for n := range 10 {
			id := fmt.Sprintf("added-%d-%d", i, n)
			f, err := c.openFlow(addedRoute)
			if err != nil {
				refused++
				d.record("opening packet of %s to the added route at entry %s: %v", id, f.entry, err)
				continue
			}
			_, err = f.request(http.MethodGet, id, 2*time.Second)
			if err == nil {
				served++
				f.finish()
			}
		}
	}
	d.record("CONFIG: %d flows to a route that was acknowledged more than %v before were refused, %d were served", refused, propagationBound, served)
	switch {
	case refused > 0:
		return exitBroken, nil
	case served == 0:
		return exitNotRun, errors.New("no flow was served")
	default:
		return exitHeld, nil
	}
}
