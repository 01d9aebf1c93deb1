package request

import "time"

const (
	// meanWeight and spreadWeight are the shares, as one over their values, of
	// a new run in the running means (RFC 6298 section 2).
	meanWeight   = 8
	spreadWeight = 4
	// spreads is how many mean deviations above the mean a usual run takes.
	spreads = 2
	// leastShare is the share, as one over its value, of the caller's own
	// deadline that a run never needs more than. Without it, an estimate that
	// has grown beyond the callers' deadlines would never be corrected.
	leastShare = 2
)

// runTimes follows how long answered runs take at the service's backend
// servers.
type runTimes struct {
	mean   time.Duration
	spread time.Duration
}

func (t *runTimes) learn(length time.Duration) {
	if t.mean == 0 {
		t.mean = length
		t.spread = length / 2
		return
	}
	off := length - t.mean
	t.spread += (off.Abs() - t.spread) / spreadWeight
	t.mean += off / meanWeight
}

// usual returns the time in which most runs are answered.
func (t *runTimes) usual() time.Duration {
	return t.mean + spreads*t.spread
}

// needed returns the least time that must be left for a request that is waited
// for from arrival to deadline to be run.
func (c *Core) needed(arrival, deadline time.Time) time.Duration {
	usual := min(c.runTimes.usual(), deadline.Sub(arrival)/leastShare)
	return max(c.limits.MinRun, usual)
}
