package state

import (
	"zinniapulley.dev/config"
	"zinniapulley.dev/core"
	"zinniapulley.dev/membership"
	"zinniapulley.dev/placement"
)

// Snapshot is the state of a Machine in a form that any codec can encode. Equal
// states give equal snapshots.
type Snapshot struct {
	Config   config.Snapshot
	Members  membership.Snapshot
	Tables   placement.State
	HashSeed uint64
	Revision core.Revision
}

// Snapshot returns a snapshot of the machine. It shares no memory that the
// machine writes to afterwards.
func (m *Machine) Snapshot() Snapshot {
	return Snapshot{
		Config:   m.config.Snapshot(),
		Members:  m.members.Snapshot(),
		Tables:   m.tables.placement.State(),
		HashSeed: m.hashSeed,
		Revision: m.revision,
	}
}

// Restore returns a machine with the state of a snapshot. It fails if the
// snapshot's configuration is invalid.
func Restore(snapshot Snapshot) (*Machine, error) {
	configuration, err := config.Restore(snapshot.Config)
	if err != nil {
		return nil, err
	}
	m := New()
	m.config = configuration
	m.members = membership.Restore(snapshot.Members)
	m.hashSeed = snapshot.HashSeed
	m.revision = snapshot.Revision
	m.tables = restoreTables(snapshot.Tables, configuration.Document())
	m.view = m.viewWithoutTables()
	m.view.Tables = m.tables.listAndPrune(m.view.Services)
	return m, nil
}
