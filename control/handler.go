package control

import (
	"log/slog"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/wire"
)

// event is what the control loop takes. Each event carries out its own step on
// the handler.
type event interface {
	handle(h *handler, now time.Time)
}

// handler owns all control state of a control instance. Only the control loop
// calls it.
type handler struct {
	log     *slog.Logger
	machine *machine
	order   Log
	leases  *leases
	waiting []*watcher
	lease   time.Duration
}

// watcher is a call that waits for a view newer than the one it has.
type watcher struct {
	have  core.Revision
	until time.Time
	reply loop.Reply[wire.WatchReply]
}

// Handle carries out one event.
func (h *handler) Handle(now time.Time, e event) {
	e.handle(h, now)
}

// Wake takes out backend servers whose lease has expired and answers watchers
// that have waited long enough.
func (h *handler) Wake(now time.Time) {
	for _, id := range h.leases.expired(now) {
		h.remove(now, id, "lease expired")
	}
	h.answerWatchers(now)
}

// Deadline returns when the next lease expires or watcher gives up.
func (h *handler) Deadline() (time.Time, bool) {
	due, ok := h.leases.next()
	for _, w := range h.waiting {
		if !ok || w.until.Before(due) {
			due, ok = w.until, true
		}
	}
	return due, ok
}

// propose orders a command and answers the watchers once it is applied.
func (h *handler) propose(now time.Time, command Command, done func(Result, error)) {
	h.order.Propose(now, command, func(result Result, err error) {
		done(result, err)
		h.answerWatchers(now)
	})
}

func (h *handler) remove(now time.Time, id core.BackendServerID, reason string) {
	h.leases.forget(id)
	command := Command{Remove: &Remove{BackendServer: id}}
	h.propose(now, command, func(result Result, err error) {
		h.log.Info("backend server removed", "backendServer", id, "reason", reason,
			"revision", result.Revision, "error", err)
	})
}

// answerWatchers answers those with an older view and those whose wait is over.
func (h *handler) answerWatchers(now time.Time) {
	view := h.machine.View()
	var left []*watcher
	for _, w := range h.waiting {
		switch {
		case view.Revision > w.have:
			w.reply.Answer(wire.WatchReply{View: view})
		case !now.Before(w.until):
			w.reply.Answer(wire.WatchReply{})
		default:
			left = append(left, w)
		}
	}
	h.waiting = left
}

// watchEvent is a process that asks for a newer view.
type watchEvent struct {
	request wire.WatchRequest
	reply   loop.Reply[wire.WatchReply]
}

func (e watchEvent) handle(h *handler, now time.Time) {
	wait := min(e.request.Wait, maxWatchWait)
	h.waiting = append(h.waiting, &watcher{have: e.request.Have, until: now.Add(wait), reply: e.reply})
	h.answerWatchers(now)
}

// announceAnswer is the answer to an announcement.
type announceAnswer struct {
	reply wire.AnnounceReply
	err   error
}

// announceEvent is a companion that announces its backend server.
type announceEvent struct {
	request wire.AnnounceRequest
	reply   loop.Reply[announceAnswer]
}

func (e announceEvent) handle(h *handler, now time.Time) {
	command := Announce(e.request)
	id, service, known := h.machine.Registered(&command)
	if known {
		h.renew(now, id, service, e.reply)
		return
	}
	h.propose(now, Command{Announce: &command}, func(result Result, err error) {
		if err == nil {
			err = result.Refusal
		}
		h.log.Info("backend server announced", "instance", command.Instance, "service", command.Service,
			"dataCentre", command.DataCentre, "backendServer", result.BackendServer,
			"revision", result.Revision, "error", err)
		if err != nil {
			e.reply.Answer(announceAnswer{err: err})
			return
		}
		h.renew(now, result.BackendServer, result.Service, e.reply)
	})
}

func (h *handler) renew(now time.Time, id core.BackendServerID, service core.ServiceID, reply loop.Reply[announceAnswer]) {
	h.leases.renew(id, now.Add(h.lease))
	reply.Answer(announceAnswer{reply: wire.AnnounceReply{BackendServer: id, Service: service, Lease: h.lease}})
}

// configureAnswer is the answer to a new configuration document.
type configureAnswer struct {
	result Result
	err    error
}

// configureEvent is an operator's new configuration document.
type configureEvent struct {
	document []byte
	reply    loop.Reply[configureAnswer]
}

func (e configureEvent) handle(h *handler, now time.Time) {
	command := Command{Configure: &Configure{Document: e.document}}
	h.propose(now, command, func(result Result, err error) {
		h.log.Info("configuration submitted", "revision", result.Revision, "refusal", result.Refusal, "error", err)
		e.reply.Answer(configureAnswer{result: result, err: err})
	})
}
