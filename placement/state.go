package placement

import (
	"cmp"
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// State is the complete state of a Placement in a form that can be stored. Lists
// are sorted, so that equal placements have equal states.
type State struct {
	Servers     []ServerState
	DataCentres []DataCentreState
	Services    []ServiceState
}

// ServerState is one backend server in a State.
type ServerState struct {
	Server core.BackendServer
	// BarredSince is the revision from which it accepts no new flows, if not
	// eligible.
	BarredSince core.Revision
}

// DataCentreState is one data centre in a State.
type DataCentreState struct {
	Name core.DataCentre
	In   bool
	// Returned is when it last returned to service; zero if it never did.
	Returned time.Time
}

// ServiceState is one service in a State.
type ServiceState struct {
	Table       core.Table
	ClosedSince []ClosedPlace
	Moves       int
	MovesAt     time.Time
	Balancing   bool
	Waiting     bool
	NextMove    time.Time
	HeldBack    int
}

// ClosedPlace records since when a backend server accepts no new flows of a bucket.
type ClosedPlace struct {
	Bucket uint32
	Server core.BackendServerID
	Since  core.Revision
}

// State returns a copy of the placement's state.
func (p *Placement) State() State {
	var state State
	for _, s := range p.servers {
		state.Servers = append(state.Servers, ServerState{Server: s.BackendServer, BarredSince: s.barredSince})
	}
	for name, dc := range p.dataCentres {
		state.DataCentres = append(state.DataCentres, DataCentreState{Name: name, In: dc.in, Returned: dc.returned})
	}
	for _, s := range p.sortedServices() {
		state.Services = append(state.Services, s.state())
	}
	slices.SortFunc(state.Servers, func(a, b ServerState) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	slices.SortFunc(state.DataCentres, func(a, b DataCentreState) int { return cmp.Compare(a.Name, b.Name) })
	return state
}

func (s *service) state() ServiceState {
	state := ServiceState{
		Table: s.pool.table(s.id), Moves: s.moves, MovesAt: s.movesAt, Balancing: s.balancing,
		Waiting: s.waiting, NextMove: s.nextMove, HeldBack: s.heldBack,
	}
	for at, since := range s.closedSince {
		state.ClosedSince = append(state.ClosedSince, ClosedPlace{Bucket: at.bucket, Server: at.server, Since: since})
	}
	slices.SortFunc(state.ClosedSince, func(a, b ClosedPlace) int {
		return cmp.Or(cmp.Compare(a.Bucket, b.Bucket), cmp.Compare(a.Server, b.Server))
	})
	return state
}

// Restore returns a placement with the given state.
func Restore(config Config, state State) *Placement {
	p := New(config)
	for _, dc := range state.DataCentres {
		p.dataCentres[dc.Name] = &dataCentre{in: dc.In, returned: dc.Returned}
	}
	for _, stored := range state.Servers {
		restored := &server{BackendServer: stored.Server, barredSince: stored.BarredSince}
		restored.eligible = p.ineligibleReason(restored) == 0
		p.servers[stored.Server.ID] = restored
		p.members[stored.Server.Service] = p.members[stored.Server.Service].with(restored)
	}
	for _, stored := range state.Services {
		p.services[stored.Table.Service] = restoreService(stored)
	}
	return p
}

func restoreService(stored ServiceState) *service {
	s := &service{
		id: stored.Table.Service, pool: restorePool(stored.Table), closedSince: make(map[candidateKey]core.Revision),
		moves: stored.Moves, movesAt: stored.MovesAt, balancing: stored.Balancing,
		waiting: stored.Waiting, nextMove: stored.NextMove, heldBack: stored.HeldBack,
	}
	for _, closed := range stored.ClosedSince {
		s.closedSince[candidateKey{closed.Bucket, closed.Server}] = closed.Since
	}
	return s
}

// restorePool returns a pool whose chains keep the indices of the table.
func restorePool(table core.Table) *chainPool {
	pool := &chainPool{
		buckets: slices.Clone(table.Buckets),
		chains:  slices.Clone(table.Chains),
		uses:    make([]int, len(table.Chains)),
		index:   make(map[chainKey]uint16),
	}
	for _, at := range pool.buckets {
		pool.uses[at]++
	}
	for at, chain := range pool.chains {
		key := keyOf(chain)
		_, twice := pool.index[key]
		if !twice || pool.uses[at] > 0 {
			pool.index[key] = uint16(at)
		}
	}
	return pool
}
