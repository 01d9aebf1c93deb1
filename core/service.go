package core

import "net/netip"

// ServiceKind says how the system treats the bytes of a service's flows.
type ServiceKind uint8

const (
	// ServiceStream carries opaque bytes.
	ServiceStream ServiceKind = iota + 1
	// ServiceRequest carries HTTP/1.1 requests, which are admitted one by one.
	ServiceRequest
)

// String returns the word that the configuration uses for the kind.
func (k ServiceKind) String() string {
	switch k {
	case ServiceStream:
		return "stream"
	case ServiceRequest:
		return "request"
	default:
		return "unknown"
	}
}

// Service is one service as published to every instance.
type Service struct {
	ID   ServiceID
	Name ServiceName
	// Address is where callers reach the service. No two services share one.
	Address netip.AddrPort
	Kind    ServiceKind
}

// Capacity is what a backend server bears at one moment.
type Capacity struct {
	// Connections is the most flows open at once.
	Connections int
	// Slots is the most requests running at once.
	Slots int
}

// BackendState is where a backend server stands in its life.
type BackendState uint8

const (
	// BackendServing takes new flows, as far as its companion admits them.
	BackendServing BackendState = iota + 1
	// BackendDraining takes no new flow; its open flows live on.
	BackendDraining
	// BackendLost has lost its lease; its flows are gone.
	BackendLost
)

// String returns the state's name.
func (s BackendState) String() string {
	switch s {
	case BackendServing:
		return "serving"
	case BackendDraining:
		return "draining"
	case BackendLost:
		return "lost"
	default:
		return "unknown"
	}
}

// BackendServer is one backend server as published to every instance.
type BackendServer struct {
	ID         BackendServerID
	Instance   InstanceID
	Service    ServiceID
	DataCentre DataCentre
	StartID    StartID
	State      BackendState
	// Packets is the UDP address at which the companion takes Geneve packets.
	Packets netip.AddrPort
	// RPC is the TCP address at which the companion answers its peers.
	RPC netip.AddrPort
	// Capacity is what the companion last announced that it bears.
	Capacity Capacity
	// Share is the operators' weight of the backend server, in percent of
	// what its capacity alone would give it. Zero takes no new flow.
	Share int
}

// DataCentreState says whether operators have a data centre in or out.
type DataCentreState struct {
	Name DataCentre
	// In is false while operators have taken the data centre out: its
	// instances then take no packets and its flows are given up.
	In bool
}
