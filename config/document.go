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
	// Limits bounds what the system itself does.
	Limits Limits `json:"limits,omitzero"`
	// Teams holds the operators' teams and what they own.
	Teams map[core.Team]Team `json:"teams"`
}

// Service is the section "services/<name>".
type Service struct {
	// Address is the IPv4 address and port at which callers reach the service.
	Address netip.AddrPort `json:"address"`
	Kind    Kind           `json:"kind"`
	// Team owns the section. It must be the one that "teams" gives it to.
	Team core.Team `json:"team"`
	// Buckets is the number of buckets of the service's table, a power of two.
	// It can't change in the life of a service. Zero stands for DefaultBuckets.
	Buckets int `json:"buckets,omitempty"`
	// Share weighs backend servers against each other.
	Share Share `json:"share,omitzero"`
	// Capacity bounds each backend server of the service, whatever its
	// companion measures.
	Capacity Capacity `json:"capacity"`
	// Requests holds the defaults of a service of kind "request".
	Requests Requests `json:"requests,omitzero"`
}

// Kind is the word for a service's kind: "stream" or "request".
type Kind string

const (
	// Stream is the kind of a service of opaque bytes.
	Stream Kind = "stream"
	// Request is the kind of a service of HTTP/1.1 requests.
	Request Kind = "request"
)

// Core returns the kind as published, and zero for an unknown word.
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

// Share weighs backend servers, in percent of what their capacity alone would
// give them. A backend server without an entry of its own takes its data
// centre's, and FullShare where that has none either.
type Share struct {
	DataCentres map[core.DataCentre]int `json:"dataCentres,omitempty"`
	Instances   map[core.InstanceID]int `json:"instances,omitempty"`
}

// Capacity is the hard bound of one backend server.
type Capacity struct {
	// Connections is the most flows open at once.
	Connections int `json:"connections"`
	// Slots is the most requests running at once.
	Slots int `json:"slots"`
}

// Core returns the capacity as published.
func (c Capacity) Core() core.Capacity {
	return core.Capacity{Connections: c.Connections, Slots: c.Slots}
}

// Requests holds the defaults of requests that say nothing themselves.
type Requests struct {
	// Deadline ends a request. Zero stands for DefaultDeadline.
	Deadline strictjson.Duration `json:"deadline,omitempty"`
	// Retries is the most further tries of a request that may be repeated.
	// Without it, DefaultRetries holds.
	Retries *int `json:"retries,omitempty"`
	// RetryBudget is the most retries in percent of recent requests. Without
	// it, DefaultRetryBudget holds.
	RetryBudget *int `json:"retryBudget,omitempty"`
}

// DataCentre is one member of the section "dataCentres".
type DataCentre struct {
	// Region names the region that the data centre lies in.
	Region string `json:"region"`
	// State is "in", or "out" while operators have it out.
	State DataCentreState `json:"state"`
}

// DataCentreState is "in" or "out".
type DataCentreState string

const (
	// In marks a data centre that takes packets.
	In DataCentreState = "in"
	// Out marks a data centre that operators have taken out.
	Out DataCentreState = "out"
)

// Limits is the section "limits".
type Limits struct {
	// BucketMoves is the most buckets moved per second and service to level
	// the load. Zero stands for DefaultBucketMoves. Moves away from a lost
	// backend server aren't bounded.
	BucketMoves int `json:"bucketMovesPerSecond,omitempty"`
	// ReturnRamp is the time over which a data centre that comes back in gets
	// its full load again. Zero stands for DefaultReturnRamp.
	ReturnRamp strictjson.Duration `json:"returnRamp,omitempty"`
}

// Team is one member of the section "teams".
type Team struct {
	// Tokens holds the SHA-256 hashes of the team's tokens, in hexadecimal.
	Tokens []TokenHash `json:"tokens"`
	// Sections lists the sections that the team owns. "services/*" stands for
	// every service that no other entry names.
	Sections []Section `json:"sections"`
}

const (
	// DefaultBuckets is the number of buckets of a service that names none.
	DefaultBuckets = 1024
	// DefaultDeadline ends a request of a service that names no deadline.
	DefaultDeadline = 30 * time.Second
	// DefaultRetries is the most further tries of a request.
	DefaultRetries = 1
	// DefaultRetryBudget is the most retries in percent of recent requests.
	DefaultRetryBudget = 10
	// DefaultBucketMoves is the most buckets moved per second and service.
	DefaultBucketMoves = 256
	// DefaultReturnRamp is the time over which a data centre comes back.
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

// DeadlineOrDefault returns the time after which a request ends.
func (r Requests) DeadlineOrDefault() time.Duration {
	if r.Deadline == 0 {
		return DefaultDeadline
	}
	return time.Duration(r.Deadline)
}

// RetriesOrDefault returns the most further tries of a request.
func (r Requests) RetriesOrDefault() int {
	if r.Retries == nil {
		return DefaultRetries
	}
	return *r.Retries
}

// RetryBudgetOrDefault returns the most retries in percent of requests.
func (r Requests) RetryBudgetOrDefault() int {
	if r.RetryBudget == nil {
		return DefaultRetryBudget
	}
	return *r.RetryBudget
}

// BucketMovesOrDefault returns the most buckets moved per second and service.
func (l Limits) BucketMovesOrDefault() int {
	if l.BucketMoves == 0 {
		return DefaultBucketMoves
	}
	return l.BucketMoves
}

// ReturnRampOrDefault returns the time over which a data centre comes back.
func (l Limits) ReturnRampOrDefault() time.Duration {
	if l.ReturnRamp == 0 {
		return DefaultReturnRamp
	}
	return time.Duration(l.ReturnRamp)
}
