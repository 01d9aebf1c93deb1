package publish

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// Bounds of a tracker.
const (
	// MaxTracked is the most subscribers that a tracker knows.
	MaxTracked = 16384
	// ExpireAfter is how long a subscriber that isn't heard from is listed.
	ExpireAfter = 10 * time.Minute
)

// Report says which revision a subscriber has in force.
type Report struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	Revision   core.Revision
}

// Subscriber is what a tracker knows of one subscriber.
type Subscriber struct {
	Report
	// LastReport is when it last reported.
	LastReport time.Time
	// BehindSince is since when it lacks the newest revision; zero if it has it.
	BehindSince time.Time
}

// Tracker knows which subscriber has put which revision in force. It isn't safe
// for concurrent use.
type Tracker struct {
	newest      core.Revision
	subscribers map[core.InstanceID]*Subscriber
	refused     int64
}

// NewTracker returns a tracker that knows nobody.
func NewTracker() *Tracker {
	return &Tracker{subscribers: make(map[core.InstanceID]*Subscriber)}
}

// Publish notes that a newer revision is out.
func (t *Tracker) Publish(now time.Time, revision core.Revision) {
	if revision <= t.newest {
		return
	}
	t.newest = revision
	for _, subscriber := range t.subscribers {
		subscriber.update(now, t.newest)
	}
}

// Report notes what a subscriber has in force. A report about a revision older
// than one reported before is late and changes nothing. When too many
// subscribers are known, a new one is counted as refused.
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

// Expire drops subscribers that haven't been heard from for ForgetAfter.
func (t *Tracker) Expire(now time.Time) {
	maps.DeleteFunc(t.subscribers, func(_ core.InstanceID, s *Subscriber) bool {
		return now.Sub(s.LastReport) >= ExpireAfter
	})
}

// Subscribers returns all that are known, by instance.
func (t *Tracker) Subscribers() []Subscriber {
	list := make([]Subscriber, 0, len(t.subscribers))
	for _, subscriber := range t.subscribers {
		list = append(list, *subscriber)
	}
	slices.SortFunc(list, func(a, b Subscriber) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// Lagging returns those that haven't put a revision in force, by instance.
func (t *Tracker) Lagging(revision core.Revision) []Subscriber {
	return slices.DeleteFunc(t.Subscribers(), func(s Subscriber) bool { return s.Revision >= revision })
}
