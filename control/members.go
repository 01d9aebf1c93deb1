package control

import (
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/control/state"
	"zinniapulley.dev/core"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/membership"
	"zinniapulley.dev/wire"
)

// expireLeases proposes to remove the backend servers whose lease has expired.
func (h *handler) expireLeases(now time.Time) {
	departures := h.leases.Expired(now)
	if len(departures) > 0 {
		h.depart(departures, "lease expired", func(error) {})
	}
}

// depart proposes departures. Backend servers that are still registered afterwards
// get a new lease, so that the departure is proposed again when it expires.
func (h *handler) depart(departures []membership.Departure, reason string, done func(error)) {
	h.propose(state.Command{Departures: departures}, func(result state.Result, err error) {
		h.log.Info("departures", "reason", reason, "departures", len(departures), "takenOut", len(result.Departed),
			"revision", result.Revision, "refusal", result.Refusal, "error", err)
		for _, departure := range departures {
			server, registered := h.machine.Members().Server(departure.BackendServer)
			if registered && server.StartID == departure.StartID {
				h.leases.Grant(h.now, server)
			}
		}
		if err == nil {
			err = result.Refusal
		}
		done(err)
	})
}

// announceAnswer is the answer to an announcement.
type announceAnswer struct {
	reply wire.AnnounceReply
	err   error
}

// announceEvent is the announcement of a backend server by its companion.
type announceEvent struct {
	request wire.AnnounceRequest
	reply   loop.Reply[announceAnswer]
}

func (e announceEvent) handle(h *handler, _ time.Time) {
	if !h.leading {
		e.reply.Answer(announceAnswer{err: h.notLeader()})
		return
	}
	announce := state.Announce(e.request)
	server, registered := h.machine.Registered(&announce)
	if registered {
		h.grantLease(server, e.reply)
		return
	}
	h.propose(state.Command{Announce: &announce}, func(result state.Result, err error) {
		if err == nil {
			err = result.Refusal
		}
		h.log.Info("backend server announced", "instance", announce.Instance, "service", announce.Service,
			"dataCentre", announce.DataCentre, "startID", announce.StartID, "backendServer", result.Server.ID,
			"state", announce.State, "revision", result.Revision, "error", err)
		if err != nil {
			e.reply.Answer(announceAnswer{err: err})
			return
		}
		h.grantLease(result.Server, e.reply)
	})
}

// grantLease grants a lease to a backend server that was just announced, and
// answers the announcement.
func (h *handler) grantLease(server core.BackendServer, reply loop.Reply[announceAnswer]) {
	h.leases.Grant(h.now, server)
	reply.Answer(announceAnswer{reply: wire.AnnounceReply{
		BackendServer: server.ID, Service: server.Service, Lease: h.leases.Period(),
	}})
}

// heartbeatAnswer is the answer to a batch of heartbeats.
type heartbeatAnswer struct {
	reply wire.HeartbeatReply
	err   error
}

// heartbeatEvent renews leases.
type heartbeatEvent struct {
	heartbeats []membership.Heartbeat
	reply      loop.Reply[heartbeatAnswer]
}

func (e heartbeatEvent) handle(h *handler, now time.Time) {
	if !h.leading {
		e.reply.Answer(heartbeatAnswer{err: h.notLeader()})
		return
	}
	var answer heartbeatAnswer
	var reports []membership.Report
	for _, heartbeat := range e.heartbeats {
		changed, err := h.leases.Renew(now, h.machine.Members(), heartbeat)
		if err != nil {
			answer.reply.Refused = append(answer.reply.Refused, refusalOf(heartbeat, err))
		}
		if changed {
			reports = append(reports, heartbeat.Report)
		}
	}
	e.reply.Answer(answer)
	h.proposeReports(reports)
}

func refusalOf(heartbeat membership.Heartbeat, err error) wire.HeartbeatRefusal {
	var superseded *membership.SupersededError
	return wire.HeartbeatRefusal{
		BackendServer: heartbeat.Report.BackendServer,
		StartID:       heartbeat.Report.StartID,
		Superseded:    errors.As(err, &superseded),
	}
}

// proposeReports proposes the reports of heartbeats that change the replicated
// state.
func (h *handler) proposeReports(reports []membership.Report) {
	if len(reports) == 0 {
		return
	}
	h.propose(state.Command{Reports: reports}, func(result state.Result, err error) {
		for _, report := range reports {
			h.log.Info("backend server reported", "backendServer", report.BackendServer, "startID", report.StartID,
				"state", report.State, "connections", report.Capacity.Connections, "slots", report.Capacity.Slots,
				"revision", result.Revision, "refusal", result.Refusal, "error", err)
		}
	})
}

// departEvent is the departure of a backend server.
type departEvent struct {
	departure membership.Departure
	reply     loop.Reply[error]
}

func (e departEvent) handle(h *handler, _ time.Time) {
	if !h.leading {
		e.reply.Answer(h.notLeader())
		return
	}
	h.depart([]membership.Departure{e.departure}, "left", func(err error) {
		var unknown *membership.UnknownError
		if errors.As(err, &unknown) {
			err = nil
		}
		e.reply.Answer(err)
	})
}

// commandAnswer is the outcome of an operator's command.
type commandAnswer struct {
	result state.Result
	err    error
}

// proposeAndReply proposes an operator's command, logs its outcome under the
// message, and answers.
func (h *handler) proposeAndReply(command state.Command, reply loop.Reply[commandAnswer], message string, attributes ...any) {
	if !h.leading {
		reply.Answer(commandAnswer{err: h.notLeader()})
		return
	}
	h.propose(command, func(result state.Result, err error) {
		attributes = append(attributes, "revision", result.Revision, "refusal", result.Refusal, "error", err)
		h.log.Info(message, attributes...)
		reply.Answer(commandAnswer{result: result, err: err})
	})
}
