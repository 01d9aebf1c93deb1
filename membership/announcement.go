package membership

import (
	"fmt"
	"net/netip"

	"zinniapulley.dev/core"
)

// Announcement registers a backend server. Its companion sends it.
type Announcement struct {
	// Instance is the companion's instance. It identifies the backend server
	// across restarts.
	Instance   core.InstanceID
	Service    core.ServiceID
	DataCentre core.DataCentre
	// StartID differs between starts of the backend server.
	StartID core.StartID
	// Packets and RPC are the companion's UDP and TCP addresses. An invalid
	// RPC means none.
	Packets  netip.AddrPort
	RPC      netip.AddrPort
	Capacity core.Capacity
	// State is BackendServing or BackendDraining.
	State core.BackendState
}

// Report carries the current capacity and state of a registered backend server.
type Report struct {
	BackendServer core.BackendServerID
	StartID       core.StartID
	Capacity      core.Capacity
	// State is BackendServing or BackendDraining.
	State core.BackendState
}

// Departure removes a backend server. One with the StartID of an earlier start
// has no effect on a later start.
type Departure struct {
	BackendServer core.BackendServerID
	StartID       core.StartID
}

// ConflictError rejects an announcement because another process holds its
// instance or address. It succeeds once the holder departed or its lease expired.
type ConflictError struct {
	// Instance is the instance of the rejected announcement.
	Instance core.InstanceID
	// Holder is the backend server that is registered with the resource.
	Holder core.BackendServer
	// Resource is what both announce: "the instance" or "address" with an address.
	Resource string
}

// Error names the holder.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("instance %s: %s is held by backend server %d of instance %s at %v; stop one of the two processes, or wait until the lease of the other expires",
		e.Instance, e.Resource, e.Holder.ID, e.Holder.Instance, e.Holder.Packets)
}

// SupersededError rejects a message of a start that a later one has replaced.
// The process that sent it must stop accepting flows.
type SupersededError struct {
	Instance core.InstanceID
	StartID  core.StartID
	// Current is the start that is registered.
	Current core.StartID
}

// Error names both starts.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("instance %s: start %d was replaced by start %d", e.Instance, e.StartID, e.Current)
}

// UnknownError rejects a message about a backend server that isn't registered.
// Its companion must announce it again.
type UnknownError struct {
	BackendServer core.BackendServerID
}

// Error names the backend server.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("backend server %d is not registered; announce it again", e.BackendServer)
}

// UnknownInstanceError rejects an operator's request about an instance that has
// no registered backend server.
type UnknownInstanceError struct {
	Instance core.InstanceID
}

// Error names the instance.
func (e *UnknownInstanceError) Error() string {
	return fmt.Sprintf("no backend server of instance %s is registered", e.Instance)
}

// InvalidError rejects an announcement or a report with an invalid field.
type InvalidError struct {
	Instance core.InstanceID
	Problem  string
}

// Error names the instance and the problem.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("announcement of instance %s %s", e.Instance, e.Problem)
}

// LimitError rejects a change that would exceed a limit.
type LimitError struct {
	// Limit is the maximum number of entries, What names them.
	Limit int
	What  string
}

// Error names the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("limit of %d %s reached", e.Limit, e.What)
}

// maxInstanceID is the maximum length of an InstanceID, in bytes.
const maxInstanceID = 128

func (a Announcement) validate() error {
	problem := ""
	switch {
	case a.Instance == "" || len(a.Instance) > maxInstanceID:
		problem = fmt.Sprintf("must name an instance in 1 to %d bytes", maxInstanceID)
	case a.Service == 0:
		problem = "names no service"
	case a.DataCentre == "":
		problem = "names no data centre"
	case a.StartID == 0:
		problem = "has no start ID"
	case !validEndpoint(a.Packets):
		problem = "needs an IPv4 address and port for packets"
	case a.RPC.IsValid() && !validEndpoint(a.RPC):
		problem = "needs an IPv4 address and port for RPC, or none"
	case a.Capacity.Connections < 0 || a.Capacity.Slots < 0:
		problem = "has a negative capacity"
	case !announceable(a.State):
		problem = "must be serving or draining"
	}
	if problem == "" {
		return nil
	}
	return &InvalidError{Instance: a.Instance, Problem: problem}
}

func validEndpoint(address netip.AddrPort) bool {
	return address.Addr().Is4() && !address.Addr().IsUnspecified() && address.Port() != 0
}

func announceable(state core.BackendState) bool {
	return state == core.BackendServing || state == core.BackendDraining
}
