package membership

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"zinniapulley.dev/core"
)

// Bounds of the state.
const (
	// MaxBackendServers is the most backend servers registered at once.
	MaxBackendServers = 16384
	// MaxDrained is the most instances that operators have draining at once.
	MaxDrained = 4096
	// maxSuperseded is the most earlier starts of a backend server that are
	// remembered, so that a late message of theirs is refused.
	maxSuperseded = 8
)

// State holds the registered backend servers. It is deterministic: equal calls
// in equal order give equal states. It isn't safe for concurrent use.
type State struct {
	servers map[core.BackendServerID]*member
	// byInstance and byAddress find who holds an instance or an address.
	byInstance map[core.InstanceID]core.BackendServerID
	byPackets  map[netip.AddrPort]core.BackendServerID
	byRPC      map[netip.AddrPort]core.BackendServerID
	// drained holds the instances that operators have draining.
	drained map[core.InstanceID]bool
	lastID  core.BackendServerID
}

// member is one registered backend server.
type member struct {
	server core.BackendServer
	// announced is the state that the companion announced. The published one
	// is draining also while operators have the instance draining.
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

// Announce registers a backend server or changes what is known of it, and
// returns it as published. A backend server keeps its ID over restarts and
// gets a new one when it comes back after it left or its lease expired, or for
// another service.
//
// Who claims a registered instance from other addresses, or an address that
// another instance holds, is refused with a ClaimedError. Who claims a
// registered instance from the same addresses with a new start ID takes it
// over at once: only one process can have the addresses open, so the earlier
// one has ended. A start that was taken over gets a SupersededError from then
// on. Other errors are InvalidError and FullError.
func (s *State) Announce(a Announcement) (core.BackendServer, error) {
	err := a.check()
	if err != nil {
		return core.BackendServer{}, err
	}
	err = s.claim(a)
	if err != nil {
		return core.BackendServer{}, err
	}
	m := s.memberFor(a)
	s.unindex(m.server)
	m.restart(a.StartID)
	m.announced = a.State
	m.server.Service = a.Service
	m.server.DataCentre = a.DataCentre
	m.server.Packets = a.Packets
	m.server.RPC = a.RPC
	m.server.Capacity = a.Capacity
	s.index(m.server)
	s.settle(m)
	return m.server, nil
}

// claim returns an error when another process holds what is announced.
func (s *State) claim(a Announcement) error {
	holder, held := s.servers[s.byInstance[a.Instance]]
	if held {
		err := holder.claimInstance(a)
		if err != nil {
			return err
		}
	}
	err := s.claimAddress(a, a.Packets, s.byPackets)
	if err != nil {
		return err
	}
	err = s.claimAddress(a, a.RPC, s.byRPC)
	if err != nil {
		return err
	}
	if !held && len(s.servers) >= MaxBackendServers {
		return &LimitError{Limit: MaxBackendServers, What: "backend servers"}
	}
	return nil
}

func (m *member) claimInstance(a Announcement) error {
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

func (s *State) claimAddress(a Announcement, address netip.AddrPort, holders map[netip.AddrPort]core.BackendServerID) error {
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

// memberFor returns the member that an announcement is about, a new one if need
// be. An instance that changes to another service gets a new ID, so that no
// table of the earlier service leads to it.
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

// restart notes a start and remembers the one before it.
func (m *member) restart(start core.StartID) {
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

// settle sets the published state from the announced one and the operators'.
func (s *State) settle(m *member) {
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
// UnknownError and SupersededError.
func (s *State) Report(r Report) error {
	m, err := s.started(r.BackendServer, r.StartID)
	if err != nil {
		return err
	}
	if !announceable(r.State) || r.Capacity.Connections < 0 || r.Capacity.Slots < 0 {
		return &InvalidError{Instance: m.server.Instance, Problem: "reports an impossible state or capacity"}
	}
	m.announced = r.State
	m.server.Capacity = r.Capacity
	s.settle(m)
	return nil
}

// Depart takes out a backend server that has left or whose lease has expired.
// Its errors are UnknownError and SupersededError.
func (s *State) Depart(d Departure) error {
	m, err := s.started(d.BackendServer, d.StartID)
	if err != nil {
		return err
	}
	s.remove(m)
	return nil
}

func (s *State) started(id core.BackendServerID, start core.StartID) (*member, error) {
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

// RemoveService takes out every backend server of a service that is gone, and
// returns their IDs, rising.
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

// Drain sets or lifts the operators' wish that an instance's backend server
// drains. The wish holds over restarts and departures until it is lifted. Its
// errors are UnknownInstanceError, for an instance that is neither registered
// nor draining, and FullError.
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
		s.settle(m)
	}
	return nil
}

// Drained returns the instances that operators have draining, by name.
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

// Servers returns the registered backend servers, by ID.
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
