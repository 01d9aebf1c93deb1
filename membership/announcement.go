package membership

import (
	"fmt"
	"net/netip"

	"zinniapulley.dev/core"
)

// Announcement registers a backend server. Its companion makes it.
type Announcement struct {
	// Instance is the companion's instance. It identifies the backend server
	// over restarts.
	Instance   core.InstanceID
	Service    core.ServiceID
	DataCentre core.DataCentre
	// StartID differs from one start of the backend server to the next.
	StartID core.StartID
	// Packets and RPC are the companion's addresses, UDP and TCP. An invalid
	// RPC stands for none.
	Packets  netip.AddrPort
	RPC      netip.AddrPort
	Capacity core.Capacity
	// State is BackendServing or BackendDraining.
	State core.BackendState
}

// Report says what changed at a registered backend server.
type Report struct {
	BackendServer core.BackendServerID
	StartID       core.StartID
	Capacity      core.Capacity
	// State is BackendServing or BackendDraining.
	State core.BackendState
}

// Departure takes a backend server out. One of an earlier start has no effect
// on a later one.
type Departure struct {
	BackendServer core.BackendServerID
	StartID       core.StartID
}

// ConflictError refuses an announcement because another process holds what it
// claims. The claim succeeds once the holder has left or its lease expired.
type ConflictError struct {
	// Instance is the instance of the refused announcement.
	Instance core.InstanceID
	// Holder is the registered backend server.
	Holder core.BackendServer
	// Resource says what is claimed twice: "instance" or an address.
	Resource string
}

// Error names the holder.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("instance %s: %s is held by backend server %d of instance %s at %v; stop one of the two processes, or wait until the lease of the other expires",
		e.Instance, e.Resource, e.Holder.ID, e.Holder.Instance, e.Holder.Packets)
}

// SupersededError refuses a message of a start that a later one has replaced.
// The process that sent it must stop taking flows.
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

// UnknownError refuses a message about a backend server that isn't registered.
// Its companion must announce it again.
type UnknownError struct {
	BackendServer core.BackendServerID
}

// Error names the backend server.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("backend server %d is not registered; announce it again", e.BackendServer)
}

// UnknownInstanceError refuses an operator's request about an instance that no
// backend server is registered for.
type UnknownInstanceError struct {
	Instance core.InstanceID
}

// Error names the instance.
func (e *UnknownInstanceError) Error() string {
	return fmt.Sprintf("no backend server of instance %s is registered", e.Instance)
}

// InvalidError refuses an announcement that says something impossible.
type InvalidError struct {
	Instance core.InstanceID
	Problem  string
}

// Error says what is wrong.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("announcement of instance %s %s", e.Instance, e.Problem)
}

// LimitError refuses what would go beyond a bound.
type LimitError struct {
	// Limit is the most entries, What names them.
	Limit int
	What  string
}

// Error names the bound.
func (e *LimitError) Error() string {
	return fmt.Sprintf("%d %s are the most", e.Limit, e.What)
}

// maxInstanceID is the longest InstanceID, in bytes.
const maxInstanceID = 128

func (a Announcement) check() error {
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
	case !usable(a.Packets):
		problem = "needs an IPv4 address and port for packets"
	case a.RPC.IsValid() && !usable(a.RPC):
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

func usable(address netip.AddrPort) bool {
	return address.Addr().Is4() && !address.Addr().IsUnspecified() && address.Port() != 0
}

func announceable(state core.BackendState) bool {
	return state == core.BackendServing || state == core.BackendDraining
}
