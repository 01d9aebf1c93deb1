package control

import (
	"cmp"
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// leases holds when each registered backend server's lease expires.
type leases struct {
	until map[core.BackendServerID]time.Time
}

func newLeases() *leases {
	return &leases{until: make(map[core.BackendServerID]time.Time)}
}

func (l *leases) renew(id core.BackendServerID, until time.Time) {
	l.until[id] = until
}

func (l *leases) forget(id core.BackendServerID) {
	delete(l.until, id)
}

// expired returns the backend servers whose lease has ended, by rising ID.
func (l *leases) expired(now time.Time) []core.BackendServerID {
	var ids []core.BackendServerID
	for id, until := range l.until {
		if !now.Before(until) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b core.BackendServerID) int { return cmp.Compare(a, b) })
	return ids
}

// next returns when the first lease ends, and false if there is none.
func (l *leases) next() (time.Time, bool) {
	var first time.Time
	for _, until := range l.until {
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first, !first.IsZero()
}
