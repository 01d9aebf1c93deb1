package dispatch

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
)

const (
	// reportsMissed is how many reports in a row may be missing before a companion's
	// status doesn't count in full; reportJitter is how late a report may be.
	reportsMissed = 2
	reportJitter  = 100 * time.Millisecond
	// responseLimit is how long a companion may leave an opening packet without any
	// response before it counts as unreachable, and pathRetry how long it does.
	responseLimit = 100 * time.Millisecond
	pathRetry     = time.Second
	// busyPause is how long a companion that has refused a flow for want of time gets no
	// other flow with the same urgency or a lower one, unless it reports room: about as long
	// as a backend server takes for a few answers.
	busyPause = 30 * time.Millisecond
	// paceLifetime is the age beyond which a pace doesn't count: it comes with each full
	// status, every 60 s, unless an older version has replaced the companion.
	paceLifetime = 150 * time.Second
	// requestInterval is the time between two requests of missing statuses.
	requestInterval = 200 * time.Millisecond
)

// companion is a Dispatcher's record of one companion.
type companion struct {
	// status, hash and busyUntil are read for every companion of a service at each choice.
	status passthrough.Status
	// hash is the hash of the companion's address.
	hash uint64
	// busyUntil is, for each urgency, until when the companion gets no flow.
	busyUntil [passthrough.UrgencyCount]time.Time
	lastSeen  time.Time
	// hadService is set when the companion has named a service since its first status
	// and hasn't departed, so that it may hold flows.
	hadService bool
	// assigned counts the flows sent there since the last status; unreported those that
	// the last load can't include.
	assigned   int
	unreported assignments
	// loadAt is when the load was last received.
	loadAt time.Time
	// pace is what its backend server was measured to sustain, received at paceAt.
	pace   passthrough.Pace
	paceAt time.Time
	// service summarises its service, site the part of that in its data centre, and way is
	// the network delay to that.
	service *serviceState
	site    *siteLoad
	way     *way
	// digest identifies the status.
	digest uint32
	// unansweredSince is when the first opening packet was sent there since it last
	// responded to one; zero for none.
	unansweredSince time.Time
	// unsureAt is when the companion last couldn't tell whether it holds a flow, and
	// notConductedAt when it last left a relay without a result.
	unsureAt       time.Time
	notConductedAt time.Time
	// serverName and born identify the last backend server that a status named, and epoch
	// counts these, from 1.
	serverName string
	born       int64
	epoch      uint32
}

// fresh reports whether the companion's status counts in full.
func (c *companion) fresh(now time.Time) bool {
	return now.Sub(c.lastSeen) <= reportsMissed*c.interval()+reportJitter
}

// current reports whether the companion's status may be used to refuse flows.
func (c *companion) current(now time.Time) bool {
	return now.Sub(c.lastSeen) <= reportsMissed*c.interval()
}

// interval returns the time between two of its reports.
func (c *companion) interval() time.Duration {
	if c.status.ReportInterval == 0 {
		return passthrough.ReportInterval
	}
	return c.status.ReportInterval
}

// unreachable reports whether an opening packet that was sent there remains without a
// response. A companion that is cut off from this entry instance may still be reported
// well by others, and its statuses may still arrive.
func (c *companion) unreachable(now time.Time) bool {
	waiting := now.Sub(c.unansweredSince)
	return !c.unansweredSince.IsZero() && waiting > responseLimit && waiting < responseLimit+pathRetry
}

// refusedBusy records that the companion has refused a flow for want of time.
func (c *companion) refusedBusy(now time.Time, refused passthrough.Urgency) {
	for i := range refused + 1 {
		c.busyUntil[i] = now.Add(busyPause)
	}
}

// setLoad records the companion's load.
func (c *companion) setLoad(now time.Time, running, flows int) {
	c.status.Running, c.status.Flows = running, flows
	c.loadAt = now
	c.unreported.reported(now)
	if !c.status.Full() {
		c.busyUntil = [passthrough.UrgencyCount]time.Time{}
	}
}

// sentOpening records that an opening packet was sent there.
func (c *companion) sentOpening(now time.Time) {
	c.assigned++
	c.unreported.add(now)
	if c.unansweredSince.IsZero() || now.Sub(c.unansweredSince) >= responseLimit+pathRetry {
		c.unansweredSince = now
	}
}

// HandleStatus records the status of a companion and its backend server.
func (d *Dispatcher) HandleStatus(now time.Time, status passthrough.Status) {
	c, known := d.companions[status.Companion]
	if !known {
		c = &companion{hash: xxhash.Sum64String(status.Companion.String())}
		d.companions[status.Companion] = c
	}
	d.trackServer(c, status)
	moved := !known || c.status.DataCentre != status.DataCentre
	if moved {
		c.way = d.wayTo(status.DataCentre)
	}
	serviceChanged := moved || c.status.Service != status.Service
	c.status = status
	c.setLoad(now, status.Running, status.Flows)
	if digest := status.Digest(); digest != c.digest {
		// The companion or its backend server has changed, and may respond by now.
		c.digest, c.unansweredSince = digest, time.Time{}
	}
	c.lastSeen = now
	c.hadService = !status.Departed && (c.hadService || status.Service != "")
	c.assigned = 0
	if serviceChanged {
		d.index()
	}
}

// HandleLoad records the load of a companion. If it belongs to another status than the
// one known here, the full status is requested. The result is valid until the next call
// of a method.
func (d *Dispatcher) HandleLoad(now time.Time, from netip.AddrPort, load passthrough.Load) []Action {
	d.out = d.out[:0]
	c, known := d.companions[from]
	if !known || c.digest != load.Digest {
		d.requestStatus(from)
		return d.out
	}
	c.setLoad(now, load.Running, load.Flows)
	c.lastSeen = now
	c.assigned = 0
	return d.out
}

// HandlePace records what a companion's backend server was measured to sustain.
func (d *Dispatcher) HandlePace(now time.Time, from netip.AddrPort, pace passthrough.Pace) {
	c, known := d.companions[from]
	if known {
		c.pace, c.paceAt = pace, now
		if c.service.run == 0 {
			c.service.summarisedAt = time.Time{}
		}
	}
}

// requestStatuses requests the statuses of listed companions that are still missing
// after a start, so that this entry instance needn't wait until they learn of it.
func (d *Dispatcher) requestStatuses(now time.Time) {
	if d.table == nil || now.Sub(d.started) > missingLimit || now.Sub(d.requestedAt) < requestInterval {
		return
	}
	d.requestedAt = now
	if d.firstRequestAt.IsZero() {
		d.firstRequestAt = now
	}
	for _, listed := range d.table.View.Companions {
		if _, known := d.companions[listed.Address]; !known {
			d.requestStatus(listed.Address)
		}
	}
}

func (d *Dispatcher) requestStatus(at netip.AddrPort) {
	d.out = append(d.out, Action{Kind: RequestStatus, Reason: passthrough.ReasonStatusUnknown, To: at})
}

// index groups the companions by service.
func (d *Dispatcher) index() {
	clear(d.byService)
	for _, c := range d.companions {
		s, known := d.byService[c.status.Service]
		if !known {
			s = &serviceState{sites: make(map[core.DataCentre]*siteLoad)}
			d.byService[c.status.Service] = s
		}
		s.add(c)
	}
}
