package admission_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
	"zinniapulley.dev/admission"
	"zinniapulley.dev/core"
)

var slotEpoch = time.Unix(1_000_000, 0)

func attempt(n int) core.AttemptID {
	return core.AttemptID{Request: core.RequestID{Companion: "c1", Number: uint64(n)}, Number: 1}
}

// newSlots returns slots whose first pause is over at slotEpoch.
func newSlots(limits admission.SlotLimits) *admission.Slots {
	return admission.NewSlots(slotEpoch.Add(-limits.StopGrace), limits, 1)
}

// answer runs one request that is answered after the given latency.
func answer(s *admission.Slots, now time.Time, n int, latency time.Duration) time.Time {
	s.Reserve(now, attempt(n))
	s.Start(now, attempt(n))
	now = now.Add(latency)
	s.Finish(now, attempt(n), admission.SlotAnswered)
	return now
}

// warm raises the bound to the hard bound by answers in time.
func warm(s *admission.Slots, now time.Time, hard int) time.Time {
	n := 1_000
	for s.Counts(now).Bound < hard {
		bound := s.Counts(now).Bound
		for i := range bound {
			s.Reserve(now, attempt(n+i))
			s.Start(now, attempt(n+i))
		}
		now = now.Add(10 * time.Millisecond)
		for i := range bound {
			s.Finish(now, attempt(n+i), admission.SlotAnswered)
		}
		n += bound
	}
	return now
}

func TestFreshBackendServerStartsColdAndIsRaisedByAnswersInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSlots(admission.DefaultSlotLimits(5))
	g.Expect(s.Reserve(slotEpoch, attempt(1))).To(gomega.Equal(admission.SlotGranted))
	g.Expect(s.Reserve(slotEpoch, attempt(2))).To(gomega.Equal(admission.SlotFull))
	s.Cancel(attempt(1))
	now := warm(s, slotEpoch, 5)
	g.Expect(s.Counts(now).Free()).To(gomega.Equal(5))
}

func TestSlotsFallBackIntoColdStartOnSignsInTraffic(t *testing.T) {
	latency := 10 * time.Millisecond
	cases := map[string]func(s *admission.Slots, now time.Time){
		"broken connection": func(s *admission.Slots, now time.Time) {
			s.Reserve(now, attempt(1))
			s.Start(now, attempt(1))
			s.Finish(now, attempt(1), admission.SlotBroken)
		},
		"refused connection": func(s *admission.Slots, now time.Time) {
			s.Reserve(now, attempt(1))
			s.Start(now, attempt(1))
			s.Finish(now, attempt(1), admission.SlotUnreachable)
		},
		"slow answers": func(s *admission.Slots, now time.Time) {
			for n := range 3 {
				now = answer(s, now, n+1, 8*latency)
			}
		},
		"new start id": func(s *admission.Slots, _ time.Time) { s.Restarted(2) },
		"shed its only request": func(s *admission.Slots, now time.Time) {
			s.Reserve(now, attempt(1))
			s.Start(now, attempt(1))
			s.Finish(now, attempt(1), admission.SlotShed)
		},
	}
	for name, fall := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newSlots(admission.DefaultSlotLimits(5))
			now := warm(s, slotEpoch, 5)
			fall(s, now)
			g.Expect(s.Counts(now.Add(time.Minute)).Bound).To(gomega.Equal(1))
		})
	}
}

func TestShedCutsBelowWhatWasRunning(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSlots(admission.DefaultSlotLimits(5))
	now := warm(s, slotEpoch, 5)
	for n := range 4 {
		s.Reserve(now, attempt(n))
		s.Start(now, attempt(n))
	}
	s.Finish(now, attempt(0), admission.SlotShed)
	g.Expect(s.Counts(now).Bound).To(gomega.Equal(3))
	g.Expect(s.Reserve(now, attempt(9))).To(gomega.Equal(admission.SlotFull))
}

func TestReservationThatIsNotStartedExpires(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := admission.DefaultSlotLimits(1)
	s := newSlots(limits)
	g.Expect(s.Reserve(slotEpoch, attempt(1))).To(gomega.Equal(admission.SlotGranted))
	late := slotEpoch.Add(limits.ReservationTTL)
	g.Expect(s.Reserve(late, attempt(2))).To(gomega.Equal(admission.SlotGranted))
	g.Expect(s.Start(late, attempt(1))).To(gomega.Equal(admission.SlotNotReserved))
}

func TestCancelledRequestKeepsItsSlotUntilTheBackendServerHasStopped(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := admission.DefaultSlotLimits(1)
	s := newSlots(limits)
	s.Reserve(slotEpoch, attempt(1))
	s.Start(slotEpoch, attempt(1))
	s.Finish(slotEpoch, attempt(1), admission.SlotCancelled)
	g.Expect(s.Reserve(slotEpoch, attempt(2))).To(gomega.Equal(admission.SlotFull))
	g.Expect(s.Reserve(slotEpoch.Add(limits.StopGrace), attempt(2))).To(gomega.Equal(admission.SlotGranted))
}

func TestDrainingRefusesReservationsButStartsExistingOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSlots(admission.DefaultSlotLimits(2))
	s.Reserve(slotEpoch, attempt(1))
	s.SetDraining(true)
	g.Expect(s.Reserve(slotEpoch, attempt(2))).To(gomega.Equal(admission.SlotDraining))
	g.Expect(s.Start(slotEpoch, attempt(1))).To(gomega.Equal(admission.SlotGranted))
}

// TestHardBoundHoldsAtAnyInterleaving compares the slots with a reference model: a
// map of the requests that the backend server may be running.
func TestHardBoundHoldsAtAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hard := rapid.IntRange(1, 4).Draw(t, "hard")
		limits := admission.DefaultSlotLimits(hard)
		limits.RaiseAfter = 1
		s := newSlots(limits)
		now := slotEpoch
		start := core.StartID(1)
		// busyUntil is until when attempts may run, zero while they have not ended.
		busyUntil := map[core.AttemptID]time.Time{}
		id := func() core.AttemptID { return attempt(rapid.IntRange(0, 9).Draw(t, "attempt")) }
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(*rapid.T) { s.Reserve(now, id()) },
			"start": func(t *rapid.T) {
				a := id()
				bound := s.Counts(now).Bound
				if s.Start(now, a) != admission.SlotGranted {
					return
				}
				if until, ok := busyUntil[a]; ok && (until.IsZero() || now.Before(until)) {
					t.Fatalf("attempt %v started twice", a)
				}
				busyUntil[a] = time.Time{}
				if running := busy(busyUntil, now); running > bound {
					t.Fatalf("%d running with a bound of %d", running, bound)
				}
			},
			"finish": func(t *rapid.T) {
				a := id()
				until, ok := busyUntil[a]
				if !ok || !until.IsZero() {
					return
				}
				end := admission.SlotEnd(rapid.IntRange(int(admission.SlotAnswered), int(admission.SlotWithdrawn)).Draw(t, "end"))
				s.Finish(now, a, end)
				delete(busyUntil, a)
				if end == admission.SlotBroken || end == admission.SlotTimedOut || end == admission.SlotCancelled {
					busyUntil[a] = now.Add(limits.StopGrace)
				}
			},
			"cancel": func(*rapid.T) { s.Cancel(id()) },
			"restart": func(*rapid.T) {
				start++
				s.Restarted(start)
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond)
				s.Wake(now)
			},
			"": func(t *rapid.T) {
				counts := s.Counts(now)
				if running := busy(busyUntil, now); running > hard || running > counts.Running {
					t.Fatalf("%d may run, %d counted, hard bound %d", running, counts.Running, hard)
				}
			},
		})
	})
}

func busy(busyUntil map[core.AttemptID]time.Time, now time.Time) int {
	count := 0
	for _, until := range busyUntil {
		if until.IsZero() || now.Before(until) {
			count++
		}
	}
	return count
}

func TestReservationsBeyondACutBoundAreNotStarted(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSlots(admission.DefaultSlotLimits(3))
	now := warm(s, slotEpoch, 3)
	for n := range 3 {
		g.Expect(s.Reserve(now, attempt(n))).To(gomega.Equal(admission.SlotGranted))
	}
	g.Expect(s.Start(now, attempt(0))).To(gomega.Equal(admission.SlotGranted))
	s.Restarted(2)
	g.Expect(s.Start(now, attempt(1))).To(gomega.Equal(admission.SlotFull))
	s.Finish(now, attempt(0), admission.SlotAnswered)
	g.Expect(s.Start(now, attempt(2))).To(gomega.Equal(admission.SlotGranted))
}

func TestRestartedCompanionWaitsForRequestsThatMayStillRun(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := admission.DefaultSlotLimits(1)
	s := admission.NewSlots(slotEpoch, limits, 1)
	g.Expect(s.Reserve(slotEpoch, attempt(1))).To(gomega.Equal(admission.SlotPaused))
	g.Expect(s.Reserve(slotEpoch.Add(limits.StopGrace), attempt(1))).To(gomega.Equal(admission.SlotGranted))
}

func TestRequestInTransitKeepsItsSlotOverABackendServerRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSlots(admission.DefaultSlotLimits(5))
	s.Reserve(slotEpoch, attempt(1))
	s.Start(slotEpoch, attempt(1))
	s.Restarted(2)
	g.Expect(s.Reserve(slotEpoch, attempt(2))).To(gomega.Equal(admission.SlotFull))
}

func TestTimeOutAfterAShortRunIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSlots(admission.DefaultSlotLimits(5))
	now := warm(s, slotEpoch, 5)
	timeOut := func(n int, after time.Duration) {
		s.Reserve(now, attempt(n))
		s.Start(now, attempt(n))
		now = now.Add(after)
		s.Finish(now, attempt(n), admission.SlotTimedOut)
	}
	for n := range 5 {
		timeOut(n, time.Millisecond)
	}
	now = now.Add(time.Minute)
	g.Expect(s.Counts(now).Bound).To(gomega.Equal(5))
	for n := range 3 {
		timeOut(10+n, 30*time.Millisecond)
	}
	g.Expect(s.Counts(now).Bound).To(gomega.Equal(1))
}
