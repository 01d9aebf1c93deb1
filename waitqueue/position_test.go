package waitqueue_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/waitqueue"
)

// drain starts all that wait, and returns the keys in the order of the starts.
func drain(t *testing.T, q *waitqueue.Queue) []core.FlowKey {
	t.Helper()
	var order []core.FlowKey
	for q.Len() > 0 {
		order = append(order, next(t, q).Request.Key)
	}
	return order
}

// Turns estimated without the groups' shares let a busy route, origin or caller delay the
// others' estimates, and requests with a chance were refused.
func TestEstimatedOrderAgreesWithTheStarts(t *testing.T) {
	busy := func(n int) bool { return n%4 != 0 }
	for name, c := range map[string]struct {
		change func(*waitqueue.Request, *rand.Rand, int)
		// mean bounds the mean difference between the estimated and the real place in the order.
		mean float64
		// starts is how many others were started before.
		starts int
	}{
		"slack": {func(r *waitqueue.Request, random *rand.Rand, _ int) {
			r.Elapsed = time.Duration(random.IntN(100)) * time.Millisecond
		}, 0, 0},
		"priorities and late ones": {func(r *waitqueue.Request, random *rand.Rand, n int) {
			r.Priority = random.IntN(3)
			if n%3 == 0 {
				r.Elapsed = 600 * time.Millisecond
			}
		}, 0, 0},
		"a busy route": {func(r *waitqueue.Request, _ *rand.Rand, n int) {
			if busy(n) {
				r.Route = "downloads"
			}
		}, 0, 0},
		"a busy route of a higher weight": {func(r *waitqueue.Request, _ *rand.Rand, n int) {
			if busy(n) {
				r.Route = "weighted"
			}
		}, 0, 0},
		"a busy origin": {func(r *waitqueue.Request, _ *rand.Rand, n int) {
			if busy(n) {
				r.Origin = origin(1)
			}
		}, 0, 0},
		"a busy caller": {func(r *waitqueue.Request, _ *rand.Rand, n int) {
			if busy(n) {
				r.Key.Caller = loadRequest(0, false).Key.Caller
				r.Key.Service = origin(n)
			}
		}, 0, 0},
		"all mixed": {func(r *waitqueue.Request, random *rand.Rand, n int) {
			*r = loadRequest(random.IntN(1000), n%3 == 0)
			r.Key.Service = origin(n)
		}, 0.5, 0},
		// What the groups have got in other routes or origins isn't followed.
		"all mixed, after many starts": {func(r *waitqueue.Request, random *rand.Rand, n int) {
			*r = loadRequest(random.IntN(1000), n%3 == 0)
			r.Key.Service = origin(n)
		}, 0.5, 100},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			sum, bias, count := 0, 0, 0
			for seed := range uint64(200) {
				random := rand.New(rand.NewPCG(seed, 1))
				q := waitqueue.New(map[string]float64{"weighted": 2})
				// More than so many starts earn a floor, which the number before a request omits.
				for n := range 12 + c.starts {
					r := request(n)
					c.change(&r, random, n%200)
					q.Offer(start, r, taken())
					if n >= 12 {
						next(t, q)
					}
				}
				_, ahead := q.Turns(start, taken())
				for i, key := range drain(t, q) {
					difference := ahead[key] - i
					sum += max(difference, -difference)
					bias += difference
					count++
				}
			}
			t.Logf("%d places, mean difference %.2f, bias %.2f", count, float64(sum)/float64(count), float64(bias)/float64(count))
			g.Expect(float64(sum) / float64(count)).To(gomega.BeNumerically("<=", c.mean))
		})
	}
}

// Requests whose route or origin had almost earned its floor, or late ones, were expected
// to wait for all that could go first.
func TestEarnedFloorsShortenTurns(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*waitqueue.Request)
		first  time.Duration
	}{
		"route":  {func(r *waitqueue.Request) { r.Route, r.Priority = "downloads", ordinary }, 7 * interval},
		"origin": {func(r *waitqueue.Request) { r.Origin, r.Priority = origin(2), ordinary }, 7 * interval},
		// Further ones that can be in time will come, so that it gets only the floor.
		"late": {func(r *waitqueue.Request) { r.Elapsed = objective }, 20 * interval},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			q := waitqueue.New(nil)
			r := request(100)
			r.Route, r.Origin, r.Priority = "writes", origin(1), urgent
			c.change(&r)
			offer(t, q, r)
			for n := range 6 {
				other := request(n)
				other.Route, other.Priority, other.Origin, other.Objective = "writes", urgent, origin(1), 10*objective
				offer(t, q, other)
			}
			turn := func() time.Duration {
				turns, _ := q.Turns(start, taken())
				return turns[r.Key]
			}
			g.Expect(turn()).To(gomega.Equal(c.first))
			// 20 starts earn a whole one.
			for range 19 {
				o := next(t, q)
				g.Expect(o.Request.Key).NotTo(gomega.Equal(r.Key))
				offer(t, q, o.Request)
			}
			g.Expect(turn()).To(gomega.BeNumerically("<=", 2*interval))
		})
	}
}

// A request was refused by its turn behind another that was refused at the same time.
func TestRefusalBringsThoseBehindNearer(t *testing.T) {
	g := gomega.NewWithT(t)
	q := waitqueue.New(nil)
	// 234 ms remain for a request that has not waited.
	for n, waited := range []time.Duration{150, 150, 90} {
		r := request(n)
		r.Elapsed = waited * time.Millisecond
		offer(t, q, r)
	}
	slow := taken()
	slow.Interval = 60 * time.Millisecond
	expired := q.Expire(start, slow)
	g.Expect(expired).To(gomega.HaveLen(1))
	g.Expect(expired[0].Request.Key).To(gomega.Equal(request(1).Key))
	g.Expect(drain(t, q)).To(gomega.Equal([]core.FlowKey{request(0).Key, request(2).Key}))
}

// The same for late requests, which wait for their floor while others can be in time.
func TestRefusalBringsLateOnesBehindNearer(t *testing.T) {
	g := gomega.NewWithT(t)
	q := waitqueue.New(nil)
	// Callers abandon attempts after 1.4 s, of which 6 ms are the handshake's.
	for n, waited := range []time.Duration{1300, 1100} {
		r := request(n)
		r.Elapsed = waited * time.Millisecond
		offer(t, q, r)
	}
	offer(t, q, request(2))
	expired := q.Expire(start, taken())
	g.Expect(expired).To(gomega.HaveLen(1))
	g.Expect(expired[0].Request.Key).To(gomega.Equal(request(0).Key))
	g.Expect(expired[0].Reason).To(gomega.Equal(waitqueue.ReasonAbandoned))
	g.Expect(drain(t, q)).To(gomega.Equal([]core.FlowKey{request(2).Key, request(1).Key}))
}
