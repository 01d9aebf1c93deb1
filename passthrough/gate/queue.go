package gate

import (
	"net/netip"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/waitqueue"
)

const (
	// coldRunFactor is how much longer a request takes at a cold backend server, until it
	// has been measured with minColdSamples answers.
	coldRunFactor  = 1.6
	minColdSamples = 5
	// gapShare is the part of the time without any answer, while all slots are taken, that
	// the interval between answers is taken to be at least: a server that has become slow
	// is noticed before its next answer. Times of three usual intervals are common.
	gapShare = 1. / 6
)

// queuedPacket is an opening packet that waits for a place, its newest copy.
type queuedPacket struct {
	packet passthrough.Packet
	// entry is the entry instance that sent the last copy, and version that of its
	// configuration.
	entry   netip.AddrPort
	version uint64
}

// Queued returns how many opening packets wait for a place.
func (g *Gate) Queued() int { return g.queue.Len() }

// paceAt returns the pace that answers are measured with now.
func (g *Gate) paceAt(now time.Time) *pace {
	current, other := &g.pace, &g.coldPace
	if g.table != nil && g.cold(now) {
		current, other = other, current
	}
	other.saturatedSince = time.Time{}
	return current
}

// interval returns the expected time between two answers while all slots are taken, zero
// while unknown.
func (g *Gate) interval(now time.Time) time.Duration {
	interval := g.measuredInterval(now)
	if interval > 0 && g.running >= g.target.Slots {
		gap := time.Duration(gapShare * float64(now.Sub(g.health.lastProgress)))
		interval = max(interval, min(gap, maxPaceInterval))
	}
	return interval
}

// measuredInterval returns the same as measured, corrected for a cold backend server.
func (g *Gate) measuredInterval(now time.Time) time.Duration {
	switch {
	case !g.cold(now):
		if g.pace.samples == 0 {
			return g.coldPace.interval
		}
		return g.pace.interval
	case g.coldPace.samples >= minColdSamples || g.pace.samples == 0:
		return g.coldPace.interval
	default:
		return time.Duration(coldRunFactor * float64(g.pace.interval))
	}
}

// Room returns the capacity of the backend server now, as it determines what is started.
func (g *Gate) Room(now time.Time) waitqueue.Room {
	g.expected.expire(now)
	interval := g.interval(now)
	return waitqueue.Room{
		Slots: g.target.Slots, Taken: g.running + g.expected.likely(), Interval: interval,
		Run: interval * time.Duration(g.target.Slots), Handshake: g.expected.meanTime,
	}
}

// placeFree reports whether a new flow can start now. Otherwise it queues or refuses the
// opening packet.
func (g *Gate) placeFree(now time.Time, entry netip.AddrPort, version uint64, p *passthrough.Packet) bool {
	room := g.Room(now)
	if g.queue.Len() > 0 || !room.Free() {
		reason := g.blockedReason(now)
		if reason != passthrough.ReasonNone {
			g.refuse(reason, entry, p)
			return false
		}
	}
	request := waitqueue.Request{Key: p.Key, Origin: entry, Arrived: now, Elapsed: p.WaitedWhenSent()}
	g.describe(&request)
	verdict, order := g.queue.Offer(now, request, room)
	switch verdict {
	case waitqueue.Start:
		return true
	case waitqueue.Wait:
		g.queued[p.Key] = &queuedPacket{packet: p.Clone(), entry: entry, version: version}
		g.out = append(g.out, Action{Kind: Queue, Reason: passthrough.ReasonQueued, To: entry, Packet: p, Order: order})
		g.note(passthrough.NoteAdmitted, passthrough.ReasonQueued, p.Key, entry)
		g.refuseQueued(passthrough.ReasonBusy, g.queue.Displaced(now))
	default:
		g.out = append(g.out, Action{Kind: Refuse, Reason: passthrough.ReasonBusy, To: entry, Packet: p, Order: order})
	}
	return false
}

// blockedReason returns why flows that wait couldn't start soon even with a free place,
// ReasonNone if they could.
func (g *Gate) blockedReason(now time.Time) passthrough.Reason {
	service := g.table.Service(g.target.Service)
	switch {
	case service != nil && service.MaxConnections > 0 && g.open+len(g.queued) >= service.MaxConnections:
		return passthrough.ReasonConnectionLimit
	case g.unresponsive(now):
		return passthrough.ReasonUnresponsive
	case g.cold(now) && g.coldWindowFull(now):
		return passthrough.ReasonColdLimit
	case g.health.onTrial(now):
		return passthrough.ReasonFailing
	default:
		return passthrough.ReasonNone
	}
}

// describe sets what the configuration says about a request.
func (g *Gate) describe(request *waitqueue.Request) {
	r := g.table.Route(request.Key.Service)
	if r == nil {
		// Only the entry instance has the route's configuration yet.
		return
	}
	request.Route, request.Priority = r.Name, r.Priority
	request.Objective, request.Timeout = r.Objective, r.Timeout
}

// configureQueue applies a new configuration to the requests that wait.
func (g *Gate) configureQueue() { g.queue.Configure(g.describe) }

// requeue handles a copy of an opening packet that waits. It reports false if none does.
func (g *Gate) requeue(now time.Time, entry netip.AddrPort, version uint64, p *passthrough.Packet) bool {
	waiting, known := g.queued[p.Key]
	if !known {
		return false
	}
	waiting.entry, waiting.version = entry, version
	if p.Ack > waiting.packet.Ack {
		// A companion that gets the packet after a refusal learns from it how long the caller
		// has waited.
		waiting.packet = p.Clone()
	}
	g.queue.Repeated(now, p.Key, p.WaitedWhenSent())
	g.act(Drop, passthrough.ReasonQueued, p)
	g.note(passthrough.NoteAdmitted, passthrough.ReasonQueued, p.Key, entry)
	return true
}

// leaveQueue removes an opening packet, if it waits, whose flow has
// opened elsewhere or was abandoned by its caller.
func (g *Gate) leaveQueue(key core.FlowKey) {
	if g.queue.Remove(key) {
		delete(g.queued, key)
	}
}

// startNext delivers the packets that wait while places are free.
func (g *Gate) startNext(now time.Time) {
	if len(g.queued) == 0 {
		return
	}
	reason := g.notReadyReason(now)
	if reason != passthrough.ReasonNone {
		g.clearQueue(now, reason)
		return
	}
	for !g.cold(now) || !g.coldWindowFull(now) {
		next, ok := g.queue.Next(now, g.Room(now))
		if !ok {
			return
		}
		waiting := g.take(next)
		reason := g.refusalReason(now, waiting.version, next.Request.Key)
		if reason == passthrough.ReasonNone {
			reason = g.startReason(now)
		}
		from := len(g.out)
		if reason == passthrough.ReasonNone {
			g.admit(now, waiting.entry, &waiting.packet)
		} else {
			next.Reason = waitqueue.ReasonNotAdmitted
			g.refuse(reason, waiting.entry, &waiting.packet)
		}
		g.out[from].Order, g.out[from].Waited = next.Reason, next.Waited
	}
}

// take removes and returns the packet of a request that has left the queue.
func (g *Gate) take(o waitqueue.Outcome) *queuedPacket {
	waiting := g.queued[o.Request.Key]
	delete(g.queued, o.Request.Key)
	return waiting
}

// refuseQueued refuses packets that have left the queue.
func (g *Gate) refuseQueued(reason passthrough.Reason, outcomes []waitqueue.Outcome) {
	for _, o := range outcomes {
		waiting := g.take(o)
		g.out = append(g.out, Action{
			Kind: Refuse, Reason: reason, To: waiting.entry, Packet: &waiting.packet, Order: o.Reason, Waited: o.Waited,
		})
	}
}

// expireQueue refuses the packets that have no chance any more.
func (g *Gate) expireQueue(now time.Time) {
	g.refuseQueued(passthrough.ReasonBusy, g.queue.Expire(now, g.Room(now)))
}

// clearQueue refuses all packets that wait.
func (g *Gate) clearQueue(now time.Time, reason passthrough.Reason) {
	g.refuseQueued(reason, g.queue.Clear(now))
}

// Continue decides about the packets that wait: those that have no chance any more are
// refused, and places that have become free are used. The caller calls it after SetTable,
// SetTarget and Stop, and at short intervals while packets wait. The result is valid
// until the next call of a method.
func (g *Gate) Continue(now time.Time) []Action {
	g.out = g.out[:0]
	if len(g.queued) == 0 {
		return g.out
	}
	reason := g.notReadyReason(now)
	if reason == passthrough.ReasonNone && g.unresponsive(now) {
		reason = passthrough.ReasonUnresponsive
	}
	if reason != passthrough.ReasonNone {
		g.clearQueue(now, reason)
		return g.out
	}
	g.returnNotAllowed()
	g.startNext(now)
	if len(g.queued) > 0 {
		g.expireQueue(now)
	}
	return g.out
}

// returnNotAllowed refuses the packets whose route doesn't allow the backend server's
// service any more.
func (g *Gate) returnNotAllowed() {
	for key, waiting := range g.queued {
		if g.allows(waiting.version, key) {
			continue
		}
		g.leaveQueue(key)
		g.out = append(g.out, Action{
			Kind: Refuse, Reason: passthrough.ReasonNotAllowed, To: waiting.entry, Packet: &waiting.packet, Order: waitqueue.ReasonNotAdmitted,
		})
	}
}
