package main

import (
	"context"
	"net/netip"
	"time"
)

// routeOf describes a route of a configuration.
type routeOf struct {
	Name, Type, Service    string
	Host                   netip.Addr
	Port                   int
	TimeoutMs, ObjectiveMs int
}

func (r routeOf) address() netip.AddrPort { return netip.AddrPortFrom(r.Host, uint16(r.Port)) }

// serviceOf describes a service of a configuration.
type serviceOf struct {
	Name            string
	ColdS, ColdPerS float64
}

// configure sends a configuration until it is acknowledged, and returns when it was.
func (d *deployment) configure(ctx context.Context, version int, routes []routeOf, services []serviceOf) (time.Time, error) {
	body := render("configuration", map[string]any{"Version": version, "Routes": routes, "Services": services})
	return d.order(ctx, "PUT", names["configuration"], body)
}

// startCore adds and starts the control instances.
func (d *deployment) startCore(zones ...string) error {
	for _, zone := range zones {
		d.add("core", "control", zone, "")
	}
	for _, m := range d.core() {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// startFront adds and starts an entry instance.
func (d *deployment) startFront(zone string) (*machine, error) {
	m := d.add("front", "entry", zone, "")
	return m, m.start()
}

// startSide adds and starts a companion.
func (d *deployment) startSide(zone, service string) (*machine, error) {
	m := d.add("side", "companion", zone, service)
	return m, m.start()
}

// closed reports whether the channel is closed before the time is over.
func closed(c <-chan struct{}, within time.Duration) bool {
	select {
	case <-c:
		return true
	case <-time.After(within):
		return false
	}
}

// counts returns how many requests ended in each way.
func counts(outcomes []outcome) map[string]int {
	found := map[string]int{}
	for _, o := range outcomes {
		found[o.answer]++
	}
	return found
}
