package asynclog

import "time"

// tenth is the part of a second over which lines are spread.
const tenth = time.Second / 10

// Limit limits the rate of log lines of one kind and spreads them over the second: each
// tenth of a second allows a tenth of the lines, and lines that it doesn't use are
// allowed in later tenths of the same second. Without this, the first milliseconds after
// an outage use up the lines of the whole second. It must be used by only one goroutine.
type Limit struct {
	// PerSecond is the maximum number of lines in a second.
	PerSecond int
	// LeftOut counts the lines that aren't allowed, by cause. It may be nil.
	LeftOut     *LeftOut
	windowStart time.Time
	written     int
	suppressed  int
}

// Allow reports whether a line may be written now, and how many were suppressed
// since the last one that was allowed.
func (l *Limit) Allow(now time.Time, cause Cause) (suppressed int, ok bool) {
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.written = now, 0
	}
	if l.written >= l.allowedUntil(now) {
		l.suppressed++
		l.LeftOut.add(now, cause)
		return 0, false
	}
	l.written++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}

// allowedUntil returns the number of lines allowed from the start of the second to the
// end of the current tenth. It is rounded up, so that the first tenth allows a line.
func (l *Limit) allowedUntil(now time.Time) int {
	tenths := int(max(now.Sub(l.windowStart), 0)/tenth) + 1
	return (l.PerSecond*tenths + 9) / 10
}
