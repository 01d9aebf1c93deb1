// Package route holds what operators configure for pass-through forwarding:
// routes, each an address that callers reach, with the services that may serve
// it and their weights; the services; and the data centres that are taken out.
//
// Its State is the replicated state of a control group. It is deterministic and
// does no I/O.
package route

import (
	"fmt"
	"net/netip"
	"time"

	"zinniapulley.dev/core"
)

// Kind says what may be done with the requests that a route's flows carry.
type Kind uint8

const (
	// KindIdempotent requests may be repeated.
	KindIdempotent Kind = iota + 1
	// KindOnce requests may run once at most.
	KindOnce
	// KindDownload requests are idempotent and have long answers.
	KindDownload
)

// String returns the kind in words.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindOnce:
		return "once"
	case KindDownload:
		return "download"
	default:
		return "unknown"
	}
}

// Share is one of the services of a route with its weight among them.
type Share struct {
	Service core.ServiceName
	Weight  int
}

// Route is one address that callers reach.
type Route struct {
	Name    string
	Address netip.AddrPort
	Kind    Kind
	// Timeout is how long a request may take in all.
	Timeout time.Duration
	// Objective is the answer time that callers count on.
	Objective time.Duration
	// Priority orders routes under overload; 0 goes first.
	Priority int
	Shares   []Share
	// Former lists services that earlier configurations named here. Flows opened
	// then may live on with them.
	Former []core.ServiceName
}

// Allows reports whether new flows of the route may go to the service.
func (r *Route) Allows(service core.ServiceName) bool {
	for _, share := range r.Shares {
		if share.Service == service && share.Weight > 0 {
			return true
		}
	}
	return false
}

// MayHold reports whether open flows of the route may live with the service.
func (r *Route) MayHold(service core.ServiceName) bool {
	for _, share := range r.Shares {
		if share.Service == service {
			return true
		}
	}
	for _, former := range r.Former {
		if former == service {
			return true
		}
	}
	return false
}

// Service is one service as operators configure it.
type Service struct {
	Name core.ServiceName
	// HealthPath is the path of the health check over HTTP.
	HealthPath string
	// MaxConnections is the most flows that one backend server holds.
	MaxConnections int
	// ColdFor is how long a backend server stays cold after its start.
	ColdFor time.Duration
	// ColdRate is how many requests a second a cold backend server bears; zero
	// sets no bound.
	ColdRate float64
}

// Configuration is one complete configuration.
type Configuration struct {
	// Version orders configurations: the highest is in force.
	Version  uint64
	Routes   []Route
	Services []Service
	// IdleTimeout is how long a flow may be idle before it may be forgotten.
	IdleTimeout time.Duration
	// Source is the document as the operator sent it.
	Source []byte
}

// Fault is one reason why a configuration is invalid.
type Fault struct {
	// Path locates the fault in the document, for example "routes[3].timeout".
	Path    string
	Problem string
}

// String returns "path: problem".
func (f Fault) String() string {
	return f.Path + ": " + f.Problem
}

// Check returns every fault of a configuration, none for a valid one.
func (c *Configuration) Check() []Fault {
	var faults []Fault
	services := make(map[core.ServiceName]bool, len(c.Services))
	for i, service := range c.Services {
		path := fmt.Sprintf("services[%d].name", i)
		switch {
		case service.Name == "":
			faults = append(faults, Fault{path, "is empty"})
		case services[service.Name]:
			faults = append(faults, Fault{path, fmt.Sprintf("%q is there twice", service.Name)})
		}
		services[service.Name] = true
	}
	places := make(map[netip.AddrPort]string, len(c.Routes))
	for i := range c.Routes {
		route := &c.Routes[i]
		path := fmt.Sprintf("routes[%d]", i)
		if other, taken := places[route.Address]; taken {
			faults = append(faults, Fault{path, fmt.Sprintf("has the address %s of route %q", route.Address, other)})
		}
		places[route.Address] = route.Name
		faults = append(faults, route.check(path, services)...)
	}
	return faults
}

func (r *Route) check(path string, services map[core.ServiceName]bool) []Fault {
	var faults []Fault
	if r.Timeout <= 0 {
		faults = append(faults, Fault{path + ".timeout", "must be above 0"})
	}
	if !r.Address.IsValid() || r.Address.Port() == 0 {
		faults = append(faults, Fault{path + ".address", "is no address with a port"})
	}
	total := 0
	for _, share := range r.Shares {
		if !services[share.Service] {
			faults = append(faults, Fault{path, fmt.Sprintf("names the unknown service %q", share.Service)})
		}
		if share.Weight < 0 {
			faults = append(faults, Fault{path, fmt.Sprintf("gives service %q a negative weight", share.Service)})
		}
		total += max(share.Weight, 0)
	}
	if total == 0 {
		faults = append(faults, Fault{path, "has no service with a weight above 0"})
	}
	return faults
}
