package locality

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"zinniapulley.dev/core"
)

const (
	// fullLoad is the load, in requests per slot, beyond which a data centre has a
	// shortfall: above it, the wait of Poisson arrivals grows faster than the load.
	fullLoad = 0.9
	// roomLoad is the load below which flows return.
	roomLoad = 0.7
	// reserveLoad is the load beyond which a data centre offers nothing to others, and
	// limitLoad the load beyond which flows of others are withdrawn from it. Between the
	// two the shares stay, so that neither side reacts to the other's reaction.
	reserveLoad = 0.7
	limitLoad   = 0.8
	// raiseLimit and lowerLimit are the most that a share changes in one update. A
	// shortfall costs callers their answers; flows that return late cost bytes.
	raiseLimit = 0.2
	lowerLimit = 0.03
	// stayingLimit bounds a lower share further, to a part of the flows that stay: where
	// few stay, a step of 0.03 of all flows would multiply the load.
	stayingLimit = 0.1
	// offeredPart is the part of another data centre's room that is taken in one update.
	// The next reports show the effect of the last update only in part.
	offeredPart = 0.3
	// withdrawnPart is the part of another data centre's excess over limitLoad that is
	// withdrawn in one update. All that rely on it withdraw at the same time.
	withdrawnPart = 0.15
	// overloadPart is the same for the excess over one request per slot, at which that data
	// centre's own callers wait.
	overloadPart = 0.5
	// smoothing is the weight of the newest load. A data centre with 30 slots at a load
	// of 0.7 varies by 0.15.
	smoothing = 0.5
	// maxShare is the greatest share. The flows that stay show when the data centre has
	// room again.
	maxShare = 0.95
	// onTime is the part of the objective below which the expected time must be for flows
	// to return.
	onTime = 0.75
	// retreatCost is the part of the operator's cost that flows that leave must still gain.
	retreatCost = 0.5
	// loggedStep is the least change of a share that is reported.
	loggedStep = 0.05
	// pauseLimit is the time between two updates beyond which a plan isn't continued.
	pauseLimit = time.Second
)

// Site holds the figures of a service's backend servers in one data centre.
type Site struct {
	DataCentre              core.DataCentre
	Slots, Running, Waiting int
	// Rate is how many requests a second the backend servers sustain.
	Rate float64
	// Objective is the shortest time in which the service's callers expect an answer; zero
	// if unknown. Only that of the own data centre is used.
	Objective time.Duration
	// Way is the time that the network adds to an answer from there.
	Way time.Duration
	// Expected is the expected wait and run time of one more request.
	Expected time.Duration
	// Age is the age of the oldest report used, and AgeLimit the age beyond which the
	// figures aren't used.
	Age, AgeLimit time.Duration
}

// known reports whether the figures are complete and recent.
func (s *Site) known() bool {
	return s.Slots > 0 && s.Rate > 0 && s.Expected > 0 && s.Age <= s.AgeLimit
}

// load returns the requests per slot.
func (s *Site) load() float64 { return float64(s.Running) / float64(s.Slots) }

// objective returns the objective in nanoseconds.
func (s *Site) objective() float64 {
	if s.Objective <= 0 {
		return math.Inf(1)
	}
	return float64(s.Objective)
}

// Decision is what a plan says about a flow.
type Decision uint8

const (
	// Unplanned: there is no plan for the service.
	Unplanned Decision = iota
	// Stay: the flow stays while its data centre can admit it.
	Stay
	// Leave: the flow may leave.
	Leave
)

// String returns the decision in words.
func (d Decision) String() string {
	return [...]string{"unplanned", "stay", "leave"}[min(d, Leave)]
}

// Change is a change of a service's share.
type Change struct {
	Service core.ServiceName
	// From and To are the shares before and after.
	From, To float64
	// Planned is set if there is a plan after the change.
	Planned bool
	// Load is the smoothed load of the own data centre, in requests per slot.
	Load float64
	// Own holds the figures of the own data centre, and Best those of the data centre
	// where leaving gains most; Best is empty if there is none.
	Own, Best Site
}

// Planner holds the plans of one entry instance.
type Planner struct {
	cost  time.Duration
	plans map[core.ServiceName]*plan
}

// plan is the plan of one service.
type plan struct {
	active    bool
	updatedAt time.Time
	load      float64
	// share is the sum of the destinations' shares.
	share float64
	// destinations are ordered by name, so that a flow has the same one at all entry
	// instances.
	destinations []destination
	reported     float64
	reportedPlan bool
}

// destination is another data centre.
type destination struct {
	site Site
	// share is the part of all flows that may leave to it.
	share float64
	// load is its smoothed load.
	load  float64
	known bool
}

// New returns a Planner without plans. The cost is the time that an answer must gain for
// its flow to leave.
func New(cost time.Duration) *Planner {
	return &Planner{cost: cost, plans: make(map[core.ServiceName]*plan)}
}

// Update continues the plan of a service with new figures. others lists the other data
// centres that are in service and reachable; one that isn't listed gets no flows. It
// reports whether the share has changed by a step that matters since the last one reported.
func (p *Planner) Update(now time.Time, service core.ServiceName, own Site, others []Site) (Change, bool) {
	current := p.plans[service]
	if current == nil {
		current = &plan{}
		p.plans[service] = current
	}
	if now.Sub(current.updatedAt) > max(pauseLimit, own.AgeLimit) {
		current.clear()
	}
	current.updatedAt = now
	if !own.known() {
		current.clear()
		return current.change(service, own, Site{})
	}
	current.load = smooth(current.load, own.load(), current.active)
	current.active = true
	current.see(others)
	current.lower(own, p.cost)
	best := current.raise(own, p.cost)
	return current.change(service, own, best)
}

// clear ends the plan.
func (c *plan) clear() {
	c.active, c.load, c.share, c.destinations = false, 0, 0, c.destinations[:0]
}

func smooth(mean, sample float64, known bool) float64 {
	if !known {
		return sample
	}
	return mean + smoothing*(sample-mean)
}

// see records the figures of the other data centres. One that isn't listed, or whose
// figures aren't known, gets no flows.
func (c *plan) see(others []Site) {
	for i := range c.destinations {
		c.destinations[i].known = false
	}
	for i := range others {
		if !others[i].known() {
			continue
		}
		d := c.destination(others[i].DataCentre)
		d.load = smooth(d.load, others[i].load(), d.site.Slots > 0)
		d.site, d.known = others[i], true
	}
	kept := c.destinations[:0]
	for _, d := range c.destinations {
		if d.known {
			kept = append(kept, d)
		}
	}
	c.destinations = kept
	c.sum()
}

// destination returns the destination of the given name, which it adds if needed.
func (c *plan) destination(name core.DataCentre) *destination {
	for i := range c.destinations {
		if c.destinations[i].site.DataCentre == name {
			return &c.destinations[i]
		}
	}
	at, _ := slices.BinarySearchFunc(c.destinations, name, func(d destination, name core.DataCentre) int {
		return cmp.Compare(d.site.DataCentre, name)
	})
	c.destinations = slices.Insert(c.destinations, at, destination{site: Site{DataCentre: name}})
	return &c.destinations[at]
}

func (c *plan) sum() {
	c.share = 0
	for i := range c.destinations {
		c.share += c.destinations[i].share
	}
}

// demand returns the requests a second of the data centre's callers. Beyond its load limit
// that is at least what the backend servers sustain.
func (c *plan) demand(own Site) float64 {
	return max(min(c.load, 1)*own.Rate/(1-c.share), 1)
}

// gain returns the time that an answer gains at the destination.
func (d *destination) gain(own Site) time.Duration {
	return own.Expected - d.site.Expected - d.site.Way
}

// lower lowers the shares of the destinations that are loaded too much themselves or where
// leaving gains too little, and of all if the data centre has room again.
func (c *plan) lower(own Site, cost time.Duration) {
	if c.share == 0 {
		return
	}
	demand, before := c.demand(own), c.share
	limit := min(lowerLimit, stayingLimit*(1-before))
	hasRoom := c.load < roomLoad && float64(own.Expected) <= onTime*own.objective()
	for i := range c.destinations {
		d := &c.destinations[i]
		step := 0.
		if hasRoom || c.gainOfLeaving(own, d) < time.Duration(retreatCost*float64(cost)) {
			step = limit * d.share / before
		}
		if d.load > limitLoad {
			excess := withdrawnPart*(d.load-limitLoad) + overloadPart*max(d.load-1, 0)
			step = max(step, excess*d.site.Rate/demand)
		}
		d.share = max(d.share-step, 0)
	}
	c.sum()
}

// gainOfLeaving returns what flows gain that keep leaving to the destination. If all
// returned, and the data centre couldn't sustain that, their wait would grow up to the
// objective, however short it is while they leave.
func (c *plan) gainOfLeaving(own Site, d *destination) time.Duration {
	if c.load > 1-c.share {
		own.Expected = max(own.Expected, own.Objective)
	}
	return d.gain(own)
}

// raise raises the shares of the destinations where leaving pays, in proportion to their
// room, if the data centre has a shortfall. It returns the figures of the destination with
// the greatest gain.
func (c *plan) raise(own Site, cost time.Duration) Site {
	var best Site
	bestGain := time.Duration(math.MinInt64)
	room := 0.
	for i := range c.destinations {
		d := &c.destinations[i]
		if d.gain(own) > bestGain {
			best, bestGain = d.site, d.gain(own)
		}
		room += d.room(own, cost)
	}
	step := min(c.wanted(own)-c.share, raiseLimit)
	if step <= 0 || room == 0 {
		return best
	}
	// Each of the other data centres may rely on the same room: each takes its part of it.
	step = min(step, offeredPart*room/float64(len(c.destinations))/c.demand(own))
	for i := range c.destinations {
		d := &c.destinations[i]
		d.share += step * d.room(own, cost) / room
	}
	c.sum()
	return best
}

// wanted returns the share that leaves the data centre what it can answer within the
// objective; the current share if it has no shortfall.
func (c *plan) wanted(own Site) float64 {
	switch {
	case float64(own.Expected) > own.objective():
		return maxShare
	case c.load > fullLoad:
		return min(1-fullLoad/c.load*(1-c.share), maxShare)
	default:
		return c.share
	}
}

// room returns the requests a second that the destination can take, zero if leaving
// doesn't pay.
func (d *destination) room(own Site, cost time.Duration) float64 {
	if d.gain(own) <= cost || d.load >= reserveLoad {
		return 0
	}
	return (reserveLoad - d.load) * d.site.Rate
}

// change returns the change since the last one reported, and whether it matters.
func (c *plan) change(service core.ServiceName, own, best Site) (Change, bool) {
	matters := math.Abs(c.share-c.reported) >= loggedStep ||
		(c.share == 0) != (c.reported == 0) || c.active != c.reportedPlan
	if !matters {
		return Change{}, false
	}
	change := Change{Service: service, From: c.reported, To: c.share, Planned: c.active, Load: c.load, Own: own, Best: best}
	c.reported, c.reportedPlan = c.share, c.active
	return change, true
}

// Withdraw ends what leaves to a data centre, until an update lists it again.
func (p *Planner) Withdraw(name core.DataCentre) {
	for _, c := range p.plans {
		for i := range c.destinations {
			if c.destinations[i].site.DataCentre == name {
				c.destinations[i].share = 0
			}
		}
		c.sum()
	}
}

// Reset ends all plans.
func (p *Planner) Reset() {
	for _, c := range p.plans {
		c.clear()
	}
}

// Decide returns what the service's plan says about a flow of the given hash, and the data
// centre that it may leave to. Raising a share changes no flow from Leave to Stay.
func (p *Planner) Decide(service core.ServiceName, hash uint64) (Decision, core.DataCentre) {
	c := p.plans[service]
	if c == nil || !c.active {
		return Unplanned, ""
	}
	point := fraction(hash)
	if point >= c.share {
		return Stay, ""
	}
	for i := range c.destinations {
		point -= c.destinations[i].share
		if point < 0 {
			return Leave, c.destinations[i].site.DataCentre
		}
	}
	return Stay, ""
}

// MayLeave reports whether a flow of the given hash may leave its data centre. Without a
// plan it may.
func (p *Planner) MayLeave(service core.ServiceName, hash uint64) bool {
	decision, _ := p.Decide(service, hash)
	return decision != Stay
}

// Accepts reports whether flows of the service may leave to the data centre.
func (p *Planner) Accepts(service core.ServiceName, name core.DataCentre) bool {
	c := p.plans[service]
	if c == nil {
		return false
	}
	for i := range c.destinations {
		if c.destinations[i].site.DataCentre == name {
			return c.destinations[i].share > 0
		}
	}
	return false
}

// Share returns the part of the service's flows that may leave, and whether it is planned.
func (p *Planner) Share(service core.ServiceName) (float64, bool) {
	c := p.plans[service]
	if c == nil {
		return 0, false
	}
	return c.share, c.active
}

// Planned reports whether any flow may leave by a plan.
func (p *Planner) Planned() bool {
	for _, c := range p.plans {
		if c.share > 0 {
			return true
		}
	}
	return false
}

// Shares iterates over the shares of the services that were ever planned.
func (p *Planner) Shares(yield func(core.ServiceName, float64) bool) {
	for service, c := range p.plans {
		if !yield(service, c.share) {
			return
		}
	}
}

// fraction maps a hash to a number from 0 to below 1, by other bits than the order of the
// candidates.
func fraction(hash uint64) float64 {
	high, low := bits.Mul64(hash^0x9e3779b97f4a7c15, 0xd6e8feb86659fd93)
	return float64((high^low)>>11) / (1 << 53)
}
