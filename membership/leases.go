package membership

import (
	"container/list"
	"time"

	"zinniapulley.dev/core"
)

// Lease and report timing on the leader.
const (
	// DefaultLease is how long a backend server stays registered after its
	// last heartbeat.
	DefaultLease = 3 * time.Second
	// ReportInterval is the minimum time between two replicated changes of a
	// backend server's capacity, other than to or from zero.
	ReportInterval = 2 * time.Second
	// reportFraction is the divisor that sets the smallest significant change:
	// at least 1/reportFraction of the replicated capacity.
	reportFraction = 8
)

// Heartbeat renews a lease and reports the current state and capacity.
type Heartbeat struct {
	Report Report
	// Age is how long relays (see publish.Relays) held the heartbeat before they
	// forwarded it. The time in transit isn't included.
	Age time.Duration
}

// Leases tracks, on the leader, when each registered backend server's lease
// expires. It isn't safe for concurrent use.
type Leases struct {
	period time.Duration
	held   map[core.BackendServerID]*list.Element
	// order holds the leases in order of expiry.
	order *list.List
}

// lease is one entry of Leases.
type lease struct {
	departure Departure
	expiry    time.Time
	// reported is when a report last became a replicated change.
	reported time.Time
}

// NewLeases returns an empty Leases with the given lease period.
func NewLeases(period time.Duration) *Leases {
	return &Leases{period: period, held: make(map[core.BackendServerID]*list.Element), order: list.New()}
}

// Period returns how long a lease lasts.
func (l *Leases) Period() time.Duration {
	return l.period
}

// StartTerm starts a leader's term: it grants every registered backend server a
// full period, because the heartbeats to the previous leader aren't replicated.
func (l *Leases) StartTerm(now time.Time, servers []core.BackendServer) {
	clear(l.held)
	l.order.Init()
	for _, server := range servers {
		l.Grant(now, server)
	}
}

// Grant starts a backend server's lease, or restarts it with a full period.
func (l *Leases) Grant(now time.Time, server core.BackendServer) {
	l.Remove(server.ID)
	granted := &lease{
		departure: Departure{BackendServer: server.ID, StartID: server.StartID},
		expiry:    now.Add(l.period),
		reported:  now,
	}
	l.held[server.ID] = l.insert(granted)
}

// insert places a lease by its expiry. Nearly all are inserted at the back.
func (l *Leases) insert(added *lease) *list.Element {
	for element := l.order.Back(); element != nil; element = element.Prev() {
		if !element.Value.(*lease).expiry.After(added.expiry) {
			return l.order.InsertAfter(added, element)
		}
	}
	return l.order.PushFront(added)
}

// Remove drops the lease of a departed backend server.
func (l *Leases) Remove(id core.BackendServerID) {
	held, ok := l.held[id]
	if !ok {
		return
	}
	l.order.Remove(held)
	delete(l.held, id)
}

// Renew handles a heartbeat. It renews the lease of a registered start and
// reports whether the heartbeat is significant enough to change the replicated
// state. A heartbeat never shortens a lease. On an UnknownError or a
// SupersededError nothing is renewed.
func (l *Leases) Renew(now time.Time, state *State, heartbeat Heartbeat) (changed bool, err error) {
	m, err := state.memberByStart(heartbeat.Report.BackendServer, heartbeat.Report.StartID)
	if err != nil {
		return false, err
	}
	held, ok := l.held[m.server.ID]
	if !ok {
		l.Grant(now, m.server)
		held = l.held[m.server.ID]
	}
	renewed := held.Value.(*lease)
	expiry := now.Add(l.period - max(0, heartbeat.Age))
	if expiry.After(renewed.expiry) {
		l.order.Remove(held)
		renewed.expiry = expiry
		l.held[m.server.ID] = l.insert(renewed)
	}
	renewed.departure.StartID = m.server.StartID
	if !isSignificant(now, m, renewed, heartbeat.Report) {
		return false, nil
	}
	renewed.reported = now
	return true, nil
}

// isSignificant reports whether a report should change the replicated state. A
// change of state and a capacity that falls to or rises from zero always should;
// other changes of capacity only if they are large and ReportInterval has passed.
func isSignificant(now time.Time, m *member, held *lease, report Report) bool {
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
	large := isLargeChange(was.Connections, is.Connections) || isLargeChange(was.Slots, is.Slots)
	return large && now.Sub(held.reported) >= ReportInterval
}

func crossesZero(was, is int) bool {
	return (was == 0) != (is == 0)
}

func isLargeChange(was, is int) bool {
	change := is - was
	if change < 0 {
		change = -change
	}
	return change*reportFraction >= was && change > 0
}

// Expired returns the departures of the backend servers whose lease has expired,
// in order of expiry, and removes their leases. If a departure is never applied
// to the replicated state, its backend server must be granted a lease again.
func (l *Leases) Expired(now time.Time) []Departure {
	var expired []Departure
	for {
		first := l.order.Front()
		if first == nil || now.Before(first.Value.(*lease).expiry) {
			return expired
		}
		departure := first.Value.(*lease).departure
		expired = append(expired, departure)
		l.Remove(departure.BackendServer)
	}
}

// Next returns when the next lease expires, and false if there is none.
func (l *Leases) Next() (time.Time, bool) {
	first := l.order.Front()
	if first == nil {
		return time.Time{}, false
	}
	return first.Value.(*lease).expiry, true
}
