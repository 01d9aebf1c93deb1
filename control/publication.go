package control

import (
	"time"

	"zinniapulley.dev/loop"
	"zinniapulley.dev/publish"
	"zinniapulley.dev/wire"
)

// confirmInterval is the time between two confirmations of the leadership by a
// quorum.
const confirmInterval = 500 * time.Millisecond

// maxConfirmationWaiters limits the calls that wait for a confirmation.
const maxConfirmationWaiters = 4096

// publishView answers the waiting Watch calls if there is a newer view.
func (h *handler) publishView() {
	view := h.machine.View()
	if view.Revision <= h.source.View().Revision {
		return
	}
	h.tracker.Publish(h.now, view.Revision)
	h.deliver(h.source.Publish(h.now, view))
}

func (h *handler) deliver(deliveries []publish.Delivery) {
	for _, delivery := range deliveries {
		w, waits := h.waiters[delivery.Waiter]
		if !waits {
			continue
		}
		delete(h.waiters, delivery.Waiter)
		w.reply.Answer(watchAnswer{reply: wire.WatchReply{Answer: delivery.Answer}})
	}
}

// watchEvent is a subscriber's request for a newer view.
type watchEvent struct {
	request wire.WatchRequest
	reply   loop.Reply[watchAnswer]
}

func (e watchEvent) handle(h *handler, now time.Time) {
	if !h.leading {
		e.reply.Answer(watchAnswer{err: h.notLeader()})
		return
	}
	h.tracker.Report(now, publish.Report{
		Instance: e.request.Instance, DataCentre: e.request.DataCentre, Revision: e.request.Acknowledged,
	})
	routes := h.relays.Redirect(now, publish.Candidate{
		Instance: e.request.Instance, DataCentre: e.request.DataCentre, Address: e.request.Relay,
	})
	if len(routes) > 0 && !e.request.Direct {
		e.reply.Answer(watchAnswer{reply: wire.WatchReply{Relays: routes}})
		return
	}
	h.watch(now, e)
}

func (h *handler) watch(now time.Time, e watchEvent) {
	h.lastWaiter++
	deadline := now.Add(min(e.request.Wait, maxPollWait))
	answer, answered := h.source.Wait(now, h.lastWaiter, e.request.Have, deadline)
	if answered {
		e.reply.Answer(watchAnswer{reply: wire.WatchReply{Answer: answer}})
		return
	}
	h.waiters[h.lastWaiter] = waiter{reply: e.reply}
}

// reportEvent reports which revisions subscribers have in force.
type reportEvent struct {
	reports []publish.Report
	reply   loop.Reply[error]
}

func (e reportEvent) handle(h *handler, now time.Time) {
	if !h.leading {
		e.reply.Answer(h.notLeader())
		return
	}
	for _, report := range e.reports {
		h.tracker.Report(now, report)
	}
	e.reply.Answer(nil)
}

// confirmation tracks the rounds in which a quorum confirms the leadership.
type confirmation struct {
	// running is set while a round is in progress.
	running bool
	// next is when the next round is due.
	next time.Time
	// current holds the callbacks for the round in progress, later those for the
	// next one.
	current []func(error)
	later   []func(error)
}

// fail calls all waiting callbacks with the error.
func (c *confirmation) fail(err error) {
	waiting := append(c.current, c.later...)
	c.current, c.later = nil, nil
	for _, done := range waiting {
		done(err)
	}
}

// confirmIfDue starts a round if one is due.
func (h *handler) confirmIfDue(now time.Time) {
	if now.Before(h.confirmation.next) {
		return
	}
	h.confirmation.next = now.Add(confirmInterval)
	h.startConfirmation(now)
}

// startConfirmation starts a round unless one is in progress.
func (h *handler) startConfirmation(now time.Time) {
	if h.confirmation.running {
		return
	}
	h.confirmation.running = true
	h.confirmation.current, h.confirmation.later = h.confirmation.later, nil
	h.commandLog.Confirm(now, func(err error) { h.finishConfirmation(now, err) })
}

// finishConfirmation ends the round that started at the given time.
func (h *handler) finishConfirmation(started time.Time, err error) {
	h.confirmation.running = false
	if err == nil {
		h.source.Confirm(started)
	}
	waiting := h.confirmation.current
	h.confirmation.current = nil
	for _, done := range waiting {
		done(err)
	}
	if len(h.confirmation.later) > 0 {
		h.startConfirmation(h.now)
	}
}

// whenConfirmed calls done once a quorum has confirmed that this instance was
// still leading after the call, or with an error. Once confirmed, the state
// machine has applied all commands that were accepted before the call.
func (h *handler) whenConfirmed(now time.Time, done func(error)) {
	if !h.leading {
		done(h.notLeader())
		return
	}
	if len(h.confirmation.later) >= maxConfirmationWaiters {
		done(loop.ErrFull)
		return
	}
	h.confirmation.later = append(h.confirmation.later, done)
	h.startConfirmation(now)
}

// floorAnswer is the answer to a Floor call.
type floorAnswer struct {
	reply wire.FloorReply
	err   error
}

// floorEvent is a subscriber's request for a revision that a quorum confirms as
// current.
type floorEvent struct {
	reply loop.Reply[floorAnswer]
}

func (e floorEvent) handle(h *handler, now time.Time) {
	h.whenConfirmed(now, func(err error) {
		e.reply.Answer(floorAnswer{reply: wire.FloorReply{Revision: h.machine.View().Revision}, err: err})
	})
}
