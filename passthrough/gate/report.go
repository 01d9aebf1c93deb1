package gate

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"zinniapulley.dev/passthrough"
)

const (
	// recentShare is the part of that time between two reports to entry instances that
	// have just used the companion, and usedRecently how long they count as such.
	recentShare  = 1. / 3
	usedRecently = time.Second
	// fullStatusInterval is the time between two full statuses to all entry instances. It
	// is below statusLimit, for entry instances of a version that knows no loads.
	fullStatusInterval = 60 * time.Second
	// senderRetention is how long after its last packet an entry instance gets reports
	// although control doesn't list it.
	senderRetention = 15 * time.Second
	// paceChange is the factor by which a measured time has changed before the pace is
	// reported again, and countChange the same for the entry instances that use the companion
	// and for the requests that wait, once there are more than a few.
	paceChange  = 1.25
	countChange = 2
	fewWaiting  = 4
	// lostIntervals is how many report intervals pass after a pace was sent to all entry
	// instances before all are told that the measures are lost. At 3,300 companions the
	// full statuses are more frequent than that, and what an entry instance receives stays
	// below 29 KB/s.
	lostIntervals = 20
)

// Report is what a companion sends, and to which entry instances.
type Report struct {
	Status passthrough.Status
	// Full is set if the whole status is sent, not only its load.
	Full bool
	To   []netip.AddrPort
}

// Reports decides when a companion reports its status to which entry instances. A
// change that matters for the choice of a companion goes to all of them at once, and a
// change of the load alone to those that have just used the companion. The others get
// the load at an interval that grows with the number of companions, so that what an
// entry instance receives is bounded.
type Reports struct {
	// lastSent is when each entry instance last sent something; lastOpened when it last
	// sent an opening packet.
	lastSent   map[netip.AddrPort]time.Time
	lastOpened map[netip.AddrPort]time.Time
	// full is whether the backend server was full, and entries how many entry instances
	// were listed, at sentAt, when all were last sent something. statusAt is when they were
	// last sent a full status.
	full     bool
	entries  int
	sentAt   time.Time
	statusAt time.Time
	// load is the last load that was sent to anybody, at loadAt. Its digest is that of the
	// last full status.
	load   passthrough.Load
	loadAt time.Time
	// pace is the last one that was sent, at paceAt; paceToAllAt is when all were last
	// sent one.
	pace        passthrough.Pace
	paceAt      time.Time
	paceToAllAt time.Time
}

// NewReports returns Reports to which nothing has been sent yet.
func NewReports() *Reports {
	return &Reports{lastSent: make(map[netip.AddrPort]time.Time), lastOpened: make(map[netip.AddrPort]time.Time)}
}

// HandlePacket records a packet of an entry instance. opens is set for an opening packet.
func (r *Reports) HandlePacket(now time.Time, entry netip.AddrPort, opens bool) {
	r.lastSent[entry] = now
	if opens {
		r.lastOpened[entry] = now
	}
}

// HandleRequest returns the report for an entry instance that requests the full status.
// companions is how many companions there are.
func (r *Reports) HandleRequest(now time.Time, entry netip.AddrPort, status passthrough.Status, companions int) Report {
	r.HandlePacket(now, entry, false)
	status.ReportInterval = intervalFor(companions)
	return Report{Status: status, Full: true, To: []netip.AddrPort{entry}}
}

// Due returns the report that is due; its To is empty if none is. entries are the entry
// instances that control lists, and companions is how many companions there are.
func (r *Reports) Due(now time.Time, status passthrough.Status, entries []netip.AddrPort, companions int) Report {
	status.ReportInterval = intervalFor(companions)
	recentInterval := time.Duration(recentShare * float64(status.ReportInterval))
	load := status.Load()
	changed := load.Digest != r.load.Digest || status.Full() != r.full || len(entries) != r.entries
	whole := changed || now.Sub(r.statusAt) >= fullStatusInterval
	switch {
	case whole || now.Sub(r.sentAt) >= status.ReportInterval:
		if whole {
			r.statusAt = now
		}
		r.full, r.entries, r.sentAt = status.Full(), len(entries), now
		r.load, r.loadAt = load, now
		return Report{Status: status, Full: whole, To: r.all(now, entries)}
	case load != r.load && now.Sub(r.loadAt) >= recentInterval:
		r.load, r.loadAt = load, now
		return Report{Status: status, To: r.recent(now)}
	default:
		return Report{}
	}
}

// DuePace returns the pace that is due with a report, and its receivers; none if it isn't
// due. report is the result of Due. A pace that has changed goes to the entry instances
// that have just used the companion, the first measures after a start without delay. One
// that has lost its measures goes to all: nobody uses a companion that was reported slow.
func (r *Reports) DuePace(now time.Time, report Report, pace passthrough.Pace, entries []netip.AddrPort, companions int) (passthrough.Pace, []netip.AddrPort) {
	interval := intervalFor(companions)
	pace = r.PaceFor(now, pace)
	lost, first := pace.Run == 0 && r.pace.Run != 0, pace.Run != 0 && r.pace.Run == 0
	var to []netip.AddrPort
	switch {
	case report.Full:
		to = report.To
		r.paceToAllAt = now
	case lost && now.Sub(r.paceToAllAt) >= lostIntervals*interval:
		to = r.all(now, entries)
		r.paceToAllAt = now
	case !lost && pace.Users > 0 && (first || now.Sub(r.paceAt) >= interval) && paceChanged(pace, r.pace):
		to = r.recent(now)
	default:
		return pace, nil
	}
	r.pace, r.paceAt = pace, now
	return pace, to
}

// PaceFor returns the pace with the number of entry instances that have just used the
// companion.
func (r *Reports) PaceFor(now time.Time, pace passthrough.Pace) passthrough.Pace {
	r.removeUnused(now)
	pace.Users = len(r.lastOpened)
	return pace
}

// paceChanged reports whether a pace differs enough from the last one to be reported.
func paceChanged(a, b passthrough.Pace) bool {
	return differs(float64(a.Run), float64(b.Run), paceChange) || differs(float64(a.Interval), float64(b.Interval), paceChange) ||
		differs(float64(a.Users), float64(b.Users), countChange) ||
		differs(float64(a.Waiting+fewWaiting), float64(b.Waiting+fewWaiting), countChange)
}

func differs(a, b, factor float64) bool { return max(a, b) > factor*min(a, b) }

// intervalFor returns the time between two reports to all entry instances.
func intervalFor(companions int) time.Duration {
	return passthrough.ReportInterval * time.Duration(1+companions/passthrough.CompanionsPerInterval)
}

// all returns the listed entry instances and those that have sent something lately.
func (r *Reports) all(now time.Time, entries []netip.AddrPort) []netip.AddrPort {
	maps.DeleteFunc(r.lastSent, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) > senderRetention })
	all := slices.Clone(entries)
	for entry := range r.lastSent {
		if !slices.Contains(entries, entry) {
			all = append(all, entry)
		}
	}
	return all
}

// recent returns the entry instances that have just used the companion.
func (r *Reports) recent(now time.Time) []netip.AddrPort {
	r.removeUnused(now)
	return slices.Collect(maps.Keys(r.lastOpened))
}

// removeUnused removes the entry instances that haven't just used the companion.
func (r *Reports) removeUnused(now time.Time) {
	maps.DeleteFunc(r.lastOpened, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) > usedRecently })
}
