// Package settings loads and validates the JSON settings file of a process, which
// sets the process's role, its location and the addresses of its peers. Every
// validation error, called a fault, is reported with its JSON path.
package settings

import (
	"net/netip"

	"zinniapulley.dev/core"
	"zinniapulley.dev/core/strictjson"
)

// MaxBytes is the maximum size of a settings file.
const MaxBytes = 1 << 20

// Role is the role of a process.
type Role string

const (
	// RoleEntry receives packets from the fabric.
	RoleEntry Role = "entry"
	// RoleCompanion runs beside one backend server.
	RoleCompanion Role = "companion"
	// RoleControl stores the replicated state.
	RoleControl Role = "control"
)

// Settings is the settings file of one process. Exactly one of Entry,
// Companion and Control is set, matching Role.
type Settings struct {
	Role       Role            `json:"role"`
	Instance   core.InstanceID `json:"instance"`
	DataCentre core.DataCentre `json:"dataCentre"`
	// Status is the TCP address that serves metrics as JSON; empty for none.
	Status netip.AddrPort `json:"status,omitempty"`
	// StopDeadline is how long a graceful stop may take.
	StopDeadline strictjson.Duration `json:"stopDeadline,omitempty"`
	Log          Log                 `json:"log,omitempty"`
	// Controls lists the RPC addresses of the control instances.
	Controls  []netip.AddrPort `json:"controls,omitempty"`
	Entry     *Entry           `json:"entry,omitempty"`
	Companion *Companion       `json:"companion,omitempty"`
	Control   *Control         `json:"control,omitempty"`
}

// Log sets the level and format of the log.
type Log struct {
	// Level is "debug", "info", "warn" or "error".
	Level string `json:"level,omitempty"`
	// Format is "text" or "json".
	Format string `json:"format,omitempty"`
}

// Entry holds the settings of an entry instance.
type Entry struct {
	// Packets is the UDP address that receives packets from the fabric.
	Packets netip.AddrPort `json:"packets"`
	// Network is the virtual network identifier of the fabric's packets. Packets
	// with another identifier are dropped.
	Network uint32 `json:"network,omitempty"`
}

// Companion holds the settings of a companion.
type Companion struct {
	// Service is the name of the service that the backend server serves.
	Service core.ServiceName `json:"service"`
	// BackendServer is the TCP address of the backend server.
	BackendServer netip.AddrPort `json:"backendServer"`
	// Packets is the UDP address that receives packets from entry instances and peers.
	Packets netip.AddrPort `json:"packets"`
	// RPC is the TCP address that serves RPCs from peers.
	RPC netip.AddrPort `json:"rpc"`
	// FabricReturn is the fabric's UDP address for responses to callers.
	FabricReturn netip.AddrPort `json:"fabricReturn"`
	// Capacity is the capacity of the backend server when warm.
	Capacity Capacity `json:"capacity"`
}

// Capacity is the capacity of a backend server when warm.
type Capacity struct {
	// Connections is the maximum number of open flows.
	Connections int `json:"connections"`
	// Slots is the maximum number of concurrent requests.
	Slots int `json:"slots"`
}

// Control holds the settings of a control instance.
type Control struct {
	// RPC is the TCP address that serves RPCs from other processes.
	RPC netip.AddrPort `json:"rpc"`
	// Operators is the TCP address that serves the HTTP interface for operators.
	Operators netip.AddrPort `json:"operators"`
	// DataFolder is the path of the folder for all durable state.
	DataFolder string `json:"dataFolder"`
	// Members lists the control instances of a new group, this one included.
	Members []Member `json:"members"`
	// InitialConfiguration is the path of the configuration document that a new
	// group starts with; empty for an empty document.
	InitialConfiguration string `json:"initialConfiguration,omitempty"`
}

// Member is one control instance of a new group.
type Member struct {
	Instance core.InstanceID `json:"instance"`
	RPC      netip.AddrPort  `json:"rpc"`
}
