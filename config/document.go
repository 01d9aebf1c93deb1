package config

import (
	"net/netip"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/core/strictjson"
)

// Document is the whole configuration. A document that Parse returned without
// error is valid and must not be modified.
type Document struct {
	// Services holds every service by name: the sections "services/<name>".
	Services map[core.ServiceName]Service `json:"services"`
	// DataCentres holds every data centre by name.
	DataCentres map[core.DataCentre]DataCentre `json:"dataCentres"`
	// Limits bounds the system's own actions, such as bucket moves.
	Limits Limits `json:"limits,omitzero"`
	// Teams holds the operators' teams and the sections that they own.
	Teams map[core.Team]Team `json:"teams"`
}

// Service is the section "services/<name>".
type Service struct {
	// Address is the IPv4 address and port at which callers reach the service.
	Address netip.AddrPort `json:"address"`
	Kind    Kind           `json:"kind"`
	// Team owns the section. It must match the owner listed in "teams".
	Team core.Team `json:"team"`
	// Buckets is the number of buckets of the service's table, a power of two.
	// It can't change during a service's lifetime. Zero means DefaultBuckets.
	Buckets int `json:"buckets,omitempty"`
	// Share weights the backend servers relative to each other.
	Share Share `json:"share,omitzero"`
	// Capacity limits each backend server of the service, regardless of what
	// its companion measures.
	Capacity Capacity `json:"capacity"`
	// Requests holds the request defaults of a service of kind "request".
	Requests Requests `json:"requests,omitzero"`
}

// Kind is the kind of a service: "stream" or "request".
type Kind string

const (
	// Stream is the kind of a service that exchanges opaque bytes.
	Stream Kind = "stream"
	// Request is the kind of a service that answers HTTP/1.1 requests.
	Request Kind = "request"
)

// Core returns the kind as published, and zero for an unknown kind.
func (k Kind) Core() core.ServiceKind {
	switch k {
	case Stream:
		return core.ServiceStream
	case Request:
		return core.ServiceRequest
	default:
		return 0
	}
}

// Share weights backend servers, in percent of the load that their capacity
// alone would assign to them. A backend server without its own entry uses that
// of its data centre, or FullShare if there is none.
type Share struct {
	DataCentres map[core.DataCentre]int `json:"dataCentres,omitempty"`
	Instances   map[core.InstanceID]int `json:"instances,omitempty"`
}

// Capacity is the hard limit of one backend server.
type Capacity struct {
	// Connections is the maximum number of concurrently open flows.
	Connections int `json:"connections"`
	// Slots is the maximum number of concurrently running requests.
	Slots int `json:"slots"`
}

// Core returns the capacity as published.
func (c Capacity) Core() core.Capacity {
	return core.Capacity{Connections: c.Connections, Slots: c.Slots}
}

// Requests holds the defaults for requests that don't set their own values.
type Requests struct {
	// Deadline is the time limit of a request. Zero means DefaultDeadline.
	Deadline strictjson.Duration `json:"deadline,omitempty"`
	// Retries is the maximum number of retries of a request that may be
	// repeated. Nil means DefaultRetries.
	Retries *int `json:"retries,omitempty"`
	// RetryBudget is the maximum number of retries, in percent of recent
	// requests. Nil means DefaultRetryBudget.
	RetryBudget *int `json:"retryBudget,omitempty"`
}

// DataCentre is one member of the section "dataCentres".
type DataCentre struct {
	// Region names the region of the data centre.
	Region string `json:"region"`
	// State is "in", or "out" while operators have it out of service.
	State DataCentreState `json:"state"`
}

// DataCentreState is "in" or "out".
type DataCentreState string

const (
	// In marks a data centre in service, which receives packets.
	In DataCentreState = "in"
	// Out marks a data centre that operators have taken out of service.
	Out DataCentreState = "out"
)

// Limits is the section "limits".
type Limits struct {
	// BucketMoves is the maximum number of buckets moved per second and service
	// to balance the load. Zero means DefaultBucketMoves. Moves away from a
	// lost backend server aren't limited.
	BucketMoves int `json:"bucketMovesPerSecond,omitempty"`
	// ReturnRamp is the time over which the load of a data centre that returns
	// to service is raised to its full level. Zero means DefaultReturnRamp.
	ReturnRamp strictjson.Duration `json:"returnRamp,omitempty"`
}

// Team is one member of the section "teams".
type Team struct {
	// Tokens holds the SHA-256 hashes of the team's tokens, in hexadecimal.
	Tokens []TokenHash `json:"tokens"`
	// Sections lists the sections that the team owns. "services/*" matches
	// every service that no other entry names.
	Sections []Section `json:"sections"`
}

const (
	// DefaultBuckets is the number of buckets of a service that sets none.
	DefaultBuckets = 1024
	// DefaultDeadline is the request deadline of a service that sets none.
	DefaultDeadline = 30 * time.Second
	// DefaultRetries is the default of Requests.Retries.
	DefaultRetries = 1
	// DefaultRetryBudget is the default of Requests.RetryBudget.
	DefaultRetryBudget = 10
	// DefaultBucketMoves is the default of Limits.BucketMoves.
	DefaultBucketMoves = 256
	// DefaultReturnRamp is the default of Limits.ReturnRamp.
	DefaultReturnRamp = 10 * time.Second
	// FullShare is the share, in percent, of a backend server without one.
	FullShare = 100
)

// BucketCount returns the number of buckets of the service's table.
func (s Service) BucketCount() int {
	if s.Buckets == 0 {
		return DefaultBuckets
	}
	return s.Buckets
}

// ShareOf returns the share in percent of a backend server of the service.
func (s Service) ShareOf(instance core.InstanceID, dataCentre core.DataCentre) int {
	share, ok := s.Share.Instances[instance]
	if ok {
		return share
	}
	share, ok = s.Share.DataCentres[dataCentre]
	if ok {
		return share
	}
	return FullShare
}

// DeadlineOrDefault returns the time limit of a request.
func (r Requests) DeadlineOrDefault() time.Duration {
	if r.Deadline == 0 {
		return DefaultDeadline
	}
	return time.Duration(r.Deadline)
}

// RetriesOrDefault returns the maximum number of retries of a request.
func (r Requests) RetriesOrDefault() int {
	if r.Retries == nil {
		return DefaultRetries
	}
	return *r.Retries
}

// RetryBudgetOrDefault returns the retry budget in percent of recent requests.
func (r Requests) RetryBudgetOrDefault() int {
	if r.RetryBudget == nil {
		return DefaultRetryBudget
	}
	return *r.RetryBudget
}

// BucketMovesOrDefault returns the limit of bucket moves per second and service.
func (l Limits) BucketMovesOrDefault() int {
	if l.BucketMoves == 0 {
		return DefaultBucketMoves
	}
	return l.BucketMoves
}

// ReturnRampOrDefault returns the ramp time of a returning data centre.
func (l Limits) ReturnRampOrDefault() time.Duration {
	if l.ReturnRamp == 0 {
		return DefaultReturnRamp
	}
	return time.Duration(l.ReturnRamp)
}
