package dispatch

import (
	"cmp"
	"slices"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
)

const (
	// maxWaiting is the most opening packets that wait.
	maxWaiting = 512
	// waitLimit is how long an opening packet waits: until its caller has sent the next
	// copy.
	waitLimit = 500 * time.Millisecond
	// busyRetry is the time after which a flow that was refused by busy backend servers
	// is tried again: a few service times.
	busyRetry = 100 * time.Millisecond
	// fullRetry is the same for a flow for which no backend server had room by its state,
	// so that it is decided again at each call of Continue.
	fullRetry = 40 * time.Millisecond
	// minRetries is how many packets are decided about at once although no companion is
	// ready: their callers are told.
	minRetries = 16
	// settleTime is how long an entry instance waits for the statuses that it has
	// requested at its start, unless settledShare of them have come.
	settleTime   = 60 * time.Millisecond
	settledShare = 0.75
)

// waitingPacket is the newest copy of an opening packet that waits.
type waitingPacket struct {
	packet  passthrough.Packet
	since   time.Time
	retryAt time.Time
	reason  passthrough.Reason
	// tried is set once it was sent to a companion again. It waits on if that refuses it.
	tried bool
}

// dueRetry is a waiting packet that is due, with what it is ordered by.
type dueRetry struct {
	waitingPacket
	urgency passthrough.Urgency
	waited  time.Duration
}

// wait keeps an opening packet that can't be decided about yet, or that no backend
// server had room for. After an outage all callers return at once; one whose packet is
// dropped would lose the time until its next copy, and after the last one much more.
func (d *Dispatcher) wait(now time.Time, p *passthrough.Packet, reason passthrough.Reason) {
	previous, known := d.waiting[p.Key]
	if !known && len(d.waiting) >= maxWaiting {
		d.drop(p, reason)
		return
	}
	w := waitingPacket{packet: p.Clone(), since: now, retryAt: now, reason: reason}
	switch reason {
	case passthrough.ReasonBusy:
		w.retryAt = now.Add(busyRetry)
	case passthrough.ReasonFull:
		w.retryAt = now.Add(fullRetry)
	}
	sameCopy := known && previous.packet.Ack == p.Ack
	if sameCopy {
		w.since = previous.since
	}
	d.waiting[p.Key] = w
	if !sameCopy || previous.reason != reason {
		d.out = append(d.out, Action{Kind: Wait, Reason: reason, Packet: p})
	}
}

// retryWaiting decides about the opening packets that wait, if it can be done by now. It
// tries at once what all slots could take, by urgency and then first those whose callers have
// waited least: their answers may still come in time. After an outage most of those that wait
// have been abandoned, and in any order nine in ten were refused.
func (d *Dispatcher) retryWaiting(now time.Time) {
	if !d.settled(now) {
		return
	}
	var due []dueRetry
	for key, w := range d.waiting {
		switch {
		case now.Sub(w.since) > waitLimit:
			d.stopWaiting(key)
			if !w.tried {
				d.drop(&w.packet, w.reason)
			}
		case w.tried || now.Before(w.retryAt):
		default:
			due = append(due, dueRetry{waitingPacket: w, urgency: d.urgencyOf(&w.packet), waited: w.elapsed(now)})
		}
	}
	slices.SortFunc(due, func(a, b dueRetry) int {
		return cmp.Or(
			cmp.Compare(b.urgency, a.urgency),
			cmp.Compare(a.waited, b.waited),
			cmp.Compare(hashOf(a.packet.Key), hashOf(b.packet.Key)),
		)
	})
	for i := range due[:min(len(due), max(d.readySlots(now), minRetries))] {
		if due[i].reason == passthrough.ReasonBusy && !d.retries.take(due[i].urgency) {
			continue
		}
		d.openingPacket(now, &due[i].packet)
	}
}

// elapsed returns how long the caller of the packet has waited at least.
func (w *waitingPacket) elapsed(now time.Time) time.Duration {
	return w.packet.WaitedWhenSent() + now.Sub(w.since)
}

// urgencyOf returns the urgency of an opening packet, the lowest without a route.
func (d *Dispatcher) urgencyOf(p *passthrough.Packet) passthrough.Urgency {
	r := d.routeOf(p.Key)
	if r == nil {
		return passthrough.UrgencyRepeated
	}
	return passthrough.UrgencyOf(p, r)
}

// readySlots returns how many slots the companions have that admit new flows.
func (d *Dispatcher) readySlots(now time.Time) int {
	slots := 0
	for _, c := range d.companions {
		if c.status.Ready && !now.Before(c.busyUntil[passthrough.UrgencyHigh]) {
			slots += c.status.Slots
		}
	}
	return slots
}

// triedAgain records that the flow's waiting packet, if there is one, was sent to a
// companion.
func (d *Dispatcher) triedAgain(key core.FlowKey) {
	w, waits := d.waiting[key]
	if waits {
		w.tried = true
		d.waiting[key] = w
	}
}

func (d *Dispatcher) stopWaiting(key core.FlowKey) { delete(d.waiting, key) }

// unsettledReason returns why opening packets wait.
func (d *Dispatcher) unsettledReason() passthrough.Reason {
	if d.table == nil {
		return passthrough.ReasonNoView
	}
	return passthrough.ReasonStarting
}

// settled reports whether this entry instance has a view, and after its start the
// statuses of enough companions that the first callers don't all go to a few of them.
func (d *Dispatcher) settled(now time.Time) bool {
	switch {
	case d.table == nil:
		return false
	case now.Sub(d.started) > missingLimit:
		return true
	case d.firstRequestAt.IsZero():
		return false
	default:
		enough := settledShare * float64(len(d.table.View.Companions))
		return now.Sub(d.firstRequestAt) >= settleTime || float64(len(d.companions)) >= enough
	}
}
