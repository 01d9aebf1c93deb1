package request

import (
	"cmp"
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// arrived queues a new request, or refuses it when the queue is full.
func (c *Core) arrived(now time.Time, e Arrived) {
	if _, ok := c.requests[e.ID]; ok {
		return
	}
	c.counts.Arrived++
	c.budget.earn()
	c.arrivals++
	r := &pending{
		id:         e.ID,
		order:      c.arrivals,
		arrival:    now,
		deadline:   e.Deadline,
		repeatable: e.Repeatable,
		keyed:      e.Keyed,
		lastReason: ReasonNoSlot,
	}
	r.waitUntil = c.waitUntil(now, r)
	c.requests[r.id] = r
	if len(c.queue) >= c.limits.MaxQueue {
		c.refuse(r, ReasonQueueFull)
		return
	}
	c.enqueue(now, r)
}

// waitUntil returns the time at which a request that is queued at the given time
// stops waiting for a slot.
func (c *Core) waitUntil(queued time.Time, r *pending) time.Time {
	lastStart := r.deadline.Add(-c.timeNeeded(r.arrival, r.deadline))
	return earlier(lastStart, queued.Add(c.limits.MaxWait))
}

// enqueue inserts a request into the queue, by order of arrival.
func (c *Core) enqueue(now time.Time, r *pending) {
	if !now.Before(r.waitUntil) {
		c.refuse(r, r.lastReason)
		return
	}
	r.phase = phaseQueued
	at, _ := slices.BinarySearchFunc(c.queue, r.order, compareOrder)
	c.queue = slices.Insert(c.queue, at, r)
	c.schedule(r, r.waitUntil)
}

func compareOrder(r *pending, order uint64) int {
	return cmp.Compare(r.order, order)
}

func (c *Core) dequeue(r *pending) {
	at, ok := slices.BinarySearchFunc(c.queue, r.order, compareOrder)
	if ok {
		c.queue = slices.Delete(c.queue, at, at+1)
	}
}

// reserveQueued requests slots for the requests that arrived first, while any
// companion has, or may have, a free one.
func (c *Core) reserveQueued(now time.Time) {
	for len(c.queue) > 0 && c.reserving < c.limits.MaxReserving {
		candidates := c.peers.candidates(now)
		if len(candidates) == 0 {
			return
		}
		chosen := candidates[c.chooser.Choose(candidates, c.random)]
		r := c.queue[0]
		c.dequeue(r)
		c.reserve(now, r, chosen)
	}
}

func (c *Core) reserve(now time.Time, r *pending, chosen Candidate) {
	c.peers.countReserved(now, c.peers.find(chosen.Peer))
	c.reserving++
	r.phase = phaseReserving
	r.attempt++
	r.peer = chosen.Peer
	timeout := min(c.limits.ReserveTimeout, r.waitUntil.Sub(now))
	c.schedule(r, now.Add(timeout))
	c.emit(Reserve{Attempt: r.attemptID(), Peer: r.peer, Timeout: timeout, AssumedLoad: chosen.Load})
}

// reserveAnswered runs the request at the companion that granted the slot. A
// slot granted to a request that no longer waits for it is released.
func (c *Core) reserveAnswered(now time.Time, e ReserveAnswered) {
	c.peers.update(now, e.Peer, e.Load)
	r := c.current(e.Attempt)
	if r == nil {
		c.releaseSlot(e)
		return
	}
	if r.phase != phaseReserving {
		return
	}
	c.reserving--
	if !e.Granted {
		c.enqueue(now, r)
		return
	}
	c.run(now, r)
}

func (c *Core) releaseSlot(e ReserveAnswered) {
	if e.Granted {
		c.emit(Cancel{Attempt: e.Attempt, Peer: e.Peer})
	}
}

func (c *Core) reserveLost(now time.Time, e ReserveLost) {
	r := c.current(e.Attempt)
	if r == nil || r.phase != phaseReserving {
		return
	}
	c.cancelReservation(now, r)
}

// cancelReservation handles a missing reply to Reserve. The slot may have been
// granted, so it is cancelled; if the cancellation is lost too, the reservation
// expires.
func (c *Core) cancelReservation(now time.Time, r *pending) {
	c.reserving--
	c.peers.markFull(now, r.peer)
	c.emit(Cancel{Attempt: r.attemptID(), Peer: r.peer})
	c.enqueue(now, r)
}

func (c *Core) run(now time.Time, r *pending) {
	timeout := r.deadline.Sub(now)
	if r.peer != c.peers.self {
		timeout -= c.limits.HopMargin
	}
	if timeout < c.timeNeeded(r.arrival, r.deadline) {
		c.emit(Cancel{Attempt: r.attemptID(), Peer: r.peer})
		c.refuse(r, ReasonNoSlot)
		return
	}
	c.counts.Runs++
	if r.failedRuns > 0 {
		c.counts.Retries++
	}
	if r.peer != c.peers.self {
		c.counts.Forwarded++
	}
	r.phase = phaseRunning
	r.started = now
	c.schedule(r, r.deadline)
	c.emit(Run{Attempt: r.attemptID(), Peer: r.peer, Timeout: timeout})
}

// current returns the request whose current attempt is the given one, or nil.
func (c *Core) current(attempt core.AttemptID) *pending {
	r, ok := c.requests[attempt.Request]
	if !ok || r.attempt != attempt.Number {
		return nil
	}
	return r
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
