package waitqueue_test

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
	"zinniapulley.dev/core"
	"zinniapulley.dev/waitqueue"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	objective = 300 * time.Millisecond
	interval  = 10 * time.Millisecond
	urgent    = 1
	ordinary  = 2
)

func origin(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 8000)
}

// request returns an ordinary request of a caller of its own.
func request(n int) waitqueue.Request {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), 1000)
	return waitqueue.Request{
		Key: core.FlowKey{Caller: caller}, Route: "reads", Priority: ordinary, Origin: origin(0), Arrived: start,
		Objective: objective, Timeout: 2 * time.Second,
	}
}

// taken returns the room of a server with four slots, all of them and the allowance taken.
func taken() waitqueue.Room {
	room := waitqueue.Room{Slots: 4, Interval: interval, Run: 4 * interval, Handshake: 6 * time.Millisecond}
	room.Taken = room.Places()
	return room
}

// onePlace returns the same room with one place free.
func onePlace() waitqueue.Room {
	room := taken()
	room.Taken--
	return room
}

func offer(t *testing.T, q *waitqueue.Queue, r waitqueue.Request) {
	t.Helper()
	verdict, reason := q.Offer(start, r, taken())
	gomega.NewWithT(t).Expect(verdict).To(gomega.Equal(waitqueue.Wait), reason.String())
}

func next(t *testing.T, q *waitqueue.Queue) waitqueue.Outcome {
	t.Helper()
	o, ok := q.Next(start, onePlace())
	gomega.NewWithT(t).Expect(ok).To(gomega.BeTrue())
	return o
}

func TestNothingWaitsWhileAPlaceIsFree(t *testing.T) {
	g := gomega.NewWithT(t)
	q := waitqueue.New(nil)
	late := request(1)
	late.Elapsed = time.Second
	for _, r := range []waitqueue.Request{late, request(2)} {
		verdict, reason := q.Offer(start, r, onePlace())
		g.Expect(verdict).To(gomega.Equal(waitqueue.Start))
		g.Expect(reason).To(gomega.Equal(waitqueue.ReasonPlaceFree))
	}
	g.Expect(q.Len()).To(gomega.BeZero())
}

// The handshake of a flow leaves a slot empty unless another request waits at the server.
func TestPlacesCoverTheHandshake(t *testing.T) {
	g := gomega.NewWithT(t)
	room := waitqueue.Room{Slots: 4}
	g.Expect(room.Places()).To(gomega.Equal(5), "nothing measured")
	room.Run, room.Handshake = 40*time.Millisecond, 6*time.Millisecond
	// While 0.6 requests are answered in the mean, there are rarely more than two.
	g.Expect(room.Places()).To(gomega.Equal(6))
	room.Handshake = time.Millisecond
	g.Expect(room.Places()).To(gomega.Equal(5))
	room.Handshake = time.Second
	g.Expect(room.Places()).To(gomega.Equal(8))
	room.Slots = 0
	g.Expect(room.Places()).To(gomega.BeZero())
}

// After an outage most attempts are late. Capacity was spent on them in the order of
// arrival, and new requests became late as well.
func TestRequestsInTimeGoBeforeLateOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	q := waitqueue.New(nil)
	for i := range 3 {
		late := request(i)
		late.Elapsed, late.Priority = 600*time.Millisecond, 0
		offer(t, q, late)
	}
	offer(t, q, request(10))
	first := next(t, q)
	g.Expect(first.Request.Key).To(gomega.Equal(request(10).Key))
	g.Expect(first.Reason).To(gomega.Equal(waitqueue.ReasonInTime))
	g.Expect(next(t, q).Reason).To(gomega.Equal(waitqueue.ReasonLate))
}

func TestShortestSufficientTimeGoesFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	q := waitqueue.New(nil)
	waited := request(2)
	waited.Elapsed = 50 * time.Millisecond
	offer(t, q, request(1))
	offer(t, q, waited)
	g.Expect(next(t, q).Request.Key).To(gomega.Equal(waited.Key))
}

// A request whose time isn't sufficient for its run was started before one that could
// still be in time.
func TestTimeThatDoesNotSufficeForTheRunIsLate(t *testing.T) {
	g := gomega.NewWithT(t)
	q := waitqueue.New(nil)
	almost := request(1)
	// 300 ms less 60 for the run and 6 for the handshake.
	almost.Elapsed = 235 * time.Millisecond
	offer(t, q, almost)
	offer(t, q, request(2))
	g.Expect(next(t, q).Request.Key).To(gomega.Equal(request(2).Key))
}

// Urgent requests were refused at a server that admitted ordinary ones.
func TestUrgentRequestsAreAcceptedWhereOrdinaryOnesAreNot(t *testing.T) {
	for name, room := range map[string]waitqueue.Room{"measured": taken(), "not measured": {Slots: 4, Taken: 5}} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			q := waitqueue.New(nil)
			accepted := 0
			for n := range 100 {
				verdict, _ := q.Offer(start, request(n), room)
				g.Expect(q.Expire(start, room)).To(gomega.BeEmpty())
				if verdict == waitqueue.Refuse {
					break
				}
				accepted++
			}
			g.Expect(accepted).To(gomega.And(gomega.BeNumerically(">=", 3), gomega.BeNumerically("<=", 15)))
			r := request(200)
			r.Priority, r.Route = urgent, "writes"
			verdict, _ := q.Offer(start, r, room)
			g.Expect(verdict).To(gomega.Equal(waitqueue.Wait))
			for _, o := range q.Expire(start, room) {
				g.Expect(o.Request.Priority).To(gomega.Equal(ordinary))
			}
			g.Expect(next(t, q).Request.Key).To(gomega.Equal(r.Key))
		})
	}
}

// starts runs so many starts while the requests that leave are replaced by the same ones,
// and returns the number of starts by route, origin and caller.
func starts(t *testing.T, q *waitqueue.Queue, count int) (map[string]int, map[netip.AddrPort]int, map[netip.Addr]int) {
	routes, origins, callers := map[string]int{}, map[netip.AddrPort]int{}, map[netip.Addr]int{}
	for range count {
		o := next(t, q)
		routes[o.Request.Route]++
		origins[o.Request.Origin]++
		callers[o.Request.Key.Caller.Addr()]++
		offer(t, q, o.Request)
	}
	return routes, origins, callers
}

// A route, an origin or the late requests starved while others of a higher priority, or
// in time, took all capacity.
func TestEveryRouteAndOriginAndLateRequestsHaveAFloor(t *testing.T) {
	g := gomega.NewWithT(t)
	q := waitqueue.New(nil)
	for n := range 6 {
		r := request(n)
		r.Route, r.Priority, r.Origin, r.Objective = "writes", urgent, origin(1), 10*objective
		offer(t, q, r)
	}
	low := request(100)
	low.Origin, low.Objective = origin(2), 10*objective
	offer(t, q, low)
	// Of the urgent route too, so that only its origin's floor can serve it.
	least := request(101)
	least.Route, least.Origin, least.Priority, least.Objective = "writes", origin(3), ordinary, 10*objective
	offer(t, q, least)
	late := request(102)
	late.Elapsed, late.Route, late.Origin, late.Priority = 600*time.Millisecond, "writes", origin(4), urgent
	offer(t, q, late)
	routes, origins, callers := starts(t, q, 1000)
	// A floor of 5%, less what is rounded at the ends.
	g.Expect(routes["reads"]).To(gomega.BeNumerically(">=", 45))
	g.Expect(origins[origin(3)]).To(gomega.BeNumerically(">=", 45))
	g.Expect(callers[late.Key.Caller.Addr()]).To(gomega.And(gomega.BeNumerically(">=", 45), gomega.BeNumerically("<=", 55)))
	g.Expect(origins[origin(1)]).To(gomega.BeNumerically(">=", 800))
}

// One caller with many requests made others wait behind all of these.
func TestBusyCallerDoesNotPushOutOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	q := waitqueue.New(nil)
	refused := 0
	for n := range 40 {
		r := request(1)
		r.Key.Caller = netip.AddrPortFrom(r.Key.Caller.Addr(), uint16(2000+n))
		if verdict, _ := q.Offer(start, r, taken()); verdict == waitqueue.Refuse {
			refused++
		}
		q.Expire(start, taken())
	}
	g.Expect(refused).To(gomega.BeNumerically(">", 20))
	offer(t, q, request(2))
	offer(t, q, request(3))
	first, second := next(t, q), next(t, q)
	third := next(t, q)
	callers := []netip.Addr{first.Request.Key.Caller.Addr(), second.Request.Key.Caller.Addr(), third.Request.Key.Caller.Addr()}
	g.Expect(callers).To(gomega.ConsistOf(request(1).Key.Caller.Addr(), request(2).Key.Caller.Addr(), request(3).Key.Caller.Addr()))
}

// Callers of an entry instance with few requests waited behind all of another's.
func TestOriginsGetEqualShares(t *testing.T) {
	g := gomega.NewWithT(t)
	q := waitqueue.New(nil)
	for n := range 5 {
		r := request(n)
		r.Origin = origin(1)
		offer(t, q, r)
	}
	other := request(10)
	other.Origin = origin(2)
	offer(t, q, other)
	_, origins, _ := starts(t, q, 100)
	g.Expect(origins).To(gomega.Equal(map[netip.AddrPort]int{origin(1): 50, origin(2): 50}))
}

// Ordinary requests were accepted by the number of those waiting, and then overtaken by
// urgent ones until they were late.
func TestUrgentRequestsYetToComeCountForTheTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	accepted := func(priority int) int {
		q := waitqueue.New(nil)
		free := taken()
		free.Taken = 0
		for n := range 200 {
			r := request(n)
			r.Priority = priority
			q.Offer(start, r, free)
		}
		count := 0
		for n := range 50 {
			if verdict, _ := q.Offer(start, request(n), taken()); verdict == waitqueue.Wait {
				count++
			}
		}
		return count
	}
	g.Expect(accepted(ordinary)).To(gomega.Equal(10), "a third of the objective, in turns of 10 ms")
	g.Expect(accepted(urgent)).To(gomega.BeNumerically("<=", 1))
}

// Ordinary requests joined with a long expected wait, were overtaken, and were refused
// after more than 100 ms. Urgent ones were refused once few ordinary ones waited.
func TestExpectedWaitIsShorterForRequestsThatAreOvertaken(t *testing.T) {
	g := gomega.NewWithT(t)
	accepted := func(priority int) int {
		q := waitqueue.New(nil)
		free := taken()
		free.Taken = 0
		for n := range 400 {
			r := request(n)
			r.Priority = []int{urgent, ordinary}[n%2]
			q.Offer(start, r, free)
		}
		count := 0
		for n := range 50 {
			r := request(n)
			r.Priority = priority
			if verdict, _ := q.Offer(start, r, taken()); verdict == waitqueue.Wait {
				count++
			}
		}
		return count
	}
	// Half the starts are urgent, so that ordinary turns are 20 ms apart and urgent ones 10.
	g.Expect(accepted(ordinary)).To(gomega.Equal(3), "a fifth of the objective")
	g.Expect(accepted(urgent)).To(gomega.Equal(15), "half of the objective")
}

func TestWeightsDivideTheCapacityOfEqualPriorities(t *testing.T) {
	g := gomega.NewWithT(t)
	q := waitqueue.New(map[string]float64{"reads": 3})
	for n := range 6 {
		r := request(n)
		if n%2 == 0 {
			r.Route = "downloads"
		}
		offer(t, q, r)
	}
	routes, _, _ := starts(t, q, 400)
	g.Expect(routes["reads"]).To(gomega.BeNumerically("~", 300, 10))
}

// A route that asked for less than its share waited for the turns of the others.
func TestSmallDemandIsServedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	q := waitqueue.New(nil)
	for n := range 5 {
		offer(t, q, request(n))
	}
	starts(t, q, 20)
	rare := request(50)
	rare.Route = "downloads"
	rare.Objective = 800 * time.Millisecond
	offer(t, q, rare)
	g.Expect(next(t, q).Request.Key).To(gomega.Equal(rare.Key))
	starts(t, q, 100)
	offer(t, q, rare)
	// A route doesn't collect shares while it asks for nothing.
	offer(t, q, func() waitqueue.Request { r := rare; r.Key = request(51).Key; return r }())
	routes, _, _ := starts(t, q, 10)
	g.Expect(routes["downloads"]).To(gomega.Equal(5))
}

func TestRequestWithoutAChanceIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	q := waitqueue.New(nil)
	crowded := taken()
	crowded.Taken = 30
	verdict, reason := q.Offer(start, request(1), crowded)
	g.Expect(verdict).To(gomega.Equal(waitqueue.Refuse))
	g.Expect(reason).To(gomega.Equal(waitqueue.ReasonNoChance))
	gone := request(2)
	gone.Elapsed = 1395 * time.Millisecond
	verdict, reason = q.Offer(start, gone, taken())
	g.Expect(verdict).To(gomega.Equal(waitqueue.Refuse))
	g.Expect(reason).To(gomega.Equal(waitqueue.ReasonAbandoned))
	g.Expect(q.Len()).To(gomega.BeZero())
	// Without an objective it waits for its turn, however long that takes.
	free := request(3)
	free.Objective, free.Timeout = 0, 0
	verdict, _ = q.Offer(start, free, crowded)
	g.Expect(verdict).To(gomega.Equal(waitqueue.Wait))
}

// A server that became slow kept requests waiting until they were late, although others
// had free places.
func TestWaitingRequestIsRefusedOnceItHasNoChance(t *testing.T) {
	g := gomega.NewWithT(t)
	q := waitqueue.New(nil)
	for n := range 8 {
		offer(t, q, request(n))
	}
	slow := taken()
	slow.Interval *= 8
	expired := q.Expire(start, slow)
	g.Expect(expired).NotTo(gomega.BeEmpty())
	for _, o := range expired {
		g.Expect(o.Reason).To(gomega.Equal(waitqueue.ReasonNoChance))
	}
	// The first ones are still in time: 300 ms less 66, in turns of 80 ms.
	g.Expect(q.Len()).To(gomega.Equal(2))
}

func TestPauseExpiresAllThatWait(t *testing.T) {
	g := gomega.NewWithT(t)
	q := waitqueue.New(nil)
	for n := range 5 {
		offer(t, q, request(n))
	}
	after := start.Add(5 * time.Second)
	_, started := q.Next(after, onePlace())
	g.Expect(started).To(gomega.BeFalse())
	g.Expect(q.Expire(after, onePlace())).To(gomega.HaveLen(5))
	g.Expect(q.Len()).To(gomega.BeZero())
}

func TestCopyUpdatesTheWaitingTime(t *testing.T) {
	g := gomega.NewWithT(t)
	q := waitqueue.New(nil)
	offer(t, q, request(1))
	offer(t, q, request(2))
	q.Repeated(start, request(2).Key, 200*time.Millisecond)
	g.Expect(next(t, q).Request.Key).To(gomega.Equal(request(2).Key))
	q.Repeated(start, request(1).Key, 600*time.Millisecond)
	q.Repeated(start, request(1).Key, 0)
	g.Expect(next(t, q).Reason).To(gomega.Equal(waitqueue.ReasonLate))
}

func TestChangedPrioritiesReorderWaitingRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	q := waitqueue.New(nil)
	offer(t, q, request(1))
	other := request(2)
	other.Route = "downloads"
	other.Objective = 600 * time.Millisecond
	offer(t, q, other)
	q.Configure(func(r *waitqueue.Request) {
		if r.Route == "downloads" {
			r.Priority = 0
		}
	})
	g.Expect(next(t, q).Request.Key).To(gomega.Equal(other.Key))
}

func TestRemovedRequestIsNotStarted(t *testing.T) {
	g := gomega.NewWithT(t)
	q := waitqueue.New(nil)
	offer(t, q, request(1))
	g.Expect(q.Remove(request(1).Key)).To(gomega.BeTrue())
	g.Expect(q.Remove(request(1).Key)).To(gomega.BeFalse())
	_, ok := q.Next(start, onePlace())
	g.Expect(ok).To(gomega.BeFalse())
}

func TestWeightsAreChecked(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(waitqueue.CheckWeights(map[string]float64{"reads": 2.5})).To(gomega.Succeed())
	for _, weight := range []float64{0, -1, math.NaN(), math.Inf(1), 1e9} {
		g.Expect(waitqueue.CheckWeights(map[string]float64{"reads": weight})).To(gomega.MatchError(gomega.ContainSubstring("reads")))
	}
	g.Expect(waitqueue.CheckWeights(map[string]float64{"": 1})).NotTo(gomega.Succeed())
}

// drawRequest draws a request.
func drawRequest(t *rapid.T, now time.Time, n int) waitqueue.Request {
	r := request(n)
	r.Arrived = now
	r.Key.Caller = netip.AddrPortFrom(request(rapid.IntRange(0, 3).Draw(t, "caller")).Key.Caller.Addr(), uint16(n))
	r.Route = rapid.SampledFrom([]string{"reads", "writes", "downloads"}).Draw(t, "route")
	r.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
	r.Origin = origin(rapid.IntRange(0, 3).Draw(t, "origin"))
	r.Elapsed = rapid.SampledFrom([]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}).Draw(t, "elapsed")
	r.Objective = rapid.SampledFrom([]time.Duration{0, objective, 2 * objective}).Draw(t, "objective")
	return r
}

// Whatever arrives, each request is started or returned exactly once, the queue stays
// bounded, and no place stays empty while a request waits that its caller hasn't
// abandoned.
func TestNoPlaceStaysEmptyWhileARequestWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := waitqueue.New(map[string]float64{"reads": 2})
		now, room := start, taken()
		room.Taken = 0
		if rapid.Bool().Draw(t, "unmeasured") {
			room.Interval, room.Run = 0, 0
		}
		inside := map[core.FlowKey]bool{}
		leave := func(key core.FlowKey) {
			if !inside[key] {
				t.Fatalf("%v leaves the queue twice", key)
			}
			delete(inside, key)
		}
		for n := range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				r := drawRequest(t, now, n)
				switch verdict, _ := q.Offer(now, r, room); verdict {
				case waitqueue.Start:
					room.Taken++
				case waitqueue.Wait:
					inside[r.Key] = true
				}
			case 2:
				room.Taken = max(room.Taken-1, 0)
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			case 4:
				key := drawRequest(t, now, rapid.IntRange(0, 200).Draw(t, "removed")).Key
				if q.Remove(key) {
					leave(key)
				}
			}
			for {
				o, ok := q.Next(now, room)
				if !ok {
					break
				}
				room.Taken++
				leave(o.Request.Key)
			}
			for _, o := range q.Expire(now, room) {
				leave(o.Request.Key)
			}
			if q.Len() != len(inside) || q.Len() > 64 {
				t.Fatalf("%d wait, %d were accepted", q.Len(), len(inside))
			}
			if room.Taken < room.Places() && q.Len() > 0 {
				t.Fatalf("%d wait while %d of %d places are taken", q.Len(), room.Taken, room.Places())
			}
		}
	})
}

// Planning doesn't change the order in which requests are started.
func TestPlanningDoesNotChangeTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var order [2][]core.FlowKey
		var requests []waitqueue.Request
		for n := range rapid.IntRange(1, 10).Draw(t, "count") {
			r := drawRequest(t, start, n)
			r.Objective *= 100
			requests = append(requests, r)
		}
		for i := range order {
			q := waitqueue.New(nil)
			for _, r := range requests {
				q.Offer(start, r, taken())
			}
			for {
				if i == 1 {
					q.Expire(start, taken())
				}
				o, ok := q.Next(start, onePlace())
				if !ok {
					break
				}
				order[i] = append(order[i], o.Request.Key)
			}
		}
		if len(order[0]) != len(order[1]) {
			t.Fatalf("%v and %v", order[0], order[1])
		}
		for i := range order[0] {
			if order[0][i] != order[1][i] {
				t.Fatalf("%v and %v", order[0], order[1])
			}
		}
	})
}

func BenchmarkOffer(b *testing.B) {
	q := waitqueue.New(nil)
	for n := range 20 {
		q.Offer(start, request(n), taken())
	}
	r := request(100)
	b.ReportAllocs()
	for b.Loop() {
		q.Offer(start, r, taken())
		q.Remove(r.Key)
	}
}

// After an outage late requests filled the queue, and each opening packet was compared
// with all of them, although they get little more than the floor.
func TestLateRequestsThatWaitAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	q := waitqueue.New(nil)
	late := func(n int) waitqueue.Request {
		r := request(n)
		r.Elapsed = 600 * time.Millisecond
		return r
	}
	room := taken()
	// Nothing else waits, so that their turns would be soon enough for dozens.
	for n := range 8 {
		offer(t, q, late(n))
	}
	verdict, reason := q.Offer(start, late(8), room)
	g.Expect(verdict).To(gomega.Equal(waitqueue.Refuse))
	g.Expect(reason).To(gomega.Equal(waitqueue.ReasonFull))
	g.Expect(q.Displaced(start)).To(gomega.BeEmpty())
	// A late request of a higher priority displaces one of the others, one in time doesn't.
	first := late(9)
	first.Priority = urgent
	offer(t, q, first)
	displaced := q.Displaced(start)
	g.Expect(displaced).To(gomega.HaveLen(1))
	g.Expect(displaced[0].Request.Priority).To(gomega.Equal(ordinary))
	g.Expect(displaced[0].Reason).To(gomega.Equal(waitqueue.ReasonFull))
	offer(t, q, request(10))
	g.Expect(q.Displaced(start)).To(gomega.BeEmpty())
	g.Expect(q.Len()).To(gomega.Equal(9))
}

// A full queue returned the request that would go last, but it stayed in the queue until
// the next Expire and could still be started.
func TestFullQueueReturnsTheLastInTheOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	q := waitqueue.New(nil)
	unlimited := func(n, priority int) waitqueue.Request {
		r := request(n)
		r.Objective, r.Priority = 0, priority
		return r
	}
	room := taken()
	room.Interval = time.Millisecond
	for n := range 64 {
		verdict, _ := q.Offer(start, unlimited(n, ordinary), room)
		g.Expect(verdict).To(gomega.Equal(waitqueue.Wait))
	}
	verdict, reason := q.Offer(start, unlimited(64, ordinary), room)
	g.Expect(verdict).To(gomega.Equal(waitqueue.Refuse))
	g.Expect(reason).To(gomega.Equal(waitqueue.ReasonFull))
	for n := 65; n < 70; n++ {
		verdict, _ = q.Offer(start, unlimited(n, urgent), room)
		g.Expect(verdict).To(gomega.Equal(waitqueue.Wait))
		g.Expect(q.Len()).To(gomega.Equal(64))
	}
	displaced := q.Expire(start, room)
	g.Expect(displaced).To(gomega.HaveLen(5))
	for i, o := range displaced {
		g.Expect(o.Request.Key).To(gomega.Equal(request(63 - i).Key))
		g.Expect(o.Reason).To(gomega.Equal(waitqueue.ReasonFull))
	}
	g.Expect(q.Displaced(start)).To(gomega.BeEmpty())
}

// A full queue refused a new caller's request because it came last, although most that
// waited were another caller's.
func TestFullQueueReturnsTheBusyCallersRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	q := waitqueue.New(nil)
	room := taken()
	room.Interval = time.Millisecond
	offerOf := func(caller, n int) waitqueue.Verdict {
		r := request(caller)
		r.Key.Caller = netip.AddrPortFrom(r.Key.Caller.Addr(), uint16(n))
		r.Objective = 0
		verdict, _ := q.Offer(start, r, room)
		return verdict
	}
	for n := range 64 {
		g.Expect(offerOf(1, n)).To(gomega.Equal(waitqueue.Wait))
	}
	g.Expect(offerOf(2, 0)).To(gomega.Equal(waitqueue.Wait))
	displaced := q.Displaced(start)
	g.Expect(displaced).To(gomega.HaveLen(1))
	g.Expect(displaced[0].Request.Key.Caller).To(gomega.Equal(netip.AddrPortFrom(request(1).Key.Caller.Addr(), 63)))
}

// Refused offers joined the queue first. At a companion that refuses a thousand a second
// the allocations were a part of its processor time.
func TestRefusedOfferAllocatesNothing(t *testing.T) {
	q := waitqueue.New(nil)
	for n := range 10 {
		q.Offer(start, request(n), taken())
	}
	r, crowded := request(100), taken()
	crowded.Taken = 30
	allocations := testing.AllocsPerRun(100, func() {
		if verdict, _ := q.Offer(start, r, crowded); verdict != waitqueue.Refuse {
			t.Error("not refused")
		}
	})
	gomega.NewWithT(t).Expect(allocations).To(gomega.BeZero())
}

// A request whose route had almost earned its floor was refused by the number of urgent
// ones before it, although it would have gone next.
func TestEarnedFloorCountsForTheTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	q := waitqueue.New(nil)
	low := request(100)
	low.Origin = origin(2)
	offer(t, q, low)
	for n := range 8 {
		r := request(n)
		r.Route, r.Priority, r.Origin = "writes", urgent, origin(1)
		offer(t, q, r)
	}
	for range 19 {
		o := next(t, q)
		g.Expect(o.Request.Route).To(gomega.Equal("writes"))
		offer(t, q, o.Request)
	}
	slow := taken()
	slow.Interval *= 4
	for _, o := range q.Expire(start, slow) {
		g.Expect(o.Request.Key).NotTo(gomega.Equal(low.Key))
	}
	o := next(t, q)
	g.Expect(o.Request.Route).To(gomega.Equal("writes"))
	o = next(t, q)
	g.Expect(o.Request.Key).To(gomega.Equal(low.Key))
	g.Expect(o.Reason).To(gomega.Equal(waitqueue.ReasonFloor))
}
