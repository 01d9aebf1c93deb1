package asynclog

import "time"

// Limit bounds the lines of one kind: at most PerSecond in each second. It
// belongs to one goroutine.
type Limit struct {
	// PerSecond is the most lines in a second.
	PerSecond int
	began     time.Time
	written   int
	left      int
}

// Allow reports whether a line may be written now, and how many were left out
// since the last one that was.
func (l *Limit) Allow(now time.Time) (leftOut int, ok bool) {
	if now.Sub(l.began) >= time.Second {
		l.began, l.written = now, 0
	}
	if l.written >= l.PerSecond {
		l.left++
		return 0, false
	}
	l.written++
	leftOut, l.left = l.left, 0
	return leftOut, true
}
