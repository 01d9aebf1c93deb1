package admission

import (
	"time"
)

// RampConfig configures a Ramp.
type RampConfig struct {
	// Bound is the maximum of the limit.
	Bound int
	// Cold is the limit of a backend server in cold start.
	Cold int
	// Interval is the time between two rises of the limit.
	Interval time.Duration
	// GrowthPercent is the size of a proportional rise, in percent of the limit.
	GrowthPercent int
	// AnswersPerRise is how many answers in time a rise needs, at most; a low limit
	// needs fewer.
	AnswersPerRise int
	// SlowFactor is the multiple of the baseline latency above which an answer
	// is slow.
	SlowFactor int
	// SlowFloor is the latency up to which no answer counts as slow.
	SlowFloor time.Duration
}

// Defaults of RampConfig.
const (
	// ColdDivisor divides the bound to give the limit in cold start.
	ColdDivisor           = 100
	DefaultInterval       = time.Second
	DefaultGrowthPercent  = 25
	DefaultAnswersPerRise = 32
	DefaultSlowFactor     = 4
	DefaultSlowFloor      = 20 * time.Millisecond
)

const (
	// linearStepDivisor divides the bound to give the largest step above the
	// linear threshold.
	linearStepDivisor = 50
	// failuresToCold is how many failures without an answer in time between
	// them indicate that the backend server is in cold start again.
	failuresToCold = 3
	// slowRunToCut and slowRunToCold are how many slow answers in a row cut the
	// limit, and indicate that the backend server is in cold start again.
	slowRunToCut  = 3
	slowRunToCold = 8
	// baselineRiseDivisor divides an interval's rise of latency to give the rise
	// of the baseline.
	baselineRiseDivisor = 64
	// answersNeededDivisor divides the limit to give the answers in time that a
	// rise needs.
	answersNeededDivisor = 4
)

// DefaultRampConfig returns the default configuration with the given bound.
func DefaultRampConfig(bound int) RampConfig {
	return RampConfig{
		Bound: bound, Cold: max(1, bound/ColdDivisor), Interval: DefaultInterval,
		GrowthPercent: DefaultGrowthPercent, AnswersPerRise: DefaultAnswersPerRise,
		SlowFactor: DefaultSlowFactor, SlowFloor: DefaultSlowFloor,
	}
}

// Failure is a sign of overload of a backend server in the traffic.
type Failure uint8

const (
	// FailureRefused is a connection or request that it refused.
	FailureRefused Failure = iota + 1
	// FailureReset is a connection that it reset.
	FailureReset
	// FailureTimeout is a connection or request that it did not answer in time.
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

// Reason is why a limit changed.
type Reason uint8

const (
	// ReasonAnswers means that answers came in time.
	ReasonAnswers Reason = iota + 1
	// ReasonFailure means that the backend server refused, reset or timed out.
	ReasonFailure
	// ReasonSlow means that its latency jumped.
	ReasonSlow
	// ReasonColdFallback means that repeated failures or slow answers indicate
	// that it is in cold start again.
	ReasonColdFallback
	// ReasonRestart means that it has a new start ID.
	ReasonRestart
	// ReasonReturn means that its data centre is in service again.
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

// Ramp learns a backend server's capacity from its answers: the limit starts low,
// rises on answers in time, and is cut at once on failures and latency jumps. It
// rises in proportion up to half of the limit that last failed, and above that by
// small steps, like the congestion window of TCP.
type Ramp struct {
	config RampConfig
	limit  int
	// linearThreshold is the limit from which it rises by small steps.
	linearThreshold int
	// baseline is the latency under low load; zero before the first answer. It
	// falls with the fastest answer and rises only slowly, so that it doesn't
	// follow the latency of a growing load. fastest is the interval's lowest
	// latency.
	baseline, fastest time.Duration
	// windowEnd is when answers may raise the limit. answers counts those in time
	// since the window began, slowOrFailed slow answers and failures.
	windowEnd    time.Time
	answers      int
	slowOrFailed int
	cutAt        time.Time
	// failures counts failures since the last answer in time, and slowRun slow
	// answers.
	failures, slowRun int
	// goodIntervals counts the intervals that ended with enough answers in time
	// and without slow answers or failures.
	goodIntervals int
	// adverseHint doubles the answers in time that a rise needs.
	adverseHint bool
}

// NewRamp returns the ramp of a backend server in cold start.
func NewRamp(config RampConfig) *Ramp {
	r := &Ramp{config: config, linearThreshold: config.Bound}
	r.resetToCold()
	return r
}

func (r *Ramp) coldLimit() int {
	return min(max(1, r.config.Cold), r.config.Bound)
}

// Limit returns the current limit.
func (r *Ramp) Limit() int {
	return r.limit
}

// Bound returns the maximum of the limit.
func (r *Ramp) Bound() int {
	return r.config.Bound
}

// resetToCold returns to the cold limit.
func (r *Ramp) resetToCold() {
	r.limit = r.coldLimit()
	r.failures, r.slowRun = 0, 0
	r.answers, r.slowOrFailed = 0, 0
}

// Restart returns to cold start and discards what was learned, for example for a
// backend server with a new start ID.
func (r *Ramp) Restart(now time.Time) {
	r.resetToCold()
	r.newWindow(now)
	r.baseline = 0
	r.linearThreshold = r.config.Bound
}

// fallBackToCold returns to cold start because of failures or slow answers. It keeps
// the baseline and the linear threshold. It returns zero if the limit was cold
// already.
func (r *Ramp) fallBackToCold(now time.Time) Reason {
	before := r.limit
	r.resetToCold()
	r.newWindow(now)
	if before <= r.limit {
		return 0
	}
	return ReasonColdFallback
}

// SetAdverseHint sets whether a hint indicates overload. It never cuts or raises the
// limit, but while it is set a rise needs twice as many answers in time.
func (r *Ramp) SetAdverseHint(adverse bool) {
	r.adverseHint = adverse
}

// Answer records an answer and its latency. It returns why the limit changed, or
// zero.
func (r *Ramp) Answer(now time.Time, latency time.Duration) Reason {
	if r.windowEnd.IsZero() {
		r.windowEnd = now.Add(r.config.Interval)
	}
	r.recordLatency(latency)
	if r.isSlow(latency) {
		return r.slowAnswer(now)
	}
	r.failures, r.slowRun = 0, 0
	r.answers++
	return r.Advance(now)
}

func (r *Ramp) isSlow(latency time.Duration) bool {
	return latency > r.config.SlowFloor && latency > r.baseline*time.Duration(r.config.SlowFactor)
}

func (r *Ramp) recordLatency(latency time.Duration) {
	if r.fastest == 0 || latency < r.fastest {
		r.fastest = max(1, latency)
	}
	if r.baseline == 0 || latency < r.baseline {
		r.baseline = max(1, latency)
	}
}

// newWindow begins the next interval and lets the baseline follow the last one.
func (r *Ramp) newWindow(now time.Time) {
	r.windowEnd = now.Add(r.config.Interval)
	r.answers, r.slowOrFailed = 0, 0
	if r.fastest > r.baseline {
		r.baseline += (r.fastest - r.baseline) / baselineRiseDivisor
	}
	r.fastest = 0
}

func (r *Ramp) slowAnswer(now time.Time) Reason {
	r.slowOrFailed++
	r.slowRun++
	switch {
	case r.slowRun >= slowRunToCold:
		return r.fallBackToCold(now)
	case r.slowRun >= slowRunToCut:
		return r.cut(now, ReasonSlow)
	default:
		return 0
	}
}

// Fail records a failure. It returns why the limit changed, or zero.
func (r *Ramp) Fail(now time.Time, _ Failure) Reason {
	r.failures++
	r.slowOrFailed++
	if r.failures >= failuresToCold {
		return r.fallBackToCold(now)
	}
	return r.cut(now, ReasonFailure)
}

// cut halves the limit, at most once per interval, since failures close together
// have one cause.
func (r *Ramp) cut(now time.Time, reason Reason) Reason {
	if !r.cutAt.IsZero() && now.Before(r.cutAt.Add(r.config.Interval)) {
		return 0
	}
	before := r.limit
	r.cutAt = now
	r.linearThreshold = max(1, r.limit/2)
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
	enough := r.answers >= r.answersNeeded()
	failing := r.slowOrFailed > 0
	if !enough && !failing {
		return 0
	}
	r.newWindow(now)
	if failing {
		return 0
	}
	r.goodIntervals++
	return r.raise()
}

// raise raises the limit by one step. It returns zero at the bound.
func (r *Ramp) raise() Reason {
	if r.limit >= r.config.Bound {
		return 0
	}
	r.limit = min(r.config.Bound, r.limit+r.step())
	return ReasonAnswers
}

// answersNeeded returns how many answers in time the next rise needs.
func (r *Ramp) answersNeeded() int {
	needed := min(r.config.AnswersPerRise, max(1, r.limit/answersNeededDivisor))
	if r.adverseHint {
		return 2 * needed
	}
	return needed
}

// step returns the size of the next rise.
func (r *Ramp) step() int {
	proportional := max(1, r.limit*r.config.GrowthPercent/100)
	if r.limit < r.linearThreshold {
		return proportional
	}
	return min(proportional, max(1, r.config.Bound/linearStepDivisor))
}
