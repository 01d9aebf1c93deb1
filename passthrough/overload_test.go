package passthrough_test

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/gate"
	"zinniapulley.dev/route"
)

const (
	// loadSlots, meanRun and loadObjective are those of the deployment M.
	loadSlots     = 4
	medianRun     = 34 * time.Millisecond
	loadObjective = 300 * time.Millisecond
	// loadRoundTrip is the time from an opening packet to its caller's confirmation.
	loadRoundTrip = 7 * time.Millisecond
	runSpread     = 0.5
	longRunShare  = 0.03
	longRunFactor = 7
)

// meanRun returns the mean run time of requests of the median.
func meanRun() time.Duration {
	return time.Duration(float64(medianRun) * math.Exp(runSpread*runSpread/2) * (1 + longRunShare*(longRunFactor-1)))
}

// overload replays a load pattern at one gate, with callers and a backend server that
// runs loadSlots requests at once.
type overload struct {
	gate    *gate.Gate
	random  *rand.Rand
	now     time.Time
	events  overloadEvents
	number  int
	cold    float64
	running int
	queue   []core.FlowKey
	callers map[core.FlowKey]*overloadCaller
	// origins is the number of entry instances and addresses that of the callers' addresses,
	// zero for one entry instance and an address for each request.
	origins, addresses int
}

// overloadCaller is one request.
type overloadCaller struct {
	began   time.Time
	refused bool
	// refusedAfter is the time until the refusal.
	refusedAfter time.Duration
	opened       bool
	run          time.Duration
	answered     time.Duration
}

type overloadEvent struct {
	at     time.Time
	number int
	run    func()
}

type overloadEvents []overloadEvent

func (e overloadEvents) Len() int      { return len(e) }
func (e overloadEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *overloadEvents) Push(x any)   { *e = append(*e, x.(overloadEvent)) }
func (e overloadEvents) Less(i, j int) bool {
	return cmp.Or(e[i].at.Compare(e[j].at), cmp.Compare(e[i].number, e[j].number)) < 0
}

func (e *overloadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newOverload returns an overload whose backend server runs requests as many times longer
// as cold says.
func newOverload(seed uint64, cold float64) *overload {
	l := &overload{
		gate: gate.New(start, gateConfig()), random: rand.New(rand.NewPCG(seed, 1)), now: start, cold: cold,
		callers: map[core.FlowKey]*overloadCaller{},
	}
	l.gate.SetTable(start, route.Compile(queueView(2)))
	registration := newRegistration(start)
	for i := range 100 {
		l.after(time.Duration(i)*time.Second, func() {
			a := announcement(uint64(i + 1))
			a.Slots = loadSlots
			target, _ := registration.Announce(l.now, a)
			l.gate.SetTarget(target)
		})
	}
	l.tick()
	return l
}

func (l *overload) after(d time.Duration, run func()) {
	l.number++
	heap.Push(&l.events, overloadEvent{at: l.now.Add(d), number: l.number, run: run})
}

func (l *overload) runUntil(end time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(overloadEvent)
		l.now = e.at
		e.run()
	}
}

func (l *overload) tick() {
	l.gate.Sweep(l.now)
	l.handle(l.gate.Continue(l.now))
	l.after(20*time.Millisecond, l.tick)
}

// call has a caller send a request, copy by copy. elapsed is how long it has waited for
// already, with the copies that it sent meanwhile lost.
func (l *overload) call(service netip.AddrPort, elapsed time.Duration) *overloadCaller {
	l.number++
	key := core.FlowKey{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(l.number >> 8), byte(l.number)}), 2000), Service: service}
	origin := entryAt
	if l.origins > 0 {
		address := l.random.IntN(l.addresses)
		key.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, byte(address)}), uint16(2000+l.number))
		origin = companionAt(200 + address%l.origins)
	}
	c := &overloadCaller{began: l.now.Add(-elapsed), run: l.drawRun()}
	l.callers[key] = c
	for number, delay := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		if delay < elapsed {
			continue
		}
		l.after(delay-elapsed, func() {
			if c.opened || c.refused {
				return
			}
			l.handle(l.gate.FromEntry(l.now, origin, false, 1, &passthrough.Packet{Key: key, Flags: core.TCPSyn, Ack: uint32(number)}))
		})
	}
	return c
}

func (l *overload) handle(actions []gate.Action) {
	for _, a := range append([]gate.Action(nil), actions...) {
		key := core.FlowKey{}
		if a.Packet != nil {
			key = a.Packet.Key
		}
		switch {
		case a.Kind == gate.Refuse:
			c := l.callers[key]
			c.refused, c.refusedAfter = true, l.now.Sub(c.began)
		case a.Kind == gate.Deliver && a.Packet.Flags.Opens():
			l.handle(l.gate.FromServer(l.now, &passthrough.Packet{Key: key, Flags: core.TCPSyn | core.TCPAck, Seq: 5000}))
			if !l.callers[key].opened {
				l.callers[key].opened = true
				l.after(loadRoundTrip, func() { l.confirm(key) })
			}
		}
	}
}

// confirm has the caller confirm the flow and send its request.
func (l *overload) confirm(key core.FlowKey) {
	if l.now.Sub(l.callers[key].began) > 1400*time.Millisecond {
		return
	}
	l.handle(l.gate.FromEntry(l.now, entryAt, false, 1, &passthrough.Packet{Key: key, Flags: core.TCPAck, Ack: 5001}))
	l.handle(l.gate.FromEntry(l.now, entryAt, false, 1, &passthrough.Packet{Key: key, Flags: core.TCPAck, Seq: 1001, Ack: 5001, Length: 10}))
	l.queue = append(l.queue, key)
	l.serve()
}

// drawRun draws the run time of a request.
func (l *overload) drawRun() time.Duration {
	run := float64(medianRun) * l.cold * math.Exp(runSpread*l.random.NormFloat64())
	if l.random.Float64() < longRunShare {
		run *= longRunFactor
	}
	return time.Duration(run)
}

// serve starts requests at the backend server while slots are free.
func (l *overload) serve() {
	for l.running < loadSlots && len(l.queue) > 0 {
		key := l.queue[0]
		l.queue = l.queue[1:]
		l.running++
		l.after(l.callers[key].run, func() {
			l.running--
			l.callers[key].answered = l.now.Sub(l.callers[key].began)
			l.handle(l.gate.FromServer(l.now, &passthrough.Packet{Key: key, Flags: core.TCPAck, Seq: 5001, Length: 100}))
			l.handle(l.gate.FromServer(l.now, &passthrough.Packet{Key: key, Flags: core.TCPRst}))
			l.serve()
		})
	}
}

// arrive has callers send requests at a rate, in a Poisson process, until the end. It
// returns them.
func (l *overload) arrive(service netip.AddrPort, rate float64, end time.Time) *[]*overloadCaller {
	calls := &[]*overloadCaller{}
	for at := l.now; at.Before(end); at = at.Add(time.Duration(l.random.ExpFloat64() * float64(time.Second) / rate)) {
		l.after(at.Sub(l.now), func() { *calls = append(*calls, l.call(service, 0)) })
	}
	return calls
}

// inTime returns how many requests were answered within the objective, and how many were
// answered late.
func inTime(calls []*overloadCaller) (good, late int) {
	for _, c := range calls {
		switch {
		case c.answered == 0:
		case c.answered <= loadObjective:
			good++
		default:
			late++
		}
	}
	return good, late
}

// After all machines had lost power, capacity went to attempts that were late in any
// case, and new requests that could all be served were late or refused. Here late
// attempts alone would take all the capacity of a cold server, and new ones 0.7 of it.
func TestNewRequestsAreInTimeDespiteABacklogOfLateOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	good, total := 0, 0
	for seed := range uint64(20) {
		const cold = 1.6
		l := newOverload(seed, cold)
		sustained := loadSlots / (cold * meanRun().Seconds())
		l.runUntil(start)
		for i := range int(3 * sustained) {
			// As many late attempts as the server sustains arrive, in their second and third copies.
			l.after(time.Duration(float64(i)/sustained*float64(time.Second)), func() { l.call(address, time.Duration(200+400*(i%2))*time.Millisecond) })
		}
		calls := l.arrive(address, 0.7*sustained, start.Add(3*time.Second))
		l.runUntil(start.Add(6 * time.Second))
		answered, _ := inTime(*calls)
		good, total = good+answered, total+len(*calls)
	}
	t.Logf("%d of %d new requests in time", good, total)
	g.Expect(float64(good) / float64(total)).To(gomega.BeNumerically(">=", 0.9))
}

// With a quarter more requests than can be sustained, all waited until most were late, and
// none was refused. Of what the slots sustain, 0.93 must be answered in time, of the
// urgent requests 0.985, and what can't be served must be refused within 100 ms, but for a
// few that slower answers than expected have overtaken.
func TestOverloadIsRefusedAtOnceAndTheRestIsInTime(t *testing.T) {
	checkOverload(t, 20, 0, 0, 0.02)
}

// With several entry instances and with callers that send more than one request, those
// that have got less go first. A sixth of the refusals were of overtaken requests, and
// came after more than 100 ms.
func TestOverloadFromSeveralEntryInstancesIsRefusedAtOnce(t *testing.T) {
	checkOverload(t, 60, 12, 200, 0.05)
}

// checkOverload runs an overload with each of the seeds. At most the part slow of the refusals may come later.
func checkOverload(t *testing.T, seeds uint64, origins, addresses int, slow float64) {
	t.Helper()
	g := gomega.NewWithT(t)
	good, goodUrgent, urgent, late, urgentRefused, refusals, slowRefusals := 0, 0, 0, 0, 0, 0, 0
	const length = 8 * time.Second
	sustained := loadSlots / meanRun().Seconds()
	for seed := range seeds {
		l := newOverload(seed, 1)
		l.origins, l.addresses = origins, addresses
		l.runUntil(start)
		ordinaryCalls := l.arrive(address, 1.0*sustained, start.Add(length))
		urgentCalls := l.arrive(urgentAddress, 0.25*sustained, start.Add(length))
		l.runUntil(start.Add(length + 3*time.Second))
		a, lateOrdinary := inTime(*ordinaryCalls)
		b, lateUrgent := inTime(*urgentCalls)
		good, goodUrgent, urgent, late = good+a+b, goodUrgent+b, urgent+len(*urgentCalls), late+lateOrdinary+lateUrgent
		for _, c := range *urgentCalls {
			if c.refused {
				urgentRefused++
			}
		}
		for _, c := range *ordinaryCalls {
			if c.refused {
				refusals++
				if c.refusedAfter > 100*time.Millisecond {
					slowRefusals++
				}
			}
		}
	}
	possible := sustained * length.Seconds() * float64(seeds)
	t.Logf("%d in time of %.0f sustained, %d of %d urgent ones, %d urgent ones refused, %d late, %d refused, %d of these after 100 ms",
		good, possible, goodUrgent, urgent, urgentRefused, late, refusals, slowRefusals)
	g.Expect(float64(good) / possible).To(gomega.BeNumerically(">=", 0.93))
	g.Expect(float64(goodUrgent) / float64(urgent)).To(gomega.BeNumerically(">=", 0.985))
	g.Expect(float64(urgentRefused) / float64(urgent)).To(gomega.BeNumerically("<=", 0.005))
	g.Expect(float64(slowRefusals) / float64(refusals)).To(gomega.BeNumerically("<=", slow))
}
