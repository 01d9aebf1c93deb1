package publish

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// Limits of a tracker.
const (
	// MaxTracked is the maximum number of subscribers of a tracker.
	MaxTracked = 16384
	// ExpireAfter is how long a subscriber is listed after its last report.
	ExpireAfter = 10 * time.Minute
)

// Report states which revision a subscriber has in force.
type Report struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	Revision   core.Revision
}

// Subscriber is a tracker's record of one subscriber.
type Subscriber struct {
	Report
	// LastReport is when it last reported.
	LastReport time.Time
	// BehindSince is when it first lacked the newest revision; zero if it has it.
	BehindSince time.Time
}

// Tracker records which revision each subscriber has in force. It isn't safe
// for concurrent use.
type Tracker struct {
	newest      core.Revision
	subscribers map[core.InstanceID]*Subscriber
	refused     int64
}

// NewTracker returns a tracker without subscribers.
func NewTracker() *Tracker {
	return &Tracker{subscribers: make(map[core.InstanceID]*Subscriber)}
}

// Publish records that a newer revision has been published.
func (t *Tracker) Publish(now time.Time, revision core.Revision) {
	if revision <= t.newest {
		return
	}
	t.newest = revision
	for _, subscriber := range t.subscribers {
		subscriber.update(now, t.newest)
	}
}

// Report records which revision a subscriber has in force; a revision older
// than an earlier report's is late and is ignored. With MaxTracked subscribers,
// a new one is counted as refused.
func (t *Tracker) Report(now time.Time, report Report) {
	subscriber, known := t.subscribers[report.Instance]
	if !known && len(t.subscribers) >= MaxTracked {
		t.refused++
		return
	}
	if !known {
		subscriber = &Subscriber{}
		t.subscribers[report.Instance] = subscriber
	}
	report.Revision = max(report.Revision, subscriber.Revision)
	subscriber.Report = report
	subscriber.LastReport = now
	subscriber.update(now, t.newest)
}

func (s *Subscriber) update(now time.Time, newest core.Revision) {
	switch {
	case s.Revision >= newest:
		s.BehindSince = time.Time{}
	case s.BehindSince.IsZero():
		s.BehindSince = now
	}
}

// Refused returns how many reports were refused.
func (t *Tracker) Refused() int64 {
	return t.refused
}

// Expire removes subscribers that haven't reported for ExpireAfter.
func (t *Tracker) Expire(now time.Time) {
	maps.DeleteFunc(t.subscribers, func(_ core.InstanceID, s *Subscriber) bool {
		return now.Sub(s.LastReport) >= ExpireAfter
	})
}

// Subscribers returns all subscribers, in the order of instances.
func (t *Tracker) Subscribers() []Subscriber {
	list := make([]Subscriber, 0, len(t.subscribers))
	for _, subscriber := range t.subscribers {
		list = append(list, *subscriber)
	}
	slices.SortFunc(list, func(a, b Subscriber) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// Lagging returns the subscribers that don't have a revision in force yet, in
// the order of instances.
func (t *Tracker) Lagging(revision core.Revision) []Subscriber {
	return slices.DeleteFunc(t.Subscribers(), func(s Subscriber) bool { return s.Revision >= revision })
}
