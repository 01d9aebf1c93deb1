package publish

import (
	"container/heap"
	"time"

	"zinniapulley.dev/core"
)

// Limits of a source.
const (
	// MaxDeltas is the maximum number of past deltas that a source keeps.
	MaxDeltas = 4096
	// MaxDeltaBytes is their maximum total size as returned by Delta.Size.
	MaxDeltaBytes = 4 << 20
	// MaxWaiters is the maximum number of waiting subscribers.
	MaxWaiters = 4096
)

// Request states which view a subscriber has and which it needs.
type Request struct {
	// Have is the revision in force at the subscriber, zero for none.
	Have core.Revision
	// Digest is the digest of the view in force.
	Digest Digest
	// Floor is the oldest revision that the subscriber accepts.
	Floor core.Revision
}

// Answer is a source's answer to a subscriber. At most one of Delta and View is
// set; with neither, the source has no newer view.
type Answer struct {
	// Current is the newest revision of the source.
	Current core.Revision
	Delta   *Delta
	View    *core.View
	// Digest is the digest of the view that the answer leads to.
	Digest Digest
	// Confirmed is set when a quorum of the control instances has confirmed the
	// source's view as current, Age ago.
	Confirmed bool
	Age       time.Duration
}

// WaiterID identifies a waiting subscriber to the caller of the source.
type WaiterID uint64

// Delivery is an answer to a waiting subscriber.
type Delivery struct {
	Waiter WaiterID
	Answer Answer
}

// Source holds the newest view and the deltas that led to it. It isn't safe for
// concurrent use.
type Source struct {
	view   *core.View
	digest Digest
	size   int
	// deltas holds past changes, oldest first.
	deltas     []*Delta
	deltaBytes int
	// startDigest is the digest of the view that the oldest delta starts at.
	startDigest Digest
	// mergeCache holds the merged deltas to the newest view by the revision at
	// which they start. It is cleared with each new view.
	mergeCache map[core.Revision]*Delta
	// confirmed is when a quorum last confirmed the view as current, or zero.
	confirmed time.Time
	waiters   waiterHeap
	refused   int64
}

// NewSource returns a source without a view.
func NewSource() *Source {
	return &Source{view: &core.View{}, mergeCache: make(map[core.Revision]*Delta)}
}

// View returns the newest view. Before the first, its revision is zero.
func (s *Source) View() *core.View {
	return s.view
}

// Digest returns the digest of the newest view.
func (s *Source) Digest() Digest {
	return s.digest
}

// Refused returns how many requests were answered without a wait because
// MaxWaiters subscribers were waiting.
func (s *Source) Refused() int64 {
	return s.refused
}

// Publish sets a newer view and returns the answers to all waiting subscribers.
// It ignores a view that isn't newer.
func (s *Source) Publish(now time.Time, view *core.View) []Delivery {
	if view.Revision <= s.view.Revision {
		return nil
	}
	digest := DigestOf(view)
	if s.view.Revision == 0 {
		s.startDigest = digest
	} else {
		s.appendDelta(Diff(s.view, view, digest))
	}
	s.view, s.digest, s.size = view, digest, SizeOf(view)
	clear(s.mergeCache)
	return s.deliverAll(now)
}

// appendDelta appends a delta and evicts the oldest ones above the limits.
func (s *Source) appendDelta(delta *Delta) {
	s.deltas = append(s.deltas, delta)
	s.deltaBytes += delta.Size()
	for len(s.deltas) > MaxDeltas || s.deltaBytes > MaxDeltaBytes && len(s.deltas) > 0 {
		s.startDigest = s.deltas[0].Digest
		s.deltaBytes -= s.deltas[0].Size()
		s.deltas = s.deltas[1:]
	}
}

// Confirm records that a quorum confirmed the newest view as current at the
// given time. It ignores a time earlier than the recorded one.
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

// Answer returns the current answer to a request. It also reports whether the
// answer is final, so that the subscriber needn't wait: the answer carries a newer
// view, or this source is behind what the subscriber has or needs.
func (s *Source) Answer(now time.Time, request Request) (Answer, bool) {
	answer := s.statusAnswer(now)
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

func (s *Source) statusAnswer(now time.Time) Answer {
	answer := Answer{Current: s.view.Revision, Digest: s.digest}
	if !s.confirmed.IsZero() {
		answer.Confirmed = true
		answer.Age = max(0, now.Sub(s.confirmed))
	}
	return answer
}

// deltaFrom returns the merged delta from the view that a subscriber has. It
// returns nil if the whole view must be sent: the subscriber's view is too old
// or isn't from this history, or the delta would be longer.
func (s *Source) deltaFrom(request Request) *Delta {
	merged, known := s.mergeCache[request.Have]
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
		s.mergeCache[request.Have] = merged
		return merged
	}
	return nil
}

// digestAt returns the digest of the view at the start of a kept delta, and
// zero if no kept delta starts at the revision.
func (s *Source) digestAt(revision core.Revision) Digest {
	digest := s.startDigest
	for _, delta := range s.deltas {
		if delta.From == revision {
			return digest
		}
		digest = delta.Digest
	}
	return 0
}

// Wait answers a request at once if the answer is final, and otherwise adds the
// subscriber to the waiters until a newer view or the deadline. It reports
// whether it answered. With MaxWaiters waiters, it answers at once and counts a
// refusal.
func (s *Source) Wait(now time.Time, id WaiterID, request Request, deadline time.Time) (Answer, bool) {
	answer, final := s.Answer(now, request)
	if final || !deadline.After(now) {
		return answer, true
	}
	if len(s.waiters) >= MaxWaiters {
		s.refused++
		return answer, true
	}
	heap.Push(&s.waiters, waiter{id: id, request: request, deadline: deadline})
	return Answer{}, false
}

// deliverAll returns the answers to all waiters.
func (s *Source) deliverAll(now time.Time) []Delivery {
	var deliveries []Delivery
	for len(s.waiters) > 0 {
		deliveries = append(deliveries, s.deliverFirst(now))
	}
	return deliveries
}

// ExpireWaiters removes the waiters whose deadline has passed and returns their
// answers.
func (s *Source) ExpireWaiters(now time.Time) []Delivery {
	var deliveries []Delivery
	for len(s.waiters) > 0 && !now.Before(s.waiters[0].deadline) {
		deliveries = append(deliveries, s.deliverFirst(now))
	}
	return deliveries
}

func (s *Source) deliverFirst(now time.Time) Delivery {
	first := heap.Pop(&s.waiters).(waiter)
	answer, _ := s.Answer(now, first.request)
	return Delivery{Waiter: first.id, Answer: answer}
}

// Invalidate discards the waiters and the confirmation. It is called when the
// instance can no longer answer for the control group.
func (s *Source) Invalidate() {
	s.waiters = nil
	s.confirmed = time.Time{}
}

// NextDeadline returns the earliest deadline of a waiter, and false without
// waiters.
func (s *Source) NextDeadline() (time.Time, bool) {
	if len(s.waiters) == 0 {
		return time.Time{}, false
	}
	return s.waiters[0].deadline, true
}

// waiter is a subscriber that waits for a newer view.
type waiter struct {
	id       WaiterID
	request  Request
	deadline time.Time
}

// waiterHeap is a heap.Interface ordered by deadline.
type waiterHeap []waiter

func (w waiterHeap) Len() int { return len(w) }

func (w waiterHeap) Less(i, j int) bool {
	if w[i].deadline.Equal(w[j].deadline) {
		return w[i].id < w[j].id
	}
	return w[i].deadline.Before(w[j].deadline)
}

func (w waiterHeap) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

func (w *waiterHeap) Push(x any) { *w = append(*w, x.(waiter)) }

func (w *waiterHeap) Pop() any {
	last := (*w)[len(*w)-1]
	*w = (*w)[:len(*w)-1]
	return last
}
