// Package route holds the operators' configuration of pass-through forwarding:
// routes, each an address that callers connect to, with the services that may
// serve it and their weights; the services; and the data centres that are out of
// service.
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

// Kind is how the requests on a route's flows may be handled.
type Kind uint8

const (
	// KindIdempotent requests may be repeated.
	KindIdempotent Kind = iota + 1
	// KindOnce requests must run at most once.
	KindOnce
	// KindDownload requests are idempotent and have long responses.
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

// Share is one service of a route with its weight relative to the others.
type Share struct {
	Service core.ServiceName
	Weight  int
}

// Route is one address that callers connect to.
type Route struct {
	Name    string
	Address netip.AddrPort
	Kind    Kind
	// Timeout is the maximum total duration of a request.
	Timeout time.Duration
	// Objective is the response time that callers expect.
	Objective time.Duration
	// Priority orders routes under overload; 0 is the highest.
	Priority int
	Shares   []Share
	// Former lists the services of earlier configurations of this route. They may
	// still hold flows that were opened then.
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

// MayHold reports whether the service may hold open flows of the route.
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
	// MaxConnections is the maximum number of flows of one backend server.
	MaxConnections int
	// ColdFor is the duration of a backend server's cold start.
	ColdFor time.Duration
	// ColdRate is how many requests per second a backend server can handle during
	// its cold start; zero means no limit.
	ColdRate float64
}

// Configuration is one complete configuration.
type Configuration struct {
	// Version orders configurations: the highest applies.
	Version  uint64
	Routes   []Route
	Services []Service
	// IdleTimeout is how long a flow may be idle before it may be removed.
	IdleTimeout time.Duration
	// Source is the document as the operator sent it.
	Source []byte
}

// Fault is one validation error of a configuration.
type Fault struct {
	// Path locates the error in the document, for example "routes[3].timeout".
	Path    string
	Problem string
}

// String returns "path: problem".
func (f Fault) String() string {
	return f.Path + ": " + f.Problem
}

// Check returns all validation errors of a configuration, none if it is valid.
func (c *Configuration) Check() []Fault {
	var faults []Fault
	services := make(map[core.ServiceName]bool, len(c.Services))
	for i, service := range c.Services {
		path := fmt.Sprintf("services[%d].name", i)
		switch {
		case service.Name == "":
			faults = append(faults, Fault{path, "is empty"})
		case services[service.Name]:
			faults = append(faults, Fault{path, fmt.Sprintf("duplicate service %q", service.Name)})
		}
		services[service.Name] = true
	}
	namesByAddress := make(map[netip.AddrPort]string, len(c.Routes))
	for i := range c.Routes {
		route := &c.Routes[i]
		path := fmt.Sprintf("routes[%d]", i)
		if other, duplicate := namesByAddress[route.Address]; duplicate {
			faults = append(faults, Fault{path, fmt.Sprintf("duplicate address %s, already used by route %q", route.Address, other)})
		}
		namesByAddress[route.Address] = route.Name
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
		faults = append(faults, Fault{path + ".address", "must be an address with a port"})
	}
	total := 0
	for _, share := range r.Shares {
		if !services[share.Service] {
			faults = append(faults, Fault{path, fmt.Sprintf("unknown service %q", share.Service)})
		}
		if share.Weight < 0 {
			faults = append(faults, Fault{path, fmt.Sprintf("negative weight for service %q", share.Service)})
		}
		total += max(share.Weight, 0)
	}
	if total == 0 {
		faults = append(faults, Fault{path, "has no service with a weight above 0"})
	}
	return faults
}
