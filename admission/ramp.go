package admission

import (
	"time"
)

// RampConfig sets up a Ramp.
type RampConfig struct {
	// Bound is the most that the backend server ever bears. The limit never
	// exceeds it.
	Bound int
	// Cold is the limit of a backend server in cold start.
	Cold int
	// Interval is how often the limit may rise.
	Interval time.Duration
	// GrowthPercent is by how much it rises each time, in percent.
	GrowthPercent int
	// AnswersPerRise is how many answers in time a rise needs, at most; a low limit
	// needs fewer.
	AnswersPerRise int
	// SlowFactor is how many times the usual latency makes an answer slow.
	SlowFactor int
	// SlowFloor is the latency below which no answer counts as slow.
	SlowFloor time.Duration
}

// Defaults of RampConfig.
const (
	// ColdDivisor is the part of the bound that a backend server bears in cold
	// start, as a divisor.
	ColdDivisor             = 100
	DefaultInterval      = time.Second
	DefaultGrowthPercent = 25
	DefaultAnswersPerRise      = 32
	DefaultSlowFactor    = 4
	DefaultSlowFloor     = 20 * time.Millisecond
)

const (
	// additivePart is the part of the bound by which a careful rise goes.
	additivePart = 50
	// failuresToCold is how many failures without an answer in time between
	// them show a fall into cold start.
	failuresToCold = 3
	// slowToCut and slowToCold are how many slow answers in a row cut the limit
	// and show a fall into cold start.
	slowToCut  = 3
	slowToCold = 8
	// usualRise is over how many intervals the usual latency follows a rise.
	usualRise = 64
	// evidencePart is the part of the limit that must have answered in time
	// before it rises, as a divisor.
	evidencePart = 4
)

// DefaultRampConfig returns the settings for a backend server that bears at
// most the given number.
func DefaultRampConfig(bound int) RampConfig {
	return RampConfig{
		Bound: bound, Cold: max(1, bound/ColdDivisor), Interval: DefaultInterval,
		GrowthPercent: DefaultGrowthPercent, AnswersPerRise: DefaultAnswersPerRise,
		SlowFactor: DefaultSlowFactor, SlowFloor: DefaultSlowFloor,
	}
}

// Failure is a sign in the traffic that a backend server has too much to bear.
type Failure uint8

const (
	// FailureRefused is a connection or request that it refused.
	FailureRefused Failure = iota + 1
	// FailureReset is a connection that it reset.
	FailureReset
	// FailureTimeout is one that it did not answer in time.
	FailureTimeout
)

// String returns the failure in words.
func (f Failure) String() string {
	names := [...]string{"none", "refused", "reset", "timeout"}
	if int(f) >= len(names) {
		return "unknown"
	}
	return names[f]
}

// Reason says why a limit changed.
type Reason uint8

const (
	// ReasonAnswers means that answers came in time.
	ReasonAnswers Reason = iota + 1
	// ReasonFailure means that the backend server refused, reset or timed out.
	ReasonFailure
	// ReasonSlow means that its latency jumped.
	ReasonSlow
	// ReasonColdFallback means that repeated failures or slow answers show that it
	// fell back into cold start.
	ReasonColdFallback
	// ReasonRestart means that it has a new start ID.
	ReasonRestart
	// ReasonReturn means that its data centre has come back in.
	ReasonReturn
)

// String returns the reason in words.
func (r Reason) String() string {
	names := [...]string{"none", "answers in time", "failure", "latency jump", "fell back into cold start", "restart", "data centre returned"}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Ramp learns from answers how much a backend server bears: it starts with
// little, rises by answers in time, and is cut at once by failures and latency
// jumps. Up to half of what last failed it rises in proportion, beyond it by
// small steps.
type Ramp struct {
	config RampConfig
	limit  int
	// careful is the limit from which it rises by small steps.
	careful int
	// usual is the latency under little load; zero before the first answer. It
	// falls with the fastest answer and rises only slowly, so that it doesn't
	// follow the latency of a growing load. fastest is the interval's fastest.
	usual, fastest time.Duration
	// windowEnd is when the answers counted below may raise the limit.
	windowEnd time.Time
	answers   int
	slow      int
	cutAt     time.Time
	// failures counts failures since the last answer in time, and slowRun slow
	// answers.
	failures, slowRun int
	// proofs counts the intervals that ended with enough answers in time and
	// nothing against the backend server.
	proofs int
	// doubt is whether a hint calls for twice the evidence.
	doubt bool
}

// NewRamp returns the ramp of a backend server in cold start.
func NewRamp(config RampConfig) *Ramp {
	r := &Ramp{config: config, careful: config.Bound}
	r.chill()
	return r
}

func (r *Ramp) coldLimit() int {
	return min(max(1, r.config.Cold), r.config.Bound)
}

// Limit returns what the backend server bears as far as is known.
func (r *Ramp) Limit() int {
	return r.limit
}

// Bound returns what the backend server bears at most.
func (r *Ramp) Bound() int {
	return r.config.Bound
}

// chill goes back to cold start.
func (r *Ramp) chill() {
	r.limit = r.coldLimit()
	r.failures, r.slowRun = 0, 0
	r.answers, r.slow = 0, 0
}

// Restart goes back to cold start, for example of a backend server with a new
// start ID, of which nothing is known.
func (r *Ramp) Restart(now time.Time) {
	r.chill()
	r.newWindow(now)
	r.usual = 0
	r.careful = r.config.Bound
}

// fallCold goes back to cold start on signs in the traffic. What the backend
// server last failed at stays known. It returns zero if it was cold already.
func (r *Ramp) fallCold(now time.Time) Reason {
	before := r.limit
	r.chill()
	r.newWindow(now)
	if before <= r.limit {
		return 0
	}
	return ReasonColdFallback
}

// SetAdverseHint says whether a hint speaks against the backend server. It never cuts
// or raises the limit; while it lasts a rise needs twice the evidence.
func (r *Ramp) SetAdverseHint(doubt bool) {
	r.doubt = doubt
}

// Answer takes an answer and its latency. It returns why the limit changed, or
// zero.
func (r *Ramp) Answer(now time.Time, latency time.Duration) Reason {
	if r.windowEnd.IsZero() {
		r.windowEnd = now.Add(r.config.Interval)
	}
	r.learn(latency)
	if r.isSlow(latency) {
		return r.slowAnswer(now)
	}
	r.failures, r.slowRun = 0, 0
	r.answers++
	return r.Advance(now)
}

func (r *Ramp) isSlow(latency time.Duration) bool {
	return latency > r.config.SlowFloor && latency > r.usual*time.Duration(r.config.SlowFactor)
}

// learn takes the latency of one answer.
func (r *Ramp) learn(latency time.Duration) {
	if r.fastest == 0 || latency < r.fastest {
		r.fastest = max(1, latency)
	}
	if r.usual == 0 || latency < r.usual {
		r.usual = max(1, latency)
	}
}

// newWindow begins the next interval.
func (r *Ramp) newWindow(now time.Time) {
	r.windowEnd = now.Add(r.config.Interval)
	r.answers, r.slow = 0, 0
	if r.fastest > r.usual {
		r.usual += (r.fastest - r.usual) / usualRise
	}
	r.fastest = 0
}

func (r *Ramp) slowAnswer(now time.Time) Reason {
	r.slow++
	r.slowRun++
	switch {
	case r.slowRun >= slowToCold:
		return r.fallCold(now)
	case r.slowRun >= slowToCut:
		return r.cut(now, ReasonSlow)
	default:
		return 0
	}
}

// Fail takes a failure. It returns why the limit changed, or zero.
func (r *Ramp) Fail(now time.Time, _ Failure) Reason {
	r.failures++
	r.slow++
	if r.failures >= failuresToCold {
		return r.fallCold(now)
	}
	return r.cut(now, ReasonFailure)
}

// cut halves the limit, at most once in an interval, as the failures of one
// moment have one cause.
func (r *Ramp) cut(now time.Time, reason Reason) Reason {
	if !r.cutAt.IsZero() && now.Before(r.cutAt.Add(r.config.Interval)) {
		return 0
	}
	before := r.limit
	r.cutAt = now
	r.careful = max(1, r.limit/2)
	r.limit = min(r.limit, max(r.coldLimit(), r.limit/2))
	r.newWindow(now)
	if r.limit == before {
		return 0
	}
	return reason
}

// Advance raises the limit if an interval has ended with enough answers in
// time and no failure. It returns why the limit changed, or zero.
func (r *Ramp) Advance(now time.Time) Reason {
	if r.windowEnd.IsZero() || now.Before(r.windowEnd) {
		return 0
	}
	proof := r.answers >= r.evidence()
	bad := r.slow > 0
	if !proof && !bad {
		return 0
	}
	r.newWindow(now)
	if bad {
		return 0
	}
	r.proofs++
	return r.rise()
}

// rise raises the limit by one step. It returns zero at the bound.
func (r *Ramp) rise() Reason {
	if r.limit >= r.config.Bound {
		return 0
	}
	r.limit = min(r.config.Bound, r.limit+r.step())
	return ReasonAnswers
}

// evidence returns how many answers in time the next rise needs.
func (r *Ramp) evidence() int {
	needed := min(r.config.AnswersPerRise, max(1, r.limit/evidencePart))
	if r.doubt {
		return 2 * needed
	}
	return needed
}

// step returns by how much the limit rises next.
func (r *Ramp) step() int {
	proportional := max(1, r.limit*r.config.GrowthPercent/100)
	if r.limit < r.careful {
		return proportional
	}
	return min(proportional, max(1, r.config.Bound/additivePart))
}
