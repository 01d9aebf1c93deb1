package admission

import (
	"time"

	"zinniapulley.dev/core"
)

// SlotLimits bounds the requests that one backend server runs at once.
type SlotLimits struct {
	// Hard is the bound configured by operators. It is never exceeded.
	Hard int
	// Cold is the bound in cold start, at least 1 and at most Hard.
	Cold int
	// RaiseAfter is how many answers in time, given while the bound was fully
	// used, raise it by one.
	RaiseAfter int
	// SlowFactor is the multiple of the baseline latency above which an answer
	// is slow.
	SlowFactor int
	// SlowAnswers is how many slow answers in a row indicate cold start.
	SlowAnswers int
	// ReservationTTL is how long a reservation lasts without being started.
	ReservationTTL time.Duration
	// StopGrace is how long a backend server may go on with a request after
	// its cancellation. The slot stays taken for that long.
	StopGrace time.Duration
	// Pause is how long nothing is admitted after a backend server refused its
	// only request or its connection failed. It doubles up to MaxPause.
	Pause    time.Duration
	MaxPause time.Duration
}

// DefaultSlotLimits returns the limits for a backend server with the given
// number of slots.
func DefaultSlotLimits(slots int) SlotLimits {
	return SlotLimits{
		Hard:           slots,
		Cold:           min(1, slots),
		RaiseAfter:     4,
		SlowFactor:     4,
		SlowAnswers:    3,
		ReservationTTL: 500 * time.Millisecond,
		StopGrace:      200 * time.Millisecond,
		Pause:          50 * time.Millisecond,
		MaxPause:       2 * time.Second,
	}
}

// SlotRefusal is why a request gets no slot. Nothing of a refused request was sent
// to the backend server.
type SlotRefusal uint8

const (
	// SlotGranted means that the request has a slot.
	SlotGranted SlotRefusal = iota
	// SlotFull means that all slots of the current bound are taken.
	SlotFull
	// SlotPaused means that admission is paused after a refusal, a connection
	// failure or a start of the companion.
	SlotPaused
	// SlotDraining means that the backend server accepts no new requests.
	SlotDraining
	// SlotNotReserved means that the reservation is unknown or has expired.
	SlotNotReserved
	// SlotAlreadyStarted means that the attempt was started before.
	SlotAlreadyStarted
)

// String returns the refusal in words.
func (r SlotRefusal) String() string {
	names := [...]string{"granted", "full", "paused", "draining", "not reserved", "started before"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// SlotEnd is how a running request ended.
type SlotEnd uint8

const (
	// SlotAnswered is a complete answer before the request's deadline.
	SlotAnswered SlotEnd = iota + 1
	// SlotShed is a refusal by the backend server itself.
	SlotShed
	// SlotUnreachable is a connection that the backend server did not accept.
	SlotUnreachable
	// SlotBroken is a connection that broke after the request was sent. The
	// backend server may still be running the request.
	SlotBroken
	// SlotTimedOut is a request without an answer at its deadline. The backend
	// server may still be running it.
	SlotTimedOut
	// SlotCancelled is a cancelled request, which the backend server may still
	// be running.
	SlotCancelled
	// SlotWithdrawn is a request that was never sent to the backend server.
	SlotWithdrawn
)

// SlotCounts is what a companion reports to its peers about its slots.
type SlotCounts struct {
	// Bound is how many requests may be reserved or running now.
	Bound int
	// Reserved and Running count the slots taken; Running includes requests
	// that ended without an answer and may still be running.
	Reserved int
	Running  int
}

// Free returns how many more requests may be reserved now.
func (c SlotCounts) Free() int {
	return max(0, c.Bound-c.Reserved-c.Running)
}

type slotState uint8

const (
	slotReserved slotState = iota + 1
	slotRunning
	// slotStopping is a slot whose request has ended without an answer, but which
	// the backend server may still be running.
	slotStopping
)

type slot struct {
	state slotState
	// until is when a reserved or stopping slot becomes free.
	until time.Time
	// started is when the request was sent to the backend server.
	started time.Time
}

// Slots manages the request slots of one backend server. A slot is reserved,
// started and finished; a reservation that is not started expires. The number of
// slots adapts to the backend server's answers and never exceeds the hard bound.
type Slots struct {
	limits   SlotLimits
	startID  core.StartID
	held     map[core.AttemptID]*slot
	reserved int
	running  int
	draining bool
	adaptive adaptiveBound
}

// NewSlots returns the slots of a backend server in cold start. They are paused for
// the stop grace, since requests of an earlier start of the companion may still be
// running uncounted.
func NewSlots(now time.Time, limits SlotLimits, startID core.StartID) *Slots {
	s := &Slots{
		limits:   limits,
		startID:  startID,
		held:     make(map[core.AttemptID]*slot),
		adaptive: newAdaptiveBound(limits),
	}
	s.adaptive.pausedUntil = now.Add(limits.StopGrace)
	return s
}

// Counts returns the slots taken and the bound at the given time.
func (s *Slots) Counts(now time.Time) SlotCounts {
	bound := s.adaptive.boundAt(now)
	if s.draining {
		bound = 0
	}
	return SlotCounts{Bound: bound, Reserved: s.reserved, Running: s.running}
}

// Reserve reserves a slot for an attempt. Reserving an attempt again renews its
// reservation.
func (s *Slots) Reserve(now time.Time, id core.AttemptID) SlotRefusal {
	s.Expire(now)
	if held, ok := s.held[id]; ok {
		return s.renew(now, held)
	}
	if s.draining {
		return SlotDraining
	}
	if s.adaptive.pausedAt(now) {
		return SlotPaused
	}
	if s.Counts(now).Free() == 0 {
		return SlotFull
	}
	s.held[id] = &slot{state: slotReserved, until: now.Add(s.limits.ReservationTTL)}
	s.reserved++
	return SlotGranted
}

func (s *Slots) renew(now time.Time, held *slot) SlotRefusal {
	if held.state != slotReserved {
		return SlotAlreadyStarted
	}
	held.until = now.Add(s.limits.ReservationTTL)
	return SlotGranted
}

// Start turns a reservation into a running request. It refuses if the running
// requests already reach the bound, so that a backend server that fell back into
// cold start after the reservation is not overloaded.
func (s *Slots) Start(now time.Time, id core.AttemptID) SlotRefusal {
	s.Expire(now)
	held, ok := s.held[id]
	if !ok {
		return SlotNotReserved
	}
	if held.state != slotReserved {
		return SlotAlreadyStarted
	}
	if s.running >= s.adaptive.boundAt(now) {
		s.drop(id)
		return SlotFull
	}
	s.reserved--
	s.running++
	*held = slot{state: slotRunning, started: now}
	return SlotGranted
}

// Cancel releases a reservation. It returns false if the attempt is not reserved: a
// running one is ended by Finish.
func (s *Slots) Cancel(id core.AttemptID) bool {
	held, ok := s.held[id]
	if !ok || held.state != slotReserved {
		return false
	}
	s.drop(id)
	return true
}

// Finish records how a running request ended. The slot of a request that the
// backend server may still be running stays taken for the stop grace. An
// unknown attempt is ignored: it belongs to an earlier start.
func (s *Slots) Finish(now time.Time, id core.AttemptID, end SlotEnd) {
	held, ok := s.held[id]
	if !ok || held.state != slotRunning {
		return
	}
	s.adaptive.record(now, end, now.Sub(held.started), s.running)
	if !mayStillRun(end) {
		s.drop(id)
		return
	}
	held.state = slotStopping
	held.until = now.Add(s.limits.StopGrace)
}

// mayStillRun reports whether the backend server may be running a request
// after it ended in this way.
func mayStillRun(end SlotEnd) bool {
	return end == SlotBroken || end == SlotTimedOut || end == SlotCancelled
}

// Restarted records the start id that the backend server announces. A new one
// means cold start. Slots stay taken until their requests end: a request in transit
// when the backend server restarted may be run after the restart.
func (s *Slots) Restarted(startID core.StartID) {
	if startID == s.startID {
		return
	}
	s.startID = startID
	s.adaptive = newAdaptiveBound(s.limits)
}

// SetDraining stops or resumes reservations.
func (s *Slots) SetDraining(draining bool) {
	s.draining = draining
}

// Expire frees the slots whose reservation or stop grace has ended.
func (s *Slots) Expire(now time.Time) {
	for id, held := range s.held {
		if held.state != slotRunning && !now.Before(held.until) {
			s.drop(id)
		}
	}
}

// Deadline returns when Expire or the end of a pause is due next.
func (s *Slots) Deadline() (time.Time, bool) {
	due := s.adaptive.pausedUntil
	for _, held := range s.held {
		if held.state == slotRunning {
			continue
		}
		if due.IsZero() || held.until.Before(due) {
			due = held.until
		}
	}
	return due, !due.IsZero()
}

// Wake expires what is due at the given time.
func (s *Slots) Wake(now time.Time) {
	s.Expire(now)
	s.adaptive.endPause(now)
}

func (s *Slots) drop(id core.AttemptID) {
	if s.held[id].state == slotReserved {
		s.reserved--
	} else {
		s.running--
	}
	delete(s.held, id)
}
