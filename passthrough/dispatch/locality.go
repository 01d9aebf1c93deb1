package dispatch

import (
	"iter"
	"time"

	"zinniapulley.dev/capacity"
	"zinniapulley.dev/core"
	"zinniapulley.dev/locality"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/route"
)

const (
	// planInterval is the least time between two updates of the plans: the time between
	// two reports of a companion. Where reports are rarer, updates are too.
	planInterval = passthrough.ReportInterval
	// silentIntervals is the age of the newest report from a data centre, in report
	// intervals, beyond which the data centre counts as unreachable. The reports of one
	// companion may be lost, those of all aren't.
	silentIntervals = 1.5
	// assumedWay is the time that the network adds to an answer from a data centre to which
	// no flow has gone yet: two round trips of 5 ms.
	assumedWay = 10 * time.Millisecond
)

// Placement is whether a new flow stays in the data centre of its entry instance, and why.
// Its string is a log and metric value.
type Placement uint8

const (
	// PlacementNone: the action places no new flow.
	PlacementNone Placement = iota
	// StayedPlanned: the plan lets the flow stay.
	StayedPlanned
	// StayedLoad: the flow may leave, but the load here was lower.
	StayedLoad
	// StayedUnplanned: there is no plan, and the load here was lower.
	StayedUnplanned
	// LeftPlanned: the plan lets the flow leave.
	LeftPlanned
	// LeftNoRoom: the plan lets the flow stay, but no backend server here can admit it, or
	// start it in time.
	LeftNoRoom
	// LeftUnplanned: there is no plan, and the load here was higher.
	LeftUnplanned

	// PlacementCount is the number of placements, for arrays of counters.
	PlacementCount
)

// String returns the placement in words.
func (p Placement) String() string {
	return [PlacementCount]string{
		"none", "stayed.planned", "stayed.load", "stayed.unplanned", "left.planned", "left.noRoom", "left.unplanned",
	}[min(p, PlacementCount-1)]
}

// leaving is the state of the plans which flows may leave the data centre.
type leaving struct {
	// planner is nil if leaving isn't planned.
	planner   *locality.Planner
	plannedAt time.Time
	// interval is the longest time between two reports of a companion.
	interval time.Duration
	changes  []locality.Change
	// newest is when the newest report came from each data centre.
	newest map[core.DataCentre]time.Time
	// unreachable counts the companions that leave opening packets without response.
	unreachable map[serviceSite]int
	// sites and offered are reused by the updates and the choices.
	sites   []locality.Site
	offered []*companion
}

// serviceSite is a service in a data centre.
type serviceSite struct {
	service    core.ServiceName
	dataCentre core.DataCentre
}

// PlanLeaving makes this entry instance plan which flows leave its data centre. The cost
// is the time that an answer must gain.
func (d *Dispatcher) PlanLeaving(cost time.Duration) {
	d.leaving = leaving{
		planner: locality.New(cost), interval: planInterval,
		newest: make(map[core.DataCentre]time.Time), unreachable: make(map[serviceSite]int),
	}
}

// Shares iterates over the planned shares of the services' new flows that may leave.
func (d *Dispatcher) Shares() iter.Seq2[core.ServiceName, float64] {
	return func(yield func(core.ServiceName, float64) bool) {
		if d.leaving.planner != nil {
			d.leaving.planner.Shares(yield)
		}
	}
}

// PlanChanges returns the changes of the plans since the last call.
func (d *Dispatcher) PlanChanges() []locality.Change {
	changes := d.leaving.changes
	d.leaving.changes = nil
	return changes
}

// updatePlans updates the plans at intervals. After a start or a pause there are none until
// reports have come from all companions.
func (d *Dispatcher) updatePlans(now time.Time) {
	l := &d.leaving
	if l.planner == nil || d.table == nil {
		return
	}
	if !d.discovered(now) {
		l.planner.Reset()
		return
	}
	if now.Sub(l.plannedAt) >= l.interval {
		d.planServices(now)
	}
	d.withdrawSilent(now)
}

// planServices updates the plan of each service.
func (d *Dispatcher) planServices(now time.Time) {
	l := &d.leaving
	l.plannedAt, l.interval = now, planInterval
	clear(l.unreachable)
	for _, c := range d.companions {
		l.interval = max(l.interval, c.interval())
		if c.unreachable(now) {
			l.unreachable[serviceSite{c.status.Service, c.status.DataCentre}]++
		}
	}
	d.planSites(now)
}

// withdrawSilent ends what leaves to data centres from which no report comes, without
// waiting for the next update.
func (d *Dispatcher) withdrawSilent(now time.Time) {
	l := &d.leaving
	if !l.planner.Planned() {
		return
	}
	clear(l.newest)
	for _, c := range d.companions {
		if c.lastSeen.After(l.newest[c.status.DataCentre]) {
			l.newest[c.status.DataCentre] = c.lastSeen
		}
	}
	limit := time.Duration(silentIntervals*float64(l.interval)) + reportJitter
	for name, seen := range l.newest {
		if now.Sub(seen) > limit {
			l.planner.Withdraw(name)
		}
	}
}

// planned reports whether the plans are recent. Packets that arrive right after a pause are
// handled before the plans end.
func (d *Dispatcher) planned(now time.Time) bool {
	l := &d.leaving
	return l.planner != nil && now.Sub(l.plannedAt) <= max(pauseLimit, reportsMissed*l.interval)
}

// decide returns what the plans say about a flow, and the data centre that it may leave to.
func (d *Dispatcher) decide(now time.Time, service core.ServiceName, key core.FlowKey) (locality.Decision, core.DataCentre) {
	if !d.planned(now) {
		return locality.Unplanned, ""
	}
	return d.leaving.planner.Decide(service, hashOf(key))
}

// offered holds the companions that a new flow is offered, the best of them, nil for none,
// and its load.
type offered struct {
	companions []*companion
	best       *companion
	load       float64
}

// compare returns the companions with the best of them.
func (d *Dispatcher) compare(now time.Time, companions []*companion) offered {
	best, load := d.leastLoaded(now, companions)
	return offered{companions: companions, best: best, load: load}
}

// offer returns which of the candidates a new flow is offered: all without a plan, those of
// its own data centre if it stays, and also those of the planned one if it may leave. They
// remain among the candidates that a lookup asks first. A flow that stays is offered
// others once none here is in good health and can start it in time. d.local must hold all
// that can admit the flow here. The result is valid until the next call.
func (d *Dispatcher) offer(now time.Time, p *passthrough.Packet, r *route.Route, service core.ServiceName, candidates []*companion) offered {
	decision, destination := d.decide(now, service, p.Key)
	switch decision {
	case locality.Stay:
		own := d.compare(now, d.within(candidates, func(name core.DataCentre) bool { return name == d.dataCentre }))
		if d.canServe(now, p, r, own) {
			return own
		}
		// Among equal ones the first in the flow's order is chosen, so that an explanation
		// names the same companion as the choice.
		rank(d.local, p.Key)
		own = d.compare(now, d.local)
		if d.canServe(now, p, r, own) {
			return own
		}
	case locality.Leave:
		both := d.within(candidates, func(name core.DataCentre) bool { return name == d.dataCentre || name == destination })
		if len(both) == min(len(d.local), localCount) {
			// None of the candidates is in the planned data centre.
			both = d.within(candidates, func(name core.DataCentre) bool {
				return name == d.dataCentre || d.leaving.planner.Accepts(service, name)
			})
		}
		compared := d.compare(now, both)
		if d.canServe(now, p, r, compared) {
			return compared
		}
	case locality.Unplanned:
	}
	return d.compare(now, candidates)
}

// within returns the candidates in the data centres that match.
func (d *Dispatcher) within(candidates []*companion, match func(core.DataCentre) bool) []*companion {
	d.leaving.offered = d.leaving.offered[:0]
	for _, c := range candidates {
		if match(c.status.DataCentre) {
			d.leaving.offered = append(d.leaving.offered, c)
		}
	}
	return d.leaving.offered
}

// canServe reports whether the best of the companions is in good health and, as far as is
// known, can start the flow in time.
func (d *Dispatcher) canServe(now time.Time, p *passthrough.Packet, r *route.Route, o offered) bool {
	return o.best != nil && o.load < stalePenalty && d.mayStart(now, p, r, o.best)
}

// placementOf returns the placement of a flow at the companion.
func (d *Dispatcher) placementOf(now time.Time, key core.FlowKey, c *companion) Placement {
	decision, _ := d.decide(now, c.status.Service, key)
	stays := c.status.DataCentre == d.dataCentre
	switch {
	case decision == locality.Unplanned && stays:
		return StayedUnplanned
	case decision == locality.Unplanned:
		return LeftUnplanned
	case decision == locality.Stay && stays:
		return StayedPlanned
	case decision == locality.Stay:
		return LeftNoRoom
	case stays:
		return StayedLoad
	default:
		return LeftPlanned
	}
}

// planSites updates the plan of each service with the capacity state.
func (d *Dispatcher) planSites(now time.Time) {
	l := &d.leaving
	sites := d.capacitySites(now, false)
	for len(sites) > 0 {
		service, count := sites[0].Service, 1
		for count < len(sites) && sites[count].Service == service {
			count++
		}
		own := locality.Site{DataCentre: d.dataCentre}
		l.sites = l.sites[:0]
		for i := range sites[:count] {
			site := d.figures(&sites[i])
			switch {
			case site.DataCentre == d.dataCentre:
				own = site
			case 2*l.unreachable[serviceSite{service, site.DataCentre}] <= sites[i].Servers:
				// Most of the servers counted can be reached.
				l.sites = append(l.sites, site)
			}
		}
		change, matters := l.planner.Update(now, service, own, l.sites)
		if matters {
			l.changes = append(l.changes, change)
		}
		sites = sites[count:]
	}
}

// figures returns the figures of a service in a data centre for its plan.
func (d *Dispatcher) figures(s *capacity.Site) locality.Site {
	site := locality.Site{
		DataCentre: s.DataCentre, Slots: s.Slots, Running: s.Running, Waiting: s.Waiting, Rate: s.Rate, Expected: s.Expected,
		Age: s.Age, AgeLimit: reportsMissed * d.leaving.interval,
	}
	if s.DataCentre == d.dataCentre {
		site.Objective = d.objective(s.Service)
		return site
	}
	site.Way = assumedWay
	if s.Way > 0 {
		site.Way = tripsPerRequest * max(s.Way-d.ownWay.delay(), 0)
	}
	return site
}

// objective returns the shortest objective of the routes that the service serves, zero if
// there is none.
func (d *Dispatcher) objective(service core.ServiceName) time.Duration {
	shortest := time.Duration(0)
	for i := range d.table.View.Routes {
		r := &d.table.View.Routes[i]
		if r.Allows(service) && r.Objective > 0 && (shortest == 0 || r.Objective < shortest) {
			shortest = r.Objective
		}
	}
	return shortest
}
