package asynclog

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"
)

const (
	// leftOutInterval is the least time between two summaries of lines left out.
	leftOutInterval = time.Second
	// maxCauses bounds the causes that are counted apart. Further ones are counted
	// as otherCauses.
	maxCauses   = 64
	otherCauses = "other lines"
)

// Cause is what lines are counted by when they are left out.
type Cause struct {
	// Line is the message of the line, Outcome what was done with the packet or
	// request that it is about.
	Line, Outcome, Reason string
}

// LeftOut counts the lines that Limits left out, for one summary line a second. It must
// be used by only one goroutine.
type LeftOut struct {
	counts map[Cause]int
	// since is the time of the first counted line, if there is any.
	since time.Time
}

// NewLeftOut returns a LeftOut without counts.
func NewLeftOut() *LeftOut {
	return &LeftOut{counts: make(map[Cause]int, maxCauses+1)}
}

func (o *LeftOut) add(now time.Time, cause Cause) {
	if o == nil {
		return
	}
	if len(o.counts) == 0 {
		o.since = now
	}
	if len(o.counts) >= maxCauses && o.counts[cause] == 0 {
		cause = Cause{Line: otherCauses}
	}
	o.counts[cause]++
}

// Write writes a line with the counts and clears them, once the first counted line is
// a second old. It writes nothing if no line was left out.
func (o *LeftOut) Write(now time.Time, log *slog.Logger) {
	if len(o.counts) == 0 || now.Sub(o.since) < leftOutInterval {
		return
	}
	causes := make([]Cause, 0, len(o.counts))
	total := 0
	for cause, count := range o.counts {
		causes = append(causes, cause)
		total += count
	}
	slices.SortFunc(causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(o.counts[b], o.counts[a]), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	var text strings.Builder
	for i, cause := range causes {
		if i > 0 {
			text.WriteString("; ")
		}
		fmt.Fprintf(&text, "%d %s", o.counts[cause], cause)
	}
	log.Warn("lines left out", "lines", total, "over", now.Sub(o.since), "counts", text.String())
	clear(o.counts)
}

// String returns the cause in words, such as "packet not forwarded: dropped, no route".
func (c Cause) String() string {
	switch {
	case c.Outcome == "":
		return c.Line
	case c.Reason == "":
		return c.Line + ": " + c.Outcome
	}
	return c.Line + ": " + c.Outcome + ", " + c.Reason
}
