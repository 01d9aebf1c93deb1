package asynclog_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/asynclog"
)

var (
	start   = time.Unix(1000, 0)
	dropped = asynclog.Cause{Line: "packet not forwarded", Outcome: "dropped", Reason: "no route"}
	reset   = asynclog.Cause{Line: "packet not forwarded", Outcome: "reset", Reason: "no view yet"}
)

// allowedByTenth offers a line each millisecond for a second and returns how many are
// allowed in each tenth.
func allowedByTenth(limit *asynclog.Limit, from time.Time) [10]int {
	var allowed [10]int
	for ms := range 1000 {
		_, ok := limit.Allow(from.Add(time.Duration(ms)*time.Millisecond), dropped)
		if ok {
			allowed[ms/100]++
		}
	}
	return allowed
}

// All lines of a second were written in the first of its tenths when many came at once.
func TestLinesAreSpreadOverTheSecond(t *testing.T) {
	for _, perSecond := range []int{20, 25, 60, 5, 1} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			g := gomega.NewWithT(t)
			limit := &asynclog.Limit{PerSecond: perSecond}
			for second := range 3 {
				total := 0
				for _, allowed := range allowedByTenth(limit, start.Add(time.Duration(second)*time.Second)) {
					g.Expect(allowed).To(gomega.BeNumerically("<=", (perSecond+9)/10))
					total += allowed
				}
				g.Expect(total).To(gomega.Equal(perSecond))
			}
		})
	}
}

// Lines after some quiet tenths aren't limited to those of their own tenth.
func TestUnusedLinesAreCarriedOver(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := &asynclog.Limit{PerSecond: 20}
	_, ok := limit.Allow(start, dropped)
	g.Expect(ok).To(gomega.BeTrue())
	allowed := 0
	for range 100 {
		_, ok := limit.Allow(start.Add(700*time.Millisecond), dropped)
		if ok {
			allowed++
		}
	}
	g.Expect(allowed).To(gomega.Equal(15), "eight tenths of the lines, less the one written")
	suppressed, ok := limit.Allow(start.Add(800*time.Millisecond), dropped)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(suppressed).To(gomega.Equal(85))
}

// Unused lines of a second must not add to those of the next one.
func TestNothingIsCarriedOverToTheNextSecond(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := &asynclog.Limit{PerSecond: 20}
	limit.Allow(start, dropped)
	g.Expect(allowedByTenth(limit, start.Add(time.Second))).To(gomega.Equal([10]int{2, 2, 2, 2, 2, 2, 2, 2, 2, 2}))
}

func TestLinesLeftOutAreCountedByCause(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	leftOut := asynclog.NewLeftOut()
	limit := &asynclog.Limit{PerSecond: 10, LeftOut: leftOut}
	for range 4 {
		limit.Allow(start, dropped)
	}
	for range 5 {
		limit.Allow(start, reset)
	}
	leftOut.Write(start.Add(999*time.Millisecond), log)
	g.Expect(out.String()).To(gomega.BeEmpty(), "a second has not passed")
	leftOut.Write(start.Add(time.Second), log)
	g.Expect(out.String()).To(gomega.HaveSuffix(
		`level=WARN msg="lines left out" lines=8 over=1s counts="5 packet not forwarded: reset, no view yet; 3 packet not forwarded: dropped, no route"` + "\n"))

	out.Reset()
	leftOut.Write(start.Add(2*time.Second), log)
	g.Expect(out.String()).To(gomega.BeEmpty(), "each line is counted once")
}

func TestAQuietSecondWritesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	leftOut := asynclog.NewLeftOut()
	limit := &asynclog.Limit{PerSecond: 10, LeftOut: leftOut}
	for ms := range 3000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%100 == 0 {
			_, ok := limit.Allow(now, dropped)
			g.Expect(ok).To(gomega.BeTrue())
		}
		leftOut.Write(now, log)
	}
	g.Expect(out.String()).To(gomega.BeEmpty())
}

// After a pause of the process the lines are spread again, and one summary names the
// time that it covers. Five seconds' worth of lines must not be written at once.
func TestPauseOfTheProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	leftOut := asynclog.NewLeftOut()
	limit := &asynclog.Limit{PerSecond: 20, LeftOut: leftOut}
	allowedByTenth(limit, start)
	after := start.Add(6 * time.Second)
	for tenth, allowed := range allowedByTenth(limit, after) {
		g.Expect(allowed).To(gomega.Equal(2), "tenth %d", tenth)
	}
	leftOut.Write(after.Add(time.Second), log)
	g.Expect(strings.Count(out.String(), "\n")).To(gomega.Equal(1))
	// The third line, 2 ms after the start, was the first that was left out.
	g.Expect(out.String()).To(gomega.ContainSubstring("lines=1960 over=6.998s "))
}

// Causes that vary without bound must not let the counts grow without bound.
func TestCausesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	leftOut := asynclog.NewLeftOut()
	limit := &asynclog.Limit{PerSecond: 0, LeftOut: leftOut}
	for i := range 100 {
		limit.Allow(start, asynclog.Cause{Line: fmt.Sprintf("line %d", i)})
	}
	leftOut.Write(start.Add(time.Second), slog.New(slog.NewTextHandler(&out, nil)))
	g.Expect(out.String()).To(gomega.ContainSubstring(`lines=100 over=1s counts="36 other lines; 1 line 0; `))
}

// The packet path leaves out most lines when it has the most to do.
func TestALineLeftOutIsNotAllocated(t *testing.T) {
	g := gomega.NewWithT(t)
	leftOut := asynclog.NewLeftOut()
	limit := &asynclog.Limit{PerSecond: 0, LeftOut: leftOut}
	log := slog.New(slog.DiscardHandler)
	causes := make([]asynclog.Cause, 60)
	for i := range causes {
		causes[i] = asynclog.Cause{Line: fmt.Sprintf("line %d", i)}
	}
	for range 2 {
		const runs, perRun = 5, 10
		run := 0
		// AllocsPerRun runs the function once more before it counts. Each run has causes
		// that were not counted since the last summary.
		g.Expect(testing.AllocsPerRun(runs, func() {
			for _, cause := range causes[run*perRun : (run+1)*perRun] {
				limit.Allow(start, cause)
				limit.Allow(start, cause)
			}
			run++
		})).To(gomega.BeZero())
		leftOut.Write(start.Add(time.Second), log)
	}
}
