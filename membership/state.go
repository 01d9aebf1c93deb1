package membership

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"zinniapulley.dev/core"
)

// Limits of the state.
const (
	// MaxBackendServers is the maximum number of registered backend servers.
	MaxBackendServers = 16384
	// MaxDrained is the maximum number of instances drained by operators.
	MaxDrained = 4096
	// maxSuperseded is the maximum number of earlier starts kept for each backend
	// server, so that their late messages are rejected.
	maxSuperseded = 8
)

// State holds the registered backend servers. It is deterministic: the same calls
// in the same order give equal states. It isn't safe for concurrent use.
type State struct {
	servers map[core.BackendServerID]*member
	// byInstance, byPackets and byRPC index the servers by instance and address.
	byInstance map[core.InstanceID]core.BackendServerID
	byPackets  map[netip.AddrPort]core.BackendServerID
	byRPC      map[netip.AddrPort]core.BackendServerID
	// drained holds the instances that operators drain.
	drained map[core.InstanceID]bool
	lastID  core.BackendServerID
}

// member is one registered backend server.
type member struct {
	server core.BackendServer
	// announced is the state that the companion announced. The published state
	// is draining also while operators drain the instance.
	announced  core.BackendState
	superseded []core.StartID
}

// NewState returns a state without backend servers.
func NewState() *State {
	return &State{
		servers:    make(map[core.BackendServerID]*member),
		byInstance: make(map[core.InstanceID]core.BackendServerID),
		byPackets:  make(map[netip.AddrPort]core.BackendServerID),
		byRPC:      make(map[netip.AddrPort]core.BackendServerID),
		drained:    make(map[core.InstanceID]bool),
	}
}

// Announce registers a backend server or updates its registration, and returns
// it as published. A backend server keeps its ID across restarts. It gets a new
// one when it returns after its departure or the expiry of its lease, or when
// it changes its service.
//
// An announcement of a registered instance from other addresses, or of an
// address that another instance holds, is rejected with a ConflictError. One from
// the same addresses with a new start ID replaces the earlier start at once:
// only one process can have the addresses open, so the earlier one has ended.
// Messages of a replaced start get a SupersededError from then on. Other errors
// are InvalidError and LimitError.
func (s *State) Announce(a Announcement) (core.BackendServer, error) {
	err := a.validate()
	if err != nil {
		return core.BackendServer{}, err
	}
	err = s.checkConflicts(a)
	if err != nil {
		return core.BackendServer{}, err
	}
	m := s.memberFor(a)
	s.unindex(m.server)
	m.setStartID(a.StartID)
	m.announced = a.State
	m.server.Service = a.Service
	m.server.DataCentre = a.DataCentre
	m.server.Packets = a.Packets
	m.server.RPC = a.RPC
	m.server.Capacity = a.Capacity
	s.index(m.server)
	s.updateState(m)
	return m.server, nil
}

// checkConflicts returns an error if another process holds the instance or an
// address of the announcement, or if the state is full.
func (s *State) checkConflicts(a Announcement) error {
	holder, held := s.servers[s.byInstance[a.Instance]]
	if held {
		err := holder.checkInstance(a)
		if err != nil {
			return err
		}
	}
	err := s.checkAddress(a, a.Packets, s.byPackets)
	if err != nil {
		return err
	}
	err = s.checkAddress(a, a.RPC, s.byRPC)
	if err != nil {
		return err
	}
	if !held && len(s.servers) >= MaxBackendServers {
		return &LimitError{Limit: MaxBackendServers, What: "backend servers"}
	}
	return nil
}

func (m *member) checkInstance(a Announcement) error {
	if a.StartID == m.server.StartID && a.Packets == m.server.Packets && a.RPC == m.server.RPC {
		return nil
	}
	if slices.Contains(m.superseded, a.StartID) {
		return &SupersededError{Instance: a.Instance, StartID: a.StartID, Current: m.server.StartID}
	}
	if a.Packets != m.server.Packets || a.RPC != m.server.RPC {
		return &ConflictError{Instance: a.Instance, Holder: m.server, Resource: "the instance"}
	}
	return nil
}

func (s *State) checkAddress(a Announcement, address netip.AddrPort, holders map[netip.AddrPort]core.BackendServerID) error {
	id, held := holders[address]
	if !held || s.servers[id].server.Instance == a.Instance {
		return nil
	}
	return &ConflictError{Instance: a.Instance, Holder: s.servers[id].server, Resource: "address " + address.String()}
}

func (s *State) register(instance core.InstanceID) *member {
	s.lastID++
	m := &member{server: core.BackendServer{ID: s.lastID, Instance: instance}}
	s.servers[m.server.ID] = m
	s.byInstance[instance] = m.server.ID
	return m
}

// memberFor returns the member of an announcement, registering it if necessary.
// An instance that changes to another service gets a new ID, so that no table of
// the earlier service refers to it.
func (s *State) memberFor(a Announcement) *member {
	m, known := s.servers[s.byInstance[a.Instance]]
	if !known {
		return s.register(a.Instance)
	}
	if m.server.Service == a.Service {
		return m
	}
	s.remove(m)
	next := s.register(a.Instance)
	next.superseded = m.superseded
	next.server.StartID = m.server.StartID
	return next
}

// setStartID sets the member's start and adds the previous one to superseded.
func (m *member) setStartID(start core.StartID) {
	if m.server.StartID == start {
		return
	}
	if m.server.StartID != 0 {
		m.superseded = append(m.superseded, m.server.StartID)
	}
	if len(m.superseded) > maxSuperseded {
		m.superseded = m.superseded[1:]
	}
	m.server.StartID = start
}

// updateState derives the published state from the announced one and the drains.
func (s *State) updateState(m *member) {
	m.server.State = m.announced
	if s.drained[m.server.Instance] {
		m.server.State = core.BackendDraining
	}
}

func (s *State) index(server core.BackendServer) {
	s.byPackets[server.Packets] = server.ID
	if server.RPC.IsValid() {
		s.byRPC[server.RPC] = server.ID
	}
}

func (s *State) unindex(server core.BackendServer) {
	delete(s.byPackets, server.Packets)
	delete(s.byRPC, server.RPC)
}

// Report changes the capacity and the state of a backend server. Its errors are
// UnknownError, SupersededError and InvalidError.
func (s *State) Report(r Report) error {
	m, err := s.memberByStart(r.BackendServer, r.StartID)
	if err != nil {
		return err
	}
	if !announceable(r.State) || r.Capacity.Connections < 0 || r.Capacity.Slots < 0 {
		return &InvalidError{Instance: m.server.Instance, Problem: "reports an invalid state or a negative capacity"}
	}
	m.announced = r.State
	m.server.Capacity = r.Capacity
	s.updateState(m)
	return nil
}

// Depart removes a backend server that departed or whose lease expired.
// Its errors are UnknownError and SupersededError.
func (s *State) Depart(d Departure) error {
	m, err := s.memberByStart(d.BackendServer, d.StartID)
	if err != nil {
		return err
	}
	s.remove(m)
	return nil
}

func (s *State) memberByStart(id core.BackendServerID, start core.StartID) (*member, error) {
	m, known := s.servers[id]
	if !known {
		return nil, &UnknownError{BackendServer: id}
	}
	if m.server.StartID != start {
		return nil, &SupersededError{Instance: m.server.Instance, StartID: start, Current: m.server.StartID}
	}
	return m, nil
}

func (s *State) remove(m *member) {
	s.unindex(m.server)
	delete(s.byInstance, m.server.Instance)
	delete(s.servers, m.server.ID)
}

// RemoveService removes every backend server of a removed service and returns
// their IDs in ascending order.
func (s *State) RemoveService(service core.ServiceID) []core.BackendServerID {
	var removed []core.BackendServerID
	for _, id := range s.ids() {
		if s.servers[id].server.Service == service {
			s.remove(s.servers[id])
			removed = append(removed, id)
		}
	}
	return removed
}

// Drain starts or ends the operators' drain of an instance's backend server. A
// drain persists across restarts and departures until it is ended. The errors
// are UnknownInstanceError, for an instance that is neither registered nor
// drained, and LimitError.
func (s *State) Drain(instance core.InstanceID, drain bool) error {
	m, registered := s.servers[s.byInstance[instance]]
	if !registered && !s.drained[instance] {
		return &UnknownInstanceError{Instance: instance}
	}
	if drain && !s.drained[instance] && len(s.drained) >= MaxDrained {
		return &LimitError{Limit: MaxDrained, What: "draining instances"}
	}
	if drain {
		s.drained[instance] = true
	} else {
		delete(s.drained, instance)
	}
	if registered {
		s.updateState(m)
	}
	return nil
}

// Drained returns the instances that operators drain, sorted by name.
func (s *State) Drained() []core.InstanceID {
	return slices.Sorted(maps.Keys(s.drained))
}

// Server returns a registered backend server.
func (s *State) Server(id core.BackendServerID) (core.BackendServer, bool) {
	m, known := s.servers[id]
	if !known {
		return core.BackendServer{}, false
	}
	return m.server, true
}

// ByInstance returns the backend server registered for an instance.
func (s *State) ByInstance(instance core.InstanceID) (core.BackendServer, bool) {
	return s.Server(s.byInstance[instance])
}

// Servers returns the registered backend servers, sorted by ID.
func (s *State) Servers() []core.BackendServer {
	servers := make([]core.BackendServer, 0, len(s.servers))
	for _, id := range s.ids() {
		servers = append(servers, s.servers[id].server)
	}
	return servers
}

func (s *State) ids() []core.BackendServerID {
	return slices.SortedFunc(maps.Keys(s.servers), cmp.Compare)
}
