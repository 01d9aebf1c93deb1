package request

import "time"

// Limits bounds how one companion handles its callers' requests.
type Limits struct {
	// MaxQueue is the most requests that wait for a slot; others are refused.
	MaxQueue int
	// MaxReserving is the most reservations that may be pending at once.
	MaxReserving int
	// MaxWait is the longest that a request waits before it first runs.
	MaxWait time.Duration
	// MinRun is the least time that must be left before the deadline for a
	// request to be run at all, however short the typical run is.
	MinRun time.Duration
	// HopMargin shortens the deadline from one process to the next.
	HopMargin time.Duration
	// ReserveTimeout is how long a companion may take to answer Reserve.
	ReserveTimeout time.Duration
	// FreshFor is how long a companion's slot count is relied on. It doubles,
	// up to MaxFreshFor, with each consecutive count without a free slot.
	FreshFor    time.Duration
	MaxFreshFor time.Duration
	// RetryShare is how many retries each request earns; RetryBurst is the
	// most retries saved up.
	RetryShare float64
	RetryBurst float64
	// Backoff is the longest wait before the first retry; it doubles for each
	// further one, up to MaxBackoff. The actual wait is random below it.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// RetryAfter is the shortest time that a refusal asks the caller to wait.
	// The actual time is random up to twice that.
	RetryAfter time.Duration
}

// DefaultLimits returns the limits that a companion uses unless its
// configuration overrides them.
func DefaultLimits() Limits {
	return Limits{
		MaxQueue:       1024,
		MaxReserving:   16,
		MaxWait:        2 * time.Second,
		MinRun:         2 * time.Millisecond,
		HopMargin:      5 * time.Millisecond,
		ReserveTimeout: 100 * time.Millisecond,
		FreshFor:       20 * time.Millisecond,
		MaxFreshFor:    320 * time.Millisecond,
		RetryShare:     0.1,
		RetryBurst:     10,
		Backoff:        10 * time.Millisecond,
		MaxBackoff:     500 * time.Millisecond,
		RetryAfter:     time.Second,
	}
}
