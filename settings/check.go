package settings

import (
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
	"zinniapulley.dev/core/strictjson"
)

// DefaultStopDeadline is the default time limit of a graceful stop.
const DefaultStopDeadline = 30 * time.Second

// Load reads and validates the settings file at path. The error lists all validation
// errors with their JSON paths.
func Load(path string) (*Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, core.At("read settings", core.Peer(path), err)
	}
	if info.Size() > MaxBytes {
		err = errors.Errorf("file size of %d bytes exceeds the limit of %d", info.Size(), MaxBytes)
		return nil, core.At("read settings", core.Peer(path), err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, core.At("read settings", core.Peer(path), err)
	}
	parsed, err := Parse(data)
	return parsed, core.At("check settings", core.Peer(path), err)
}

// Parse decodes and validates a settings document and sets defaults. Its error is
// of type strictjson.Faults.
func Parse(data []byte) (*Settings, error) {
	parsed := &Settings{}
	decoded := strictjson.Decode(data, parsed)
	parsed.setDefaults()
	var checked strictjson.Faults
	parsed.check(&checked)
	faults := decoded
	for _, fault := range checked {
		if !decoded.Covers(fault.Path) {
			faults = append(faults, fault)
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return parsed, nil
}

func (s *Settings) setDefaults() {
	if s.StopDeadline == 0 {
		s.StopDeadline = strictjson.Duration(DefaultStopDeadline)
	}
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
	if s.Log.Format == "" {
		s.Log.Format = "text"
	}
}

func (s *Settings) check(faults *strictjson.Faults) {
	requireString(faults, "instance", string(s.Instance))
	requireString(faults, "dataCentre", string(s.DataCentre))
	requireOneOf(faults, "log.level", s.Log.Level, "debug", "info", "warn", "error")
	requireOneOf(faults, "log.format", s.Log.Format, "text", "json")
	if s.StopDeadline < 0 {
		faults.Add("stopDeadline", "must not be negative")
	}
	checkOptionalAddress(faults, "status", s.Status)
	s.checkRole(faults)
}

func (s *Settings) checkRole(faults *strictjson.Faults) {
	isSet := map[Role]bool{
		RoleEntry:     s.Entry != nil,
		RoleCompanion: s.Companion != nil,
		RoleControl:   s.Control != nil,
	}
	present, valid := isSet[s.Role]
	if !valid {
		faults.Add("role", "must be %q, %q or %q", RoleEntry, RoleCompanion, RoleControl)
		return
	}
	for _, role := range []Role{RoleEntry, RoleCompanion, RoleControl} {
		if isSet[role] && role != s.Role {
			faults.Add(string(role), "must not be set for role %q", s.Role)
		}
	}
	if !present {
		faults.Add(string(s.Role), "is required for role %q", s.Role)
		return
	}
	switch s.Role {
	case RoleEntry:
		s.checkControls(faults)
		requireAddress(faults, "entry.packets", s.Entry.Packets)
		if s.Entry.Network > uint32(core.MaxServiceID) {
			faults.Add("entry.network", "must be at most %d", core.MaxServiceID)
		}
	case RoleCompanion:
		s.checkControls(faults)
		s.Companion.check(faults)
	case RoleControl:
		s.Control.check(s.Instance, faults)
	}
}

func (s *Settings) checkControls(faults *strictjson.Faults) {
	if len(s.Controls) == 0 {
		faults.Add("controls", "must list at least one control instance")
	}
	for i, control := range s.Controls {
		requireAddress(faults, indexedPath("controls", i), control)
	}
}

func (c *Companion) check(faults *strictjson.Faults) {
	requireString(faults, "companion.service", string(c.Service))
	requireAddress(faults, "companion.backendServer", c.BackendServer)
	requireAddress(faults, "companion.packets", c.Packets)
	requireAddress(faults, "companion.rpc", c.RPC)
	requireAddress(faults, "companion.fabricReturn", c.FabricReturn)
	if c.Capacity.Connections < 1 {
		faults.Add("companion.capacity.connections", "must be at least 1")
	}
	if c.Capacity.Slots < 1 {
		faults.Add("companion.capacity.slots", "must be at least 1")
	}
}

func (c *Control) check(self core.InstanceID, faults *strictjson.Faults) {
	requireAddress(faults, "control.rpc", c.RPC)
	requireAddress(faults, "control.operators", c.Operators)
	requireString(faults, "control.dataFolder", c.DataFolder)
	if len(c.Members) == 0 {
		faults.Add("control.members", "must list the control instances, this one included")
		return
	}
	c.checkMembers(self, faults)
}

func (c *Control) checkMembers(self core.InstanceID, faults *strictjson.Faults) {
	seen := make(map[core.InstanceID]bool)
	for i, member := range c.Members {
		path := indexedPath("control.members", i)
		requireString(faults, path+".instance", string(member.Instance))
		requireAddress(faults, path+".rpc", member.RPC)
		if seen[member.Instance] {
			faults.Add(path+".instance", "%q is listed twice", member.Instance)
		}
		seen[member.Instance] = true
	}
	if !seen[self] {
		faults.Add("control.members", "must include this instance, %q", self)
	}
}

func requireString(faults *strictjson.Faults, path, value string) {
	if value == "" {
		faults.Add(path, "is required")
	}
}

func requireOneOf(faults *strictjson.Faults, path, value string, allowed ...string) {
	for _, candidate := range allowed {
		if value == candidate {
			return
		}
	}
	faults.Add(path, "%q is not one of %q", value, allowed)
}

func requireAddress(faults *strictjson.Faults, path string, value netip.AddrPort) {
	if !value.IsValid() {
		faults.Add(path, `is required, as "IP:port"`)
		return
	}
	if !value.Addr().Unmap().Is4() {
		faults.Add(path, "%s is not an IPv4 address", value)
	}
}

func checkOptionalAddress(faults *strictjson.Faults, path string, value netip.AddrPort) {
	if value.IsValid() {
		requireAddress(faults, path, value)
	}
}

func indexedPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
