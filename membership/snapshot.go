package membership

import (
	"slices"

	"zinniapulley.dev/core"
)

// Snapshot is a State in a form that any codec can encode. Equal states give
// equal snapshots.
type Snapshot struct {
	Members []Member
	Drained []core.InstanceID
	LastID  core.BackendServerID
}

// Member is one registered backend server of a Snapshot.
type Member struct {
	Server core.BackendServer
	// Announced is the state that the companion announced.
	Announced core.BackendState
	// Superseded lists recent earlier starts, the oldest first.
	Superseded []core.StartID
}

// Snapshot returns the state's snapshot. It shares no memory with the state.
func (s *State) Snapshot() Snapshot {
	snapshot := Snapshot{Drained: s.Drained(), LastID: s.lastID}
	for _, id := range s.ids() {
		m := s.servers[id]
		snapshot.Members = append(snapshot.Members, Member{
			Server: m.server, Announced: m.announced, Superseded: slices.Clone(m.superseded),
		})
	}
	return snapshot
}

// Restore returns the state of a snapshot.
func Restore(snapshot Snapshot) *State {
	state := NewState()
	state.lastID = snapshot.LastID
	for _, instance := range snapshot.Drained {
		state.drained[instance] = true
	}
	for _, saved := range snapshot.Members {
		m := &member{server: saved.Server, announced: saved.Announced, superseded: slices.Clone(saved.Superseded)}
		state.servers[m.server.ID] = m
		state.byInstance[m.server.Instance] = m.server.ID
		state.index(m.server)
	}
	return state
}
