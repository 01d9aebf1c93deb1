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
	"zinniapulley.dev/passthrough/dispatch"
	"zinniapulley.dev/passthrough/gate"
	"zinniapulley.dev/route"
)

// model is a reference model of a small deployment that records at which backend
// server each flow is open. Messages arrive at once, or are lost.
type model struct {
	t          *rapid.T
	random     *rand.Rand
	now        time.Time
	entries    []*dispatch.Dispatcher
	companions []*modelCompanion
	revision   core.Revision
	out        []core.DataCentre
	// open holds for each flow the backend server, by its start, at which it is open.
	open     map[core.FlowKey]modelOwner
	nextPort int
	lossy    bool
	// reached lists the companions that the current packet was delivered at.
	reached []int
	// synAcks lists the answers to an opening packet, by companion.
	synAcks map[int]uint32
	resets  int
	// relayed and checks count relays and checks.
	relayed, checks int
}

type modelOwner struct{ companion, start int }

// modelCompanion is a companion with its backend server.
type modelCompanion struct {
	gate         *gate.Gate
	surveys      *gate.Surveys
	registration *gate.Registration
	// flows holds the backend server's flows, half-open ones included, and its first
	// sequence number of each.
	flows    map[core.FlowKey]uint32
	start    int
	born     int64
	number   uint64
	draining bool
	// down is set while no backend server runs there; refused is when the last refused
	// connection was begun.
	down    bool
	refused time.Time
	// old is set for a process of the version before relayed lookups.
	old bool
}

func newModel(t *rapid.T, lossy bool) *model {
	seed := rapid.Uint64().Draw(t, "seed")
	m := &model{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: start, open: map[core.FlowKey]modelOwner{}, revision: 1, lossy: lossy}
	oldOneIn := rapid.SampledFrom([]int{0, 2}).Draw(t, "one companion of so many is of the old version")
	for i := range rapid.SampledFrom([]int{4, 24}).Draw(t, "companions") {
		m.companions = append(m.companions, &modelCompanion{surveys: gate.NewSurveys(), old: oldOneIn > 0 && i%oldOneIn == 0})
	}
	for i := range m.companions {
		m.startServer(i)
		m.startCompanion(i)
	}
	for range 3 {
		m.entries = append(m.entries, nil)
	}
	for i := range m.entries {
		m.startEntry(i)
	}
	m.advance(3 * time.Second)
	return m
}

func (m *model) table() *route.Table { return table(m.revision, m.out...) }

func (m *model) dataCentre(companion int) core.DataCentre {
	return core.DataCentre([]string{"north", "south"}[companion%2])
}

func (m *model) startEntry(i int) {
	m.entries[i] = dispatch.New(m.now, "north")
	m.entries[i].SetTable(m.table())
}

func (m *model) startCompanion(i int) {
	c := m.companions[i]
	config := gateConfig()
	config.DataCentre = m.dataCentre(i)
	c.gate = gate.New(m.now, config)
	c.gate.SetTable(m.now, m.table())
	c.registration = newRegistration(m.now)
	m.announce(i)
}

func (m *model) startServer(i int) {
	c := m.companions[i]
	c.start++
	c.flows = map[core.FlowKey]uint32{}
	c.born = m.now.UnixMilli()
	c.draining, c.down = false, false
	c.number = 0
	if c.gate != nil {
		m.announce(i)
	}
}

// endServer ends a backend server without a departure message.
func (m *model) endServer(i int) {
	c := m.companions[i]
	c.start++
	c.flows = map[core.FlowKey]uint32{}
	c.down = true
}

// endUnnoticed reports whether some companion hasn't detected yet that its backend
// server has ended: packets sent there are lost.
func (m *model) endUnnoticed() bool {
	for _, c := range m.companions {
		target := c.registration.Target()
		if c.down && !target.Down() {
			return true
		}
	}
	return false
}

// probe reports a connection to the backend server's address to the companion. A
// refused one may be reported late, when another server runs there.
func (m *model) probe(i int) {
	c := m.companions[i]
	if c.down {
		c.refused = m.now
	}
	if c.refused.IsZero() || (c.down && m.random.IntN(2) == 0) {
		return
	}
	target, recorded := c.registration.ConnectionRefused(c.refused)
	c.refused = time.Time{}
	if recorded {
		c.gate.SetTarget(target)
		m.gate(m.random.IntN(len(m.entries)), i, c.gate.ResetFlows(), 0)
	}
}

func (m *model) announce(i int) {
	c := m.companions[i]
	if c.down {
		return
	}
	c.number++
	m.announceAs(i, gate.Announcement{
		Server: fmt.Sprintf("b%d-%d", i, c.start), Service: "feed", Address: serverAt, DataCentre: "north",
		Born: c.born, Number: c.number, Slots: 50, Draining: c.draining,
	})
}

// announceAs hands an announcement to a companion.
func (m *model) announceAs(i int, a gate.Announcement) {
	c := m.companions[i]
	target, err := c.registration.Announce(m.now, a)
	if err == nil {
		c.gate.SetTarget(target)
		m.gate(0, i, c.gate.ResetFlows(), 0)
	}
}

// advance moves the clock forward, with announcements and statuses.
func (m *model) advance(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(250 * time.Millisecond)
		for i, c := range m.companions {
			m.announce(i)
			c.gate.Sweep(m.now)
			status := c.gate.Status(m.now)
			status.Companion = companionAt(i)
			if c.old {
				status.Relays, status.Untracked, status.Born = false, false, 0
			}
			for _, e := range m.entries {
				if !m.messageLost() {
					e.HandleStatus(m.now, status)
					e.HandlePace(m.now, status.Companion, c.gate.Pace(m.now))
				}
			}
		}
		for i, e := range m.entries {
			e.Sweep(m.now)
			m.dispatch(i, e.Continue(m.now), 0)
		}
	}
}

func (m *model) messageLost() bool { return m.lossy && m.random.IntN(10) == 0 }

// send delivers a caller's packet to an entry instance.
func (m *model) send(entry int, p *passthrough.Packet) {
	m.reached, m.synAcks = nil, map[int]uint32{}
	m.dispatch(entry, m.entries[entry].Handle(m.now, p), 0)
}

func (m *model) dispatch(entry int, actions []dispatch.Action, depth int) {
	if depth > 40 {
		m.t.Fatal("a packet is forwarded in a loop")
	}
	for _, a := range append([]dispatch.Action(nil), actions...) {
		switch a.Kind {
		case dispatch.Forward, dispatch.Lookup:
			if !m.messageLost() {
				i := int(a.To.Addr().As4()[3])
				m.gate(entry, i, m.companions[i].gate.FromEntry(m.now, entryName(entry), a.Kind == dispatch.Lookup, uint64(m.revision), a.Packet), depth)
			}
		case dispatch.Query:
			if !m.messageLost() {
				i := int(a.To.Addr().As4()[3])
				m.gate(entry, i, m.companions[i].gate.HandleQuery(m.now, entryName(entry), a.Packet.Key), depth+1)
			}
		case dispatch.Survey:
			m.survey(entry, int(a.To.Addr().As4()[3]), a.Survey, nil, depth)
		case dispatch.Relay:
			m.survey(entry, int(a.To.Addr().As4()[3]), a.Survey, a.Packet, depth)
		case dispatch.Check:
			m.check(entry, a, depth)
		case dispatch.Reset:
			m.reset(a.Packet.Key, a.ResetSeq)
		}
	}
}

// survey has a companion conduct a survey, or a relay of the packet if there is one.
// Answers that don't come are waited for until the survey expires, at the current time.
func (m *model) survey(entry, conductor int, survey passthrough.Survey, relayed *passthrough.Packet, depth int) {
	if m.messageLost() {
		return
	}
	if relayed != nil {
		m.requireRelays(conductor)
		m.relayed++
	}
	c := m.companions[conductor]
	query, _ := c.surveys.Begin(m.now, entryName(entry), survey)
	for _, at := range survey.Ask {
		i := int(at.Addr().As4()[3])
		if m.messageLost() {
			continue
		}
		if relayed == nil {
			m.gate(entry, i, m.companions[i].gate.HandleSurveyQuery(m.now, companionAt(conductor), query), depth+1)
			continue
		}
		m.requireRelays(i)
		relayedCopy := passthrough.RelayedCopy{Number: query.Number, Entry: entryName(entry)}
		m.gate(entry, i, m.companions[i].gate.HandleRelayedCopy(m.now, companionAt(conductor), relayedCopy, relayed), depth+1)
	}
	for _, finished := range c.surveys.Expire(m.now.Add(time.Second)) {
		m.surveyResult(entry, conductor, finished, depth)
	}
}

func (m *model) requireRelays(companion int) {
	if m.companions[companion].old {
		m.t.Fatalf("companion %d doesn't support relays", companion)
	}
}

// check asks a companion whether it still holds a flow. It may answer late.
func (m *model) check(entry int, a dispatch.Action, depth int) {
	m.checks++
	if m.messageLost() {
		return
	}
	i := int(a.To.Addr().As4()[3])
	query := passthrough.SurveyQuery{Number: a.Survey.Number, Key: a.Survey.Key, Entry: entryName(entry)}
	m.gate(entry, i, m.companions[i].gate.HandleSurveyQuery(m.now, entryName(entry), query), depth+1)
}

func (m *model) surveyResult(entry, conductor int, finished gate.FinishedSurvey, depth int) {
	if !m.messageLost() {
		m.dispatch(entry, m.entries[entry].HandleSurveyResult(m.now, companionAt(conductor), finished.Result), depth+1)
	}
}

// answerSurvey delivers a companion's answer to the conductor of a survey, or to the entry
// instance that has checked a flow.
func (m *model) answerSurvey(entry, companion int, a gate.Action, depth int) {
	if m.messageLost() {
		return
	}
	to := int(a.To.Addr().As4()[3])
	if to >= modelEntries {
		m.dispatch(entry, m.entries[entry].HandleCheckAnswer(m.now, companionAt(companion), a.SurveyNumber), depth+1)
		return
	}
	finished, done := m.companions[to].surveys.NotHeld(companionAt(companion), a.SurveyNumber)
	if done {
		m.surveyResult(entry, to, finished, depth)
	}
}

// modelEntries is the number of the first entry instance's address.
const modelEntries = 100

func entryName(i int) netip.AddrPort { return companionAt(modelEntries + i) }

func (m *model) gate(entry, companion int, actions []gate.Action, depth int) {
	for _, a := range append([]gate.Action(nil), actions...) {
		switch a.Kind {
		case gate.Deliver:
			m.deliver(entry, companion, a.Packet, depth)
		case gate.Refuse:
			m.dispatch(entry, m.entries[entry].HandleRefused(m.now, companionAt(companion), a.Reason, a.Packet), depth+1)
		case gate.NotHeld:
			m.dispatch(entry, m.entries[entry].HandleNotHeld(m.now, companionAt(companion), a.Packet), depth+1)
		case gate.SendNote:
			if !m.messageLost() {
				m.dispatch(entry, m.entries[entry].HandleNote(m.now, companionAt(companion), a.Note), depth+1)
			}
		case gate.AnswerSurvey:
			m.answerSurvey(entry, companion, a, depth)
		case gate.Reset:
			m.reset(a.Packet.Key, a.ResetSeq)
		}
	}
}

// deliver delivers a packet to a backend server.
func (m *model) deliver(entry, companion int, p *passthrough.Packet, depth int) {
	c := m.companions[companion]
	if c.down {
		return
	}
	m.reached = append(m.reached, companion)
	seq, known := c.flows[p.Key]
	switch {
	case p.Flags.Opens():
		if c.draining {
			m.t.Fatalf("opening packet of %v reaches a draining backend server", p.Key)
		}
		if !known {
			seq = m.random.Uint32()
			c.flows[p.Key] = seq
		}
		m.synAcks[companion] = seq
		m.answer(entry, companion, &passthrough.Packet{Key: p.Key, Flags: core.TCPSyn | core.TCPAck, Seq: seq}, depth)
	case !known || p.Ack-seq > 1<<16:
		returned := *p
		returned.Returned = true
		m.answer(entry, companion, &returned, depth)
	default:
		if _, opened := m.open[p.Key]; !opened {
			m.open[p.Key] = modelOwner{companion: companion, start: c.start}
		}
		m.answer(entry, companion, &passthrough.Packet{Key: p.Key, Flags: core.TCPAck, Seq: seq + 1, Length: 50}, depth)
	}
}

func (m *model) answer(entry, companion int, p *passthrough.Packet, depth int) {
	m.gate(entry, companion, m.companions[companion].gate.FromServer(m.now, p), depth)
}

// alive reports whether the flow is open at a backend server that still runs.
func (m *model) alive(key core.FlowKey) (modelOwner, bool) {
	owner, opened := m.open[key]
	return owner, opened && m.companions[owner.companion].start == owner.start
}

// reset checks that no open flow is reset while its backend server runs. A reset of
// a flow that isn't open has the sequence number 0.
func (m *model) reset(key core.FlowKey, seq uint32) {
	m.resets++
	if owner, alive := m.alive(key); alive && seq != 0 {
		m.t.Fatalf("flow %v was reset while it is open at %v", key, owner)
	}
}

// openFlow has a caller open a flow, with copies of its first packet through random
// entry instances.
func (m *model) openFlow() {
	m.nextPort++
	port := m.nextPort
	answers := map[int]uint32{}
	for range 1 + m.random.IntN(3) {
		m.send(m.random.IntN(len(m.entries)), syn(port))
		for companion, seq := range m.synAcks {
			answers[companion] = seq
		}
		m.advance(250 * time.Millisecond)
	}
	for _, seq := range answers {
		// The caller accepts whichever answer comes first.
		m.send(m.random.IntN(len(m.entries)), data(port, seq+1))
		return
	}
}

// replaceServer starts the backend server of an open flow anew, and lets the entry
// instances learn of it.
func (m *model) replaceServer() {
	if m.nextPort == 0 {
		return
	}
	owner, alive := m.alive(flowKey(1 + m.random.IntN(m.nextPort)))
	if alive {
		m.startServer(owner.companion)
		m.advance(500 * time.Millisecond)
	}
}

// foreignAnnouncement has another writer announce an unknown service at the companion that
// an open flow goes through.
func (m *model) foreignAnnouncement() {
	if m.nextPort == 0 {
		return
	}
	owner, alive := m.alive(flowKey(1 + m.random.IntN(m.nextPort)))
	if alive {
		m.advance(3 * time.Second)
		m.announceAs(owner.companion, gate.Announcement{
			Server: "foreign", Service: "unknown", Address: serverAt, DataCentre: "north", Born: m.now.UnixMilli(), Number: 1, Slots: 50,
		})
	}
}

// useFlow sends a packet of an open flow through a random entry instance, and checks
// that it reaches the backend server that holds the flow.
func (m *model) useFlow() {
	if m.nextPort == 0 {
		return
	}
	key := flowKey(1 + m.random.IntN(m.nextPort))
	owner, alive := m.alive(key)
	if !alive {
		return
	}
	seq := m.companions[owner.companion].flows[key]
	p := data(int(key.Caller.Port()), seq+1)
	m.send(m.random.IntN(len(m.entries)), p)
	if m.lossy || m.endUnnoticed() {
		return
	}
	for _, companion := range m.reached {
		if companion == owner.companion {
			return
		}
	}
	m.t.Fatalf("a packet of %v reaches %v, but the flow is held by %v", key, m.reached, owner)
}

func (m *model) step(name string) {
	i := m.random.IntN(len(m.companions))
	switch name {
	case "open":
		m.openFlow()
	case "replace server":
		m.replaceServer()
	case "use":
		m.useFlow()
	case "restart entry":
		m.startEntry(m.random.IntN(len(m.entries)))
		m.advance(1200 * time.Millisecond)
	case "restart companion":
		m.startCompanion(i)
	case "restart all companions":
		for i := range m.companions {
			m.startCompanion(i)
		}
		m.advance(250 * time.Millisecond)
	case "restart all":
		for i := range m.companions {
			m.startCompanion(i)
		}
		for i := range m.entries {
			m.startEntry(i)
		}
		m.advance(1200 * time.Millisecond)
	case "restart server":
		m.startServer(i)
	case "foreign announcement":
		m.foreignAnnouncement()
	case "end server":
		m.endServer(i)
	case "probe":
		m.probe(i)
	case "drain":
		m.companions[i].draining = true
		m.announce(i)
	case "data centre":
		m.revision++
		m.out = nil
		if m.random.IntN(2) == 0 {
			m.out = []core.DataCentre{m.dataCentre(i)}
		}
		for _, c := range m.companions {
			c.gate.SetTable(m.now, m.table())
		}
		for _, e := range m.entries {
			e.SetTable(m.table())
		}
	case "wait":
		m.advance(time.Duration(m.random.IntN(3000)) * time.Millisecond)
	}
}

var modelSteps = []string{
	"open", "open", "use", "use", "use", "restart entry", "restart companion", "restart all companions", "restart all", "restart server", "replace server", "foreign announcement", "end server",
	"probe", "probe", "drain", "data centre", "wait",
}

// runModel plays random steps and returns how many relays and checks of flows they led to.
func runModel(t *rapid.T, lossy bool) (relayed, checks int) {
	m := newModel(t, lossy)
	steps := rapid.SliceOfN(rapid.SampledFrom(modelSteps), 1, 60).Draw(t, "steps")
	for _, name := range steps {
		m.step(name)
	}
	return m.relayed, m.checks
}

// requireRelaysAndChecks runs the model, and requires that it has played relayed lookups
// and checks of flows whose backend servers changed.
func requireRelaysAndChecks(t *testing.T, lossy bool) {
	relayed, checks := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		r, c := runModel(t, lossy)
		relayed, checks = relayed+r, checks+c
	})
	t.Logf("relays %d, checks of flows %d", relayed, checks)
	if !t.Failed() && (relayed == 0 || checks == 0) {
		t.Fatalf("relays %d, checks of flows %d: the model played none of one kind", relayed, checks)
	}
}

// Whatever is restarted, drained or taken out of service, a packet of an open flow
// reaches the backend server that holds it, and no such flow is reset.
func TestOpenFlowsSurviveChangesInTheReferenceModel(t *testing.T) {
	requireRelaysAndChecks(t, false)
}

// The same while one message in ten is lost: packets may be lost, but no open flow is
// reset.
func TestNoOpenFlowIsResetWhenMessagesAreLost(t *testing.T) {
	requireRelaysAndChecks(t, true)
}
