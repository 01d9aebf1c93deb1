package state

import (
	"zinniapulley.dev/config"
	"zinniapulley.dev/core"
)

// publish builds the view of the present state. It shares with the last one
// what didn't change.
func (m *Machine) publish() *core.View {
	view := &core.View{
		Revision:    m.revision,
		HashSeed:    m.seed,
		DataCentres: m.config.DataCentres(),
		Services:    m.config.Services(),
	}
	for _, server := range m.members.Servers() {
		view.BackendServers = append(view.BackendServers, m.published(server))
	}
	view.Tables = m.tables.update(view, m.config.Document())
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
