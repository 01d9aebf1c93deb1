package core

import "net/netip"

// ServiceKind determines how the bytes of a service's flows are treated.
type ServiceKind uint8

const (
	// ServiceStream carries opaque bytes.
	ServiceStream ServiceKind = iota + 1
	// ServiceRequest carries HTTP/1.1 requests, which are admitted one by one.
	ServiceRequest
)

// String returns the kind as written in the configuration.
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
	// Address is where callers reach the service. It is unique to the service.
	Address netip.AddrPort
	Kind    ServiceKind
}

// Capacity is the load that a backend server can handle at one moment.
type Capacity struct {
	// Connections is the maximum number of open flows.
	Connections int
	// Slots is the maximum number of running requests.
	Slots int
}

// BackendState is the lifecycle state of a backend server.
type BackendState uint8

const (
	// BackendServing accepts the new flows that its companion admits.
	BackendServing BackendState = iota + 1
	// BackendDraining accepts no new flows; its open flows continue.
	BackendDraining
	// BackendLost has an expired lease; its flows are lost.
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
	// Packets is the UDP address at which the companion receives Geneve packets.
	Packets netip.AddrPort
	// RPC is the TCP address at which the companion serves its peers.
	RPC netip.AddrPort
	// Capacity is the capacity last announced by the companion.
	Capacity Capacity
	// Share is the operators' weight of the backend server, in percent of its
	// weight by capacity alone. Zero means no new flows.
	Share int
}

// DataCentreState reports whether a data centre is in service.
type DataCentreState struct {
	Name DataCentre
	// In is false while operators have the data centre out of service: its
	// instances then accept no packets and its flows are given up.
	In bool
}
