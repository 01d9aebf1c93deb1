package request_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/request"
)

var epoch = time.Unix(1_000_000, 0)

const self, other = core.InstanceID("c1"), core.InstanceID("c2")

func newCore(limits request.Limits, peers ...core.InstanceID) *request.Core {
	c := request.New(self, limits, request.PowerOfTwo{HopCost: 0.3}, rand.New(rand.NewPCG(1, 2)))
	c.Handle(epoch, request.PeersChanged{Peers: peers})
	return c
}

func id(n int) core.RequestID {
	return core.RequestID{Companion: self, Incarnation: 1, Number: uint64(n)}
}

func arrived(n int) request.Arrived {
	return request.Arrived{ID: id(n), Deadline: epoch.Add(time.Second)}
}

// pick returns the actions of one type.
func pick[A request.Action](actions []request.Action) []A {
	var picked []A
	for _, action := range actions {
		if a, ok := action.(A); ok {
			picked = append(picked, a)
		}
	}
	return picked
}

// start submits a request and grants its first reservation.
func start(c *request.Core, e request.Arrived) request.Run {
	reserves := pick[request.Reserve](c.Handle(epoch, e))
	load := request.Load{Free: 5, Bound: 5}
	granted := request.ReserveAnswered{Attempt: reserves[0].Attempt, Peer: reserves[0].Peer, Granted: true, Load: load}
	return pick[request.Run](c.Handle(epoch, granted))[0]
}

func TestRequestIsForwardedToAPeerWithAFreeSlot(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(request.DefaultLimits(), self, other)
	c.Handle(epoch, request.PeerLoad{Peer: self, Load: request.Load{Free: 0, Bound: 5}})
	c.Handle(epoch, request.PeerLoad{Peer: other, Load: request.Load{Free: 3, Bound: 5}})
	run := start(c, arrived(1))
	g.Expect(run.Peer).To(gomega.Equal(other))
}

func TestLostReservationIsCancelledAndMadeElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(request.DefaultLimits(), self, other)
	c.Handle(epoch, request.PeerLoad{Peer: other, Load: request.Load{Free: 3, Bound: 5}})
	first := pick[request.Reserve](c.Handle(epoch, arrived(1)))[0]
	g.Expect(first.Peer).To(gomega.Equal(other))
	c.Handle(epoch, request.PeerLoad{Peer: self, Load: request.Load{Free: 1, Bound: 5}})
	actions := c.Handle(epoch, request.ReserveLost{Attempt: first.Attempt})
	g.Expect(pick[request.Cancel](actions)).To(gomega.Equal([]request.Cancel{{Attempt: first.Attempt, Peer: other}}))
	g.Expect(pick[request.Reserve](actions)[0].Peer).To(gomega.Equal(self))
	late := request.ReserveAnswered{Attempt: first.Attempt, Peer: other, Granted: true}
	g.Expect(pick[request.Cancel](c.Handle(epoch, late))).To(gomega.HaveLen(1))
}

func TestRefusalStatesWhetherTheRequestMayHaveRun(t *testing.T) {
	limits := request.DefaultLimits()
	limits.RetryBurst, limits.RetryShare = 0, 0
	cases := map[string]struct {
		result request.RunResult
		want   request.Outcome
	}{
		"shed by the backend server":        {request.RunShed, request.NotRun},
		"connection refused":                {request.RunUnreachable, request.NotRun},
		"not claimed":                       {request.RunNotClaimed, request.NotRun},
		"broken after bytes were sent":      {request.RunBroken, request.OutcomeUnknown},
		"no answer at the deadline":         {request.RunTimedOut, request.OutcomeUnknown},
		"first submission still runs":       {request.RunDuplicateRunning, request.StillRunning},
		"first submission's outcome lost":   {request.RunDuplicateUnknown, request.OutcomeUnknown},
		"key used before with another body": {request.RunKeyReused, request.KeyReused},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := newCore(limits, other)
			run := start(c, arrived(1))
			refusals := pick[request.Refuse](c.Handle(epoch, request.RunEnded{Attempt: run.Attempt, Result: tc.result}))
			g.Expect(refusals).To(gomega.HaveLen(1))
			g.Expect(refusals[0].Outcome).To(gomega.Equal(tc.want))
			g.Expect(refusals[0].RetryAfter).To(gomega.BeNumerically(">=", limits.RetryAfter))
		})
	}
}

func TestShedAfterALostAnswerIsReportedAsOutcomeUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(request.DefaultLimits(), other)
	repeatable := arrived(1)
	repeatable.Repeatable = true
	run := start(c, repeatable)
	c.Handle(epoch, request.RunEnded{Attempt: run.Attempt, Result: request.RunBroken})
	due, _ := c.Deadline(epoch)
	reserve := pick[request.Reserve](c.Wake(due))[0]
	c.Handle(due, request.ReserveAnswered{Attempt: reserve.Attempt, Peer: other, Granted: true})
	late := epoch.Add(time.Second - time.Millisecond)
	refusals := pick[request.Refuse](c.Handle(late, request.RunEnded{Attempt: reserve.Attempt, Result: request.RunShed}))
	g.Expect(refusals[0].Outcome).To(gomega.Equal(request.OutcomeUnknown))
}

func TestOnlyRepeatableRequestsRunAgainAfterALostAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(request.DefaultLimits(), other)
	run := start(c, arrived(1))
	actions := c.Handle(epoch, request.RunEnded{Attempt: run.Attempt, Result: request.RunBroken})
	g.Expect(pick[request.Refuse](actions)).To(gomega.HaveLen(1))
	g.Expect(c.Open()).To(gomega.BeZero())
}

func TestDeadlineInTheQueueIsRefusedWithoutARun(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(request.DefaultLimits(), self)
	c.Handle(epoch, request.PeerLoad{Peer: self, Load: request.Load{Free: 0, Bound: 5}})
	g.Expect(c.Handle(epoch, arrived(1))).To(gomega.BeEmpty())
	due, ok := c.Deadline(epoch)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(due).To(gomega.BeTemporally("<", epoch.Add(time.Second)))
	actions := c.Wake(due)
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(pick[request.Refuse](actions)[0].Outcome).To(gomega.Equal(request.NotRun))
}

func TestDeadlineShrinksAtEachHop(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := request.DefaultLimits()
	c := newCore(limits, other)
	run := start(c, arrived(1))
	g.Expect(run.Timeout).To(gomega.Equal(time.Second - limits.HopMargin))
	late := epoch.Add(time.Second)
	actions := c.Wake(late)
	g.Expect(pick[request.Cancel](actions)).To(gomega.HaveLen(1))
	g.Expect(pick[request.Refuse](actions)[0].Outcome).To(gomega.Equal(request.OutcomeUnknown))
}

func TestCancellationReachesTheBackendServer(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(request.DefaultLimits(), other)
	run := start(c, arrived(1))
	actions := c.Handle(epoch, request.CallerDisconnected{ID: id(1)})
	g.Expect(actions).To(gomega.Equal([]request.Action{request.Cancel{Attempt: run.Attempt, Peer: other}}))
}

func TestKeyedRequestRunsOnWhenItsCallerDisconnects(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(request.DefaultLimits(), other)
	keyed := arrived(1)
	keyed.Keyed = true
	start(c, keyed)
	g.Expect(c.Handle(epoch, request.CallerDisconnected{ID: id(1)})).To(gomega.BeEmpty())
}

func TestLateAnswersAreNotDeliveredToOtherCallers(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(request.DefaultLimits(), other)
	c.Handle(epoch, request.PeerLoad{Peer: other, Load: request.Load{Free: 5, Bound: 5}})
	first := start(c, arrived(1))
	second := start(c, arrived(2))
	c.Handle(epoch, request.CallerDisconnected{ID: id(1)})
	late := c.Handle(epoch, request.AnswerStarted{Attempt: first.Attempt})
	g.Expect(late).To(gomega.Equal([]request.Action{request.Discard{Attempt: first.Attempt}}))
	own := c.Handle(epoch, request.AnswerStarted{Attempt: second.Attempt})
	g.Expect(own).To(gomega.Equal([]request.Action{request.Deliver{Attempt: second.Attempt}}))
	g.Expect(c.Handle(epoch, request.RunEnded{Attempt: first.Attempt, Result: request.RunAnswered})).To(gomega.BeEmpty())
	whole := c.Handle(epoch, request.RunEnded{Attempt: second.Attempt, Result: request.RunAnswered})
	g.Expect(whole).To(gomega.Equal([]request.Action{request.Finish{ID: id(2)}}))
}

func TestIncompleteAnswerAbortsTheCallersFlow(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(request.DefaultLimits(), other)
	repeatable := arrived(1)
	repeatable.Repeatable = true
	run := start(c, repeatable)
	c.Handle(epoch, request.AnswerStarted{Attempt: run.Attempt})
	actions := c.Handle(epoch, request.RunEnded{Attempt: run.Attempt, Result: request.RunBroken})
	g.Expect(actions).To(gomega.Equal([]request.Action{request.Abort{ID: id(1)}}))
}

func TestFullQueueRefuses(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := request.DefaultLimits()
	limits.MaxQueue = 2
	c := newCore(limits, self)
	for n := range 2 {
		g.Expect(c.Handle(epoch, arrived(n))).To(gomega.BeEmpty())
	}
	refusals := pick[request.Refuse](c.Handle(epoch, arrived(2)))
	g.Expect(refusals[0].Reason).To(gomega.Equal(request.ReasonQueueFull))
	g.Expect(refusals[0].Outcome).To(gomega.Equal(request.NotRun))
}

// TestNoRetryStormWhenEveryBackendServerSheds has every run shed and checks that
// the retry budget bounds the retries.
func TestNoRetryStormWhenEveryBackendServerSheds(t *testing.T) {
	g := gomega.NewWithT(t)
	const requests = 1000
	limits := request.DefaultLimits()
	c := newCore(limits, other)
	now := epoch
	var todo []request.Action
	shed := func() {
		for len(todo) > 0 {
			action := todo[0]
			todo = todo[1:]
			switch a := action.(type) {
			case request.Reserve:
				load := request.Load{Free: 5, Bound: 5}
				todo = append(todo, c.Handle(now, request.ReserveAnswered{Attempt: a.Attempt, Peer: a.Peer, Granted: true, Load: load})...)
			case request.Run:
				todo = append(todo, c.Handle(now, request.RunEnded{Attempt: a.Attempt, Result: request.RunShed})...)
			}
		}
	}
	for n := range requests {
		todo = c.Handle(now, request.Arrived{ID: id(n), Deadline: now.Add(time.Second), Repeatable: true})
		shed()
		now = now.Add(time.Millisecond)
		todo = c.Wake(now)
		shed()
	}
	maxRetries := uint64(requests*limits.RetryShare + limits.RetryBurst)
	g.Expect(c.Counts().Retries).To(gomega.BeNumerically("<=", maxRetries))
	g.Expect(c.Counts().Retries).To(gomega.BeNumerically(">", 0))
}

func TestPowerOfTwoPrefersItselfUnlessFarFuller(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	choose := func(own, theirs int) int {
		return request.PowerOfTwo{HopCost: 0.3}.Choose([]request.Candidate{
			{Peer: self, Self: true, Fresh: true, Load: request.Load{Free: own, Bound: 5}},
			{Peer: other, Fresh: true, Load: request.Load{Free: theirs, Bound: 5}},
		}, random)
	}
	g.Expect(choose(4, 5)).To(gomega.Equal(0))
	forwarded := 0
	for range 100 {
		forwarded += choose(1, 5)
	}
	g.Expect(forwarded).To(gomega.BeNumerically(">", 50))
}
