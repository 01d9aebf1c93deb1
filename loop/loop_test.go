package loop_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/loop"
)

// counter is a handler that adds events and records when Wake was called.
type counter struct {
	sum   int
	due   time.Time
	woken []time.Time
}

type event struct {
	add   int
	reply loop.Reply[int]
}

func (c *counter) Handle(now time.Time, e event) {
	c.sum += e.add
	c.due = now.Add(time.Second)
	e.reply.Answer(c.sum)
}

func (c *counter) Wake(now time.Time) {
	c.woken = append(c.woken, now)
	c.due = time.Time{}
}

func (c *counter) Deadline() (time.Time, bool) {
	return c.due, !c.due.IsZero()
}

func ask(ctx context.Context, l *loop.Loop[event], add int) (int, error) {
	return loop.Ask(ctx, l, func(r loop.Reply[int]) event { return event{add: add, reply: r} })
}

func TestLoopAnswersInOrderAndWakesAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		l := loop.New[event](4)
		c := &counter{}
		go l.Run(ctx, c)
		start := time.Now()
		for want := 1; want <= 3; want++ {
			g.Expect(ask(ctx, l, 1)).To(gomega.Equal(want))
		}
		time.Sleep(10 * time.Second)
		cancel()
		<-l.Stopped()
		g.Expect(c.woken).To(gomega.Equal([]time.Time{start.Add(time.Second)}))
		g.Expect(l.Post(event{})).To(gomega.MatchError(loop.ErrStopped))
	})
}

func TestPostDropsAndCountsWhenTheMailboxIsFull(t *testing.T) {
	g := gomega.NewWithT(t)
	l := loop.New[event](1)
	g.Expect(l.Post(event{})).To(gomega.Succeed())
	g.Expect(l.Post(event{})).To(gomega.MatchError(loop.ErrFull))
	g.Expect(l.Dropped()).To(gomega.Equal(int64(1)))
}
