package membership

import (
	"container/list"
	"time"

	"zinniapulley.dev/core"
)

// Lease and report times of a leader.
const (
	// DefaultLease is how long a backend server stays registered after its
	// last heartbeat.
	DefaultLease = 3 * time.Second
	// ReportInterval is the least time between two reports of a backend
	// server's capacity that become changes of the replicated state.
	ReportInterval = 2 * time.Second
	// reportStep is the part of a capacity, one in so many, by which it must
	// have changed to be worth a change of the replicated state.
	reportStep = 8
)

// Heartbeat renews a lease and says what the companion sees at the moment.
type Heartbeat struct {
	Report Report
	// Age is how long ago the companion sent the heartbeat, as far as the
	// relays on its way know.
	Age time.Duration
}

// Leases holds, at the leader, when each registered backend server's lease
// expires. It isn't safe for concurrent use.
type Leases struct {
	period time.Duration
	held   map[core.BackendServerID]*list.Element
	// order holds the leases by rising expiry.
	order *list.List
}

// lease is one entry of Leases.
type lease struct {
	departure Departure
	until     time.Time
	// reported is when a report last became a change.
	reported time.Time
}

// NewLeases returns leases of the given period, and none yet.
func NewLeases(period time.Duration) *Leases {
	return &Leases{period: period, held: make(map[core.BackendServerID]*list.Element), order: list.New()}
}

// Period returns how long a lease lasts.
func (l *Leases) Period() time.Duration {
	return l.period
}

// StartTerm starts a leader's term: every registered backend server gets a full
// period, since the last leader's heartbeats are unknown.
func (l *Leases) StartTerm(now time.Time, servers []core.BackendServer) {
	clear(l.held)
	l.order.Init()
	for _, server := range servers {
		l.Grant(now, server)
	}
}

// Grant gives a backend server that was just announced a full period.
func (l *Leases) Grant(now time.Time, server core.BackendServer) {
	l.Remove(server.ID)
	granted := &lease{
		departure: Departure{BackendServer: server.ID, StartID: server.StartID},
		until:     now.Add(l.period),
		reported:  now,
	}
	l.held[server.ID] = l.insert(granted)
}

// insert places a lease by its expiry. Nearly all come last.
func (l *Leases) insert(added *lease) *list.Element {
	for place := l.order.Back(); place != nil; place = place.Prev() {
		if !place.Value.(*lease).until.After(added.until) {
			return l.order.InsertAfter(added, place)
		}
	}
	return l.order.PushFront(added)
}

// Remove drops the lease of a backend server that is gone.
func (l *Leases) Remove(id core.BackendServerID) {
	held, ok := l.held[id]
	if !ok {
		return
	}
	l.order.Remove(held)
	delete(l.held, id)
}

// Renew takes a heartbeat. It renews the lease of a registered start and
// reports whether what the heartbeat says is worth a change of the replicated
// state. A heartbeat never shortens a lease. Its errors are UnknownError and
// SupersededError; they renew nothing.
func (l *Leases) Renew(now time.Time, state *State, beat Heartbeat) (changed bool, err error) {
	m, err := state.started(beat.Report.BackendServer, beat.Report.StartID)
	if err != nil {
		return false, err
	}
	held, ok := l.held[m.server.ID]
	if !ok {
		l.Grant(now, m.server)
		held = l.held[m.server.ID]
	}
	renewed := held.Value.(*lease)
	until := now.Add(l.period - max(0, beat.Age))
	if until.After(renewed.until) {
		l.order.Remove(held)
		renewed.until = until
		l.held[m.server.ID] = l.insert(renewed)
	}
	renewed.departure.StartID = m.server.StartID
	if !worthReporting(now, m, renewed, beat.Report) {
		return false, nil
	}
	renewed.reported = now
	return true, nil
}

// worthReporting reports whether a report says enough that is new. A change of
// state and a capacity that falls to nothing or rises from it always do; other
// changes of capacity do if they are large enough and not too frequent.
func worthReporting(now time.Time, m *member, held *lease, report Report) bool {
	if report.State != m.announced {
		return true
	}
	was, is := m.server.Capacity, report.Capacity
	if was == is {
		return false
	}
	if crossesZero(was.Connections, is.Connections) || crossesZero(was.Slots, is.Slots) {
		return true
	}
	large := largeStep(was.Connections, is.Connections) || largeStep(was.Slots, is.Slots)
	return large && now.Sub(held.reported) >= ReportInterval
}

func crossesZero(was, is int) bool {
	return (was == 0) != (is == 0)
}

func largeStep(was, is int) bool {
	step := is - was
	if step < 0 {
		step = -step
	}
	return step*reportStep >= was && step > 0
}

// Expired returns the departures of the backend servers whose lease has ended,
// in the order in which they ended, and drops their leases. A departure that
// the replicated state never takes in must be given a lease again.
func (l *Leases) Expired(now time.Time) []Departure {
	var expired []Departure
	for {
		first := l.order.Front()
		if first == nil || now.Before(first.Value.(*lease).until) {
			return expired
		}
		departure := first.Value.(*lease).departure
		expired = append(expired, departure)
		l.Remove(departure.BackendServer)
	}
}

// Next returns when the first lease ends, and false if there is none.
func (l *Leases) Next() (time.Time, bool) {
	first := l.order.Front()
	if first == nil {
		return time.Time{}, false
	}
	return first.Value.(*lease).until, true
}
