package control

import (
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/config"
	"zinniapulley.dev/control/operator"
	"zinniapulley.dev/control/state"
	"zinniapulley.dev/core"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/membership"
	"zinniapulley.dev/publish"
)

// changeEvent is an operator's request for a change: a submission, a data
// centre's state, or a drain.
type changeEvent struct {
	// build returns the command for the team that the token authenticates.
	build func(team core.Team, at time.Time) state.Command
	token string
	reply loop.Reply[commandAnswer]
}

func (e changeEvent) handle(h *handler, now time.Time) {
	if !h.leading {
		e.reply.Answer(commandAnswer{err: h.notLeader()})
		return
	}
	team, err := h.authenticate(e.token)
	if err != nil {
		e.reply.Answer(commandAnswer{err: err})
		return
	}
	command := e.build(team, now.Round(0).UTC())
	if command.Submit != nil {
		faults := command.Submit.SharedTokens()
		if len(faults) > 0 {
			answer := config.Answer{Outcome: config.Invalid, Section: command.Submit.Section, Faults: faults}
			e.reply.Answer(commandAnswer{err: answer.Err()})
			return
		}
	}
	h.proposeAndReply(command, e.reply, "operator request", "team", team, "request", describe(command))
}

// describe summarises an operator's request for the log.
func describe(command state.Command) string {
	switch {
	case command.Submit != nil:
		return "submit " + string(command.Submit.Section) + " " + string(command.Submit.Request)
	case command.SetDataCentre != nil:
		return "data centre " + string(command.SetDataCentre.Name) + " " + string(command.SetDataCentre.State)
	case command.Drain != nil && command.Drain.Drain:
		return "drain " + string(command.Drain.Instance)
	case command.Drain != nil:
		return "end drain of " + string(command.Drain.Instance)
	default:
		return "other"
	}
}

func (h *handler) authenticate(token string) (core.Team, error) {
	team, known := h.machine.Config().Document().Authenticate(token)
	if !known {
		message := "the token belongs to no team; set it with --token-file, or ask the owner of section teams to add it"
		return "", &operator.Error{Code: operator.CodeUnauthorized, Message: message}
	}
	return team, nil
}

// readAnswer is the answer to an operator's read request.
type readAnswer struct {
	// value has the type that read returned.
	value any
	err   error
}

// readEvent is an operator's read request. It is answered once a quorum has
// confirmed that this instance's state is current.
type readEvent struct {
	token string
	read  func(h *handler, now time.Time) (any, error)
	reply loop.Reply[readAnswer]
}

func (e readEvent) handle(h *handler, now time.Time) {
	h.whenConfirmed(now, func(err error) {
		if err == nil {
			_, err = h.authenticate(e.token)
		}
		if err != nil {
			e.reply.Answer(readAnswer{err: err})
			return
		}
		value, err := e.read(h, h.now)
		e.reply.Answer(readAnswer{value: value, err: err})
	})
}

func (h *handler) readConfig() operator.Config {
	return operator.Config{
		Revision: h.machine.View().Revision,
		Document: h.machine.Config().Document().JSON(),
	}
}

func (h *handler) readSection(section config.Section) (operator.Section, error) {
	if !section.Valid() {
		message := errors.Errorf("%.80q is no section; sections are services/<name>, dataCentres, limits and teams", section).Error()
		return operator.Section{}, &operator.Error{Code: operator.CodeNotFound, Message: message}
	}
	document := h.machine.Config().Document()
	owner, _ := document.Owner(section)
	return operator.Section{
		Section:  section,
		Revision: h.machine.Config().SectionRevision(section),
		Owner:    owner,
		Body:     document.SectionJSON(section),
	}, nil
}

func (h *handler) readHistory(after core.Revision) operator.History {
	history := operator.History{Revision: h.machine.View().Revision, Changes: []operator.Change{}}
	for _, entry := range h.machine.Config().History(after) {
		history.Changes = append(history.Changes, operator.Change{
			Revision: entry.Revision, Section: entry.Section, Team: entry.Team, RequestID: entry.Request, At: entry.At,
		})
	}
	return history
}

func (h *handler) readDiff(from, to core.Revision) (operator.Diff, error) {
	if to == 0 {
		to = h.machine.View().Revision
	}
	changes, err := h.machine.Config().Diff(from, to)
	if err != nil {
		return operator.Diff{}, &operator.Error{Code: operator.CodeNotFound, Message: err.Error()}
	}
	diff := operator.Diff{From: from, To: to, Sections: []operator.SectionChange{}}
	for _, change := range changes {
		diff.Sections = append(diff.Sections, operator.SectionChange{
			Section: change.Section, Before: change.Before, After: change.After,
		})
	}
	return diff, nil
}

func (h *handler) readStatus(now time.Time) operator.Status {
	view := h.machine.View()
	status := operator.Status{
		Control: h.commandLog.Leader(), Revision: view.Revision,
		Subscribers: []operator.Subscriber{}, BackendServers: []operator.BackendServer{},
		DataCentres: []operator.DataCentreStatus{}, Draining: h.machine.Members().Drained(),
	}
	for _, subscriber := range h.tracker.Subscribers() {
		status.Subscribers = append(status.Subscribers, subscriberStatus(now, subscriber))
	}
	for _, server := range view.BackendServers {
		status.BackendServers = append(status.BackendServers, h.serverStatus(server))
	}
	for _, dataCentre := range view.DataCentres {
		status.DataCentres = append(status.DataCentres, operator.DataCentreStatus{Name: dataCentre.Name, In: dataCentre.In})
	}
	return status
}

func subscriberStatus(now time.Time, subscriber publish.Subscriber) operator.Subscriber {
	status := operator.Subscriber{
		Instance: subscriber.Instance, DataCentre: subscriber.DataCentre, Revision: subscriber.Revision,
		HeardSeconds: now.Sub(subscriber.LastReport).Seconds(),
	}
	if !subscriber.BehindSince.IsZero() {
		status.BehindSeconds = now.Sub(subscriber.BehindSince).Seconds()
	}
	return status
}

func (h *handler) serverStatus(server core.BackendServer) operator.BackendServer {
	name, _ := h.machine.Config().ServiceName(server.Service)
	return operator.BackendServer{
		ID: server.ID, Instance: server.Instance, Service: name, DataCentre: server.DataCentre,
		State: server.State.String(), Connections: server.Capacity.Connections, Slots: server.Capacity.Slots,
		Share: server.Share,
	}
}

// operatorError converts a refusal or failure to the error that operators
// receive.
func operatorError(err error) error {
	var refused *config.RefusedError
	var notLeader *NotLeaderError
	var forbidden *state.ForbiddenError
	var unknown *membership.UnknownInstanceError
	var operatorErr *operator.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &operatorErr):
		return operatorErr
	case errors.As(err, &refused):
		return refusedError(refused)
	case errors.As(err, &notLeader):
		return &operator.Error{Code: operator.CodeNotLeader, Message: err.Error()}
	case errors.As(err, &forbidden):
		return &operator.Error{Code: operator.CodeForbidden, Message: err.Error()}
	case errors.As(err, &unknown):
		return &operator.Error{Code: operator.CodeNotFound, Message: err.Error() + "; status lists those that are"}
	default:
		return &operator.Error{Code: operator.CodeUnknown, Message: err.Error()}
	}
}

func refusedError(refused *config.RefusedError) error {
	codes := map[config.Outcome]operator.Code{
		config.Conflict: operator.CodeConflict, config.Invalid: operator.CodeInvalid,
		config.Forbidden: operator.CodeForbidden, config.ReusedID: operator.CodeReusedID,
	}
	answer := refused.Answer
	return &operator.Error{
		Code: codes[answer.Outcome], Message: refused.Error(), Revision: answer.Revision, Faults: answer.Faults,
	}
}
