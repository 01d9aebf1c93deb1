package passthrough_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/dispatch"
	"zinniapulley.dev/passthrough/gate"
	"zinniapulley.dev/route"
)

const (
	// restartNetwork is the network of the entry instance in bytes a second: 5.8 Mbit/s.
	restartNetwork = 725_000
	// requestBytes is the length of a caller's packet with its header.
	requestBytes = 400
	// udpBytes is the length of the headers of UDP and IPv4.
	udpBytes = 28
	// envelopeBytes is the length of an envelope's header.
	envelopeBytes = 10
	// relayHeaderBytes is the length of a relay without companions and packet.
	relayHeaderBytes = 8
)

// restart plays an entry instance and companions that have all been started anew, while
// the backend servers hold the callers' flows. Messages arrive at once.
type restart struct {
	g          *gomega.WithT
	now        time.Time
	entry      *dispatch.Dispatcher
	companions []*restartCompanion
	byAddress  map[netip.AddrPort]*restartCompanion
	holders    map[core.FlowKey]*restartCompanion
	// deliveredAt is when each flow's packet first reached its backend server.
	deliveredAt map[core.FlowKey]time.Duration
	// queue holds the messages under way.
	queue []func()
	// sent and received are the bytes of the entry instance's messages of lookups;
	// delayed counts the messages that were put off for want of the limit.
	sent, received, delayed int
	// relays counts the relays sent.
	relays int
	resets map[core.FlowKey]uint32
	// lost, if set, reports whether a message from or to a companion is lost.
	lost func(*restartCompanion) bool
}

type restartCompanion struct {
	address      netip.AddrPort
	gate         *gate.Gate
	surveys      *gate.Surveys
	registration *gate.Registration
	status       passthrough.Status
	// old is set for a process of the version before relayed lookups.
	old bool
	// paused is set while the process is paused; waiting holds the messages to it.
	paused  bool
	waiting []func(*restartCompanion)
}

// restartedTable lists the companions.
func restartedTable(companions int) *route.Table {
	view := *table(1).View
	for i := range companions {
		view.Companions = append(view.Companions, route.Companion{Address: fleetStatus(i, 4).Companion})
	}
	return route.Compile(&view)
}

// newRestart returns a deployment in which each flow is open at a backend server that an
// entry instance chose before.
func newRestart(t *testing.T, companions, flows int) *restart {
	r := &restart{
		g: gomega.NewWithT(t), now: start, byAddress: map[netip.AddrPort]*restartCompanion{}, holders: map[core.FlowKey]*restartCompanion{},
		deliveredAt: map[core.FlowKey]time.Duration{}, resets: map[core.FlowKey]uint32{},
	}
	r.entry = dispatch.New(start, "dc0")
	r.entry.SetNetwork(restartNetwork)
	r.entry.SetTable(restartedTable(companions))
	r.run(r.entry.Continue(start))
	for i := range companions {
		c := &restartCompanion{address: fleetStatus(i, 4).Companion, surveys: gate.NewSurveys()}
		config := gateConfig()
		config.DataCentre = fleetStatus(i, 4).DataCentre
		c.gate = gate.New(start, config)
		c.gate.SetTable(start, restartedTable(companions))
		c.registration = newRegistration(start)
		r.companions = append(r.companions, c)
		r.byAddress[c.address] = c
		r.announce(c, 50)
	}
	before := fleet(companions, 4)
	for port := range flows {
		opened := targets(before.Handle(start, syn(port)), dispatch.Forward)[0]
		r.holders[flowKey(port)] = r.byAddress[opened]
	}
	r.drain()
	return r
}

// announce has the backend server announce itself, and the companion report it.
func (r *restart) announce(c *restartCompanion, number uint64) {
	a := announcement(number)
	a.Server, a.Slots = c.address.String(), 50
	target, err := c.registration.Announce(r.now, a)
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	c.gate.SetTarget(target)
	r.report(c)
}

func (r *restart) report(c *restartCompanion) {
	c.status = c.gate.Status(r.now)
	c.status.Companion, c.status.ReportInterval = c.address, passthrough.ReportInterval
	if c.old {
		c.status.Relays, c.status.Untracked, c.status.Born = false, false, 0
	}
	r.fromCompanion(c, func() []dispatch.Action { r.entry.HandleStatus(r.now, c.status); return nil })
}

func (r *restart) isLost(c *restartCompanion) bool { return r.lost != nil && r.lost(c) }

// fromCompanion queues a message of a companion to the entry instance.
func (r *restart) fromCompanion(c *restartCompanion, handle func() []dispatch.Action) {
	if !r.isLost(c) {
		r.queue = append(r.queue, func() { r.run(handle()) })
	}
}

// toCompanion queues a message to a companion.
func (r *restart) toCompanion(at netip.AddrPort, handle func(*restartCompanion)) {
	c := r.byAddress[at]
	switch {
	case r.isLost(c):
	case c.paused:
		c.waiting = append(c.waiting, handle)
	default:
		r.queue = append(r.queue, func() { handle(c) })
	}
}

func (r *restart) drain() {
	for len(r.queue) > 0 {
		next := r.queue[0]
		r.queue = r.queue[1:]
		next()
	}
}

// run carries out the actions of the entry instance.
func (r *restart) run(actions []dispatch.Action) {
	for _, a := range append([]dispatch.Action(nil), actions...) {
		switch a.Kind {
		case dispatch.Forward, dispatch.Lookup:
			p := a.Packet.Clone()
			if a.Kind == dispatch.Lookup {
				r.sent += udpBytes + envelopeBytes + len(p.Data)
			}
			r.toCompanion(a.To, func(c *restartCompanion) {
				r.gate(c, c.gate.FromEntry(r.now, entryAt, a.Kind == dispatch.Lookup, 1, &p))
			})
		case dispatch.Query:
			r.sent += queryBytes
			key := a.Packet.Key
			r.toCompanion(a.To, func(c *restartCompanion) { r.gate(c, c.gate.HandleQuery(r.now, entryAt, key)) })
		case dispatch.Survey:
			r.sent += surveyHeaderBytes + addressBytes*len(a.Survey.Ask)
			r.toCompanion(a.To, func(c *restartCompanion) {
				query, _ := c.surveys.Begin(r.now, entryAt, a.Survey)
				for _, at := range a.Survey.Ask {
					r.toCompanion(at, func(asked *restartCompanion) { r.gate(asked, asked.gate.HandleSurveyQuery(r.now, c.address, query)) })
				}
			})
		case dispatch.Relay:
			r.sent += udpBytes + relayHeaderBytes + addressBytes*len(a.Survey.Ask) + len(a.Packet.Data)
			r.relays++
			r.relay(a)
		case dispatch.Reset:
			r.resets[a.Packet.Key] = a.ResetSeq
		case dispatch.Drop, dispatch.Wait:
			if a.Reason == passthrough.ReasonLookupLimit {
				r.delayed++
			}
		}
	}
}

// relay has a companion pass copies of the packet to others.
func (r *restart) relay(a dispatch.Action) {
	p := a.Packet.Clone()
	r.toCompanion(a.To, func(conductor *restartCompanion) {
		r.g.Expect(conductor.old).To(gomega.BeFalse(), "an old companion takes a relay for a malformed datagram")
		query, _ := conductor.surveys.Begin(r.now, entryAt, a.Survey)
		for _, at := range a.Survey.Ask {
			r.toCompanion(at, func(asked *restartCompanion) {
				r.g.Expect(asked.old).To(gomega.BeFalse(), "and a copy as well")
				relayed := passthrough.RelayedCopy{Number: query.Number, Entry: entryAt}
				r.gate(asked, asked.gate.HandleRelayedCopy(r.now, conductor.address, relayed, &p))
			})
		}
	})
}

// gate carries out the actions of a companion.
func (r *restart) gate(c *restartCompanion, actions []gate.Action) {
	for _, a := range append([]gate.Action(nil), actions...) {
		switch a.Kind {
		case gate.Deliver:
			r.deliver(c, a.Packet)
		case gate.NotHeld:
			p := a.Packet.Clone()
			r.fromCompanion(c, func() []dispatch.Action { return r.entry.HandleNotHeld(r.now, c.address, &p) })
		case gate.SendNote:
			r.received += noteBytes
			r.fromCompanion(c, func() []dispatch.Action { return r.entry.HandleNote(r.now, c.address, a.Note) })
		case gate.AnswerSurvey:
			r.toCompanion(a.To, func(conductor *restartCompanion) {
				finished, done := conductor.surveys.NotHeld(c.address, a.SurveyNumber)
				if done {
					r.result(conductor, finished)
				}
			})
		case gate.Reset:
			r.resets[a.Packet.Key] = a.ResetSeq
		}
	}
}

func (r *restart) result(c *restartCompanion, finished gate.FinishedSurvey) {
	r.received += surveyHeaderBytes + addressBytes*len(finished.Result.NotHeld)
	r.fromCompanion(c, func() []dispatch.Action { return r.entry.HandleSurveyResult(r.now, c.address, finished.Result) })
}

// deliver delivers a packet to a backend server, which returns those of flows that it
// doesn't hold.
func (r *restart) deliver(c *restartCompanion, p *passthrough.Packet) {
	answer := passthrough.Packet{Key: p.Key, Flags: core.TCPAck, Seq: p.Ack, Length: 50}
	if r.holders[p.Key] == c {
		_, before := r.deliveredAt[p.Key]
		if !before {
			r.deliveredAt[p.Key] = r.now.Sub(start)
		}
	} else {
		answer = *p
		answer.Returned = true
	}
	r.queue = append(r.queue, func() { r.gate(c, c.gate.FromServer(r.now, &answer)) })
}

// callerPacket returns a packet of the flow with a request.
func callerPacket(port int) *passthrough.Packet {
	p := data(port, 5001)
	p.Data = make([]byte, requestBytes)
	return p
}

// play has the callers use their flows, evenly over the first 100 ms, and repeat packets
// without an answer after 200 ms, 600 ms and 1.4 s. It returns how many flows' packets had reached their
// backend servers after each of the given times.
func (r *restart) play(flows int, ends ...time.Duration) []int {
	const (
		step  = 10 * time.Millisecond
		burst = 100 * time.Millisecond
	)
	var found []int
	for elapsed := time.Duration(0); len(found) < len(ends); elapsed += step {
		r.now = start.Add(elapsed)
		for port := range flows {
			first := burst * time.Duration(port) / time.Duration(flows) / step * step
			for _, after := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
				_, delivered := r.deliveredAt[flowKey(port)]
				if elapsed == first+after && !delivered {
					r.run(r.entry.Handle(r.now, callerPacket(port)))
					r.drain()
				}
			}
		}
		if elapsed%(50*time.Millisecond) == 0 {
			r.entry.Sweep(r.now)
			r.run(r.entry.Continue(r.now))
			r.drain()
		}
		if elapsed%(100*time.Millisecond) == 0 {
			for _, c := range r.companions {
				if c.paused {
					continue
				}
				for _, finished := range c.surveys.Expire(r.now) {
					r.result(c, finished)
				}
			}
			r.drain()
		}
		if elapsed%passthrough.ReportInterval == 0 {
			for _, c := range r.companions {
				if !c.paused {
					r.report(c)
				}
			}
			r.drain()
		}
		if elapsed >= ends[len(found)] {
			found = append(found, len(r.deliveredAt))
		}
	}
	return found
}

// All processes were killed and restarted. Each query got the answer that the companion
// can't tell without the packet, the limit on lookups was used up by repeated queries, and
// for ten seconds most requests on open flows were late.
func TestOpenFlowsAreFoundAfterAllProcessesRestart(t *testing.T) {
	const companions, flows = 61, 400
	r := newRestart(t, companions, flows)
	found := r.play(flows, 500*time.Millisecond, time.Second, 2*time.Second)
	t.Logf("found after 0.5, 1 and 2 s: %v of %d; sent %d bytes, received %d, put off %d", found, flows, r.sent, r.received, r.delayed)
	r.g.Expect(r.resets).To(gomega.BeEmpty())
	r.g.Expect(found[1]).To(gomega.Equal(flows))
	r.g.Expect(r.sent).To(gomega.BeNumerically("<=", 2*restartNetwork/3))
}

// heldBy returns how many flows are open at backend servers of the companions.
func (r *restart) heldBy(selected func(*restartCompanion) bool) int {
	count := 0
	for _, c := range r.holders {
		if selected(c) {
			count++
		}
	}
	return count
}

// A conductor that has died leaves relays without a result. Each lookup tries another
// conductor, and others no longer use the dead one.
func TestRelaysAreRepeatedAtOtherConductors(t *testing.T) {
	const companions, flows = 61, 100
	r := newRestart(t, companions, flows)
	dead := map[*restartCompanion]bool{r.companions[0]: true, r.companions[4]: true, r.companions[8]: true}
	r.lost = func(c *restartCompanion) bool { return dead[c] }
	reachable := flows - r.heldBy(func(c *restartCompanion) bool { return dead[c] })
	found := r.play(flows, time.Second)
	r.g.Expect(found[0]).To(gomega.Equal(reachable))
	r.g.Expect(r.resets).To(gomega.BeEmpty())
	r.g.Expect(r.entry.Relays().Repeated).To(gomega.BeNumerically(">", 0))
}

// A lost message must cost a repetition at most, and no open flow.
func TestOpenFlowsAreFoundAlthoughMessagesAreLost(t *testing.T) {
	const companions, flows = 61, 100
	r := newRestart(t, companions, flows)
	random := rand.New(rand.NewPCG(1, 2))
	r.lost = func(*restartCompanion) bool { return random.IntN(10) == 0 }
	found := r.play(flows, 2*time.Second)
	r.g.Expect(found[0]).To(gomega.Equal(flows))
	r.g.Expect(r.resets).To(gomega.BeEmpty())
}

// A companion that is paused for 5 s passes the copies and reports the results of relays
// that have long been replaced. They must not count: flows may have opened since.
func TestConductorsThatWerePausedCauseNoReset(t *testing.T) {
	const companions, flows = 61, 100
	r := newRestart(t, companions, flows)
	for i := range 10 {
		r.companions[i].paused = true
	}
	running := flows - r.heldBy(func(c *restartCompanion) bool { return c.paused })
	found := r.play(flows, 2*time.Second)
	r.g.Expect(found[0]).To(gomega.Equal(running))
	r.now = start.Add(5 * time.Second)
	for _, c := range r.companions {
		c.paused = false
		for _, handle := range c.waiting {
			handle(c)
		}
	}
	r.drain()
	for _, c := range r.companions {
		for _, finished := range c.surveys.Expire(r.now) {
			r.result(c, finished)
		}
	}
	r.drain()
	r.g.Expect(r.resets).To(gomega.BeEmpty())
}

// While old and new companions run side by side, only those that support relays get them.
func TestRelaysGoOnlyToCompanionsThatSupportThem(t *testing.T) {
	const companions, flows = 61, 60
	for _, oldOneIn := range []int{1, 2, 8} {
		r := newRestart(t, companions, flows)
		for i, c := range r.companions {
			c.old = i%oldOneIn == 0
			r.report(c)
		}
		r.drain()
		found := r.play(flows, 2*time.Second)
		t.Logf("one companion in %d is old: found %v, relays %+v", oldOneIn, found, r.entry.Relays())
		r.g.Expect(r.relays > 0).To(gomega.Equal(oldOneIn > 1))
		r.g.Expect(found[0]).To(gomega.Equal(flows))
		r.g.Expect(r.resets).To(gomega.BeEmpty())
	}
}

// A backend server that hasn't announced itself yet gets no copy: another server may be
// about to start at its address. Its companion is asked once it has.
func TestCompanionIsAskedOnceItsServerHasAnnouncedItself(t *testing.T) {
	const companions, flows = 8, 20
	r := newRestart(t, companions, flows)
	late := r.companions[3]
	late.registration = newRegistration(start)
	late.gate = gate.New(start, gateConfig())
	late.gate.SetTable(start, restartedTable(companions))
	r.report(late)
	r.drain()
	waiting := r.heldBy(func(c *restartCompanion) bool { return c == late })
	r.g.Expect(waiting).To(gomega.BeNumerically(">", 0))
	found := r.play(flows, 600*time.Millisecond)
	r.g.Expect(found[0]).To(gomega.Equal(flows - waiting))
	r.announce(late, 50)
	r.drain()
	r.now = r.now.Add(100 * time.Millisecond)
	r.run(r.entry.Continue(r.now))
	r.drain()
	r.g.Expect(len(r.deliveredAt)).To(gomega.Equal(flows))
	r.g.Expect(r.resets).To(gomega.BeEmpty())
}

// A flow that no backend server holds any more is reset once all companions have denied
// it, with the caller's acknowledgement.
func TestLostFlowIsResetByRelays(t *testing.T) {
	const companions = 61
	r := newRestart(t, companions, 0)
	r.play(1, 1300*time.Millisecond)
	r.g.Expect(r.resets).To(gomega.Equal(map[core.FlowKey]uint32{flowKey(0): 5001}))
	counts := r.entry.Relays()
	r.g.Expect(counts.Denied).To(gomega.Equal(1))
	r.g.Expect(counts.Started).To(gomega.Equal(1))
	r.g.Expect(counts.Concluded).To(gomega.BeNumerically(">=", 2))
}

// Lookups that hadn't been sent for want of the limit were widened by time, and then
// needed five times as much of it. They keep their scope and their order.
func TestLookupsThatWaitKeepTheirScopeAndOrder(t *testing.T) {
	const companions, flows = 61, 2000
	g := gomega.NewWithT(t)
	d := dispatch.New(start.Add(-time.Hour), "dc0")
	d.SetTable(restartedTable(companions))
	d.SetNetwork(restartNetwork)
	for i := range companions {
		status := fleetStatus(i, 4)
		status.Relays, status.Untracked = true, true
		d.HandleStatus(start, status)
	}
	var order []core.FlowKey
	record := func(actions []dispatch.Action) {
		for _, a := range actions {
			if a.Kind == dispatch.Relay {
				g.Expect(len(a.Survey.Ask)).To(gomega.BeNumerically("<=", 12), "the first companions are asked")
				order = append(order, a.Survey.Key)
			}
		}
	}
	for port := range flows {
		record(d.Handle(start, callerPacket(port)))
	}
	for elapsed := 50 * time.Millisecond; elapsed <= 600*time.Millisecond; elapsed += 50 * time.Millisecond {
		for port := range flows {
			// All that was sent finds the flow, so that nothing is repeated.
			if slices.Contains(order, flowKey(port)) {
				d.HandleNote(start.Add(elapsed), fleetStatus(0, 4).Companion, passthrough.Note{Kind: passthrough.NoteHeld, Key: flowKey(port)})
			}
		}
		record(d.Continue(start.Add(elapsed)))
	}
	g.Expect(len(order)).To(gomega.BeNumerically(">", 300))
	for i, key := range order {
		g.Expect(key).To(gomega.Equal(flowKey(i)))
	}
}

// Each answer that a companion can't tell led to queries of all again, where the packet
// hadn't been kept and no relay could be sent.
func TestUnsureAnswersAreNotMultiplied(t *testing.T) {
	const companions, flows = 61, 2100
	g := gomega.NewWithT(t)
	d := fleet(companions, 4)
	for i := range companions {
		status := fleetStatus(i, 4)
		status.Relays = true
		d.HandleStatus(start, status)
	}
	for port := range flows {
		d.Handle(start, callerPacket(port))
	}
	// The packets of the others are no longer held, and lookups may send again.
	for port := range flows - 10 {
		d.HandleNote(start, fleetStatus(0, 4).Companion, passthrough.Note{Kind: passthrough.NoteHeld, Key: flowKey(port)})
	}
	later := start.Add(900 * time.Millisecond)
	d.Continue(later)
	sent := 0
	for i := range companions {
		unsure := passthrough.Note{Kind: passthrough.NoteUnsure, Key: flowKey(flows - 1)}
		actions := d.HandleNote(later, fleetStatus(i, 4).Companion, unsure)
		sent += len(targets(actions, dispatch.Query)) + len(targets(actions, dispatch.Relay))
	}
	g.Expect(sent).To(gomega.BeZero())
	sent = len(targets(d.Handle(later, callerPacket(flows-1)), dispatch.Relay))
	g.Expect(sent).To(gomega.Equal(1), "the next packet is held, and sent by a relay")
}

// Lookups that had nobody to ask yet were examined again and again before others, at the
// cost of all companions each.
func TestLookupsWithNobodyToAskDelayNoOthers(t *testing.T) {
	const companions, flows = 1000, 300
	g := gomega.NewWithT(t)
	d := dispatch.New(start.Add(-time.Hour), "dc0")
	d.SetTable(restartedTable(companions))
	report := func(announced func(i int) bool) {
		for i := range companions {
			status := fleetStatus(i, 4)
			status.Relays, status.Untracked = true, true
			if !announced(i) {
				status.Service = ""
			}
			d.HandleStatus(start, status)
		}
	}
	sent := map[core.FlowKey]bool{}
	record := func(actions []dispatch.Action) {
		for _, a := range append([]dispatch.Action(nil), actions...) {
			if a.Kind == dispatch.Relay {
				sent[a.Survey.Key] = true
				d.HandleNote(start, a.Survey.Ask[0], passthrough.Note{Kind: passthrough.NoteHeld, Key: a.Survey.Key})
			}
		}
	}
	report(func(int) bool { return false })
	for port := range flows {
		record(d.Handle(start, callerPacket(port)))
	}
	now := start
	advance := func(ticks int) {
		for range ticks {
			now = now.Add(50 * time.Millisecond)
			record(d.Continue(now))
		}
	}
	advance(4)
	g.Expect(sent).To(gomega.BeEmpty())
	report(func(int) bool { return true })
	advance(8)
	g.Expect(len(sent)).To(gomega.Equal(flows))
}

// An entry instance that was paused for 5 s must not take the results of relays from before
// the pause for denials: the flow may have opened since.
func TestResultsFromBeforeAPauseCauseNoReset(t *testing.T) {
	const companions = 61
	r := newRestart(t, companions, 0)
	var results []passthrough.SurveyResult
	var conductors []netip.AddrPort
	answer := func(actions []dispatch.Action) {
		for _, a := range append([]dispatch.Action(nil), actions...) {
			if a.Kind == dispatch.Relay {
				conductors = append(conductors, a.To)
				results = append(results, passthrough.SurveyResult{Number: a.Survey.Number, Key: a.Survey.Key})
			}
		}
	}
	now := start.Add(time.Minute)
	for _, c := range r.companions {
		r.entry.HandleStatus(now, c.status)
	}
	r.entry.Sweep(now)
	answer(r.entry.Handle(now, callerPacket(0)))
	answer(r.entry.HandleSurveyResult(now, conductors[0], results[0]))
	g := r.g
	g.Expect(len(results)).To(gomega.BeNumerically(">", 1))
	resumed := now.Add(5 * time.Second)
	for i := range results {
		g.Expect(r.entry.HandleSurveyResult(resumed, conductors[i], results[i])).To(gomega.BeEmpty())
	}
	// The caller repeats its packet: a new lookup begins, for which they don't count either.
	r.entry.Handle(resumed, callerPacket(0))
	for i := range results {
		g.Expect(targets(r.entry.HandleSurveyResult(resumed, conductors[i], results[i]), dispatch.Reset)).To(gomega.BeEmpty())
	}
}
