package wire

import (
	"net/netip"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/membership"
	"zinniapulley.dev/publish"
)

// Names of the net/rpc methods of a control instance. Only the leader of the
// control group serves them; the others return an error that names the leader.
const (
	// MethodWatch returns the newest view, or the delta that leads to it.
	MethodWatch = "Control.Watch"
	// MethodFloor returns a revision that a quorum confirms as current.
	MethodFloor = "Control.Floor"
	// MethodReport records which revisions subscribers have in force.
	MethodReport = "Control.Report"
	// MethodAnnounce registers a backend server.
	MethodAnnounce = "Control.Announce"
	// MethodHeartbeat renews leases.
	MethodHeartbeat = "Control.Heartbeat"
	// MethodDepart removes a backend server that departs.
	MethodDepart = "Control.Depart"
	// MethodEmptied reports buckets in which a backend server has no flows left.
	MethodEmptied = "Control.Emptied"
)

// Names of the net/rpc methods of a relay, with the same messages.
const (
	// MethodRelayWatch returns the relay's newest view, or the delta that leads to it.
	MethodRelayWatch = "Relay.Watch"
	// MethodRelayHeartbeat forwards heartbeats to control with the next batch.
	MethodRelayHeartbeat = "Relay.Heartbeat"
)

// WatchRequest requests a view newer than the one in force, or the delta to it.
type WatchRequest struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	// Relay is the TCP address at which the caller can relay views to other
	// instances of its data centre. If it is invalid, the caller can't relay.
	Relay netip.AddrPort
	// Have identifies the view that the caller has.
	Have publish.Request
	// Acknowledged is the revision that the caller reports as in force.
	Acknowledged core.Revision
	// Wait is how long the reply may be delayed while there is no newer view.
	Wait time.Duration
	// Direct requests an answer from control even if there are relays.
	Direct bool
}

// WatchReply carries an answer or names the relays to call instead.
type WatchReply struct {
	Answer publish.Answer
	// Relays lists relays of the caller's data centre. If it is set, Answer is
	// empty.
	Relays []netip.AddrPort
}

// FloorRequest requests a revision that a quorum confirms as current after the call
// was made.
type FloorRequest struct {
	Instance core.InstanceID
}

// FloorReply carries the revision.
type FloorReply struct {
	Revision core.Revision
}

// ReportRequest reports which revisions subscribers have in force.
type ReportRequest struct {
	Reports []publish.Report
}

// ReportReply is empty.
type ReportReply struct{}

// AnnounceRequest registers a backend server.
type AnnounceRequest struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	Service    core.ServiceName
	StartID    core.StartID
	Packets    netip.AddrPort
	RPC        netip.AddrPort
	Capacity   core.Capacity
	// State is BackendServing or BackendDraining.
	State core.BackendState
}

// AnnounceReply answers an announcement.
type AnnounceReply struct {
	BackendServer core.BackendServerID
	Service       core.ServiceID
	// Lease is how long the registration is valid without a heartbeat.
	Lease time.Duration
}

// HeartbeatRequest renews the lease of one backend server or, if a relay sends it,
// of many.
type HeartbeatRequest struct {
	Beats []membership.Heartbeat
}

// HeartbeatReply lists the heartbeats that did not renew a lease.
type HeartbeatReply struct {
	Refused []HeartbeatRefusal
}

// HeartbeatRefusal is the reason why a heartbeat did not renew a lease.
type HeartbeatRefusal struct {
	BackendServer core.BackendServerID
	StartID       core.StartID
	// Superseded is set when a later start has replaced this one, which must
	// accept no further flows. Otherwise the backend server isn't registered and
	// must be announced again.
	Superseded bool
}

// DepartRequest removes a backend server that departs.
type DepartRequest struct {
	Departure membership.Departure
}

// DepartReply is empty.
type DepartReply struct{}

// EmptiedRequest reports that a backend server has no flows left in buckets that
// have moved to other backend servers.
type EmptiedRequest struct {
	BackendServer core.BackendServerID
	// Revision is the one in force at the companion when it counted the flows.
	Revision core.Revision
	Buckets  []uint32
}

// EmptiedReply is empty.
type EmptiedReply struct{}
