package state

import (
	"time"

	"zinniapulley.dev/config"
	"zinniapulley.dev/core"
	"zinniapulley.dev/placement"
)

// publish replaces the view by one of the current state, updates its tables and
// returns the placement decisions. Unchanged parts are shared with the previous
// view.
func (m *Machine) publish(at time.Time) []placement.Decision {
	view := m.viewWithoutTables()
	decisions := m.tables.update(viewChange{at: at, before: m.view, after: view, document: m.config.Document()})
	m.view = view
	return decisions
}

// viewWithoutTables returns the view of the current state without tables.
func (m *Machine) viewWithoutTables() *core.View {
	view := &core.View{
		Revision:    m.revision,
		HashSeed:    m.hashSeed,
		DataCentres: m.config.DataCentres(),
		Services:    m.config.Services(),
	}
	for _, server := range m.members.Servers() {
		view.BackendServers = append(view.BackendServers, m.publishedServer(server))
	}
	return view
}

// publishedServer returns a backend server with its configured share, and with its
// capacity capped at the service's configured limit.
func (m *Machine) publishedServer(server core.BackendServer) core.BackendServer {
	service, configured := m.serviceOf(server.Service)
	if !configured {
		return server
	}
	server.Share = service.ShareOf(server.Instance, server.DataCentre)
	server.Capacity.Connections = min(server.Capacity.Connections, service.Capacity.Connections)
	server.Capacity.Slots = min(server.Capacity.Slots, service.Capacity.Slots)
	return server
}

func (m *Machine) serviceOf(id core.ServiceID) (config.Service, bool) {
	name, configured := m.config.ServiceName(id)
	if !configured {
		return config.Service{}, false
	}
	return m.config.Document().Services[name], true
}
