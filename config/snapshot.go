package config

import (
	"fmt"
	"slices"

	"zinniapulley.dev/core"
)

// Snapshot is a State in a form that any codec can encode. Equal states have
// equal snapshots.
type Snapshot struct {
	Revision core.Revision
	// Document is the document's JSON, empty before the first configuration.
	Document  []byte
	Changed   []SectionRevision
	Forgotten core.Revision
	IDs       []NamedService
	LastID    core.ServiceID
	History   []Entry
	// HistoryDropped is the revision of the newest change that the history has
	// evicted.
	HistoryDropped core.Revision
	Answers        []TeamAnswers
}

// SectionRevision is the revision at which a section last changed.
type SectionRevision struct {
	Section  Section
	Revision core.Revision
}

// NamedService is the ID of a service.
type NamedService struct {
	Name core.ServiceName
	ID   core.ServiceID
}

// TeamAnswers holds the kept answers of a team, oldest first.
type TeamAnswers struct {
	Team core.Team
	Kept []KeptAnswer
}

// Snapshot returns the state's snapshot. It shares no memory that the state
// later writes to.
func (s *State) Snapshot() Snapshot {
	snapshot := Snapshot{
		Revision:       s.revision,
		Forgotten:      s.evictedRevision,
		LastID:         s.lastID,
		History:        slices.Clone(s.history.entries),
		HistoryDropped: s.history.dropped,
	}
	if !s.Empty() {
		snapshot.Document = s.document.JSON()
	}
	for _, section := range sortedKeys(s.lastChanged) {
		snapshot.Changed = append(snapshot.Changed, SectionRevision{Section: section, Revision: s.lastChanged[section]})
	}
	for _, name := range sortedKeys(s.ids) {
		snapshot.IDs = append(snapshot.IDs, NamedService{Name: name, ID: s.ids[name]})
	}
	for _, team := range sortedKeys(s.answers) {
		snapshot.Answers = append(snapshot.Answers, TeamAnswers{Team: team, Kept: slices.Clone(s.answers[team].kept)})
	}
	return snapshot
}

// Restore returns the state of a snapshot. It fails when the snapshot's
// document is invalid.
func Restore(snapshot Snapshot) (*State, error) {
	state := NewState()
	if len(snapshot.Document) > 0 {
		document, err := Parse(snapshot.Document)
		if err != nil {
			return nil, fmt.Errorf("document of the snapshot at revision %v: %w", snapshot.Revision, err)
		}
		state.document = document
	}
	state.revision = snapshot.Revision
	state.evictedRevision = snapshot.Forgotten
	state.lastID = snapshot.LastID
	for _, changed := range snapshot.Changed {
		state.lastChanged[changed.Section] = changed.Revision
	}
	for _, service := range snapshot.IDs {
		state.ids[service.Name] = service.ID
		state.names[service.ID] = service.Name
	}
	for _, entry := range snapshot.History {
		state.history.add(entry)
	}
	state.history.dropped = snapshot.HistoryDropped
	for _, team := range snapshot.Answers {
		kept := state.answersOf(team.Team)
		for _, answer := range team.Kept {
			kept.add(answer)
		}
	}
	return state, nil
}
