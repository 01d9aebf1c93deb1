package state

import (
	"slices"

	"zinniapulley.dev/config"
	"zinniapulley.dev/core"
	"zinniapulley.dev/placement"
)

// tables holds the table of each service with the candidates that it was built
// of.
type tables struct {
	built map[core.ServiceID]builtTable
}

type builtTable struct {
	candidates []placement.Candidate
	table      core.Table
}

func newTables() *tables {
	return &tables{built: make(map[core.ServiceID]builtTable)}
}

// update returns the tables of the view's services. Those whose candidates are
// as before stay as they are.
func (t *tables) update(view *core.View, document config.Document) []core.Table {
	candidates := make(map[core.ServiceID][]placement.Candidate)
	for i := range view.BackendServers {
		server := &view.BackendServers[i]
		if server.State == core.BackendServing && view.DataCentreIn(server.DataCentre) {
			candidates[server.Service] = append(candidates[server.Service], candidate(server))
		}
	}
	next := make(map[core.ServiceID]builtTable, len(view.Services))
	list := make([]core.Table, 0, len(view.Services))
	for _, service := range view.Services {
		built, known := t.built[service.ID]
		if !known || !slices.Equal(built.candidates, candidates[service.ID]) {
			built.candidates = candidates[service.ID]
			built.table = placement.Build(service.ID, document.Services[service.Name].BucketCount(), built.candidates)
		}
		next[service.ID] = built
		list = append(list, built.table)
	}
	t.built = next
	return list
}

func candidate(server *core.BackendServer) placement.Candidate {
	return placement.Candidate{
		ID: server.ID, DataCentre: server.DataCentre,
		Connections: server.Capacity.Connections, Share: server.Share,
	}
}
