package request

import "time"

const (
	// meanDivisor and deviationDivisor are the inverse weights of a new run in
	// the moving averages (RFC 6298 section 2).
	meanDivisor      = 8
	deviationDivisor = 4
	// deviationFactor is how many mean deviations typical adds to the mean.
	deviationFactor = 2
	// deadlineDivisor caps the time reserved for a run, at the caller's own
	// timeout divided by it. Without the cap, an estimate that has grown
	// beyond the callers' deadlines would never be corrected.
	deadlineDivisor = 2
)

// runTimes estimates how long answered runs take at the service's backend
// servers.
type runTimes struct {
	mean      time.Duration
	deviation time.Duration
}

func (t *runTimes) observe(duration time.Duration) {
	if t.mean == 0 {
		t.mean = duration
		t.deviation = duration / 2
		return
	}
	difference := duration - t.mean
	t.deviation += (difference.Abs() - t.deviation) / deviationDivisor
	t.mean += difference / meanDivisor
}

// typical returns the duration within which most runs are answered.
func (t *runTimes) typical() time.Duration {
	return t.mean + deviationFactor*t.deviation
}

// timeNeeded returns the least time that must be left before the deadline for a
// request to be run.
func (c *Core) timeNeeded(arrival, deadline time.Time) time.Duration {
	typical := min(c.runTimes.typical(), deadline.Sub(arrival)/deadlineDivisor)
	return max(c.limits.MinRun, typical)
}
