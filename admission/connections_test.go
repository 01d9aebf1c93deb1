package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
	"zinniapulley.dev/admission"
)

const bound = 2000

var start = time.Date(2026, 3, 12, 8, 0, 0, 0, time.UTC)

// backend is a backend server whose capacity grows during its warm-up and that
// refuses connections beyond it.
type backend struct {
	coldSince time.Time
	warmUp    time.Duration
	// constantLatency reports whether its latency doesn't rise before it fails.
	constantLatency bool
	// failed counts the connections beyond its capacity.
	failed int
}

const (
	coldCapacity = 40
	baseLatency  = 5 * time.Millisecond
)

func (b *backend) capacity(now time.Time) int {
	warm := min(1, float64(now.Sub(b.coldSince))/float64(b.warmUp))
	return coldCapacity + int(float64(bound-coldCapacity)*warm)
}

// answer returns the result of a new connection when the given number are open, the
// new one included.
func (b *backend) answer(now time.Time, open int) admission.Event {
	load := float64(open) / float64(b.capacity(now))
	if load > 1 {
		b.failed++
		return admission.Failed{Failure: admission.FailureRefused}
	}
	latency := baseLatency
	if !b.constantLatency {
		latency = time.Duration(float64(baseLatency) / max(0.02, 1-load))
	}
	return admission.Answered{Latency: latency}
}

// trial offers flows to a companion in front of a backend server.
type trial struct {
	c       *admission.Connections
	backend *backend
	now     time.Time
	refused int
}

func newTrial(warmUp time.Duration) *trial {
	return &trial{
		c:       admission.NewConnections(admission.DefaultRampConfig(bound)),
		backend: &backend{coldSince: start, warmUp: warmUp},
		now:     start,
	}
}

// offer offers flows at a rate for a duration. Admitted ones stay open.
func (tr *trial) offer(perSecond int, d time.Duration) {
	for range int(d.Seconds() * float64(perSecond)) {
		tr.now = tr.now.Add(time.Second / time.Duration(perSecond))
		tr.open()
	}
}

// open offers one flow.
func (tr *trial) open() {
	due, ok := tr.c.Deadline()
	if ok && !due.After(tr.now) {
		tr.c.Handle(tr.now, admission.DeadlinePassed{})
	}
	if tr.c.Open() >= tr.c.Limit() {
		tr.refused++
		return
	}
	tr.c.Handle(tr.now, admission.Opened{})
	answer := tr.backend.answer(tr.now, tr.c.Open())
	tr.c.Handle(tr.now, answer)
	_, failed := answer.(admission.Failed)
	if failed {
		tr.c.Handle(tr.now, admission.Closed{})
	}
}

func TestColdStartBeginsWithALowLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	tr := newTrial(30 * time.Second)
	tr.offer(5000, 500*time.Millisecond)
	g.Expect(tr.c.Open()).To(gomega.BeNumerically("<=", bound/admission.ColdDivisor))
	g.Expect(tr.backend.failed).To(gomega.BeZero())
}

func TestColdBackendServerIsNeverOverloaded(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, warmUp := range []time.Duration{time.Second, 10 * time.Second, 30 * time.Second, 5 * time.Minute} {
		tr := newTrial(warmUp)
		tr.offer(200, 10*time.Minute)
		g.Expect(tr.backend.failed).To(gomega.BeZero(), "warm-up of %v", warmUp)
		g.Expect(tr.c.Open()).To(gomega.BeNumerically(">=", bound/2), "warm-up of %v", warmUp)
	}
}

func TestBackendServerThatFailsWithoutRisingLatency(t *testing.T) {
	g := gomega.NewWithT(t)
	tr := newTrial(2 * time.Minute)
	tr.backend.constantLatency = true
	tr.offer(200, 4*time.Minute)
	g.Expect(tr.backend.failed).To(gomega.BeNumerically("<=", 40), "of 48,000 flows offered")
	g.Expect(tr.c.Open()).To(gomega.BeNumerically(">=", bound*9/10))
}

func TestFallbackIntoColdStartIsDetectedFromTraffic(t *testing.T) {
	g := gomega.NewWithT(t)
	tr := newTrial(10 * time.Second)
	tr.offer(200, 2*time.Minute)
	warm := tr.c.Limit()
	// The backend server falls back into cold start without a new start ID: its
	// flows end and its capacity is low again.
	for tr.c.Open() > 0 {
		tr.c.Handle(tr.now, admission.Closed{})
	}
	tr.backend.coldSince = tr.now
	tr.backend.warmUp = time.Hour
	failedBefore := tr.backend.failed
	tr.offer(1000, time.Second)
	g.Expect(tr.c.Limit()).To(gomega.BeNumerically("<", warm/4))
	g.Expect(tr.backend.failed - failedBefore).To(gomega.BeNumerically("<=", 3))
}

func TestRepeatedFailuresReturnToColdStartAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	tr := newTrial(time.Second)
	tr.offer(200, 2*time.Minute)
	g.Expect(tr.c.Limit()).To(gomega.BeNumerically(">", bound/2))
	fail := admission.Failed{Failure: admission.FailureReset}
	g.Expect(tr.c.Handle(tr.now, fail).Reason).To(gomega.Equal(admission.ReasonFailure))
	tr.c.Handle(tr.now, fail)
	change := tr.c.Handle(tr.now, fail)
	g.Expect(change.Reason).To(gomega.Equal(admission.ReasonColdFallback))
	g.Expect(change.Limit).To(gomega.Equal(bound / admission.ColdDivisor))
	g.Expect(change.Announce).To(gomega.Equal(bound / admission.ColdDivisor))
}

func TestNewStartIDRestartsInColdStart(t *testing.T) {
	g := gomega.NewWithT(t)
	tr := newTrial(time.Second)
	g.Expect(tr.c.Handle(tr.now, admission.Started{StartID: 1}).Reason).To(gomega.BeZero())
	tr.offer(200, 2*time.Minute)
	warm := tr.c.Limit()
	g.Expect(tr.c.Handle(tr.now, admission.Started{StartID: 1}).Limit).To(gomega.Equal(warm))
	change := tr.c.Handle(tr.now, admission.Started{StartID: 2})
	g.Expect(change.Reason).To(gomega.Equal(admission.ReasonRestart))
	g.Expect(change.Limit).To(gomega.Equal(bound / admission.ColdDivisor))
}

func TestLatencyJumpCutsAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	tr := newTrial(time.Second)
	tr.offer(200, 2*time.Minute)
	tr.now = tr.now.Add(2 * time.Second)
	warm := tr.c.Limit()
	slow := admission.Answered{Latency: time.Second}
	for range 3 {
		tr.c.Handle(tr.now, slow)
	}
	g.Expect(tr.c.Limit()).To(gomega.BeNumerically("<=", warm/2))
	for range 5 {
		tr.c.Handle(tr.now, slow)
	}
	g.Expect(tr.c.Limit()).To(gomega.Equal(bound / admission.ColdDivisor))
}

func TestHintsAloneNeverChangeTheLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	good := admission.Hinted{Healthy: true, Load: 0}
	bad := admission.Hinted{Healthy: false, Load: 1}

	tooGood := newTrial(5 * time.Minute)
	for range 100 {
		tooGood.c.Handle(tooGood.now, good)
	}
	g.Expect(tooGood.c.Limit()).To(gomega.Equal(bound/admission.ColdDivisor), "a good hint doesn't raise the limit")
	tooGood.offer(200, time.Minute)
	g.Expect(tooGood.backend.failed).To(gomega.BeZero())

	tooBad := newTrial(time.Second)
	tooBad.c.Handle(tooBad.now, bad)
	tooBad.offer(200, 5*time.Minute)
	g.Expect(tooBad.c.Open()).To(gomega.BeNumerically(">=", bound/2), "a bad hint alone doesn't keep it cold")
	warm := tooBad.c.Limit()
	tooBad.c.Handle(tooBad.now, bad)
	g.Expect(tooBad.c.Limit()).To(gomega.Equal(warm), "a bad hint alone doesn't cut the limit")
}

func TestLimitFilledByIdleFlowsRisesAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	tr := newTrial(time.Second)
	tr.offer(200, 2*time.Minute)
	for range 3 {
		tr.c.Handle(tr.now, admission.Failed{Failure: admission.FailureTimeout})
	}
	g.Expect(tr.c.Open()).To(gomega.BeNumerically(">", tr.c.Limit()), "no new flow can show its capacity")
	due, ok := tr.c.Deadline()
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(tr.c.Handle(due, admission.DeadlinePassed{}).Limit).To(gomega.BeNumerically(">", bound/admission.ColdDivisor))
}

// TestBoundHoldsAtAnyInterleaving handles arbitrary events: open flows and the limit
// never exceed the bound, and the limit never falls below one.
func TestBoundHoldsAtAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maximum := rapid.IntRange(1, 3000).Draw(t, "bound")
		c := admission.NewConnections(admission.DefaultRampConfig(maximum))
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := start
		for range rapid.IntRange(1, 500).Draw(t, "events") {
			now = now.Add(time.Duration(random.Int64N(int64(3 * time.Second))))
			change := c.Handle(now, anyEvent(random, c))
			if change.Limit < 1 || change.Limit > maximum || change.Announce < 1 || change.Announce > maximum {
				t.Fatalf("limit %d, announced %d of %d", change.Limit, change.Announce, maximum)
			}
			if c.Open() > maximum {
				t.Fatalf("%d open of %d", c.Open(), maximum)
			}
		}
	})
}

func anyEvent(random *rand.Rand, c *admission.Connections) admission.Event {
	switch random.IntN(10) {
	case 0:
		return admission.Failed{Failure: admission.FailureRefused}
	case 1:
		return admission.Started{StartID: 7}
	case 2:
		return admission.Returned{}
	case 3:
		return admission.Hinted{Healthy: random.IntN(2) == 0, Load: random.Float64()}
	case 4:
		return admission.DeadlinePassed{}
	case 5:
		return admission.Closed{}
	case 6, 7:
		return admission.Answered{Latency: time.Duration(random.Int64N(int64(100 * time.Millisecond)))}
	default:
		if c.Open() < c.Limit() {
			return admission.Opened{}
		}
		return admission.DeadlinePassed{}
	}
}
