package placement

import (
	"cmp"
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// Config limits how fast tables change.
type Config struct {
	// MovesPerSecond is how many buckets of one service may change in a second.
	// Buckets without an eligible server in their chain are exempt.
	MovesPerSecond int
	// TolerancePercent is how far a backend server's bucket count may deviate
	// from its quota, in percent of the quota, before rebalancing starts.
	TolerancePercent int
	// Ramp is how long a data centre that returns to service takes to regain
	// its full weight, in RampSteps steps.
	Ramp time.Duration
}

// RampSteps is the number of steps in which a data centre regains its weight.
const RampSteps = 12

// DefaultConfig returns the limits that control uses.
func DefaultConfig() Config {
	return Config{MovesPerSecond: 64, TolerancePercent: 5, Ramp: time.Minute}
}

// Placement holds the tables of all services and decides how they change. It
// is deterministic: the same events at the same times and revisions give the
// same tables and decisions, so that it can be replicated. An event handled
// twice changes nothing the second time.
//
// A change of a backend server or a data centre takes effect with the view that
// publishes it, because lookups skip unreachable backend servers. The tables
// follow at a bounded rate.
type Placement struct {
	config      Config
	servers     map[core.BackendServerID]*server
	members     map[core.ServiceID]members
	dataCentres map[core.DataCentre]*dataCentre
	services    map[core.ServiceID]*service
}

// server is the record of one backend server.
type server struct {
	core.BackendServer
	// barredSince is the revision from which it accepts no new flows, if not
	// eligible.
	barredSince core.Revision
	eligible    bool
}

// members lists the backend servers of a service in the order of their IDs.
type members []*server

func (m members) with(added *server) members {
	at, _ := slices.BinarySearchFunc(m, added.ID, compareID)
	return slices.Insert(m, at, added)
}

func (m members) without(id core.BackendServerID) members {
	at, found := slices.BinarySearchFunc(m, id, compareID)
	if !found {
		return m
	}
	return slices.Delete(m, at, at+1)
}

func compareID(s *server, id core.BackendServerID) int {
	return cmp.Compare(s.ID, id)
}

// dataCentre is the record of one data centre.
type dataCentre struct {
	in bool
	// returned is when it last returned to service; zero if it never did.
	returned time.Time
}

// New returns a placement without services.
func New(config Config) *Placement {
	return &Placement{
		config:      config,
		servers:     make(map[core.BackendServerID]*server),
		members:     make(map[core.ServiceID]members),
		dataCentres: make(map[core.DataCentre]*dataCentre),
		services:    make(map[core.ServiceID]*service),
	}
}

// Handle applies one event, whose effect is published with the given revision,
// and returns the resulting decisions, ordered by service and bucket.
func (p *Placement) Handle(now time.Time, revision core.Revision, event Event) []Decision {
	switch e := event.(type) {
	case ServiceAdded:
		return p.serviceAdded(now, revision, e)
	case ServiceRemoved:
		delete(p.services, e.Service)
	case ServerChanged:
		return p.serverChanged(now, revision, e)
	case ServerRemoved:
		return p.serverRemoved(now, revision, e)
	case DataCentreChanged:
		return p.dataCentreChanged(now, revision, e)
	case BucketsEmpty:
		return p.bucketsEmpty(now, revision, e)
	case Tick:
		return p.reconcileAll(now, revision)
	}
	return nil
}

// Deadline returns when a Tick is due, and false if no change is waiting.
func (p *Placement) Deadline() (time.Time, bool) {
	var due time.Time
	for _, s := range p.services {
		if s.waiting && (due.IsZero() || s.nextMove.Before(due)) {
			due = s.nextMove
		}
	}
	return due, !due.IsZero()
}

// Table returns a copy of a service's table, and false if the service is unknown.
func (p *Placement) Table(id core.ServiceID) (core.Table, bool) {
	s, known := p.services[id]
	if !known {
		return core.Table{}, false
	}
	return s.pool.table(id), true
}

// Tables returns the tables of all services, in the order of their IDs.
func (p *Placement) Tables() []core.Table {
	tables := make([]core.Table, 0, len(p.services))
	for _, s := range p.sortedServices() {
		tables = append(tables, s.pool.table(s.id))
	}
	return tables
}

func (p *Placement) serviceAdded(now time.Time, revision core.Revision, e ServiceAdded) []Decision {
	_, known := p.services[e.Service]
	if known {
		return nil
	}
	s := newService(e.Service, BucketCount(e.Targets))
	p.services[e.Service] = s
	return p.reconcile(now, revision, s)
}

func (p *Placement) serverChanged(now time.Time, revision core.Revision, e ServerChanged) []Decision {
	changed, known := p.servers[e.Server.ID]
	if known && changed.BackendServer == e.Server {
		return nil
	}
	if !known {
		changed = &server{barredSince: revision}
		p.servers[e.Server.ID] = changed
	}
	before := changed.Service
	p.members[before] = p.members[before].without(e.Server.ID)
	changed.BackendServer = e.Server
	p.members[e.Server.Service] = p.members[e.Server.Service].with(changed)
	p.updateEligibility(changed, revision)
	decisions := p.reconcileService(now, revision, e.Server.Service)
	if known && before != e.Server.Service {
		decisions = append(decisions, p.reconcileService(now, revision, before)...)
	}
	return decisions
}

func (p *Placement) serverRemoved(now time.Time, revision core.Revision, e ServerRemoved) []Decision {
	removed, known := p.servers[e.Server]
	if !known {
		return nil
	}
	delete(p.servers, e.Server)
	p.members[removed.Service] = p.members[removed.Service].without(e.Server)
	return p.reconcileService(now, revision, removed.Service)
}

func (p *Placement) dataCentreChanged(now time.Time, revision core.Revision, e DataCentreChanged) []Decision {
	dc, known := p.dataCentres[e.Name]
	if known && dc.in == e.In {
		return nil
	}
	if !known {
		dc = &dataCentre{}
		p.dataCentres[e.Name] = dc
	}
	if known && e.In {
		dc.returned = now
	}
	dc.in = e.In
	for _, s := range p.servers {
		p.updateEligibility(s, revision)
	}
	return p.reconcileAll(now, revision)
}

// updateEligibility sets whether a backend server may accept new flows.
func (p *Placement) updateEligibility(s *server, revision core.Revision) {
	eligible := p.ineligibleReason(s) == 0
	if s.eligible && !eligible {
		s.barredSince = revision
	}
	s.eligible = eligible
}

// ineligibleReason returns why a backend server accepts no new flows, or zero.
func (p *Placement) ineligibleReason(s *server) Reason {
	switch {
	case s == nil || s.State == core.BackendLost:
		return ReasonOwnerLost
	case !p.dataCentreIn(s.DataCentre):
		return ReasonDataCentreOut
	case s.State != core.BackendServing:
		return ReasonDraining
	case s.Share <= 0 || s.Capacity.Connections <= 0:
		return ReasonNoWeight
	default:
		return 0
	}
}

// removable reports whether a backend server has no flows to keep: it is unknown
// or lost, or its data centre is out of service.
func (p *Placement) removable(id core.BackendServerID) bool {
	reason := p.ineligibleReason(p.servers[id])
	return reason == ReasonOwnerLost || reason == ReasonDataCentreOut
}

func (p *Placement) dataCentreIn(name core.DataCentre) bool {
	dc, known := p.dataCentres[name]
	return known && dc.in
}

// eligibleServers returns the service's backend servers that may accept new flows,
// with their current weights, in the order of their IDs.
func (p *Placement) eligibleServers(now time.Time, id core.ServiceID) []weightedServer {
	var list []weightedServer
	for _, s := range p.members[id] {
		if s.eligible {
			list = append(list, weightedServer{id: s.ID, dataCentre: s.DataCentre, weight: p.weight(now, s)})
		}
	}
	return list
}

// weight returns a backend server's weight: capacity times share, reduced while
// its data centre is being ramped up.
func (p *Placement) weight(now time.Time, s *server) int64 {
	full := int64(s.Capacity.Connections) * int64(s.Share)
	step := p.rampStep(now, p.dataCentres[s.DataCentre])
	return max(1, full*int64(step)/RampSteps)
}

// rampStep returns how far a data centre has regained its weight, from 1 to
// RampSteps.
func (p *Placement) rampStep(now time.Time, dc *dataCentre) int {
	if dc.returned.IsZero() || p.config.Ramp <= 0 {
		return RampSteps
	}
	step := int(now.Sub(dc.returned)*RampSteps/p.config.Ramp) + 1
	return min(max(step, 1), RampSteps)
}

// nextRampStep returns when a data centre next gains weight, and false if all
// have their full weight.
func (p *Placement) nextRampStep(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, dc := range p.dataCentres {
		step := p.rampStep(now, dc)
		if !dc.in || step >= RampSteps {
			continue
		}
		due := dc.returned.Add(p.config.Ramp * time.Duration(step) / RampSteps)
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next, !next.IsZero()
}

func (p *Placement) reconcileAll(now time.Time, revision core.Revision) []Decision {
	var decisions []Decision
	for _, s := range p.sortedServices() {
		decisions = append(decisions, p.reconcile(now, revision, s)...)
	}
	return decisions
}

func (p *Placement) reconcileService(now time.Time, revision core.Revision, id core.ServiceID) []Decision {
	s, known := p.services[id]
	if !known {
		return nil
	}
	return p.reconcile(now, revision, s)
}

func (p *Placement) sortedServices() []*service {
	list := make([]*service, 0, len(p.services))
	for _, s := range p.services {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *service) int { return cmp.Compare(a.id, b.id) })
	return list
}
