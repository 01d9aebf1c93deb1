package asynclog

import "time"

// Limit limits the rate of log lines of one kind. It must be used by only one
// goroutine.
type Limit struct {
	// PerSecond is the maximum number of lines in a second.
	PerSecond   int
	windowStart time.Time
	written     int
	suppressed  int
}

// Allow reports whether a line may be written now, and how many were suppressed
// since the last one that was allowed.
func (l *Limit) Allow(now time.Time) (suppressed int, ok bool) {
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.written = now, 0
	}
	if l.written >= l.PerSecond {
		l.suppressed++
		return 0, false
	}
	l.written++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}
