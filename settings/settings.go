// Package settings reads and checks the settings file of a process: JSON that
// says which role the process plays, where it is and where its peers are.
// Every fault is reported with its JSON path.
package settings

import (
	"net/netip"

	"zinniapulley.dev/core"
	"zinniapulley.dev/core/strictjson"
)

// MaxBytes is the largest settings file that is read, in bytes.
const MaxBytes = 1 << 20

// Role names what a process does.
type Role string

const (
	// RoleEntry takes packets from the fabric.
	RoleEntry Role = "entry"
	// RoleCompanion runs beside one backend server.
	RoleCompanion Role = "companion"
	// RoleControl keeps the replicated state.
	RoleControl Role = "control"
)

// Settings is the settings file of one process. Exactly one of Entry,
// Companion and Control is set, the one that Role names.
type Settings struct {
	Role       Role            `json:"role"`
	Instance   core.InstanceID `json:"instance"`
	DataCentre core.DataCentre `json:"dataCentre"`
	// Status is the TCP address that serves metrics as JSON. Empty: none.
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

// Log says what is logged and how.
type Log struct {
	// Level is "debug", "info", "warn" or "error".
	Level string `json:"level,omitempty"`
	// Format is "text" or "json".
	Format string `json:"format,omitempty"`
}

// Entry is the part of the settings that an entry instance needs.
type Entry struct {
	// Packets is the UDP address at which the fabric delivers packets.
	Packets netip.AddrPort `json:"packets"`
	// Network is the virtual network identifier of the fabric's packets. Those
	// with another one are dropped.
	Network uint32 `json:"network,omitempty"`
}

// Companion is the part of the settings that a companion needs.
type Companion struct {
	// Service names the service that the backend server serves.
	Service core.ServiceName `json:"service"`
	// BackendServer is the TCP address of the backend server.
	BackendServer netip.AddrPort `json:"backendServer"`
	// Packets is the UDP address for packets from entry instances and peers.
	Packets netip.AddrPort `json:"packets"`
	// RPC is the TCP address for calls from peers.
	RPC netip.AddrPort `json:"rpc"`
	// FabricReturn is the UDP address of the fabric for answers to callers.
	FabricReturn netip.AddrPort `json:"fabricReturn"`
	// Capacity is the most that the backend server bears when warm.
	Capacity Capacity `json:"capacity"`
}

// Capacity is the most that a backend server bears when warm.
type Capacity struct {
	// Connections is the most flows open at once.
	Connections int `json:"connections"`
	// Slots is the most requests running at once.
	Slots int `json:"slots"`
}

// Control is the part of the settings that a control instance needs.
type Control struct {
	// RPC is the TCP address for calls from other processes.
	RPC netip.AddrPort `json:"rpc"`
	// Operators is the TCP address of the operators' HTTP interface.
	Operators netip.AddrPort `json:"operators"`
	// DataFolder holds all durable state of the instance.
	DataFolder string `json:"dataFolder"`
	// Members lists the control instances of a new group, this one included.
	Members []Member `json:"members"`
	// InitialConfiguration is a file with the configuration document that a
	// new group starts with. Empty: an empty document.
	InitialConfiguration string `json:"initialConfiguration,omitempty"`
}

// Member is one control instance of a new group.
type Member struct {
	Instance core.InstanceID `json:"instance"`
	RPC      netip.AddrPort  `json:"rpc"`
}
