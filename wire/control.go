package wire

import (
	"net/netip"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/membership"
	"zinniapulley.dev/publish"
)

// Names of the methods that a control instance answers over net/rpc. Only the
// leader of the control group does; the others answer with an error that names
// it.
const (
	// MethodWatch answers with what leads to the newest view.
	MethodWatch = "Control.Watch"
	// MethodFloor answers with a revision that a quorum confirms as current.
	MethodFloor = "Control.Floor"
	// MethodReport takes note of which revisions subscribers have in force.
	MethodReport = "Control.Report"
	// MethodAnnounce registers a backend server.
	MethodAnnounce = "Control.Announce"
	// MethodHeartbeat renews leases.
	MethodHeartbeat = "Control.Heartbeat"
	// MethodDepart takes out a backend server that leaves.
	MethodDepart = "Control.Depart"
	// MethodEmptied says that a backend server has no flows left in buckets.
	MethodEmptied = "Control.Emptied"
)

// Names of the methods that a relay answers over net/rpc, with the same
// messages.
const (
	// MethodRelayWatch answers with what leads to the relay's newest view.
	MethodRelayWatch = "Relay.Watch"
	// MethodRelayHeartbeat passes heartbeats on with the next batch.
	MethodRelayHeartbeat = "Relay.Heartbeat"
)

// WatchRequest asks for what leads from the view in force to the newest one.
type WatchRequest struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	// Relay is the TCP address at which the caller can pass views on to others
	// of its data centre. Invalid: it can't.
	Relay netip.AddrPort
	// Have is the view that the caller has.
	Have publish.Request
	// Acknowledged is the revision that the caller reports as in force.
	Acknowledged core.Revision
	// Wait is how long the answer may be held back while nothing is newer.
	Wait time.Duration
	// Direct asks for an answer even if relays could give it.
	Direct bool
}

// WatchReply carries an answer or names the relays to ask instead.
type WatchReply struct {
	Answer publish.Answer
	// Relays lists the relays of the caller's data centre. Answer is empty with
	// them.
	Relays []netip.AddrPort
}

// FloorRequest asks for a revision that a quorum confirms as current after the
// call was made.
type FloorRequest struct {
	Instance core.InstanceID
}

// FloorReply carries the revision.
type FloorReply struct {
	Revision core.Revision
}

// ReportRequest says which revisions subscribers have in force.
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
	// Lease is how long the registration holds without a heartbeat.
	Lease time.Duration
}

// HeartbeatRequest renews the leases of one backend server, or of many by way
// of a relay.
type HeartbeatRequest struct {
	Beats []membership.Heartbeat
}

// HeartbeatReply lists the heartbeats that renewed nothing.
type HeartbeatReply struct {
	Refused []HeartbeatRefusal
}

// HeartbeatRefusal says why a heartbeat renewed nothing.
type HeartbeatRefusal struct {
	BackendServer core.BackendServerID
	StartID       core.StartID
	// Superseded is set when a later start has replaced this one, which must
	// stop taking flows. Otherwise the backend server isn't registered and must
	// be announced again.
	Superseded bool
}

// DepartRequest takes out a backend server that leaves.
type DepartRequest struct {
	Departure membership.Departure
}

// DepartReply is empty.
type DepartReply struct{}

// EmptiedRequest says that a backend server has no flows left in buckets that
// have moved elsewhere.
type EmptiedRequest struct {
	BackendServer core.BackendServerID
	// Revision is the one in force at the companion when it counted.
	Revision core.Revision
	Buckets  []uint32
}

// EmptiedReply is empty.
type EmptiedReply struct{}
