package claim_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
	"zinniapulley.dev/claim"
	"zinniapulley.dev/core"
)

// execution is what the naive version remembers of one run on a backend server.
type execution struct {
	digest   claim.Digest
	over     bool
	notRun   bool
	answered bool
	kept     bool
}

// submission is one try of a caller.
type submission struct {
	key       claim.Key
	digest    claim.Digest
	companion core.InstanceID
	run       *execution
	settled   bool
}

// claimWorld runs keepers over one table. Messages wait in a bag until the test
// delivers, repeats or loses them, in any order. The naive version is the list
// of executions of each key.
type claimWorld struct {
	now         time.Time
	table       *claim.Table
	keepers     map[core.InstanceID]*claim.Coordinator
	incarnation uint64
	bag         []func()
	timeouts    []func()
	submissions map[core.AttemptID]*submission
	order       []core.AttemptID
	executions  map[claim.Key][]*execution
	outcomes    map[core.AttemptID]claim.Outcome
	fail        func(format string, args ...any)
}

var companions = []core.InstanceID{"c1", "c2", "c3"}

func newClaimWorld(fail func(string, ...any)) *claimWorld {
	w := &claimWorld{
		now:         epoch,
		table:       claim.NewTable(claim.DefaultTableLimits()),
		keepers:     make(map[core.InstanceID]*claim.Coordinator),
		submissions: make(map[core.AttemptID]*submission),
		executions:  make(map[claim.Key][]*execution),
		outcomes:    make(map[core.AttemptID]claim.Outcome),
		fail:        fail,
	}
	for _, companion := range companions {
		w.restart(companion)
	}
	return w
}

func (w *claimWorld) restart(companion core.InstanceID) {
	w.incarnation++
	keeper := claim.NewCoordinator(claim.DefaultCoordinatorLimits(), companion, 1, w.incarnation)
	w.keepers[companion] = keeper
	started := keeper.Started(w.now)
	w.bag = append(w.bag, func() { w.table.Apply(started.Command) })
	for _, attempt := range w.order {
		s := w.submissions[attempt]
		if s.companion == companion && !s.settled {
			s.settled = true
			if s.run != nil {
				s.run.over = true
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
	keeper := w.keepers[companion]
	w.perform(companion, keeper, keeper.Handle(w.now, event))
}

func (w *claimWorld) perform(companion core.InstanceID, keeper *claim.Coordinator, actions []claim.Action) {
	post := func(message func()) { w.bag = append(w.bag, message) }
	toKeeper := func(event claim.Event) func() {
		return func() {
			if w.keepers[companion] == keeper {
				w.handle(companion, event)
			}
		}
	}
	for _, action := range actions {
		switch a := action.(type) {
		case claim.Propose:
			post(func() { post(toKeeper(claim.Resolved{Command: a.Command, Result: w.table.Apply(a.Command)})) })
			w.timeouts = append(w.timeouts, toKeeper(claim.Unresolved(a)))
		case claim.QueryHolder:
			post(func() {
				w.handle(a.Holder.Companion, claim.HolderQueried{Asker: companion, Attempt: a.Attempt, Holder: a.Holder})
			})
			w.timeouts = append(w.timeouts, toKeeper(claim.HolderAnswered{Attempt: a.Attempt, Status: claim.HolderUnreachable}))
		case claim.SendHolderStatus:
			post(func() { w.handle(a.Asker, claim.HolderAnswered{Attempt: a.Attempt, Status: a.Status}) })
		case claim.Execute:
			w.execute(w.submissions[a.Attempt])
		case claim.Settle:
			w.settle(w.submissions[a.Attempt], a)
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

func (w *claimWorld) settle(s *submission, a claim.Settle) {
	s.settled = true
	w.outcomes[a.Attempt] = a.Outcome
	if a.Outcome != claim.OutcomeReplay {
		return
	}
	for _, earlier := range w.executions[s.key] {
		if earlier.kept && earlier.digest == s.digest {
			return
		}
	}
	w.fail("key %v: replay of an answer that was never recorded", s.key)
}

func (w *claimWorld) end(s *submission, attempt core.AttemptID, end claim.End) {
	s.run.over = true
	s.run.notRun = end == claim.EndNotRun
	s.run.answered = end == claim.EndAnswered || end == claim.EndAnsweredUnrecorded
	s.run.kept = end == claim.EndAnswered
	if !s.run.notRun {
		s.settled = true
	}
	w.handle(s.companion, claim.Ended{Attempt: attempt, End: end})
}

// deliver hands over one message of the bag, or loses it, or keeps a copy.
func (w *claimWorld) deliver(t *rapid.T) {
	if len(w.bag) == 0 {
		return
	}
	at := rapid.IntRange(0, len(w.bag)-1).Draw(t, "message")
	message := w.bag[at]
	fate := rapid.SampledFrom([]string{"deliver", "deliver", "deliver", "deliver", "repeat", "lose"}).Draw(t, "fate")
	if fate != "repeat" {
		w.bag = append(w.bag[:at], w.bag[at+1:]...)
	}
	if fate != "lose" {
		message()
	}
}

// timeout fires one of the waits for a result or an answer.
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
		keeper := w.keepers[companion]
		w.perform(companion, keeper, keeper.Wake(w.now))
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
		if s.run != nil && !s.run.over {
			w.end(s, attempt, claim.End(rapid.IntRange(int(claim.EndAnswered), int(claim.EndUnknown)).Draw(t, "end")))
		}
	case "withdraw":
		attempt, s := w.drawSubmission(t)
		if !s.settled && s.run == nil {
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

// stepWeights lists each step as often as it is to be taken.
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

// checkRecords compares the table with the naive list: a record that is done
// names an answered run.
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

// drain delivers every message in order, none lost, and no time-out.
func (w *claimWorld) drain() {
	for len(w.bag) > 0 {
		message := w.bag[0]
		w.bag = w.bag[1:]
		message()
	}
}

func TestDuplicatesGetWhatIsKnown(t *testing.T) {
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

// TestClaimAppliedLateIsTakenOver lets a claim take effect only after its
// companion has given it up and released it, as when the control leader changes.
func TestClaimAppliedLateIsTakenOver(t *testing.T) {
	w := newClaimWorld(t.Fatalf)
	w.drain()
	first := w.submit("c1", key("k"), claim.Digest{})
	delayed := claim.Command{Kind: claim.ClaimKey, Key: key("k"), Holder: claim.Holder{Companion: "c1", BackendServer: 1, Incarnation: 1, Number: 1}}
	w.bag = nil
	w.handle("c1", claim.Unresolved{Command: delayed})
	w.drain()
	w.table.Apply(delayed)
	second := w.submit("c2", key("k"), claim.Digest{})
	w.drain()
	if w.outcomes[first] != claim.OutcomeNotClaimed || w.submissions[second].run == nil {
		t.Fatalf("first outcome %d, second ran: %v", w.outcomes[first], w.submissions[second].run != nil)
	}
}

// TestRefusedRunFreesItsKeyBeforeTheCallerHears lets a second submission follow
// the first one's refusal at once.
func TestRefusedRunFreesItsKeyBeforeTheCallerHears(t *testing.T) {
	w := newClaimWorld(t.Fatalf)
	first := w.submit("c1", key("k"), claim.Digest{})
	w.drain()
	w.end(w.submissions[first], first, claim.EndNotRun)
	if _, told := w.outcomes[first]; told {
		t.Fatal("told before the key was free")
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

// TestSilentHolderIsNotReplaced leaves a duplicate without a word from the
// holder's companion, or with the word that it has restarted.
func TestSilentHolderIsNotReplaced(t *testing.T) {
	for _, status := range []claim.HolderStatus{claim.HolderUnreachable, claim.HolderRestarted} {
		w := newClaimWorld(t.Fatalf)
		w.drain()
		w.submit("c1", key("k"), claim.Digest{})
		w.drain()
		second := w.submit("c2", key("k"), claim.Digest{})
		for range 2 {
			message := w.bag[0]
			w.bag = w.bag[1:]
			message()
		}
		w.bag = nil
		w.handle("c2", claim.HolderAnswered{Attempt: second, Status: status})
		w.drain()
		if w.outcomes[second] != claim.OutcomeDuplicateUnknown {
			t.Fatalf("status %d: outcome %d", status, w.outcomes[second])
		}
	}
}
