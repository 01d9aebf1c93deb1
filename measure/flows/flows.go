// Package flows measures forwarding policies on the same flows: how many of them
// break when backend servers and entry instances change, how evenly they are spread,
// and how many messages between instances a packet costs.
package flows

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/route"
)

// Options sets up a measurement.
type Options struct {
	Seed    uint64
	Servers int
	Flows   int
}

// Result is what one policy came to.
type Result struct {
	Policy string `json:"policy"`
	Flows  int    `json:"flows"`
	// Broken counts flows of which a packet didn't reach the backend server where
	// the flow lives, though it lives.
	Broken int `json:"broken"`
	// Imbalance is busiest over mean of the flows open at the end.
	Imbalance float64 `json:"imbalance"`
	// MessagesPerPacket counts messages between instances for each caller's packet.
	MessagesPerPacket float64 `json:"messagesPerPacket"`
}

const (
	entries = 4
	// changeEvery is how many flows are opened between two changes.
	changeEvery = 200
	// packetsPerFlow is how many packets a flow sends between two changes.
	packetsPerFlow = 2
	// step is how much time passes between two flows.
	step = 5 * time.Millisecond
	// packetGap is how much time passes between two packets.
	packetGap = 200 * time.Microsecond
	// repeatAfter is when a caller repeats a packet that has no answer, sends how
	// often it sends it in all.
	repeatAfter = 200 * time.Millisecond
	sends       = 8
)

// policy forwards packets. Servers are numbered; one is never given a second time.
type policy interface {
	// open opens a flow through an entry instance and returns where, -1 for nowhere.
	open(entry int, key core.FlowKey) int
	// send sends a packet of an open flow and returns where it arrives, -1 for
	// nowhere.
	send(entry int, key core.FlowKey) int
	// change tells of the backend servers that take new flows by now, and that an
	// entry instance has started again, -1 for none.
	change(taking []int, restarted int)
	// messages counts messages between instances.
	messages() int
}

// Measure runs every policy over the same flows and changes.
func Measure(options Options) []Result {
	policies := []struct {
		name string
		make func() policy
	}{
		{"modulo", func() policy { return &hashed{pick: modulo} }},
		{"rendezvous", func() policy { return &hashed{pick: rendezvous} }},
		{"cache and search", func() policy { return newForwarding(options.Servers) }},
	}
	var results []Result
	for _, p := range policies {
		results = append(results, run(p.name, p.make(), options))
	}
	return results
}

// run opens flows, sends packets on all of them and changes the deployment by turns:
// a backend server starts to drain, one is added, an entry instance starts again.
func run(name string, p policy, options Options) Result {
	random := rand.New(rand.NewPCG(options.Seed, 1))
	result := Result{Policy: name}
	taking := make([]int, options.Servers)
	for i := range taking {
		taking[i] = i
	}
	next := options.Servers
	p.change(taking, -1)
	owner := map[core.FlowKey]int{}
	broken := map[core.FlowKey]bool{}
	packets := 0
	for i := range options.Flows {
		key := core.FlowKey{
			Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), uint16(1024+i%40000)),
			Service: address,
		}
		packets++
		at := p.open(random.IntN(entries), key)
		if at >= 0 {
			owner[key] = at
			result.Flows++
		}
		if (i+1)%changeEvery != 0 {
			continue
		}
		restarted := -1
		switch (i / changeEvery) % 3 {
		case 0:
			taking = append([]int(nil), taking[1:]...)
		case 1:
			taking = append(append([]int(nil), taking...), next)
			next++
		default:
			restarted = random.IntN(entries)
		}
		p.change(taking, restarted)
		for flow, at := range owner {
			for range packetsPerFlow {
				packets++
				if p.send(random.IntN(entries), flow) != at {
					broken[flow] = true
				}
			}
		}
	}
	result.Broken = len(broken)
	result.Imbalance = imbalance(owner, taking)
	result.MessagesPerPacket = float64(p.messages()) / float64(packets)
	return result
}

// imbalance is busiest over mean among the backend servers that take flows.
func imbalance(owner map[core.FlowKey]int, taking []int) float64 {
	count := map[int]int{}
	for _, at := range owner {
		count[at]++
	}
	busiest, total := 0, 0
	for _, server := range taking {
		busiest = max(busiest, count[server])
		total += count[server]
	}
	return float64(busiest) * float64(len(taking)) / float64(max(total, 1))
}

// hashed forwards by a hash of the flow over the backend servers that take flows,
// without any memory.
type hashed struct {
	pick   func(hash uint64, taking []int) int
	taking []int
	sent   int
}

func (h *hashed) open(_ int, key core.FlowKey) int { return h.send(0, key) }

func (h *hashed) send(_ int, key core.FlowKey) int {
	h.sent++
	return h.pick(xxhash.Sum64String(key.String()), h.taking)
}

func (h *hashed) change(taking []int, _ int) { h.taking = taking }
func (h *hashed) messages() int              { return h.sent }

func modulo(hash uint64, taking []int) int { return taking[hash%uint64(len(taking))] }

func rendezvous(hash uint64, taking []int) int {
	best, bestWeight := -1, uint64(0)
	for _, server := range taking {
		weight := xxhash.Sum64String(fmt.Sprint(hash, "/", server))
		if weight >= bestWeight {
			best, bestWeight = server, weight
		}
	}
	return best
}

var address = netip.MustParseAddrPort("198.18.0.1:443")

// forwarding is the project's own: real Dispatchers and Gates.
type forwarding struct {
	now         time.Time
	dispatchers []*passthrough.Dispatcher
	gates       []*passthrough.Gate
	draining    []bool
	table       *route.Table
	count       int
	reached     int
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
	f.dispatchers[i] = passthrough.NewDispatcher(f.now, "north")
	f.dispatchers[i].SetTable(f.table)
}

func (f *forwarding) addServer() {
	gate := passthrough.NewGate(f.now, passthrough.GateConfig{DataCentre: "north", AnnouncementLimit: time.Hour, FirstAnnouncementLimit: time.Hour, MaxFlowAge: time.Hour})
	gate.SetTable(f.now, f.table)
	f.gates = append(f.gates, gate)
	f.draining = append(f.draining, false)
	f.announce(len(f.gates) - 1)
}

func (f *forwarding) announce(i int) {
	f.gates[i].SetTarget(passthrough.Target{
		Known: true, StartCount: 1, StartedAfterCompanion: true, LastSeen: f.now,
		Announcement: passthrough.Announcement{Server: fmt.Sprint(i), Service: "feed", Slots: 10, Draining: f.draining[i]},
	})
}

func companionAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8000)
}

// tell sends every companion's status to every entry instance.
func (f *forwarding) tell() {
	for _, d := range f.dispatchers {
		d.Sweep(f.now)
	}
	for i, gate := range f.gates {
		status := gate.Status(f.now)
		status.Companion = companionAt(i)
		for _, d := range f.dispatchers {
			d.HandleStatus(f.now, status)
		}
	}
}

func (f *forwarding) change(taking []int, restarted int) {
	for _, server := range taking {
		for len(f.gates) <= server {
			f.addServer()
		}
	}
	keeps := map[int]bool{}
	for _, server := range taking {
		keeps[server] = true
	}
	for i := range f.gates {
		f.draining[i] = !keeps[i]
		f.announce(i)
	}
	if restarted >= 0 {
		f.startEntry(restarted)
	}
	f.now = f.now.Add(2 * time.Second)
	f.tell()
}

func (f *forwarding) open(entry int, key core.FlowKey) int {
	f.now = f.now.Add(step)
	f.tell()
	seq := uint32(5000)
	f.packet(entry, &passthrough.Packet{Key: key, Flags: core.TCPSyn})
	at := f.reached
	if at < 0 {
		return -1
	}
	f.gates[at].FromServer(f.now, &passthrough.Packet{Key: key, Flags: core.TCPSyn | core.TCPAck, Seq: seq})
	return f.send(entry, key)
}

func (f *forwarding) send(entry int, key core.FlowKey) int {
	f.now = f.now.Add(packetGap)
	for range sends {
		f.dispatchers[entry].Sweep(f.now)
		f.packet(entry, &passthrough.Packet{Key: key, Flags: core.TCPAck, Ack: 5001})
		if f.reached >= 0 {
			break
		}
		f.now = f.now.Add(repeatAfter)
	}
	return f.reached
}

func (f *forwarding) packet(entry int, p *passthrough.Packet) {
	f.reached = -1
	f.dispatch(entry, f.dispatchers[entry].Handle(f.now, p))
}

// dispatch carries out what a Dispatcher has decided, and counts the messages.
func (f *forwarding) dispatch(entry int, actions []passthrough.Dispatch) {
	for _, a := range append([]passthrough.Dispatch(nil), actions...) {
		if a.Kind != passthrough.DispatchForward && a.Kind != passthrough.DispatchLookup && a.Kind != passthrough.DispatchQuery {
			continue
		}
		f.count++
		number := a.To.Addr().As4()
		i := int(number[2])<<8 | int(number[3])
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(entry)}), 9000)
		if a.Kind == passthrough.DispatchQuery {
			f.carryOut(entry, i, f.gates[i].HandleQuery(f.now, from, a.Packet.Key))
			continue
		}
		f.carryOut(entry, i, f.gates[i].FromEntry(f.now, from, a.Kind == passthrough.DispatchLookup, 1, a.Packet))
	}
}

func (f *forwarding) carryOut(entry, companion int, actions []passthrough.GateAction) {
	for _, a := range append([]passthrough.GateAction(nil), actions...) {
		switch a.Kind {
		case passthrough.GateDeliver:
			f.reached = companion
		case passthrough.GateRefuse:
			f.count++
			f.dispatch(entry, f.dispatchers[entry].HandleRefused(f.now, companionAt(companion), a.Reason, a.Packet))
		case passthrough.GateNotHeld:
			f.count++
			f.dispatch(entry, f.dispatchers[entry].HandleNotHeld(f.now, companionAt(companion), a.Packet))
		case passthrough.GateNote:
			f.count++
			f.dispatch(entry, f.dispatchers[entry].HandleNote(f.now, companionAt(companion), a.Note))
		}
	}
}

func (f *forwarding) messages() int { return f.count }
