package state

import (
	"fmt"
	"net/netip"
	"time"

	"zinniapulley.dev/config"
	"zinniapulley.dev/core"
	"zinniapulley.dev/membership"
	"zinniapulley.dev/placement"
)

// Command is one entry of the replicated log. Exactly one field besides At is
// set.
type Command struct {
	// At is when the leader proposed the command, by the leader's clock.
	At            time.Time
	Bootstrap     *Bootstrap
	Submit        *config.Submission
	SetDataCentre *config.SetDataCentre
	Announce      *Announce
	Reports       []membership.Report
	Departures    []membership.Departure
	Drain         *Drain
	// Emptied reports that a backend server has no flows left in some buckets.
	Emptied *placement.BucketsEmpty
	// Tick lets the tables change as far as their limits allow at time At.
	Tick *Tick
}

// Tick advances the time of the tables.
type Tick struct{}

// Bootstrap starts a deployment. It is refused once there is a configuration.
type Bootstrap struct {
	// Document is the JSON of the first configuration document.
	Document []byte
	// HashSeed keys the hash from flows to buckets for the life of the
	// deployment.
	HashSeed uint64
}

// Announce registers a backend server or updates its registration.
type Announce struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	Service    core.ServiceName
	StartID    core.StartID
	Packets    netip.AddrPort
	RPC        netip.AddrPort
	Capacity   core.Capacity
	State      core.BackendState
}

// Drain starts or ends draining of a backend server on an operator's request.
type Drain struct {
	Instance core.InstanceID
	Drain    bool
	// Team is the requesting team. It must own the backend server's service or
	// section dataCentres.
	Team core.Team
}

// Result is the outcome of applying a command.
type Result struct {
	// Revision is the newest revision after the command.
	Revision core.Revision
	// Refusal is why the command was refused; nil when it was accepted.
	Refusal error
	// Answer is the answer to Submit and SetDataCentre.
	Answer config.Answer
	// Server is the backend server of an accepted Announce, as published.
	Server core.BackendServer
	// Departed lists the backend servers that the command removed.
	Departed []core.BackendServer
	// Decisions lists the placement decisions about the tables.
	Decisions []placement.Decision
}

// UnknownServiceError refuses an announcement for a service that isn't
// configured.
type UnknownServiceError struct {
	Instance core.InstanceID
	Service  core.ServiceName
}

// Error names the service and the section to submit.
func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("instance %s announces service %q, which is not configured; submit section services/%s first", e.Instance, e.Service, e.Service)
}

// UnknownDataCentreError refuses an announcement from a data centre that isn't
// configured.
type UnknownDataCentreError struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
}

// Error names the data centre and the section to change.
func (e *UnknownDataCentreError) Error() string {
	return fmt.Sprintf("instance %s is in data centre %q, which is not configured; add it to section dataCentres first", e.Instance, e.DataCentre)
}

// ForbiddenError refuses an operator's request for another team's service.
type ForbiddenError struct {
	Team  core.Team
	Owner core.Team
	// Subject is what the request was about.
	Subject string
}

// Error names the owner.
func (e *ForbiddenError) Error() string {
	return fmt.Sprintf("%s belongs to team %q, not to team %q", e.Subject, e.Owner, e.Team)
}

// EmptyCommandError refuses a command that sets no field but At.
type EmptyCommandError struct{}

// Error implements error.
func (EmptyCommandError) Error() string {
	return "the command is empty"
}

// AlreadyStartedError refuses to bootstrap a deployment that has a
// configuration.
type AlreadyStartedError struct {
	Revision core.Revision
}

// Error names the newest revision.
func (e *AlreadyStartedError) Error() string {
	return fmt.Sprintf("the deployment already has a configuration, at revision %v", e.Revision)
}
