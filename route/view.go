package route

import (
	"net/netip"
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// View is the part of the state that packet forwarding needs. It is immutable.
type View struct {
	Revision core.Revision
	// Version is the configuration's version; zero before the first one.
	Version  uint64
	Routes   []Route
	Services []Service
	Out      []core.DataCentre
	// Companions lists the companions that may hold flows, ordered by address.
	Companions  []Companion
	IdleTimeout time.Duration
}

// Table is a view indexed for route lookups.
type Table struct {
	View     *View
	routes   map[netip.AddrPort]*Route
	services map[core.ServiceName]*Service
}

// Compile returns the table of a view.
func Compile(view *View) *Table {
	t := &Table{
		View:     view,
		routes:   make(map[netip.AddrPort]*Route, len(view.Routes)),
		services: make(map[core.ServiceName]*Service, len(view.Services)),
	}
	for i := range view.Routes {
		t.routes[view.Routes[i].Address] = &view.Routes[i]
	}
	for i := range view.Services {
		t.services[view.Services[i].Name] = &view.Services[i]
	}
	return t
}

// Route returns the route at an address, nil if there is none.
func (t *Table) Route(address netip.AddrPort) *Route {
	return t.routes[address]
}

// Service returns a service, nil if it isn't configured.
func (t *Table) Service(name core.ServiceName) *Service {
	return t.services[name]
}

// NamesService reports whether the configuration names the service, or named it before for
// a route that remains: its backend servers may still hold flows.
func (t *Table) NamesService(name core.ServiceName) bool {
	if t.services[name] != nil {
		return true
	}
	for i := range t.View.Routes {
		if slices.Contains(t.View.Routes[i].Former, name) {
			return true
		}
	}
	return false
}

// Listed reports whether the view lists the companion as one that may hold flows.
func (t *Table) Listed(companion netip.AddrPort) bool {
	_, listed := slices.BinarySearchFunc(t.View.Companions, companion, compareCompanion)
	return listed
}

// DataCentreOut reports whether operators have taken the data centre out of
// service.
func (t *Table) DataCentreOut(name core.DataCentre) bool {
	return slices.Contains(t.View.Out, name)
}
