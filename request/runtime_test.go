package request_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/request"
)

// answerRuns submits requests one by one, each answered after the given duration.
func answerRuns(c *request.Core, now time.Time, runs int, duration time.Duration) time.Time {
	for n := range runs {
		actions := c.Handle(now, request.Arrived{ID: id(1_000 + n), Deadline: now.Add(time.Second)})
		attempt := pick[request.Reserve](actions)[0].Attempt
		load := request.Load{Free: 5, Bound: 5}
		c.Handle(now, request.ReserveAnswered{Attempt: attempt, Peer: other, Granted: true, Load: load})
		now = now.Add(duration)
		c.Handle(now, request.AnswerStarted{Attempt: attempt})
		c.Handle(now, request.RunEnded{Attempt: attempt, Result: request.RunAnswered, Load: &load})
	}
	return now
}

func TestRequestThatCannotBeAnsweredInTimeIsNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(request.DefaultLimits(), other)
	now := answerRuns(c, epoch, 50, 100*time.Millisecond)
	deadline := now.Add(300 * time.Millisecond)
	reserve := pick[request.Reserve](c.Handle(now, request.Arrived{ID: id(1), Deadline: deadline}))[0]
	c.Handle(now, request.ReserveAnswered{Attempt: reserve.Attempt, Peer: other})
	due, _ := c.Deadline(now)
	for due.Before(deadline.Add(-100 * time.Millisecond)) {
		for _, again := range pick[request.Reserve](c.Wake(due)) {
			c.Handle(due, request.ReserveAnswered{Attempt: again.Attempt, Peer: other})
		}
		if c.Open() == 0 {
			break
		}
		due, _ = c.Deadline(due)
	}
	g.Expect(c.Open()).To(gomega.BeZero(), "refused while it could still be answered elsewhere")
	g.Expect(c.Counts().RefusedNotRun).To(gomega.Equal(uint64(1)))
}

func TestRunsLongerThanTheDeadlineAreStillTried(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(request.DefaultLimits(), other)
	now := answerRuns(c, epoch, 50, 900*time.Millisecond)
	brief := request.Arrived{ID: id(1), Deadline: now.Add(100 * time.Millisecond)}
	reserve := pick[request.Reserve](c.Handle(now, brief))[0]
	actions := c.Handle(now, request.ReserveAnswered{Attempt: reserve.Attempt, Peer: other, Granted: true})
	g.Expect(pick[request.Run](actions)).To(gomega.HaveLen(1))
}
