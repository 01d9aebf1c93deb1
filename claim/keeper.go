package claim

import (
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// phase is the progress of a keyed attempt.
type phase uint8

const (
	// phaseClaiming waits for the result of the claim or take-over.
	phaseClaiming phase = iota + 1
	// phaseQuerying waits for the status of the key's holder.
	phaseQuerying
	// phaseExecuting runs on the backend server.
	phaseExecuting
	// phaseSettling waits until the end of the run, or the release of an
	// abandoned claim, is recorded.
	phaseSettling
)

// run is one keyed attempt at this companion.
type run struct {
	attempt core.AttemptID
	key     Key
	digest  Digest
	holder  Holder
	phase   phase
	// triedTakeOver is true once the attempt has proposed a take-over.
	triedTakeOver bool
	// queried is the current holder, whose status is being checked.
	queried Holder
	// settle is the command to be applied in phaseSettling; awaitsRelease is
	// true when the attempt's outcome is reported only after that.
	settle        Command
	awaitsRelease bool
	// resends counts the unresolved proposals of settle; resendAt is zero
	// while a proposal is pending.
	resends  int
	resendAt time.Time
}

// Coordinator decides at one companion whether a keyed request runs. It runs
// each holder at most once and only after the Table has granted its claim.
// Other companions decide on take-overs by the holder status that it reports.
type Coordinator struct {
	limits        CoordinatorLimits
	self          core.InstanceID
	backendServer core.BackendServerID
	incarnation   uint64
	lastNumber    uint64
	runs          map[core.AttemptID]*run
	holders       map[Holder]*run
	actions       []Action
}

// NewCoordinator returns the coordinator of a companion. The incarnation must
// be higher than that of every earlier start of the companion.
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

// StartupProposal returns the proposal that records the earlier incarnations of the
// companion as lost, since the outcome of their runs is unknown. The companion
// repeats it after each start until it is applied.
func (c *Coordinator) StartupProposal(now time.Time) Propose {
	lost := Holder{Companion: c.self, Incarnation: c.incarnation - 1}
	return Propose{Command: Command{Kind: LoseCompanion, Holder: lost, At: now}}
}

// Open returns how many attempts are not settled yet.
func (c *Coordinator) Open() int {
	return len(c.holders)
}

// Handle processes one event and returns the actions to carry out, in order.
func (c *Coordinator) Handle(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Begin:
		c.begin(now, e)
	case Withdrawn:
		c.withdrawn(now, e)
	case Ended:
		c.ended(now, e)
	case Resolved:
		c.resolved(now, e)
	case Unresolved:
		c.unresolved(now, e)
	case HolderQueried:
		c.emit(SendHolderStatus{Requester: e.Requester, Attempt: e.Attempt, Status: c.holderStatus(e.Holder)})
	case HolderAnswered:
		c.holderAnswered(now, e)
	}
	return c.takeActions()
}

// Wake resends the proposals that are due at the given time.
func (c *Coordinator) Wake(now time.Time) []Action {
	for _, r := range c.awaitingResend() {
		if !now.Before(r.resendAt) {
			c.propose(r, r.settle)
		}
	}
	return c.takeActions()
}

// Deadline returns when Wake is due next, and false if nothing waits for it.
func (c *Coordinator) Deadline() (time.Time, bool) {
	var due time.Time
	for _, r := range c.awaitingResend() {
		if due.IsZero() || r.resendAt.Before(due) {
			due = r.resendAt
		}
	}
	return due, !due.IsZero()
}

// awaitingResend returns the runs whose settling command must be proposed again,
// by ascending number.
func (c *Coordinator) awaitingResend() []*run {
	var waiting []*run
	for _, r := range c.holders {
		if r.phase == phaseSettling && !r.resendAt.IsZero() {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *run) int { return int(a.holder.Number) - int(b.holder.Number) })
	return waiting
}

func (c *Coordinator) begin(now time.Time, e Begin) {
	if _, ok := c.runs[e.Attempt]; ok {
		return
	}
	c.lastNumber++
	r := &run{
		attempt: e.Attempt,
		key:     e.Key,
		digest:  e.Digest,
		holder:  Holder{Companion: c.self, BackendServer: c.backendServer, Incarnation: c.incarnation, Number: c.lastNumber},
		phase:   phaseClaiming,
	}
	c.runs[r.attempt] = r
	c.holders[r.holder] = r
	c.propose(r, Command{Kind: ClaimKey, Key: r.key, Digest: r.digest, Holder: r.holder, At: now})
}

// withdrawn abandons an attempt that does not run yet. Its claim may still be
// granted, so it is released.
func (c *Coordinator) withdrawn(now time.Time, e Withdrawn) {
	r, ok := c.runs[e.Attempt]
	if !ok || (r.phase != phaseClaiming && r.phase != phaseQuerying) {
		return
	}
	c.abandon(now, r)
}

// abandon ends an attempt whose claim has no known result.
func (c *Coordinator) abandon(now time.Time, r *run) {
	c.finish(r, OutcomeNotClaimed, Holder{})
	c.startSettling(r, Command{Kind: ReleaseKey, Key: r.key, Holder: r.holder, At: now})
}

// ended records the end of a run. That a request did not run is reported only
// once its key is free, so that a retry elsewhere is not treated as a duplicate.
func (c *Coordinator) ended(now time.Time, e Ended) {
	r, ok := c.runs[e.Attempt]
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
		r.awaitsRelease = true
	default:
		command.Kind = GiveUpRun
	}
	if !r.awaitsRelease {
		delete(c.runs, r.attempt)
	}
	c.startSettling(r, command)
}

func (c *Coordinator) startSettling(r *run, command Command) {
	r.phase = phaseSettling
	r.settle = command
	c.propose(r, command)
}

func (c *Coordinator) propose(r *run, command Command) {
	r.resendAt = time.Time{}
	c.emit(Propose{Command: command})
}

// finish reports the attempt's outcome and removes the attempt.
func (c *Coordinator) finish(r *run, outcome Outcome, holder Holder) {
	delete(c.runs, r.attempt)
	c.emit(EndAttempt{Attempt: r.attempt, Outcome: outcome, Holder: holder})
}

// finishUnclaimed ends an attempt whose holder has no claim to release.
func (c *Coordinator) finishUnclaimed(r *run, outcome Outcome, holder Holder) {
	c.finish(r, outcome, holder)
	delete(c.holders, r.holder)
}

func (c *Coordinator) emit(action Action) {
	c.actions = append(c.actions, action)
}

func (c *Coordinator) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}
