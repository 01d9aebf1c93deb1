package publish

import (
	"container/heap"
	"time"

	"zinniapulley.dev/core"
)

// Bounds of a source.
const (
	// MaxDeltas is the most past changes that a source keeps.
	MaxDeltas = 4096
	// MaxDeltaBytes is the most bytes that they may take up, as Size counts.
	MaxDeltaBytes = 4 << 20
	// MaxWaiters is the most subscribers that wait at once.
	MaxWaiters = 4096
)

// Request is what a subscriber has and needs.
type Request struct {
	// Have is the revision in force at the subscriber, zero for none.
	Have core.Revision
	// Digest is that of its view.
	Digest Digest
	// Floor is the revision that the subscriber takes nothing older than.
	Floor core.Revision
}

// Answer is what a source sends to a subscriber. At most one of Delta and View
// is set; with neither, the source has nothing newer.
type Answer struct {
	// Current is the newest revision of the source.
	Current core.Revision
	Delta   *Delta
	View    *core.View
	// Digest is that of the view that the answer leads to.
	Digest Digest
	// Confirmed is set when a quorum of the control instances has confirmed the
	// source's view as current, Age ago.
	Confirmed bool
	Age       time.Duration
}

// WaiterID names a waiting subscriber to the code that drives the source.
type WaiterID uint64

// Delivery is an answer to a subscriber that waited.
type Delivery struct {
	Waiter WaiterID
	Answer Answer
}

// Source holds the newest view and the deltas that led to it. Views must be
// published with rising revisions. It isn't safe for concurrent use.
type Source struct {
	view   *core.View
	digest Digest
	size   int
	// deltas holds past changes, oldest first.
	deltas     []*Delta
	deltaBytes int
	// start is the digest of the view that the oldest delta starts at.
	start Digest
	// merged holds the merged deltas that were sent since the last change.
	merged map[core.Revision]*Delta
	// confirmed is when a quorum last confirmed the view as current. It is
	// zero if none has.
	confirmed time.Time
	waiters   waiters
	refused   int64
}

// NewSource returns a source without a view.
func NewSource() *Source {
	return &Source{view: &core.View{}, merged: make(map[core.Revision]*Delta)}
}

// View returns the newest view. Before the first, its revision is zero.
func (s *Source) View() *core.View {
	return s.view
}

// Digest returns the digest of the newest view.
func (s *Source) Digest() Digest {
	return s.digest
}

// Refused returns how many subscribers were refused because too many waited.
func (s *Source) Refused() int64 {
	return s.refused
}

// Publish takes a newer view and returns the answers to all that wait. A view
// that isn't newer changes nothing.
func (s *Source) Publish(now time.Time, view *core.View) []Delivery {
	if view.Revision <= s.view.Revision {
		return nil
	}
	digest := DigestOf(view)
	if s.view.Revision == 0 {
		s.start = digest
	} else {
		s.keep(Diff(s.view, view, digest))
	}
	s.view, s.digest, s.size = view, digest, SizeOf(view)
	clear(s.merged)
	return s.deliverAll(now)
}

// keep adds a delta and drops the oldest ones that are too many.
func (s *Source) keep(delta *Delta) {
	s.deltas = append(s.deltas, delta)
	s.deltaBytes += delta.Size()
	for len(s.deltas) > MaxDeltas || s.deltaBytes > MaxDeltaBytes && len(s.deltas) > 0 {
		s.start = s.deltas[0].Digest
		s.deltaBytes -= s.deltas[0].Size()
		s.deltas = s.deltas[1:]
	}
}

// Confirm notes that a quorum confirmed the newest view as current at the given
// time. An earlier time than one noted before changes nothing.
func (s *Source) Confirm(at time.Time) {
	if at.After(s.confirmed) {
		s.confirmed = at
	}
}

// Confirmed returns when a quorum last confirmed the view, and false if none
// has.
func (s *Source) Confirmed() (time.Time, bool) {
	return s.confirmed, !s.confirmed.IsZero()
}

// Answer returns the answer to a request as things stand. It reports whether
// there is no point in waiting: the answer carries something newer, or this
// source is behind what the subscriber needs.
func (s *Source) Answer(now time.Time, request Request) (Answer, bool) {
	answer := s.bare(now)
	if max(request.Have, request.Floor) > s.view.Revision {
		return answer, true
	}
	if s.view.Revision == 0 {
		return answer, false
	}
	if request.Have == s.view.Revision && request.Digest == s.digest {
		return answer, false
	}
	answer.Delta = s.deltaFrom(request)
	if answer.Delta == nil {
		answer.View = s.view
	}
	return answer, true
}

func (s *Source) bare(now time.Time) Answer {
	answer := Answer{Current: s.view.Revision, Digest: s.digest}
	if !s.confirmed.IsZero() {
		answer.Confirmed = true
		answer.Age = max(0, now.Sub(s.confirmed))
	}
	return answer
}

// deltaFrom returns the merged delta from the view that a subscriber has. It
// returns nil when the whole view must do: the view is too old, not one of this
// source, or the delta would be longer.
func (s *Source) deltaFrom(request Request) *Delta {
	merged, known := s.merged[request.Have]
	if known && s.digestAt(request.Have) == request.Digest {
		return merged
	}
	for i, delta := range s.deltas {
		if delta.From != request.Have {
			continue
		}
		if s.digestAt(request.Have) != request.Digest {
			return nil
		}
		merged = Merge(s.deltas[i:])
		if merged.Size() > s.size {
			return nil
		}
		s.merged[request.Have] = merged
		return merged
	}
	return nil
}

// digestAt returns the digest of the view at a revision that a kept delta
// starts at.
func (s *Source) digestAt(revision core.Revision) Digest {
	digest := s.start
	for _, delta := range s.deltas {
		if delta.From == revision {
			return digest
		}
		digest = delta.Digest
	}
	return 0
}

// Wait answers a request at once if there is no point in waiting, and otherwise
// lets the subscriber wait until then or until the given time. It reports
// whether it answered. When too many wait already, it answers at once and
// counts a refusal.
func (s *Source) Wait(now time.Time, waiter WaiterID, request Request, until time.Time) (Answer, bool) {
	answer, ready := s.Answer(now, request)
	if ready || !until.After(now) {
		return answer, true
	}
	if len(s.waiters) >= MaxWaiters {
		s.refused++
		return answer, true
	}
	heap.Push(&s.waiters, waiting{waiter: waiter, request: request, until: until})
	return Answer{}, false
}

// deliverAll answers all that wait.
func (s *Source) deliverAll(now time.Time) []Delivery {
	var deliveries []Delivery
	for len(s.waiters) > 0 {
		deliveries = append(deliveries, s.deliverFirst(now))
	}
	return deliveries
}

// ExpireWaiters returns the answers to those who have waited until their time.
func (s *Source) ExpireWaiters(now time.Time) []Delivery {
	var deliveries []Delivery
	for len(s.waiters) > 0 && !now.Before(s.waiters[0].until) {
		deliveries = append(deliveries, s.deliverFirst(now))
	}
	return deliveries
}

func (s *Source) deliverFirst(now time.Time) Delivery {
	first := heap.Pop(&s.waiters).(waiting)
	answer, _ := s.Answer(now, first.request)
	return Delivery{Waiter: first.waiter, Answer: answer}
}

// Invalidate forgets all that wait, and the confirmation: the source no longer
// answers for the group.
func (s *Source) Invalidate() {
	s.waiters = nil
	s.confirmed = time.Time{}
}

// NextDeadline returns when the first waiter's time is up, and false if none waits.
func (s *Source) NextDeadline() (time.Time, bool) {
	if len(s.waiters) == 0 {
		return time.Time{}, false
	}
	return s.waiters[0].until, true
}

// waiting is a subscriber that waits for something newer.
type waiting struct {
	waiter  WaiterID
	request Request
	until   time.Time
}

// waiters is a heap by the time until which they wait; it implements
// heap.Interface.
type waiters []waiting

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].until.Equal(w[j].until) {
		return w[i].waiter < w[j].waiter
	}
	return w[i].until.Before(w[j].until)
}

func (w waiters) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

func (w *waiters) Push(x any) { *w = append(*w, x.(waiting)) }

func (w *waiters) Pop() any {
	last := (*w)[len(*w)-1]
	*w = (*w)[:len(*w)-1]
	return last
}
