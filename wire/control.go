package wire

import (
	"net/netip"
	"time"

	"zinniapulley.dev/core"
)

// Names of the methods that a control instance answers over net/rpc.
const (
	// MethodWatch answers with a view newer than the one the caller has.
	MethodWatch = "Control.Watch"
	// MethodAnnounce registers a backend server and renews its lease.
	MethodAnnounce = "Control.Announce"
)

// WatchRequest asks for a view newer than revision Have.
type WatchRequest struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	// Have is the revision in force at the caller, zero for none.
	Have core.Revision
	// Wait is how long the answer may be held back while nothing is newer.
	Wait time.Duration
}

// WatchReply carries the newest view, or none when Wait passed without one.
type WatchReply struct {
	View *core.View
}

// AnnounceRequest registers a backend server or renews its lease.
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
	// Lease is how long the registration holds without another announcement.
	Lease time.Duration
}
