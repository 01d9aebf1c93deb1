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

// DefaultStopDeadline is how long a graceful stop may take where the settings
// do not say.
const DefaultStopDeadline = 30 * time.Second

// Load reads and checks the settings file at path. The error lists every fault
// with its JSON path.
func Load(path string) (*Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, core.At("read settings", core.Peer(path), err)
	}
	if info.Size() > MaxBytes {
		err = errors.Errorf("file is %d bytes long, more than %d", info.Size(), MaxBytes)
		return nil, core.At("read settings", core.Peer(path), err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, core.At("read settings", core.Peer(path), err)
	}
	parsed, err := Parse(data)
	return parsed, core.At("check settings", core.Peer(path), err)
}

// Parse decodes and checks a settings document and fills in defaults. The
// error is strictjson.Faults.
func Parse(data []byte) (*Settings, error) {
	parsed := &Settings{}
	decoded := strictjson.Decode(data, parsed)
	parsed.setDefaults()
	var found strictjson.Faults
	parsed.check(&found)
	faults := decoded
	for _, fault := range found {
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
	required(faults, "instance", string(s.Instance))
	required(faults, "dataCentre", string(s.DataCentre))
	oneOf(faults, "log.level", s.Log.Level, "debug", "info", "warn", "error")
	oneOf(faults, "log.format", s.Log.Format, "text", "json")
	if s.StopDeadline < 0 {
		faults.Add("stopDeadline", "must not be negative")
	}
	optionalAddress(faults, "status", s.Status)
	s.checkRole(faults)
}

func (s *Settings) checkRole(faults *strictjson.Faults) {
	sections := map[Role]bool{
		RoleEntry:     s.Entry != nil,
		RoleCompanion: s.Companion != nil,
		RoleControl:   s.Control != nil,
	}
	present, known := sections[s.Role]
	if !known {
		faults.Add("role", "must be %q, %q or %q", RoleEntry, RoleCompanion, RoleControl)
		return
	}
	for _, role := range []Role{RoleEntry, RoleCompanion, RoleControl} {
		if sections[role] && role != s.Role {
			faults.Add(string(role), "does not belong to role %q", s.Role)
		}
	}
	if !present {
		faults.Add(string(s.Role), "is required for role %q", s.Role)
		return
	}
	switch s.Role {
	case RoleEntry:
		s.checkControls(faults)
		address(faults, "entry.packets", s.Entry.Packets)
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
		faults.Add("controls", "must name at least one control instance")
	}
	for i, control := range s.Controls {
		address(faults, indexed("controls", i), control)
	}
}

func (c *Companion) check(faults *strictjson.Faults) {
	required(faults, "companion.service", string(c.Service))
	address(faults, "companion.backendServer", c.BackendServer)
	address(faults, "companion.packets", c.Packets)
	address(faults, "companion.rpc", c.RPC)
	address(faults, "companion.fabricReturn", c.FabricReturn)
	if c.Capacity.Connections < 1 {
		faults.Add("companion.capacity.connections", "must be at least 1")
	}
	if c.Capacity.Slots < 1 {
		faults.Add("companion.capacity.slots", "must be at least 1")
	}
}

func (c *Control) check(self core.InstanceID, faults *strictjson.Faults) {
	address(faults, "control.rpc", c.RPC)
	address(faults, "control.operators", c.Operators)
	required(faults, "control.dataFolder", c.DataFolder)
	if len(c.Members) == 0 {
		faults.Add("control.members", "must list the control instances, this one included")
		return
	}
	c.checkMembers(self, faults)
}

func (c *Control) checkMembers(self core.InstanceID, faults *strictjson.Faults) {
	seen := make(map[core.InstanceID]bool)
	for i, member := range c.Members {
		path := indexed("control.members", i)
		required(faults, path+".instance", string(member.Instance))
		address(faults, path+".rpc", member.RPC)
		if seen[member.Instance] {
			faults.Add(path+".instance", "%q is listed twice", member.Instance)
		}
		seen[member.Instance] = true
	}
	if !seen[self] {
		faults.Add("control.members", "must include this instance, %q", self)
	}
}

func required(faults *strictjson.Faults, path, value string) {
	if value == "" {
		faults.Add(path, "is required")
	}
}

func oneOf(faults *strictjson.Faults, path, value string, allowed ...string) {
	for _, word := range allowed {
		if value == word {
			return
		}
	}
	faults.Add(path, "%q is not one of %q", value, allowed)
}

func address(faults *strictjson.Faults, path string, value netip.AddrPort) {
	if !value.IsValid() {
		faults.Add(path, `is required, as "IP:port"`)
		return
	}
	if !value.Addr().Unmap().Is4() {
		faults.Add(path, "%s is not an IPv4 address", value)
	}
}

func optionalAddress(faults *strictjson.Faults, path string, value netip.AddrPort) {
	if value.IsValid() {
		address(faults, path, value)
	}
}

func indexed(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
