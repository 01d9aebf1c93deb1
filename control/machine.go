package control

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/juju/errors"
	"zinniapulley.dev/config"
	"zinniapulley.dev/core"
	"zinniapulley.dev/placement"
)

// machine is the replicated state: the configuration, the backend servers and
// the tables. Only the control loop touches it.
type machine struct {
	document config.Document
	services map[core.ServiceName]core.ServiceID
	backends map[core.BackendServerID]*core.BackendServer
	seed     uint64
	revision core.Revision
	// lastService and lastBackend are the highest IDs given out.
	lastService core.ServiceID
	lastBackend core.BackendServerID
	view        *core.View
}

func newMachine(seed uint64) *machine {
	return &machine{
		services: make(map[core.ServiceName]core.ServiceID),
		backends: make(map[core.BackendServerID]*core.BackendServer),
		seed:     seed,
		view:     &core.View{HashSeed: seed},
	}
}

// View returns the state as published. It is immutable.
func (m *machine) View() *core.View {
	return m.view
}

// Apply carries out one command.
func (m *machine) Apply(command Command) Result {
	result := m.apply(command)
	if result.Refusal == nil {
		m.revision++
		m.view = m.publish()
	}
	result.Revision = m.revision
	return result
}

func (m *machine) apply(command Command) Result {
	switch {
	case command.Configure != nil:
		return m.configure(command.Configure)
	case command.Announce != nil:
		return m.announce(command.Announce)
	case command.Remove != nil:
		return m.remove(command.Remove)
	default:
		return Result{Refusal: errors.New("command is empty")}
	}
}

func (m *machine) configure(command *Configure) Result {
	document, err := config.Parse(command.Document)
	if err != nil {
		return Result{Refusal: err}
	}
	m.document = document
	for _, name := range sortedNames(document.Services) {
		_, known := m.services[name]
		if !known {
			m.lastService++
			m.services[name] = m.lastService
		}
	}
	return Result{}
}

func (m *machine) announce(command *Announce) Result {
	_, configured := m.document.Services[command.Service]
	if !configured {
		return Result{Refusal: errors.NotFoundf("service %q", command.Service)}
	}
	server := m.find(command.Instance)
	if server == nil {
		m.lastBackend++
		server = &core.BackendServer{ID: m.lastBackend}
		m.backends[server.ID] = server
	}
	m.fill(server, command)
	return Result{BackendServer: server.ID, Service: server.Service}
}

// fill sets what an announcement says of a backend server.
func (m *machine) fill(server *core.BackendServer, command *Announce) {
	server.Instance = command.Instance
	server.Service = m.services[command.Service]
	server.DataCentre = command.DataCentre
	server.StartID = command.StartID
	server.State = command.State
	server.Packets = command.Packets
	server.RPC = command.RPC
	server.Capacity = command.Capacity
	service := m.document.Services[command.Service]
	server.Share = service.ShareOf(command.Instance, command.DataCentre)
}

func (m *machine) remove(command *Remove) Result {
	_, known := m.backends[command.BackendServer]
	if !known {
		return Result{Refusal: errors.NotFoundf("backend server %d", command.BackendServer)}
	}
	delete(m.backends, command.BackendServer)
	return Result{BackendServer: command.BackendServer}
}

// Registered returns the IDs of a backend server that is registered just as
// announced, and false when the announcement changes anything.
func (m *machine) Registered(announced *Announce) (core.BackendServerID, core.ServiceID, bool) {
	server := m.find(announced.Instance)
	if server == nil {
		return 0, 0, false
	}
	if _, configured := m.document.Services[announced.Service]; !configured {
		return 0, 0, false
	}
	same := *server
	m.fill(&same, announced)
	return server.ID, server.Service, same == *server
}

func (m *machine) find(instance core.InstanceID) *core.BackendServer {
	for _, server := range m.backends {
		if server.Instance == instance {
			return server
		}
	}
	return nil
}

// publish builds the view of the present state.
func (m *machine) publish() *core.View {
	view := &core.View{Revision: m.revision, HashSeed: m.seed}
	for _, name := range sortedNames(m.document.DataCentres) {
		in := m.document.DataCentres[name].State == config.In
		view.DataCentres = append(view.DataCentres, core.DataCentreState{Name: name, In: in})
	}
	for _, server := range m.backends {
		view.BackendServers = append(view.BackendServers, *server)
	}
	slices.SortFunc(view.BackendServers, func(a, b core.BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	for _, name := range sortedNames(m.document.Services) {
		m.publishService(view, name)
	}
	return view
}

func (m *machine) publishService(view *core.View, name core.ServiceName) {
	service := m.document.Services[name]
	id := m.services[name]
	view.Services = append(view.Services, core.Service{
		ID:      id,
		Name:    name,
		Address: netip.AddrPortFrom(service.Address.Addr().Unmap(), service.Address.Port()),
		Kind:    service.Kind.Core(),
	})
	var candidates []placement.Candidate
	for i := range view.BackendServers {
		server := &view.BackendServers[i]
		if server.Service == id && server.State == core.BackendServing && view.DataCentreIn(server.DataCentre) {
			candidates = append(candidates, placement.Candidate{
				ID:          server.ID,
				DataCentre:  server.DataCentre,
				Connections: server.Capacity.Connections,
				Share:       server.Share,
			})
		}
	}
	view.Tables = append(view.Tables, placement.Build(id, service.BucketCount(), candidates))
}

func sortedNames[K cmp.Ordered, V any](named map[K]V) []K {
	names := make([]K, 0, len(named))
	for name := range named {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
