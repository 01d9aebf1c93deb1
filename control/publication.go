package control

import (
	"time"

	"zinniapulley.dev/loop"
	"zinniapulley.dev/publish"
	"zinniapulley.dev/wire"
)

// confirmInterval is the time between two confirmations of the leadership.
const confirmInterval = 500 * time.Millisecond

// maxFloorWaiters is the most calls that wait for a confirmation at once.
const maxFloorWaiters = 4096

// publishView hands the newest view to those who wait for it.
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
		w, waits := h.watchers[delivery.Waiter]
		if !waits {
			continue
		}
		delete(h.watchers, delivery.Waiter)
		w.reply.Answer(watchAnswer{reply: wire.WatchReply{Answer: delivery.Answer}})
	}
}

// watchEvent is a process that asks for a newer view.
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
	h.lastWatcher++
	until := now.Add(min(e.request.Wait, maxWatchWait))
	answer, answered := h.source.Wait(now, h.lastWatcher, e.request.Have, until)
	if answered {
		e.reply.Answer(watchAnswer{reply: wire.WatchReply{Answer: answer}})
		return
	}
	h.watchers[h.lastWatcher] = watcher{reply: e.reply}
}

// reportEvent says which revisions subscribers have in force.
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
	// running is set while a round is under way.
	running bool
	// next is when the next round is due.
	next time.Time
	// current waits for the round under way, later for the one after it.
	current []func(error)
	later   []func(error)
}

// end answers all that wait with the error.
func (c *confirmation) end(err error) {
	waiting := append(c.current, c.later...)
	c.current, c.later = nil, nil
	for _, done := range waiting {
		done(err)
	}
}

// confirmDue starts a round if one is due.
func (h *handler) confirmDue(now time.Time) {
	if now.Before(h.confirm.next) {
		return
	}
	h.confirm.next = now.Add(confirmInterval)
	h.startConfirm(now)
}

// startConfirm starts a round unless one is under way.
func (h *handler) startConfirm(now time.Time) {
	if h.confirm.running {
		return
	}
	h.confirm.running = true
	h.confirm.current, h.confirm.later = h.confirm.later, nil
	h.order.Confirm(now, func(err error) { h.confirmed(now, err) })
}

// confirmed ends the round that started at the given time.
func (h *handler) confirmed(started time.Time, err error) {
	h.confirm.running = false
	if err == nil {
		h.source.Confirm(started)
	}
	waiting := h.confirm.current
	h.confirm.current = nil
	for _, done := range waiting {
		done(err)
	}
	if len(h.confirm.later) > 0 {
		h.startConfirm(h.now)
	}
}

// whenConfirmed calls done once a quorum has confirmed that this instance led
// after the call, so that the machine then holds all that was accepted before
// it, or with an error.
func (h *handler) whenConfirmed(now time.Time, done func(error)) {
	if !h.leading {
		done(h.notLeader())
		return
	}
	if len(h.confirm.later) >= maxFloorWaiters {
		done(loop.ErrFull)
		return
	}
	h.confirm.later = append(h.confirm.later, done)
	h.startConfirm(now)
}

// floorAnswer is the answer to a process that asks for a floor.
type floorAnswer struct {
	reply wire.FloorReply
	err   error
}

// floorEvent is a process that asks for a confirmed revision.
type floorEvent struct {
	reply loop.Reply[floorAnswer]
}

func (e floorEvent) handle(h *handler, now time.Time) {
	h.whenConfirmed(now, func(err error) {
		e.reply.Answer(floorAnswer{reply: wire.FloorReply{Revision: h.machine.View().Revision}, err: err})
	})
}
