package state

import (
	"time"

	"zinniapulley.dev/config"
	"zinniapulley.dev/core"
	"zinniapulley.dev/placement"
)

// publish builds the view of the present state, with tables that follow what
// changed, and returns the decisions about them. The view shares with the last
// one what didn't change.
func (m *Machine) publish(at time.Time) []placement.Decision {
	view := m.bareView()
	decisions := m.tables.follow(change{at: at, before: m.view, after: view, document: m.config.Document()})
	m.view = view
	return decisions
}

// bareView returns the view of the present state without tables.
func (m *Machine) bareView() *core.View {
	view := &core.View{
		Revision:    m.revision,
		HashSeed:    m.seed,
		DataCentres: m.config.DataCentres(),
		Services:    m.config.Services(),
	}
	for _, server := range m.members.Servers() {
		view.BackendServers = append(view.BackendServers, m.published(server))
	}
	return view
}

// published returns a backend server with the operators' share, and with its
// capacity cut to the operators' bound.
func (m *Machine) published(server core.BackendServer) core.BackendServer {
	service, known := m.serviceOf(server.Service)
	if !known {
		return server
	}
	server.Share = service.ShareOf(server.Instance, server.DataCentre)
	server.Capacity.Connections = min(server.Capacity.Connections, service.Capacity.Connections)
	server.Capacity.Slots = min(server.Capacity.Slots, service.Capacity.Slots)
	return server
}

func (m *Machine) serviceOf(id core.ServiceID) (config.Service, bool) {
	name, known := m.config.ServiceName(id)
	if !known {
		return config.Service{}, false
	}
	return m.config.Document().Services[name], true
}
