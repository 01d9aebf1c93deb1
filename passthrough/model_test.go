package passthrough_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/route"
)

// world is a small deployment that knows everything: which flow is open at which
// backend server. Messages arrive at once, or are lost.
type world struct {
	t          *rapid.T
	random     *rand.Rand
	now        time.Time
	entries    []*passthrough.Dispatcher
	companions []*modelCompanion
	revision   core.Revision
	out        []core.DataCentre
	// open holds the backend server, by its start, at which each flow is open.
	open     map[core.FlowKey]modelOwner
	nextPort int
	lossy    bool
	// reached lists where the packet in hand was delivered.
	reached []int
	// synAcks lists the answers to an opening packet, by companion.
	synAcks map[int]uint32
	resets  int
}

type modelOwner struct{ companion, start int }

// modelCompanion is a companion with its backend server.
type modelCompanion struct {
	gate         *passthrough.Gate
	registration *passthrough.Registration
	// flows holds the flows that the backend server has, with its first sequence
	// number; half-open ones included.
	flows    map[core.FlowKey]uint32
	start    int
	number   uint64
	draining bool
	// down says that no backend server runs there; refused is when the last connection
	// that was refused was begun.
	down    bool
	refused time.Time
}

func newWorld(t *rapid.T, lossy bool) *world {
	seed := rapid.Uint64().Draw(t, "seed")
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: start, open: map[core.FlowKey]modelOwner{}, revision: 1, lossy: lossy}
	for range 4 {
		w.companions = append(w.companions, &modelCompanion{})
	}
	for i := range w.companions {
		w.startServer(i)
		w.startCompanion(i)
	}
	for range 3 {
		w.entries = append(w.entries, nil)
	}
	for i := range w.entries {
		w.startEntry(i)
	}
	w.pass(3 * time.Second)
	return w
}

func (w *world) table() *route.Table { return table(w.revision, w.out...) }

func (w *world) dataCentre(companion int) core.DataCentre {
	return core.DataCentre([]string{"north", "south"}[companion%2])
}

func (w *world) startEntry(i int) {
	w.entries[i] = passthrough.NewDispatcher(w.now, "north")
	w.entries[i].SetTable(w.table())
}

func (w *world) startCompanion(i int) {
	c := w.companions[i]
	config := gateConfig()
	config.DataCentre = w.dataCentre(i)
	c.gate = passthrough.NewGate(w.now, config)
	c.gate.SetTable(w.now, w.table())
	c.registration = passthrough.NewRegistration(w.now, config.AnnouncementLimit)
	w.beat(i)
}

func (w *world) startServer(i int) {
	c := w.companions[i]
	c.start++
	c.flows = map[core.FlowKey]uint32{}
	c.draining, c.down = false, false
	c.number = 0
	if c.gate != nil {
		w.beat(i)
	}
}

// endServer ends a backend server without a word.
func (w *world) endServer(i int) {
	c := w.companions[i]
	c.start++
	c.flows = map[core.FlowKey]uint32{}
	c.down = true
}

// endUnnoticed reports whether some companion doesn't know yet that its backend server
// has ended: packets that are sent there are lost.
func (w *world) endUnnoticed() bool {
	for _, c := range w.companions {
		target := c.registration.Target()
		if c.down && !target.Down() {
			return true
		}
	}
	return false
}

// look has the companion learn of a connection to its backend server's address. One
// that was refused may be learned of late, when another server runs there.
func (w *world) look(i int) {
	c := w.companions[i]
	if c.down {
		c.refused = w.now
	}
	if c.refused.IsZero() || (c.down && w.random.IntN(2) == 0) {
		return
	}
	target, taken := c.registration.ConnectionRefused(c.refused)
	c.refused = time.Time{}
	if taken {
		c.gate.SetTarget(target)
		w.gate(w.random.IntN(len(w.entries)), i, c.gate.ResetFlows(), 0)
	}
}

func (w *world) beat(i int) {
	c := w.companions[i]
	if c.down {
		return
	}
	c.number++
	target, taken := c.registration.Announce(w.now, passthrough.Announcement{
		Server: fmt.Sprintf("b%d-%d", i, c.start), Service: "feed", Born: int64(c.start), Number: c.number, Slots: 50, Draining: c.draining,
	})
	if taken {
		c.gate.SetTarget(target)
	}
}

// pass lets time go by with announcements and statuses.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(250 * time.Millisecond)
		for i, c := range w.companions {
			w.beat(i)
			c.gate.Sweep(w.now)
			status := c.gate.Status(w.now)
			status.Companion = companionAt(i)
			for _, e := range w.entries {
				if !w.lost() {
					e.HandleStatus(w.now, status)
				}
			}
		}
		for _, e := range w.entries {
			e.Sweep(w.now)
		}
	}
}

func (w *world) lost() bool { return w.lossy && w.random.IntN(10) == 0 }

// send has a caller's packet arrive at an entry instance.
func (w *world) send(entry int, p *passthrough.Packet) {
	w.reached, w.synAcks = nil, map[int]uint32{}
	w.dispatch(entry, w.entries[entry].Handle(w.now, p), 0)
}

func (w *world) dispatch(entry int, actions []passthrough.Dispatch, depth int) {
	if depth > 40 {
		w.t.Fatal("a packet goes on and on")
	}
	for _, a := range append([]passthrough.Dispatch(nil), actions...) {
		switch a.Kind {
		case passthrough.DispatchForward, passthrough.DispatchLookup:
			if !w.lost() {
				i := int(a.To.Addr().As4()[3])
				w.gate(entry, i, w.companions[i].gate.FromEntry(w.now, entryName(entry), a.Kind == passthrough.DispatchLookup, uint64(w.revision), a.Packet), depth)
			}
		case passthrough.DispatchQuery:
			if !w.lost() {
				i := int(a.To.Addr().As4()[3])
				w.gate(entry, i, w.companions[i].gate.Query(w.now, entryName(entry), a.Packet.Key), depth+1)
			}
		case passthrough.DispatchReset:
			w.reset(a.Packet.Key, a.ResetSeq)
		}
	}
}

func entryName(i int) netip.AddrPort { return companionAt(100 + i) }

func (w *world) gate(entry, companion int, actions []passthrough.GateAction, depth int) {
	for _, a := range append([]passthrough.GateAction(nil), actions...) {
		switch a.Kind {
		case passthrough.GateDeliver:
			w.deliver(entry, companion, a.Packet, depth)
		case passthrough.GateRefuse:
			w.dispatch(entry, w.entries[entry].HandleRefused(w.now, companionAt(companion), a.Reason, a.Packet), depth+1)
		case passthrough.GateNotHere:
			w.dispatch(entry, w.entries[entry].HandleNotHere(w.now, companionAt(companion), a.Packet), depth+1)
		case passthrough.GateNote:
			if !w.lost() {
				w.dispatch(entry, w.entries[entry].HandleNote(w.now, companionAt(companion), a.Note), depth+1)
			}
		case passthrough.GateReset:
			w.reset(a.Packet.Key, a.ResetSeq)
		}
	}
}

// deliver has a packet arrive at a backend server.
func (w *world) deliver(entry, companion int, p *passthrough.Packet, depth int) {
	c := w.companions[companion]
	if c.down {
		return
	}
	w.reached = append(w.reached, companion)
	seq, known := c.flows[p.Key]
	switch {
	case p.Flags.Opens():
		if c.draining {
			w.t.Fatalf("opening packet of %v reaches a draining backend server", p.Key)
		}
		if !known {
			seq = w.random.Uint32()
			c.flows[p.Key] = seq
		}
		w.synAcks[companion] = seq
		w.answer(entry, companion, &passthrough.Packet{Key: p.Key, Flags: core.TCPSyn | core.TCPAck, Seq: seq}, depth)
	case !known || p.Ack-seq > 1<<16:
		returned := *p
		returned.Returned = true
		w.answer(entry, companion, &returned, depth)
	default:
		if _, opened := w.open[p.Key]; !opened {
			w.open[p.Key] = modelOwner{companion: companion, start: c.start}
		}
		w.answer(entry, companion, &passthrough.Packet{Key: p.Key, Flags: core.TCPAck, Seq: seq + 1, Length: 50}, depth)
	}
}

func (w *world) answer(entry, companion int, p *passthrough.Packet, depth int) {
	w.gate(entry, companion, w.companions[companion].gate.FromServer(w.now, p), depth)
}

// alive reports whether the flow is open at a backend server that still runs.
func (w *world) alive(key core.FlowKey) (modelOwner, bool) {
	owner, opened := w.open[key]
	return owner, opened && w.companions[owner.companion].start == owner.start
}

// reset checks that a caller's open flow isn't reset while its backend server
// lives. A reset of a flow that isn't open has the sequence number 0.
func (w *world) reset(key core.FlowKey, seq uint32) {
	w.resets++
	if owner, alive := w.alive(key); alive && seq != 0 {
		w.t.Fatalf("flow %v was reset while it is open at %v", key, owner)
	}
}

// openFlow has a caller open a flow, with copies of its first packet through any
// entry instances.
func (w *world) openFlow() {
	w.nextPort++
	port := w.nextPort
	answers := map[int]uint32{}
	for range 1 + w.random.IntN(3) {
		w.send(w.random.IntN(len(w.entries)), syn(port))
		for companion, seq := range w.synAcks {
			answers[companion] = seq
		}
		w.pass(250 * time.Millisecond)
	}
	for _, seq := range answers {
		// The caller takes whichever answer comes first.
		w.send(w.random.IntN(len(w.entries)), data(port, seq+1))
		return
	}
}

// useFlow has an open flow's caller send a packet through any entry instance, and
// checks that it arrives where the flow lives.
func (w *world) useFlow() {
	if w.nextPort == 0 {
		return
	}
	key := flowKey(1 + w.random.IntN(w.nextPort))
	owner, alive := w.alive(key)
	if !alive {
		return
	}
	seq := w.companions[owner.companion].flows[key]
	p := data(int(key.Caller.Port()), seq+1)
	w.send(w.random.IntN(len(w.entries)), p)
	if w.lossy || w.endUnnoticed() {
		return
	}
	for _, companion := range w.reached {
		if companion == owner.companion {
			return
		}
	}
	w.t.Fatalf("a packet of %v reaches %v, but the flow lives at %v", key, w.reached, owner)
}

func (w *world) step(name string) {
	i := w.random.IntN(len(w.companions))
	switch name {
	case "open":
		w.openFlow()
	case "use":
		w.useFlow()
	case "restart entry":
		w.startEntry(w.random.IntN(len(w.entries)))
		w.pass(1200 * time.Millisecond)
	case "restart companion":
		w.startCompanion(i)
	case "restart server":
		w.startServer(i)
	case "end server":
		w.endServer(i)
	case "look":
		w.look(i)
	case "drain":
		w.companions[i].draining = true
		w.beat(i)
	case "data centre":
		w.revision++
		w.out = nil
		if w.random.IntN(2) == 0 {
			w.out = []core.DataCentre{w.dataCentre(i)}
		}
		for _, c := range w.companions {
			c.gate.SetTable(w.now, w.table())
		}
		for _, e := range w.entries {
			e.SetTable(w.table())
		}
	case "wait":
		w.pass(time.Duration(w.random.IntN(3000)) * time.Millisecond)
	}
}

var modelSteps = []string{
	"open", "open", "use", "use", "use", "restart entry", "restart companion", "restart server", "end server", "look", "look",
	"drain", "data centre", "wait",
}

func play(t *rapid.T, lossy bool) {
	w := newWorld(t, lossy)
	steps := rapid.SliceOfN(rapid.SampledFrom(modelSteps), 1, 60).Draw(t, "steps")
	for _, name := range steps {
		w.step(name)
	}
}

// Against a world that knows where each flow lives: whatever is restarted, drained
// or taken out, a packet of an open flow arrives where it lives and no such flow
// is reset.
func TestFlowsSurviveAgainstTheWorldThatKnowsAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { play(t, false) })
}

// The same while one message in ten is lost: then packets may be lost, but no open
// flow is reset.
func TestNoOpenFlowIsResetWhenMessagesAreLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { play(t, true) })
}
