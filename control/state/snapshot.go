package state

import (
	"zinniapulley.dev/config"
	"zinniapulley.dev/core"
	"zinniapulley.dev/membership"
	"zinniapulley.dev/placement"
)

// Snapshot is a Machine in a form that any codec can write: equal states give
// equal snapshots.
type Snapshot struct {
	Config   config.Snapshot
	Members  membership.Snapshot
	Tables   placement.State
	HashSeed uint64
	Revision core.Revision
}

// Snapshot returns the machine's snapshot. It shares no memory that the machine
// later writes to.
func (m *Machine) Snapshot() Snapshot {
	return Snapshot{
		Config:   m.config.Snapshot(),
		Members:  m.members.Snapshot(),
		Tables:   m.tables.placement.State(),
		HashSeed: m.seed,
		Revision: m.revision,
	}
}

// Restore returns the machine of a snapshot. It fails when the snapshot's
// configuration is invalid.
func Restore(snapshot Snapshot) (*Machine, error) {
	configuration, err := config.Restore(snapshot.Config)
	if err != nil {
		return nil, err
	}
	m := New()
	m.config = configuration
	m.members = membership.Restore(snapshot.Members)
	m.seed = snapshot.HashSeed
	m.revision = snapshot.Revision
	m.tables = restoreTables(snapshot.Tables, configuration.Document())
	m.view = m.bareView()
	m.view.Tables = m.tables.list(m.view.Services)
	return m, nil
}
