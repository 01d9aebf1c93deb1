package claim_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
	"zinniapulley.dev/claim"
	"zinniapulley.dev/core"
)

// execution is the reference model's record of one run on a backend server.
type execution struct {
	digest   claim.Digest
	ended    bool
	notRun   bool
	answered bool
	recorded bool
}

// submission is one attempt of a caller.
type submission struct {
	key       claim.Key
	digest    claim.Digest
	companion core.InstanceID
	run       *execution
	ended     bool
}

// claimWorld runs coordinators over one table. Messages stay in flight until
// the test delivers, repeats or drops them, in any order. The reference model
// is the list of executions of each key.
type claimWorld struct {
	now          time.Time
	table        *claim.Table
	coordinators map[core.InstanceID]*claim.Coordinator
	incarnation  uint64
	inFlight     []func()
	timeouts     []func()
	submissions  map[core.AttemptID]*submission
	order        []core.AttemptID
	executions   map[claim.Key][]*execution
	outcomes     map[core.AttemptID]claim.Outcome
	fail         func(format string, args ...any)
}

var companions = []core.InstanceID{"c1", "c2", "c3"}

func newClaimWorld(fail func(string, ...any)) *claimWorld {
	w := &claimWorld{
		now:          epoch,
		table:        claim.NewTable(claim.DefaultTableLimits()),
		coordinators: make(map[core.InstanceID]*claim.Coordinator),
		submissions:  make(map[core.AttemptID]*submission),
		executions:   make(map[claim.Key][]*execution),
		outcomes:     make(map[core.AttemptID]claim.Outcome),
		fail:         fail,
	}
	for _, companion := range companions {
		w.restart(companion)
	}
	return w
}

func (w *claimWorld) restart(companion core.InstanceID) {
	w.incarnation++
	coordinator := claim.NewCoordinator(claim.DefaultCoordinatorLimits(), companion, 1, w.incarnation)
	w.coordinators[companion] = coordinator
	startup := coordinator.StartupProposal(w.now)
	w.inFlight = append(w.inFlight, func() { w.table.Apply(startup.Command) })
	for _, attempt := range w.order {
		s := w.submissions[attempt]
		if s.companion == companion && !s.ended {
			s.ended = true
			if s.run != nil {
				s.run.ended = true
			}
		}
	}
}

func (w *claimWorld) submit(companion core.InstanceID, k claim.Key, digest claim.Digest) core.AttemptID {
	attempt := core.AttemptID{Request: core.RequestID{Companion: companion, Number: uint64(len(w.order))}}
	w.submissions[attempt] = &submission{key: k, digest: digest, companion: companion}
	w.order = append(w.order, attempt)
	w.handle(companion, claim.Begin{Attempt: attempt, Key: k, Digest: digest})
	return attempt
}

func (w *claimWorld) handle(companion core.InstanceID, event claim.Event) {
	coordinator := w.coordinators[companion]
	w.perform(companion, coordinator, coordinator.Handle(w.now, event))
}

func (w *claimWorld) perform(companion core.InstanceID, coordinator *claim.Coordinator, actions []claim.Action) {
	post := func(message func()) { w.inFlight = append(w.inFlight, message) }
	toCoordinator := func(event claim.Event) func() {
		return func() {
			if w.coordinators[companion] == coordinator {
				w.handle(companion, event)
			}
		}
	}
	for _, action := range actions {
		switch a := action.(type) {
		case claim.Propose:
			post(func() { post(toCoordinator(claim.Resolved{Command: a.Command, Result: w.table.Apply(a.Command)})) })
			w.timeouts = append(w.timeouts, toCoordinator(claim.Unresolved(a)))
		case claim.QueryHolder:
			post(func() {
				w.handle(a.Holder.Companion, claim.HolderQueried{Requester: companion, Attempt: a.Attempt, Holder: a.Holder})
			})
			w.timeouts = append(w.timeouts, toCoordinator(claim.HolderAnswered{Attempt: a.Attempt, Status: claim.HolderUnreachable}))
		case claim.SendHolderStatus:
			post(func() { w.handle(a.Requester, claim.HolderAnswered{Attempt: a.Attempt, Status: a.Status}) })
		case claim.Execute:
			w.execute(w.submissions[a.Attempt])
		case claim.EndAttempt:
			w.endAttempt(w.submissions[a.Attempt], a)
		}
	}
}

func (w *claimWorld) execute(s *submission) {
	for _, earlier := range w.executions[s.key] {
		if !earlier.notRun {
			w.fail("key %v runs a second time", s.key)
		}
	}
	s.run = &execution{digest: s.digest}
	w.executions[s.key] = append(w.executions[s.key], s.run)
}

func (w *claimWorld) endAttempt(s *submission, a claim.EndAttempt) {
	s.ended = true
	w.outcomes[a.Attempt] = a.Outcome
	if a.Outcome != claim.OutcomeReplay {
		return
	}
	for _, earlier := range w.executions[s.key] {
		if earlier.recorded && earlier.digest == s.digest {
			return
		}
	}
	w.fail("key %v: replay of an answer that was never recorded", s.key)
}

func (w *claimWorld) end(s *submission, attempt core.AttemptID, end claim.End) {
	s.run.ended = true
	s.run.notRun = end == claim.EndNotRun
	s.run.answered = end == claim.EndAnswered || end == claim.EndAnsweredUnrecorded
	s.run.recorded = end == claim.EndAnswered
	if !s.run.notRun {
		s.ended = true
	}
	w.handle(s.companion, claim.Ended{Attempt: attempt, End: end})
}

// deliver delivers one message in flight, with or without keeping a copy, or
// drops it.
func (w *claimWorld) deliver(t *rapid.T) {
	if len(w.inFlight) == 0 {
		return
	}
	at := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "message")
	message := w.inFlight[at]
	fate := rapid.SampledFrom([]string{"deliver", "deliver", "deliver", "deliver", "repeat", "lose"}).Draw(t, "fate")
	if fate != "repeat" {
		w.inFlight = append(w.inFlight[:at], w.inFlight[at+1:]...)
	}
	if fate != "lose" {
		message()
	}
}

// timeout fires one of the pending timeouts of a result or an answer.
func (w *claimWorld) timeout(t *rapid.T) {
	if len(w.timeouts) == 0 {
		return
	}
	at := rapid.IntRange(0, len(w.timeouts)-1).Draw(t, "timeout")
	fire := w.timeouts[at]
	w.timeouts = append(w.timeouts[:at], w.timeouts[at+1:]...)
	fire()
}

func (w *claimWorld) wake() {
	w.now = w.now.Add(time.Second)
	for _, companion := range companions {
		coordinator := w.coordinators[companion]
		w.perform(companion, coordinator, coordinator.Wake(w.now))
	}
}

func (w *claimWorld) drawSubmission(t *rapid.T) (core.AttemptID, *submission) {
	attempt := rapid.SampledFrom(w.order).Draw(t, "attempt")
	return attempt, w.submissions[attempt]
}

func (w *claimWorld) step(t *rapid.T, name string) {
	switch name {
	case "submit":
		companion := rapid.SampledFrom(companions).Draw(t, "companion")
		digest := claim.Digest{rapid.SampledFrom([]byte{0, 0, 0, 0, 1}).Draw(t, "digest")}
		w.submit(companion, key("k"), digest)
	case "deliver":
		w.deliver(t)
	case "timeout":
		w.timeout(t)
	case "end":
		attempt, s := w.drawSubmission(t)
		if s.run != nil && !s.run.ended {
			w.end(s, attempt, claim.End(rapid.IntRange(int(claim.EndAnswered), int(claim.EndUnknown)).Draw(t, "end")))
		}
	case "withdraw":
		attempt, s := w.drawSubmission(t)
		if !s.ended && s.run == nil {
			w.handle(s.companion, claim.Withdrawn{Attempt: attempt})
		}
	case "restart":
		w.restart(rapid.SampledFrom(companions).Draw(t, "companion"))
	case "snapshot":
		w.table = claim.Restore(claim.DefaultTableLimits(), w.table.Snapshot())
	case "wake":
		w.wake()
	}
}

// stepWeights holds the relative frequency of each step.
var stepWeights = map[string]int{
	"submit": 6, "deliver": 24, "timeout": 2, "end": 4, "withdraw": 1, "restart": 1, "snapshot": 1, "wake": 1,
}

// TestKeyedRequestRunsAtMostOnce interleaves submissions of one key at several
// companions with lost, repeated and delayed messages, ends, withdrawals,
// restarts and snapshots of the table.
func TestKeyedRequestRunsAtMostOnce(t *testing.T) {
	var names []string
	for _, name := range []string{"deliver", "submit", "end", "timeout", "withdraw", "restart", "snapshot", "wake"} {
		for range stepWeights[name] {
			names = append(names, name)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		w := newClaimWorld(t.Fatalf)
		w.submit("c1", key("k"), claim.Digest{})
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			w.step(t, rapid.SampledFrom(names).Draw(t, "step"))
			w.checkRecords()
		}
	})
}

// checkRecords compares the table with the reference model: the key of a Done
// record has an answered run.
func (w *claimWorld) checkRecords() {
	for _, record := range w.table.Snapshot().Records {
		if record.State != claim.Done {
			continue
		}
		answered := false
		for _, run := range w.executions[record.Key] {
			answered = answered || run.answered
		}
		if !answered {
			w.fail("key %v is done without an answered run", record.Key)
		}
	}
}

// drain delivers every message in order, without loss or timeouts.
func (w *claimWorld) drain() {
	for len(w.inFlight) > 0 {
		message := w.inFlight[0]
		w.inFlight = w.inFlight[1:]
		message()
	}
}

func TestDuplicateOutcomes(t *testing.T) {
	cases := map[string]struct {
		digest byte
		before func(w *claimWorld, first core.AttemptID)
		want   claim.Outcome
	}{
		"recorded answer": {0, func(w *claimWorld, first core.AttemptID) {
			w.end(w.submissions[first], first, claim.EndAnswered)
		}, claim.OutcomeReplay},
		"answer too large to record": {0, func(w *claimWorld, first core.AttemptID) {
			w.end(w.submissions[first], first, claim.EndAnsweredUnrecorded)
		}, claim.OutcomeDuplicateUnknown},
		"still running": {0, func(*claimWorld, core.AttemptID) {}, claim.OutcomeDuplicateRunning},
		"answer lost": {0, func(w *claimWorld, first core.AttemptID) {
			w.end(w.submissions[first], first, claim.EndUnknown)
		}, claim.OutcomeDuplicateUnknown},
		"companion lost":    {0, func(w *claimWorld, _ core.AttemptID) { w.restart("c1") }, claim.OutcomeDuplicateUnknown},
		"another body":      {1, func(*claimWorld, core.AttemptID) {}, claim.OutcomeKeyReused},
		"another body, ran": {1, func(w *claimWorld, first core.AttemptID) { w.end(w.submissions[first], first, claim.EndAnswered) }, claim.OutcomeKeyReused},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := newClaimWorld(t.Fatalf)
			first := w.submit("c1", key("k"), claim.Digest{})
			w.drain()
			tc.before(w, first)
			w.drain()
			second := w.submit("c2", key("k"), claim.Digest{tc.digest})
			w.drain()
			if got := w.outcomes[second]; got != tc.want {
				t.Fatalf("outcome %d, want %d", got, tc.want)
			}
		})
	}
}

// TestClaimAppliedLateIsTakenOver applies a claim only after its companion has
// abandoned and released it, as can happen when the control leader changes.
func TestClaimAppliedLateIsTakenOver(t *testing.T) {
	w := newClaimWorld(t.Fatalf)
	w.drain()
	first := w.submit("c1", key("k"), claim.Digest{})
	delayed := claim.Command{Kind: claim.ClaimKey, Key: key("k"), Holder: claim.Holder{Companion: "c1", BackendServer: 1, Incarnation: 1, Number: 1}}
	w.inFlight = nil
	w.handle("c1", claim.Unresolved{Command: delayed})
	w.drain()
	w.table.Apply(delayed)
	second := w.submit("c2", key("k"), claim.Digest{})
	w.drain()
	if w.outcomes[first] != claim.OutcomeNotClaimed || w.submissions[second].run == nil {
		t.Fatalf("first outcome %d, second ran: %v", w.outcomes[first], w.submissions[second].run != nil)
	}
}

// TestRefusedRunFreesItsKeyBeforeItsOutcomeIsReported submits a key again as
// soon as the first submission's outcome is reported.
func TestRefusedRunFreesItsKeyBeforeItsOutcomeIsReported(t *testing.T) {
	w := newClaimWorld(t.Fatalf)
	first := w.submit("c1", key("k"), claim.Digest{})
	w.drain()
	w.end(w.submissions[first], first, claim.EndNotRun)
	if _, reported := w.outcomes[first]; reported {
		t.Fatal("outcome reported before the key was free")
	}
	w.drain()
	second := w.submit("c2", key("k"), claim.Digest{})
	w.drain()
	if w.outcomes[first] != claim.OutcomeReleased || w.submissions[second].run == nil {
		t.Fatal("the key was not free")
	}
}

// TestRepeatedGrantDoesNotFreeAKeyThatRan delivers the result of the claim a
// second time, after the run's unknown end was recorded.
func TestRepeatedGrantDoesNotFreeAKeyThatRan(t *testing.T) {
	w := newClaimWorld(t.Fatalf)
	w.drain()
	first := w.submit("c1", key("k"), claim.Digest{})
	w.drain()
	record, _ := w.table.Get(key("k"))
	w.end(w.submissions[first], first, claim.EndUnknown)
	w.drain()
	repeated := claim.Command{Kind: claim.ClaimKey, Key: key("k"), Holder: record.Holder}
	w.handle("c1", claim.Resolved{Command: repeated, Result: claim.Result{Verdict: claim.Granted, Record: record}})
	w.drain()
	second := w.submit("c2", key("k"), claim.Digest{})
	w.drain()
	if w.outcomes[second] != claim.OutcomeDuplicateUnknown {
		t.Fatalf("outcome %d", w.outcomes[second])
	}
}

// TestUnresponsiveOrRestartedHolderIsNotTakenOver lets a duplicate's query time
// out, or return that the holder's companion has restarted.
func TestUnresponsiveOrRestartedHolderIsNotTakenOver(t *testing.T) {
	for _, status := range []claim.HolderStatus{claim.HolderUnreachable, claim.HolderRestarted} {
		w := newClaimWorld(t.Fatalf)
		w.drain()
		w.submit("c1", key("k"), claim.Digest{})
		w.drain()
		second := w.submit("c2", key("k"), claim.Digest{})
		for range 2 {
			message := w.inFlight[0]
			w.inFlight = w.inFlight[1:]
			message()
		}
		w.inFlight = nil
		w.handle("c2", claim.HolderAnswered{Attempt: second, Status: status})
		w.drain()
		if w.outcomes[second] != claim.OutcomeDuplicateUnknown {
			t.Fatalf("status %d: outcome %d", status, w.outcomes[second])
		}
	}
}
