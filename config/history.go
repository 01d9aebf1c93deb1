package config

import (
	"bytes"
	"fmt"
	"time"

	"zinniapulley.dev/core"
)

// Limits of the history. The oldest entries are evicted first.
const (
	// MaxHistoryEntries is the maximum number of changes kept.
	MaxHistoryEntries = 1000
	// MaxHistoryBytes is the maximum size of their JSON.
	MaxHistoryBytes = 4 << 20
)

// Entry is one accepted change.
type Entry struct {
	Revision core.Revision
	Section  Section
	Team     core.Team
	Request  RequestID
	At       time.Time
	// Before and After hold the section's JSON. Before is empty for a section
	// that was created, After for one that was removed.
	Before []byte
	After  []byte
}

func (e Entry) size() int {
	return len(e.Before) + len(e.After)
}

// Change is the change of one section between two revisions.
type Change struct {
	Section Section
	// Before and After hold the section's JSON; one is empty for a section
	// that was created or removed.
	Before []byte
	After  []byte
}

// HistoryTruncatedError reports that the history no longer reaches back to a
// requested revision.
type HistoryTruncatedError struct {
	Revision core.Revision
	// Oldest is the oldest revision that can be requested.
	Oldest core.Revision
}

// Error names the oldest revision that can be requested.
func (e *HistoryTruncatedError) Error() string {
	return fmt.Sprintf("the history doesn't reach back to revision %v; the oldest it reaches is %v", e.Revision, e.Oldest)
}

type history struct {
	// entries holds the changes, oldest first.
	entries []Entry
	bytes   int
	// dropped is the revision of the newest change that isn't kept.
	dropped core.Revision
}

func (h *history) add(entry Entry) {
	h.entries = append(h.entries, entry)
	h.bytes += entry.size()
	for len(h.entries) > MaxHistoryEntries || h.bytes > MaxHistoryBytes {
		h.dropped = h.entries[0].Revision
		h.bytes -= h.entries[0].size()
		h.entries = h.entries[1:]
	}
}

// History returns the kept changes after a revision, oldest first.
func (s *State) History(after core.Revision) []Entry {
	var entries []Entry
	for _, entry := range s.history.entries {
		if entry.Revision > after {
			entries = append(entries, entry)
		}
	}
	return entries
}

// Diff returns the sections that differ between two revisions, in the order in
// which they first changed. Its error is a HistoryTruncatedError when the
// history doesn't reach back to from.
func (s *State) Diff(from, to core.Revision) ([]Change, error) {
	if from < s.history.dropped {
		return nil, &HistoryTruncatedError{Revision: from, Oldest: s.history.dropped}
	}
	var changes []Change
	indexes := make(map[Section]int)
	for _, entry := range s.history.entries {
		if entry.Revision <= from || entry.Revision > to {
			continue
		}
		i, seen := indexes[entry.Section]
		if !seen {
			i = len(changes)
			indexes[entry.Section] = i
			changes = append(changes, Change{Section: entry.Section, Before: entry.Before})
		}
		changes[i].After = entry.After
	}
	return differing(changes), nil
}

func differing(changes []Change) []Change {
	var different []Change
	for _, change := range changes {
		if !bytes.Equal(change.Before, change.After) {
			different = append(different, change)
		}
	}
	return different
}
