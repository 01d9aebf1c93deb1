// Package flows measures forwarding policies on the same flows: how many of them
// break when backend servers and entry instances change, how evenly they are
// balanced, and how many messages between instances a packet costs.
package flows

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/dispatch"
	"zinniapulley.dev/passthrough/gate"
	"zinniapulley.dev/route"
)

// Options sets up a measurement.
type Options struct {
	Seed    uint64
	Servers int
	Flows   int
}

// Result holds the figures of one policy.
type Result struct {
	Policy string `json:"policy"`
	Flows  int    `json:"flows"`
	// Broken counts open flows with a packet that didn't reach the backend server
	// that holds the flow.
	Broken int `json:"broken"`
	// Imbalance is the highest number of open flows of a backend server at the end,
	// divided by the mean.
	Imbalance float64 `json:"imbalance"`
	// MessagesPerPacket counts messages between instances for each caller's packet.
	MessagesPerPacket float64 `json:"messagesPerPacket"`
}

const (
	entries = 4
	// flowsPerChange is how many flows are opened between two changes.
	flowsPerChange = 200
	// packetsPerFlow is how many packets a flow sends between two changes.
	packetsPerFlow = 2
	// flowGap is the time between two flows.
	flowGap = 5 * time.Millisecond
	// packetGap is the time between two packets.
	packetGap = 200 * time.Microsecond
	// retransmitAfter is when a caller retransmits a packet without an answer, maxSends
	// how often it sends a packet in all.
	retransmitAfter = 200 * time.Millisecond
	maxSends        = 8
)

// policy forwards packets. Backend servers are numbered, and no number is reused.
type policy interface {
	// open opens a flow through an entry instance and returns its backend server, -1
	// for none.
	open(entry int, key core.FlowKey) int
	// send sends a packet of an open flow and returns the backend server that it
	// reaches, -1 for none.
	send(entry int, key core.FlowKey) int
	// change sets the backend servers that accept new flows, and restarts the given
	// entry instance, -1 for none.
	change(accepting []int, restarted int)
	// messages returns the number of messages between instances.
	messages() int
}

// Measure runs every policy over the same flows and changes.
func Measure(options Options) []Result {
	policies := []struct {
		name string
		make func() policy
	}{
		{"modulo", func() policy { return &statelessHash{pick: modulo} }},
		{"rendezvous", func() policy { return &statelessHash{pick: rendezvous} }},
		{"cache and search", func() policy { return newForwarding(options.Servers) }},
	}
	var results []Result
	for _, p := range policies {
		results = append(results, run(p.name, p.make(), options))
	}
	return results
}

// run opens flows, sends packets on all of them and changes the deployment in turn:
// a backend server starts to drain, one is added, an entry instance restarts.
func run(name string, p policy, options Options) Result {
	random := rand.New(rand.NewPCG(options.Seed, 1))
	result := Result{Policy: name}
	accepting := make([]int, options.Servers)
	for i := range accepting {
		accepting[i] = i
	}
	next := options.Servers
	p.change(accepting, -1)
	owner := map[core.FlowKey]int{}
	broken := map[core.FlowKey]bool{}
	packets := 0
	for i := range options.Flows {
		key := core.FlowKey{
			Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), uint16(1024+i%40000)),
			Service: address,
		}
		packets++
		server := p.open(random.IntN(entries), key)
		if server >= 0 {
			owner[key] = server
			result.Flows++
		}
		if (i+1)%flowsPerChange != 0 {
			continue
		}
		restarted := -1
		switch (i / flowsPerChange) % 3 {
		case 0:
			accepting = append([]int(nil), accepting[1:]...)
		case 1:
			accepting = append(append([]int(nil), accepting...), next)
			next++
		default:
			restarted = random.IntN(entries)
		}
		p.change(accepting, restarted)
		for flow, server := range owner {
			for range packetsPerFlow {
				packets++
				if p.send(random.IntN(entries), flow) != server {
					broken[flow] = true
				}
			}
		}
	}
	result.Broken = len(broken)
	result.Imbalance = imbalance(owner, accepting)
	result.MessagesPerPacket = float64(p.messages()) / float64(packets)
	return result
}

// imbalance returns the highest number of flows of an accepting backend server,
// divided by the mean.
func imbalance(owner map[core.FlowKey]int, accepting []int) float64 {
	count := map[int]int{}
	for _, server := range owner {
		count[server]++
	}
	busiest, total := 0, 0
	for _, server := range accepting {
		busiest = max(busiest, count[server])
		total += count[server]
	}
	return float64(busiest) * float64(len(accepting)) / float64(max(total, 1))
}

// statelessHash forwards by a hash of the flow over the accepting backend servers,
// without connection tracking.
type statelessHash struct {
	pick      func(hash uint64, accepting []int) int
	accepting []int
	sent      int
}

func (h *statelessHash) open(_ int, key core.FlowKey) int { return h.send(0, key) }

func (h *statelessHash) send(_ int, key core.FlowKey) int {
	h.sent++
	return h.pick(xxhash.Sum64String(key.String()), h.accepting)
}

func (h *statelessHash) change(accepting []int, _ int) { h.accepting = accepting }
func (h *statelessHash) messages() int                 { return h.sent }

func modulo(hash uint64, accepting []int) int { return accepting[hash%uint64(len(accepting))] }

func rendezvous(hash uint64, accepting []int) int {
	best, bestWeight := -1, uint64(0)
	for _, server := range accepting {
		weight := xxhash.Sum64String(fmt.Sprint(hash, "/", server))
		if weight >= bestWeight {
			best, bestWeight = server, weight
		}
	}
	return best
}

var address = netip.MustParseAddrPort("198.18.0.1:443")

// forwarding is the project's own policy: real Dispatchers and Gates.
type forwarding struct {
	now         time.Time
	dispatchers []*dispatch.Dispatcher
	gates       []*gate.Gate
	draining    []bool
	table       *route.Table
	sent        int
	deliveredTo int
}

func newForwarding(servers int) *forwarding {
	f := &forwarding{now: time.Unix(1_000_000, 0), table: route.Compile(&route.View{
		Revision: 1, Version: 1, IdleTimeout: time.Hour,
		Routes:   []route.Route{{Name: "feed", Address: address, Timeout: time.Second, Shares: []route.Share{{Service: "feed", Weight: 1}}}},
		Services: []route.Service{{Name: "feed"}},
	})}
	for range entries {
		f.dispatchers = append(f.dispatchers, nil)
	}
	for i := range f.dispatchers {
		f.startEntry(i)
	}
	for range servers {
		f.addServer()
	}
	return f
}

func (f *forwarding) startEntry(i int) {
	f.dispatchers[i] = dispatch.New(f.now, "north")
	f.dispatchers[i].SetTable(f.table)
}

func (f *forwarding) addServer() {
	g := gate.New(f.now, gate.Config{DataCentre: "north", AnnouncementLimit: time.Hour, FirstAnnouncementLimit: time.Hour, MaxFlowAge: time.Hour})
	g.SetTable(f.now, f.table)
	f.gates = append(f.gates, g)
	f.draining = append(f.draining, false)
	f.announce(len(f.gates) - 1)
}

func (f *forwarding) announce(i int) {
	f.gates[i].SetTarget(gate.Target{
		Known: true, StartCount: 1, StartedAfterCompanion: true, LastSeen: f.now,
		Announcement: gate.Announcement{Server: fmt.Sprint(i), Service: "feed", Slots: 10, Draining: f.draining[i]},
	})
}

func companionAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8000)
}

// companionIndex is the inverse of companionAddress.
func companionIndex(address netip.AddrPort) int {
	octets := address.Addr().As4()
	return int(octets[2])<<8 | int(octets[3])
}

func entryAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 9000)
}

// broadcastStatus sends every companion's status to every entry instance.
func (f *forwarding) broadcastStatus() {
	for _, d := range f.dispatchers {
		d.Sweep(f.now)
	}
	for i, g := range f.gates {
		status := g.Status(f.now)
		status.Companion = companionAddress(i)
		for _, d := range f.dispatchers {
			d.HandleStatus(f.now, status)
		}
	}
	for i, d := range f.dispatchers {
		f.dispatch(i, d.Continue(f.now))
	}
}

func (f *forwarding) change(accepting []int, restarted int) {
	for _, server := range accepting {
		for len(f.gates) <= server {
			f.addServer()
		}
	}
	isAccepting := map[int]bool{}
	for _, server := range accepting {
		isAccepting[server] = true
	}
	for i := range f.gates {
		f.draining[i] = !isAccepting[i]
		f.announce(i)
	}
	if restarted >= 0 {
		f.startEntry(restarted)
	}
	f.now = f.now.Add(2 * time.Second)
	f.broadcastStatus()
}

func (f *forwarding) open(entry int, key core.FlowKey) int {
	f.now = f.now.Add(flowGap)
	f.broadcastStatus()
	seq := uint32(5000)
	f.handlePacket(entry, &passthrough.Packet{Key: key, Flags: core.TCPSyn})
	server := f.deliveredTo
	if server < 0 {
		return -1
	}
	f.gates[server].FromServer(f.now, &passthrough.Packet{Key: key, Flags: core.TCPSyn | core.TCPAck, Seq: seq})
	return f.send(entry, key)
}

func (f *forwarding) send(entry int, key core.FlowKey) int {
	f.now = f.now.Add(packetGap)
	for range maxSends {
		f.dispatchers[entry].Sweep(f.now)
		f.dispatch(entry, f.dispatchers[entry].Continue(f.now))
		f.handlePacket(entry, &passthrough.Packet{Key: key, Flags: core.TCPAck, Ack: 5001})
		if f.deliveredTo >= 0 {
			break
		}
		f.now = f.now.Add(retransmitAfter)
	}
	return f.deliveredTo
}

func (f *forwarding) handlePacket(entry int, p *passthrough.Packet) {
	f.deliveredTo = -1
	f.dispatch(entry, f.dispatchers[entry].Handle(f.now, p))
}

// dispatch executes the actions of a Dispatcher and counts the messages.
func (f *forwarding) dispatch(entry int, actions []dispatch.Action) {
	for _, a := range append([]dispatch.Action(nil), actions...) {
		if a.Kind == dispatch.Survey || a.Kind == dispatch.Relay {
			f.survey(entry, a)
			continue
		}
		if a.Kind != dispatch.Forward && a.Kind != dispatch.Lookup && a.Kind != dispatch.Query {
			continue
		}
		f.sent++
		i, from := companionIndex(a.To), entryAddress(entry)
		if a.Kind == dispatch.Query {
			f.execute(entry, i, f.gates[i].HandleQuery(f.now, from, a.Packet.Key))
			continue
		}
		f.execute(entry, i, f.gates[i].FromEntry(f.now, from, a.Kind == dispatch.Lookup, 1, a.Packet))
	}
}

// askVia asks a companion as part of a survey or relay of the action.
func (f *forwarding) askVia(i int, a dispatch.Action, query passthrough.SurveyQuery) []gate.Action {
	if a.Kind == dispatch.Survey {
		return f.gates[i].HandleSurveyQuery(f.now, a.To, query)
	}
	return f.gates[i].HandleRelayedCopy(f.now, a.To, passthrough.RelayedCopy{Number: query.Number, Entry: query.Entry}, a.Packet)
}

// survey has the companion of the action ask the others.
func (f *forwarding) survey(entry int, a dispatch.Action) {
	f.sent++
	surveys := gate.NewSurveys()
	query, _ := surveys.Begin(f.now, entryAddress(entry), a.Survey)
	for _, at := range a.Survey.Ask {
		f.sent++
		i := companionIndex(at)
		for _, answer := range append([]gate.Action(nil), f.askVia(i, a, query)...) {
			if answer.Kind != gate.AnswerSurvey {
				f.execute(entry, i, []gate.Action{answer})
				continue
			}
			f.sent++
			finished, done := surveys.NotHeld(at, answer.SurveyNumber)
			if done {
				f.sent++
				f.dispatch(entry, f.dispatchers[entry].HandleSurveyResult(f.now, a.To, finished.Result))
			}
		}
	}
}

func (f *forwarding) execute(entry, companion int, actions []gate.Action) {
	for _, a := range append([]gate.Action(nil), actions...) {
		switch a.Kind {
		case gate.Deliver:
			f.deliveredTo = companion
		case gate.Refuse:
			f.sent++
			f.dispatch(entry, f.dispatchers[entry].HandleRefused(f.now, companionAddress(companion), a.Reason, a.Packet))
		case gate.NotHeld:
			f.sent++
			f.dispatch(entry, f.dispatchers[entry].HandleNotHeld(f.now, companionAddress(companion), a.Packet))
		case gate.SendNote:
			f.sent++
			f.dispatch(entry, f.dispatchers[entry].HandleNote(f.now, companionAddress(companion), a.Note))
		}
	}
}

func (f *forwarding) messages() int { return f.sent }
