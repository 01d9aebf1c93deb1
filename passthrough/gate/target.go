package gate

import (
	"math"
	"net/netip"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
)

// Announcement is a backend server's message about itself.
type Announcement struct {
	// Server is its own name.
	Server  string
	Service core.ServiceName
	// Address is where it receives packets.
	Address    netip.AddrPort
	DataCentre core.DataCentre
	// Born is when it started, in milliseconds since 1970 by its own clock; zero if it
	// doesn't report it.
	Born int64
	// Number counts its announcements since its start.
	Number uint64
	Slots  int
	// Draining is set when it is about to stop.
	Draining bool
	// ColdFor is how much longer it stays cold.
	ColdFor time.Duration
}

// Target is the state of a companion's backend server. It is immutable once it has
// been handed out.
type Target struct {
	Announcement
	// Known is set once it has announced itself and a configuration has named its service.
	Known bool
	// Departed is set once it has announced its departure.
	Departed bool
	// Ended is set when nothing runs at its address: a connection to it, begun at
	// EndedAt, was refused. It may be set before any announcement.
	Ended   bool
	EndedAt time.Time
	// Reachable is set while it isn't known, but a connection to its address was accepted or
	// an announcement waits for the first configuration: it may run and hold flows.
	Reachable bool
	// StartCount counts the starts of backend servers that have announced themselves.
	StartCount int
	// StartedAfterCompanion is set if it started no earlier than this companion, so
	// that all its flows are tracked here.
	StartedAfterCompanion bool
	// ColdUntil is when its cold period ends.
	ColdUntil time.Time
	// LastSeen is when its last announcement was received.
	LastSeen time.Time
}

// NoServer reports whether no backend server runs beside a companion that started at
// the given time. One that hasn't announced itself within firstLimit counts as not
// running, unless its address is reachable.
func (t *Target) NoServer(now, started time.Time, firstLimit time.Duration) bool {
	return t.Down() || (!t.Known && !t.Reachable && now.Sub(started) > firstLimit)
}

// Down reports whether the backend server has departed or ended.
func (t *Target) Down() bool { return t.Departed || t.Ended }

// SetTarget updates the state of the backend server.
func (g *Gate) SetTarget(target Target) {
	if target.LastSeen.After(g.target.LastSeen) {
		// It has announced itself since, so that it may be tried again.
		g.serverResponded()
	}
	if target.StartCount != g.target.StartCount {
		for _, flow := range g.flows {
			g.endRequest(flow)
		}
		g.health = health{}
		g.replaced = g.target.Known
		g.pace.serverStarted()
		g.coldPace.serverStarted()
	}
	g.target = target
}

// refusalReason returns why a new flow can't start here or wait for its start, ReasonNone
// if it can.
func (g *Gate) refusalReason(now time.Time, version uint64, key core.FlowKey) passthrough.Reason {
	reason := g.notReadyReason(now)
	if reason != passthrough.ReasonNone {
		return reason
	}
	if !g.allows(version, key) {
		return passthrough.ReasonNotAllowed
	}
	service := g.table.Service(g.target.Service)
	if service != nil && service.MaxConnections > 0 && g.open >= service.MaxConnections {
		return passthrough.ReasonConnectionLimit
	}
	return passthrough.ReasonNone
}

// startReason returns why no new flow can start at the moment, ReasonNone if one can. It
// records a flow that starts as the probe of an unresponsive backend server, or the trial
// of a failing one.
func (g *Gate) startReason(now time.Time) passthrough.Reason {
	if g.unresponsive(now) {
		if now.Sub(g.lastProbe) < probeInterval {
			return passthrough.ReasonUnresponsive
		}
		g.lastProbe = now
	}
	if g.cold(now) && g.coldWindowFull(now) {
		return passthrough.ReasonColdLimit
	}
	if !g.health.allowFlow(now) {
		return passthrough.ReasonFailing
	}
	return passthrough.ReasonNone
}

// notReadyReason returns why no new flow of any route can start here, ReasonNone if
// flows can start.
func (g *Gate) notReadyReason(now time.Time) passthrough.Reason {
	switch {
	case g.stopping:
		return passthrough.ReasonStopping
	case g.table == nil:
		return passthrough.ReasonNoView
	case !g.target.Known:
		return passthrough.ReasonNoTarget
	case g.target.Down():
		return passthrough.ReasonServerDown
	case g.target.Draining:
		return passthrough.ReasonDraining
	case g.table.DataCentreOut(g.config.DataCentre):
		return passthrough.ReasonDataCentreOut
	case now.Sub(g.target.LastSeen) > g.config.AnnouncementLimit:
		return passthrough.ReasonStale
	default:
		return passthrough.ReasonNone
	}
}

// allows reports whether the route permits new flows to the backend server's
// service. An entry instance with a newer configuration has checked it already.
func (g *Gate) allows(version uint64, key core.FlowKey) bool {
	if version > g.table.View.Version {
		return true
	}
	r := g.table.Route(key.Service)
	return r != nil && r.Allows(g.target.Service)
}

// ResponseOverdue reports whether the backend server's response is overdue, so that
// it may have ended.
func (g *Gate) ResponseOverdue(now time.Time) bool {
	return g.target.Known && !g.target.Down() && !g.responseDueSince.IsZero() && now.Sub(g.responseDueSince) > overdueAfter
}

// unresponsive reports whether the backend server has stopped responding.
func (g *Gate) unresponsive(now time.Time) bool {
	return !g.openingUnanswered.IsZero() && now.Sub(g.openingUnanswered) > unresponsiveAfter
}

// cold reports whether the backend server still has limited capacity. After its
// data centre was out of service it may be cold before its announcements report it.
func (g *Gate) cold(now time.Time) bool {
	if now.Before(g.target.ColdUntil) {
		return true
	}
	if g.backInService.IsZero() {
		return false
	}
	service := g.table.Service(g.target.Service)
	return service != nil && now.Sub(g.backInService) < service.ColdFor
}

// coldWindowFull reports whether a cold backend server has got as many new flows as
// its limit allows in the window that ends now. A service without a rate has no limit.
func (g *Gate) coldWindowFull(now time.Time) bool {
	g.trimDelivered(now)
	service := g.table.Service(g.target.Service)
	if service == nil || service.ColdRate <= 0 {
		return false
	}
	// As a float, since the rate may be higher than any integer.
	bound := math.Floor(service.ColdRate*g.config.ColdFactor) + float64(g.config.ColdSlack-coldReserve)
	return float64(len(g.delivered)) >= max(bound, 1)
}

// trimDelivered drops the opening packets delivered before the window that ends now.
func (g *Gate) trimDelivered(now time.Time) {
	expired := 0
	for expired < len(g.delivered) && now.Sub(g.delivered[expired]) > coldWindow {
		expired++
	}
	g.delivered = append(g.delivered[:0], g.delivered[expired:]...)
}

// Status returns the status that entry instances are sent.
func (g *Gate) Status(now time.Time) passthrough.Status {
	ready := g.notReadyReason(now) == passthrough.ReasonNone && !g.unresponsive(now)
	cold := ready && g.cold(now)
	if cold && g.coldWindowFull(now) {
		ready = false
	}
	return passthrough.Status{
		DataCentre: g.config.DataCentre, Service: g.target.Service, Server: g.target.Server,
		Ready: ready, Departed: g.noServer(now), Cold: cold, Failing: g.health.failing(now, g.running), Slots: g.target.Slots,
		Running: g.running + g.queue.Len(), Flows: g.open,
		Relays: true, Untracked: !g.tracksAllFlows(now), Born: g.target.Born,
	}
}
