package claim

import (
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// phase is how far a keyed attempt has come.
type phase uint8

const (
	// phaseClaiming waits for the claim or the take-over.
	phaseClaiming phase = iota + 1
	// phaseAsking waits for the holder's companion.
	phaseAsking
	// phaseExecuting runs on the backend server.
	phaseExecuting
	// phaseSettling records the end of the run. It lasts until recorded.
	phaseSettling
)

// run is one keyed attempt at this companion.
type run struct {
	attempt core.AttemptID
	key     Key
	digest  Digest
	holder  Holder
	phase   phase
	// tookOver is true once the attempt tried to take a claim over.
	tookOver bool
	// asked is the holder asked about.
	asked Holder
	// settle is the command to be applied in phaseSettling; release is true
	// when the attempt's outcome waits for it.
	settle  Command
	release bool
	// resends counts the proposals of settle; resendAt is zero while one is
	// out.
	resends  int
	resendAt time.Time
}

// Coordinator decides at one companion whether a keyed request runs. It runs a
// request only while the claims name it as the holder, each holder once, and
// it answers others truthfully about its holders.
type Coordinator struct {
	limits        CoordinatorLimits
	self          core.InstanceID
	backendServer core.BackendServerID
	incarnation   uint64
	next          uint64
	runs          map[core.AttemptID]*run
	holders       map[Holder]*run
	actions       []Action
}

// NewCoordinator returns the keeper of a companion. The incarnation must be higher
// than that of every earlier start of the companion.
func NewCoordinator(limits CoordinatorLimits, self core.InstanceID, backendServer core.BackendServerID, incarnation uint64) *Coordinator {
	return &Coordinator{
		limits:        limits,
		self:          self,
		backendServer: backendServer,
		incarnation:   incarnation,
		runs:          make(map[core.AttemptID]*run),
		holders:       make(map[Holder]*run),
	}
}

// Started returns the command that a companion proposes when it starts, until
// it is applied: what its earlier incarnations ran is unknown.
func (k *Coordinator) Started(now time.Time) Propose {
	lost := Holder{Companion: k.self, Incarnation: k.incarnation - 1}
	return Propose{Command: Command{Kind: LoseCompanion, Holder: lost, At: now}}
}

// Open returns how many attempts the keeper has not yet settled.
func (k *Coordinator) Open() int {
	return len(k.holders)
}

// Handle takes one event and returns what to do, in order.
func (k *Coordinator) Handle(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Begin:
		k.begin(now, e)
	case Withdrawn:
		k.withdrawn(now, e)
	case Ended:
		k.ended(now, e)
	case Resolved:
		k.resolved(now, e)
	case Unresolved:
		k.unresolved(now, e)
	case HolderQueried:
		k.do(SendHolderStatus{Asker: e.Asker, Attempt: e.Attempt, Status: k.status(e.Holder)})
	case HolderAnswered:
		k.holderAnswered(now, e)
	}
	return k.take()
}

// Wake proposes again what is due at the given time.
func (k *Coordinator) Wake(now time.Time) []Action {
	for _, r := range k.settling() {
		if !now.Before(r.resendAt) {
			k.propose(r, r.settle)
		}
	}
	return k.take()
}

// Deadline returns when Wake is due next, and false if it isn't.
func (k *Coordinator) Deadline() (time.Time, bool) {
	var due time.Time
	for _, r := range k.settling() {
		if due.IsZero() || r.resendAt.Before(due) {
			due = r.resendAt
		}
	}
	return due, !due.IsZero()
}

// settling returns the runs whose settling command is to be proposed again, in
// the order of their numbers.
func (k *Coordinator) settling() []*run {
	var waiting []*run
	for _, r := range k.holders {
		if r.phase == phaseSettling && !r.resendAt.IsZero() {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *run) int { return int(a.holder.Number) - int(b.holder.Number) })
	return waiting
}

func (k *Coordinator) begin(now time.Time, e Begin) {
	if _, ok := k.runs[e.Attempt]; ok {
		return
	}
	k.next++
	r := &run{
		attempt: e.Attempt,
		key:     e.Key,
		digest:  e.Digest,
		holder:  Holder{Companion: k.self, BackendServer: k.backendServer, Incarnation: k.incarnation, Number: k.next},
		phase:   phaseClaiming,
	}
	k.runs[r.attempt] = r
	k.holders[r.holder] = r
	k.propose(r, Command{Kind: ClaimKey, Key: r.key, Digest: r.digest, Holder: r.holder, At: now})
}

// withdrawn stops an attempt that does not run yet. Its claim may be granted
// still, so it is released.
func (k *Coordinator) withdrawn(now time.Time, e Withdrawn) {
	r, ok := k.runs[e.Attempt]
	if !ok || (r.phase != phaseClaiming && r.phase != phaseAsking) {
		return
	}
	k.abandon(now, r)
}

// abandon ends an attempt whose claim has no known result.
func (k *Coordinator) abandon(now time.Time, r *run) {
	k.finish(r, OutcomeNotClaimed, Holder{})
	k.settleBy(r, Command{Kind: ReleaseKey, Key: r.key, Holder: r.holder, At: now})
}

// ended records the end of a run. An attempt that did not run is told so only
// once its key is free, so that a retry elsewhere is not taken for a duplicate.
func (k *Coordinator) ended(now time.Time, e Ended) {
	r, ok := k.runs[e.Attempt]
	if !ok || r.phase != phaseExecuting {
		return
	}
	command := Command{Key: r.key, Holder: r.holder, At: now}
	switch e.End {
	case EndAnswered, EndAnsweredUnrecorded:
		command.Kind = FinishRun
		command.AnswerKept = e.End == EndAnswered
	case EndNotRun:
		command.Kind = ReleaseKey
		r.release = true
	default:
		command.Kind = GiveUpRun
	}
	if !r.release {
		delete(k.runs, r.attempt)
	}
	k.settleBy(r, command)
}

func (k *Coordinator) settleBy(r *run, command Command) {
	r.phase = phaseSettling
	r.settle = command
	k.propose(r, command)
}

func (k *Coordinator) propose(r *run, command Command) {
	r.resendAt = time.Time{}
	k.do(Propose{Command: command})
}

// finish tells the attempt's outcome and forgets the attempt.
func (k *Coordinator) finish(r *run, outcome Outcome, holder Holder) {
	delete(k.runs, r.attempt)
	k.do(Settle{Attempt: r.attempt, Outcome: outcome, Holder: holder})
}

// drop ends an attempt whose holder holds nothing.
func (k *Coordinator) drop(r *run, outcome Outcome, holder Holder) {
	k.finish(r, outcome, holder)
	delete(k.holders, r.holder)
}

func (k *Coordinator) do(action Action) {
	k.actions = append(k.actions, action)
}

func (k *Coordinator) take() []Action {
	actions := k.actions
	k.actions = nil
	return actions
}
