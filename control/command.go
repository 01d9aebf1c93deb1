package control

import (
	"net/netip"

	"zinniapulley.dev/core"
)

// Command is one entry of the replicated log. Exactly one field is set.
type Command struct {
	Configure *Configure `json:"configure,omitempty"`
	Announce  *Announce  `json:"announce,omitempty"`
	Remove    *Remove    `json:"remove,omitempty"`
}

// Configure replaces the configuration document.
type Configure struct {
	Document []byte `json:"document"`
}

// Announce registers a backend server or changes what is known of it.
type Announce struct {
	Instance   core.InstanceID   `json:"instance"`
	DataCentre core.DataCentre   `json:"dataCentre"`
	Service    core.ServiceName  `json:"service"`
	StartID    core.StartID      `json:"startID"`
	Packets    netip.AddrPort    `json:"packets"`
	RPC        netip.AddrPort    `json:"rpc"`
	Capacity   core.Capacity     `json:"capacity"`
	State      core.BackendState `json:"state"`
}

// Remove takes out a backend server whose lease has expired or that has left.
type Remove struct {
	BackendServer core.BackendServerID `json:"backendServer"`
}

// Result is what applying a command gave.
type Result struct {
	// Revision is the revision in force after the command.
	Revision core.Revision
	// BackendServer and Service are set by Announce.
	BackendServer core.BackendServerID
	Service       core.ServiceID
	// Refusal says why the command changed nothing; nil when it was accepted.
	Refusal error
}
