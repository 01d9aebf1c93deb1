package state

import (
	"cmp"
	"slices"
	"time"

	"zinniapulley.dev/config"
	"zinniapulley.dev/core"
	"zinniapulley.dev/placement"
)

// tables keeps the tables consistent with the configuration and the backend
// servers.
type tables struct {
	placement *placement.Placement
	limits    placement.Config
	// current holds the table of each service as last published.
	current map[core.ServiceID]core.Table
}

func newTables() *tables {
	limits := placement.DefaultConfig()
	return &tables{
		placement: placement.New(limits),
		limits:    limits,
		current:   make(map[core.ServiceID]core.Table),
	}
}

// restoreTables returns tables with the state of a snapshot.
func restoreTables(state placement.State, document config.Document) *tables {
	t := newTables()
	t.limits = limitsOf(document)
	t.placement = placement.Restore(t.limits, state)
	for _, table := range t.placement.Tables() {
		t.current[table.Service] = table
	}
	return t
}

func limitsOf(document config.Document) placement.Config {
	limits := placement.DefaultConfig()
	limits.MovesPerSecond = document.Limits.BucketMovesOrDefault()
	limits.Ramp = document.Limits.ReturnRampOrDefault()
	return limits
}

// viewChange is the transition from one view to the next.
type viewChange struct {
	at       time.Time
	before   *core.View
	after    *core.View
	document config.Document
}

// update passes the differences between two views to placement, fills in the
// tables of the later view, and returns the placement decisions.
func (t *tables) update(c viewChange) []placement.Decision {
	t.setLimits(limitsOf(c.document))
	var decisions []placement.Decision
	for _, event := range c.events() {
		decisions = append(decisions, t.placement.Handle(c.at, c.after.Revision, event)...)
	}
	t.refresh(decisions)
	for _, service := range c.after.Services {
		t.ensureLoaded(service.ID)
	}
	c.after.Tables = t.listAndPrune(c.after.Services)
	return decisions
}

func (t *tables) setLimits(limits placement.Config) {
	if limits == t.limits {
		return
	}
	t.limits = limits
	t.placement = placement.Restore(limits, t.placement.State())
}

// handle passes an event to placement and reports whether a table changed.
func (t *tables) handle(at time.Time, revision core.Revision, event placement.Event) ([]placement.Decision, bool) {
	decisions := t.placement.Handle(at, revision, event)
	return decisions, t.refresh(decisions)
}

// refresh reloads the tables that the decisions changed, and reports whether
// there are any.
func (t *tables) refresh(decisions []placement.Decision) bool {
	changed := make(map[core.ServiceID]bool)
	for _, decision := range decisions {
		if decision.Kind != placement.KindHeldBack && !changed[decision.Service] {
			changed[decision.Service] = true
			t.load(decision.Service)
		}
	}
	return len(changed) > 0
}

func (t *tables) load(service core.ServiceID) {
	table, found := t.placement.Table(service)
	if found {
		t.current[service] = table
	}
}

func (t *tables) ensureLoaded(service core.ServiceID) {
	_, loaded := t.current[service]
	if !loaded {
		t.load(service)
	}
}

// listAndPrune returns the tables of the services and discards all others.
func (t *tables) listAndPrune(services []core.Service) []core.Table {
	list := make([]core.Table, 0, len(services))
	retained := make(map[core.ServiceID]core.Table, len(services))
	for _, service := range services {
		retained[service.ID] = t.current[service.ID]
		list = append(list, t.current[service.ID])
	}
	t.current = retained
	return list
}

// events returns the placement events for the differences between the views,
// services first.
func (c viewChange) events() []placement.Event {
	var events []placement.Event
	added, removed := compare(c.before.Services, c.after.Services, func(s core.Service) core.ServiceID { return s.ID })
	for _, service := range removed {
		events = append(events, placement.ServiceRemoved{Service: service.ID})
	}
	for _, service := range added {
		buckets := c.document.Services[service.Name].BucketCount()
		events = append(events, placement.ServiceAdded{Service: service.ID, Targets: buckets / placement.BucketsPerTarget})
	}
	events = append(events, c.dataCentreEvents()...)
	changed, removedServers := compare(c.before.BackendServers, c.after.BackendServers,
		func(s core.BackendServer) core.BackendServerID { return s.ID })
	for _, server := range removedServers {
		events = append(events, placement.ServerRemoved{Server: server.ID})
	}
	for _, server := range changed {
		events = append(events, placement.ServerChanged{Server: server})
	}
	return events
}

func (c viewChange) dataCentreEvents() []placement.Event {
	var events []placement.Event
	changed, removed := compare(c.before.DataCentres, c.after.DataCentres,
		func(d core.DataCentreState) core.DataCentre { return d.Name })
	for _, dataCentre := range removed {
		events = append(events, placement.DataCentreChanged{Name: dataCentre.Name, In: false})
	}
	for _, dataCentre := range changed {
		events = append(events, placement.DataCentreChanged{Name: dataCentre.Name, In: dataCentre.In})
	}
	return events
}

// compare returns the elements of after that are new or changed, and those of
// before whose key is not in after. Both lists are sorted by key.
func compare[T comparable, K cmp.Ordered](before, after []T, key func(T) K) (changed, removed []T) {
	byKey := func(element T, k K) int { return cmp.Compare(key(element), k) }
	for _, element := range after {
		i, existed := slices.BinarySearchFunc(before, key(element), byKey)
		if !existed || before[i] != element {
			changed = append(changed, element)
		}
	}
	for _, element := range before {
		_, exists := slices.BinarySearchFunc(after, key(element), byKey)
		if !exists {
			removed = append(removed, element)
		}
	}
	return changed, removed
}
