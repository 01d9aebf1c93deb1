package dispatch

import (
	"cmp"
	"slices"
	"time"

	"zinniapulley.dev/capacity"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/route"
)

// holdShare is the part of its objective that a flow is kept for which there is no room.
// Its caller may have better luck elsewhere, or give up, and is to be told soon.
const holdShare = 0.25

// elapsed returns how long the caller of an opening packet has waited at least.
func (d *Dispatcher) elapsed(now time.Time, p *passthrough.Packet) time.Duration {
	w, waits := d.waiting[p.Key]
	if waits && w.packet.Ack == p.Ack {
		return w.elapsed(now)
	}
	return p.WaitedWhenSent()
}

// noRoom returns the figures by which no backend server that the flow may use can start it
// in time, nil if one may. best is the choice, which is usually enough to tell.
func (d *Dispatcher) noRoom(now time.Time, p *passthrough.Packet, flow *cachedFlow, r *route.Route, best *companion) *capacity.Room {
	if d.mayStart(now, p, r, best) {
		return nil
	}
	request := d.requestOf(now, p, r)
	var room capacity.Room
	for _, share := range r.Shares {
		state := d.byService[share.Service]
		if share.Weight <= 0 || state == nil {
			continue
		}
		state.summarise(now)
		for _, c := range state.companions {
			if !d.canAdmit(c, flow) {
				continue
			}
			d.addRoom(now, &room, request, c)
			if room.Found() {
				return nil
			}
		}
	}
	if !room.None() {
		return nil
	}
	figures := room
	return &figures
}

// mayStart reports whether, as far as is known, the companion's backend server can start an
// opening packet's request in time.
func (d *Dispatcher) mayStart(now time.Time, p *passthrough.Packet, r *route.Route, c *companion) bool {
	if r.Objective <= 0 || c.service.run == 0 || d.paused(now) {
		return true
	}
	var room capacity.Room
	d.addRoom(now, &room, d.requestOf(now, p, r), c)
	return !room.None()
}

// requestOf returns what the decision about an opening packet's request depends on.
func (d *Dispatcher) requestOf(now time.Time, p *passthrough.Packet, r *route.Route) capacity.Request {
	return capacity.Request{Objective: r.Objective, Timeout: r.Timeout, Elapsed: d.elapsed(now, p), Urgent: passthrough.Urgent(r)}
}

// addRoom counts a companion that a request may go to. Its last load doesn't count if it
// is too old, or if this entry instance has received reports for too short a time.
func (d *Dispatcher) addRoom(now time.Time, room *capacity.Room, request capacity.Request, c *companion) {
	if !c.current(now) || now.Sub(d.started) < c.interval() || c.status.Failing || c.unreachable(now) {
		room.AddSilent()
		return
	}
	age := now.Sub(c.loadAt)
	room.Add(request, c.server(c.service.run).After(age), c.extra(), age)
}

// paused reports whether the process may have been paused since the last call of Sweep, so
// that the messages handled now may be old.
func (d *Dispatcher) paused(now time.Time) bool {
	return !d.lastSweepCall.IsZero() && now.Sub(d.lastSweepCall) > pauseLimit
}

// judgeFull decides about an opening packet that no backend server can start in time. It
// waits for a short time if there may be room yet.
func (d *Dispatcher) judgeFull(now time.Time, p *passthrough.Packet, flow *cachedFlow, r *route.Route, room *capacity.Room) verdict {
	v, outstanding := flow.judgeOutstanding()
	if outstanding {
		return v
	}
	if d.keepForRoom(now, p, r, room) {
		return verdict{kind: Wait, reason: passthrough.ReasonFull, ended: true, room: room}
	}
	return verdict{kind: Reset, reason: passthrough.ReasonFull, ended: true, room: room}
}

// keepForRoom reports whether the packet is kept until a backend server may have room.
func (d *Dispatcher) keepForRoom(now time.Time, p *passthrough.Packet, r *route.Route, room *capacity.Room) bool {
	if p.Ack >= passthrough.CallerCopies || !room.MayCome() {
		return false
	}
	w, waits := d.waiting[p.Key]
	if !waits {
		return len(d.waiting) < maxWaiting
	}
	return float64(now.Sub(w.since)) < holdShare*float64(r.Objective)
}

// Capacity returns the state of each service and data centre, by the reports that are
// current. The result is valid until the next call.
func (d *Dispatcher) Capacity(now time.Time) []capacity.Site { return d.capacitySites(now, true) }

// capacitySites returns the state with or without the flows that were sent since the
// reports. Most of these have been answered, so that the state without them is the mean.
func (d *Dispatcher) capacitySites(now time.Time, withUnreported bool) []capacity.Site {
	d.sites = d.sites[:0]
	for service, state := range d.byService {
		if service == "" {
			continue
		}
		state.summarise(now)
		first := len(d.sites)
		for _, c := range state.companions {
			if !c.status.Ready || d.table == nil || d.table.DataCentreOut(c.status.DataCentre) {
				continue
			}
			site := d.site(first, service, c)
			if !c.current(now) || c.status.Failing || d.paused(now) {
				site.Silent++
				continue
			}
			extra := 0
			if withUnreported {
				extra = c.unreported.total()
			}
			site.Add(c.server(state.run), extra, now.Sub(c.loadAt))
		}
	}
	slices.SortFunc(d.sites, func(a, b capacity.Site) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return d.sites
}

// site returns the state that a companion counts for, among those from first on.
func (d *Dispatcher) site(first int, service core.ServiceName, c *companion) *capacity.Site {
	for i := first; i < len(d.sites); i++ {
		if d.sites[i].DataCentre == c.status.DataCentre {
			return &d.sites[i]
		}
	}
	d.sites = append(d.sites, capacity.Site{Service: service, DataCentre: c.status.DataCentre, Way: c.way.delay()})
	return &d.sites[len(d.sites)-1]
}
