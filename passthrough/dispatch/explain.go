package dispatch

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"zinniapulley.dev/capacity"
	"zinniapulley.dev/core"
	"zinniapulley.dev/locality"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/route"
)

// Result is what became of a companion in the choice for a flow. Its string is part of
// answers to operators.
type Result uint8

// The results.
const (
	// Excluded: it admits no new flows, is in a data centre that is out of service, or was
	// tried for this flow.
	Excluded Result = iota
	// Busy: it has just refused a flow for want of time.
	Busy
	// Beyond: it isn't among the first of the flow's order.
	Beyond
	// Withheld: the plan lets the flow stay in another data centre.
	Withheld
	// Compared: it was compared with the chosen one.
	Compared
	// Chosen: it gets the flow.
	Chosen
)

// String returns the result in words.
func (r Result) String() string {
	return [...]string{"excluded", "busy", "not among the first", "withheld by the plan", "compared", "chosen"}[min(r, Chosen)]
}

// Candidate is a companion as the choice for a flow saw it.
type Candidate struct {
	Status passthrough.Status
	// Age is the age of the last report. Assigned is how many flows are assumed to have been
	// sent there without being reported yet, and Waiting how many requests wait there.
	Age               time.Duration
	Assigned, Waiting int
	// Expected is the expected wait and run time of one more request, and Way the network
	// delay there and back; zero if not measured.
	Expected, Way time.Duration
	// Load is what the choice compares, penalties included.
	Load   float64
	Result Result
}

// Explanation is where a flow's opening packet would go, and why.
type Explanation struct {
	Key        core.FlowKey
	DataCentre core.DataCentre
	Version    uint64
	// Route and Service are empty where there is no route.
	Route   string
	Service core.ServiceName
	// Decision and Destination are what the plan says about the flow, and Share is the
	// service's share of flows that may leave.
	Decision    locality.Decision
	Destination core.DataCentre
	Share       float64
	// Candidates lists the companions of the service, those compared first.
	Candidates []Candidate
	Kind       Kind
	Reason     passthrough.Reason
	To         netip.AddrPort
	Placement  Placement
	// Room holds the figures by which no backend server can start the flow in time, nil
	// otherwise.
	Room *capacity.Room
}

// Explain returns where a first opening packet of the flow would go now. It judges like
// Handle and changes no state.
func (d *Dispatcher) Explain(now time.Time, key core.FlowKey) Explanation {
	p := &passthrough.Packet{Key: key, Flags: core.TCPSyn}
	flow, known := d.flows[key]
	if !known {
		flow = &cachedFlow{}
	}
	v := d.judgeOpening(now, p, flow)
	e := Explanation{Key: key, DataCentre: d.dataCentre, Version: d.Version(), Kind: v.kind, Reason: v.reason, To: v.to, Room: v.room}
	r := d.routeOf(key)
	if r == nil {
		return e
	}
	e.Route, e.Service = r.Name, r.Shares[serviceFor(key, r.Shares)].Service
	if v.chosen != nil {
		e.Service = v.chosen.status.Service
		e.Placement = d.placementOf(now, key, v.chosen)
	}
	e.Decision, e.Destination = d.decide(now, e.Service, key)
	if e.Decision != locality.Unplanned {
		e.Share, _ = d.leaving.planner.Share(e.Service)
	}
	e.Candidates = d.explainCandidates(now, p, flow, r, &e)
	return e
}

// explainCandidates returns the companions of the service with what became of each.
func (d *Dispatcher) explainCandidates(now time.Time, p *passthrough.Packet, flow *cachedFlow, r *route.Route, e *Explanation) []Candidate {
	first, _ := d.candidates(now, p, flow, r, e.Service)
	choice := d.offer(now, p, r, e.Service, first)
	var candidates []Candidate
	for _, c := range d.companionsOf(now, e.Service) {
		candidate := Candidate{
			Status: c.status, Age: now.Sub(c.lastSeen), Assigned: c.extra(), Waiting: c.pace.Waiting,
			Expected: c.server(c.service.run).ExpectedTime(c.extra()), Way: c.way.delay(), Load: d.load(now, c),
		}
		switch {
		case e.Reason == passthrough.ReasonChosen && e.To == c.status.Companion:
			candidate.Result = Chosen
		case slices.Contains(choice.companions, c):
			candidate.Result = Compared
		case slices.Contains(first, c):
			candidate.Result = Withheld
		case slices.Contains(d.ranked, c):
			candidate.Result = Beyond
		case d.canAdmit(c, flow):
			candidate.Result = Busy
		}
		candidates = append(candidates, candidate)
	}
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Result, a.Result), cmp.Compare(a.Load, b.Load), a.Status.Companion.Compare(b.Status.Companion))
	})
	return candidates
}
