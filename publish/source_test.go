package publish_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
	"zinniapulley.dev/core"
	"zinniapulley.dev/publish"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newFollower() *publish.Follower {
	follower := publish.NewFollower()
	follower.SetFloor(0)
	return follower
}

// poll sends a follower's request to a source and applies the answer.
func poll(follower *publish.Follower, source *publish.Source) (publish.Verdict, error) {
	answer, _ := source.Answer(start, follower.Request())
	return follower.Apply(start, answer)
}

func TestFollowersOfSourcesAndRelaysReachTheNewestViewAndNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := firstView()
		source := publish.NewSource()
		source.Publish(start, view)
		relay := publish.NewSource()
		relayFollower := newFollower()
		followers := []*publish.Follower{newFollower(), newFollower(), newFollower()}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				view = drawNext(t, view)
				source.Publish(start, view)
			case 1:
				_, err := poll(relayFollower, source)
				if err != nil {
					t.Fatal(err)
				}
				relay.Publish(start, relayFollower.View())
			default:
				follower := rapid.SampledFrom(followers).Draw(t, "follower")
				polled := rapid.SampledFrom([]*publish.Source{source, relay}).Draw(t, "asked")
				pollAndCheck(t, follower, polled)
			}
		}
		for _, follower := range followers {
			pollAndCheck(t, follower, source)
			if !sameView(follower.View(), view) {
				t.Fatalf("got %+v, want %+v", follower.View(), view)
			}
		}
	})
}

func pollAndCheck(t *rapid.T, follower *publish.Follower, source *publish.Source) {
	before := follower.View().Revision
	verdict, err := poll(follower, source)
	if err != nil {
		t.Fatal(err)
	}
	after := follower.View().Revision
	if after < before {
		t.Fatalf("revision went back from %v to %v", before, after)
	}
	if source.View().Revision >= before && after != source.View().Revision {
		t.Fatalf("verdict %v left revision %v, the source has %v", verdict, after, source.View().Revision)
	}
	if source.View().Revision < before && verdict != publish.Older {
		t.Fatalf("verdict %v on a source at %v with %v in force", verdict, source.View().Revision, before)
	}
}

func nextView(view *core.View) *core.View {
	next := *view
	next.Revision++
	next.DataCentres = []core.DataCentreState{{Name: "north-a", In: next.Revision%2 == 0}}
	return &next
}

func TestAWaitingSubscriberIsAnsweredByTheNextView(t *testing.T) {
	g := gomega.NewWithT(t)
	source := publish.NewSource()
	source.Publish(start, firstView())
	follower := newFollower()
	verdict, err := poll(follower, source)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(verdict).To(gomega.Equal(publish.InForce))
	until := start.Add(5 * time.Second)
	_, answered := source.Wait(start, 1, follower.Request(), until)
	g.Expect(answered).To(gomega.BeFalse())
	next, waits := source.NextDeadline()
	g.Expect(waits).To(gomega.BeTrue())
	g.Expect(next).To(gomega.Equal(until))
	deliveries := source.Publish(start.Add(time.Second), nextView(firstView()))
	g.Expect(deliveries).To(gomega.HaveLen(1))
	g.Expect(deliveries[0].Waiter).To(gomega.Equal(publish.WaiterID(1)))
	g.Expect(deliveries[0].Answer.Delta).NotTo(gomega.BeNil())
	verdict, err = follower.Apply(start, deliveries[0].Answer)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(verdict).To(gomega.Equal(publish.InForce))
}

func TestAWaitingSubscriberIsAnsweredAtItsDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	source := publish.NewSource()
	source.Publish(start, firstView())
	request := publish.Request{Have: 1, Digest: source.Digest()}
	for i := range 3 {
		_, answered := source.Wait(start, publish.WaiterID(i), request, start.Add(time.Duration(3-i)*time.Second))
		g.Expect(answered).To(gomega.BeFalse())
	}
	source.Confirm(start.Add(time.Second))
	due := source.ExpireWaiters(start.Add(2 * time.Second))
	g.Expect(due).To(gomega.Equal([]publish.Delivery{
		{Waiter: 2, Answer: publish.Answer{Current: 1, Digest: source.Digest(), Confirmed: true, Age: time.Second}},
		{Waiter: 1, Answer: publish.Answer{Current: 1, Digest: source.Digest(), Confirmed: true, Age: time.Second}},
	}))
}

func TestTooManyWaitersAreAnsweredAtOnceAndCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	source := publish.NewSource()
	source.Publish(start, firstView())
	request := publish.Request{Have: 1, Digest: source.Digest()}
	for i := range publish.MaxWaiters {
		source.Wait(start, publish.WaiterID(i), request, start.Add(time.Second))
	}
	_, answered := source.Wait(start, publish.MaxWaiters, request, start.Add(time.Second))
	g.Expect(answered).To(gomega.BeTrue())
	g.Expect(source.Refused()).To(gomega.Equal(int64(1)))
}

func TestASubscriberTooFarBehindGetsTheWholeView(t *testing.T) {
	g := gomega.NewWithT(t)
	source := publish.NewSource()
	view := firstView()
	source.Publish(start, view)
	oldest := publish.Request{Have: 1, Digest: source.Digest()}
	for range publish.MaxDeltas {
		view = nextView(view)
		source.Publish(start, view)
	}
	answer, _ := source.Answer(start, oldest)
	g.Expect(answer.Delta).NotTo(gomega.BeNil())
	source.Publish(start, nextView(view))
	answer, _ = source.Answer(start, oldest)
	g.Expect(answer.Delta).To(gomega.BeNil())
	g.Expect(answer.View).NotTo(gomega.BeNil())
}

func TestACorruptAnswerIsDroppedAndTheWholeViewRequested(t *testing.T) {
	g := gomega.NewWithT(t)
	source := publish.NewSource()
	source.Publish(start, firstView())
	follower := newFollower()
	_, err := poll(follower, source)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	source.Publish(start, nextView(firstView()))
	answer, _ := source.Answer(start, follower.Request())
	damaged := *answer.Delta
	damaged.DataCentresGone = nil
	answer.Delta = &damaged
	verdict, err := follower.Apply(start, answer)
	g.Expect(verdict).To(gomega.Equal(publish.Corrupt))
	g.Expect(err).To(gomega.BeAssignableToTypeOf(&publish.DigestError{}))
	g.Expect(follower.View().Revision).To(gomega.Equal(core.Revision(1)))
	answer, _ = source.Answer(start, follower.Request())
	g.Expect(answer.View).NotTo(gomega.BeNil())
	verdict, err = follower.Apply(start, answer)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(verdict).To(gomega.Equal(publish.InForce))
}

func TestASubscriberWithADamagedViewGetsTheWholeView(t *testing.T) {
	g := gomega.NewWithT(t)
	source := publish.NewSource()
	source.Publish(start, firstView())
	answer, final := source.Answer(start, publish.Request{Have: 1, Digest: 99})
	g.Expect(final).To(gomega.BeTrue())
	g.Expect(answer.View).NotTo(gomega.BeNil())
}

func TestARestartedProcessAppliesNothingOlderThanItsFloor(t *testing.T) {
	g := gomega.NewWithT(t)
	stale := publish.NewSource()
	stale.Publish(start, firstView())
	current := publish.NewSource()
	current.Publish(start, nextView(firstView()))
	follower := publish.NewFollower()
	verdict, _ := poll(follower, current)
	g.Expect(verdict).To(gomega.Equal(publish.Unconfirmed))
	g.Expect(follower.View().Revision).To(gomega.BeZero())
	follower.SetFloor(2)
	verdict, _ = poll(follower, stale)
	g.Expect(verdict).To(gomega.Equal(publish.Older))
	g.Expect(follower.View().Revision).To(gomega.BeZero())
	verdict, _ = poll(follower, current)
	g.Expect(verdict).To(gomega.Equal(publish.InForce))
	verdict, _ = poll(follower, stale)
	g.Expect(verdict).To(gomega.Equal(publish.Older))
	g.Expect(follower.View().Revision).To(gomega.Equal(core.Revision(2)))
}

func TestTheFloorHoldsForAWholeViewOlderThanItsAnswerClaims(t *testing.T) {
	g := gomega.NewWithT(t)
	follower := publish.NewFollower()
	follower.SetFloor(5)
	old := firstView()
	verdict, _ := follower.Apply(start, publish.Answer{Current: 9, View: old, Digest: publish.DigestOf(old)})
	g.Expect(verdict).To(gomega.Equal(publish.Older))
	g.Expect(follower.View().Revision).To(gomega.BeZero())
}

func TestConfirmationsAgeInTransit(t *testing.T) {
	g := gomega.NewWithT(t)
	source := publish.NewSource()
	source.Publish(start, firstView())
	source.Confirm(start)
	follower := newFollower()
	answered := start.Add(3 * time.Second)
	answer, _ := source.Answer(answered, follower.Request())
	sent := start.Add(time.Hour)
	_, err := follower.Apply(sent, answer)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	confirmed, ok := follower.Confirmed()
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(confirmed).To(gomega.Equal(sent.Add(-3 * time.Second)))
}
