package control

import (
	"context"
	"time"

	"zinniapulley.dev/config"
	"zinniapulley.dev/control/operator"
	"zinniapulley.dev/control/state"
	"zinniapulley.dev/core"
	"zinniapulley.dev/loop"
)

// operators implements operator.Control by sending events to the control loop.
type operators struct {
	loop *loop.Loop[event]
}

// Config returns the whole configuration.
func (o operators) Config(ctx context.Context, token string) (operator.Config, error) {
	return query(ctx, o, token, func(h *handler, _ time.Time) (operator.Config, error) {
		return h.readConfig(), nil
	})
}

// Section returns one section.
func (o operators) Section(ctx context.Context, token string, section config.Section) (operator.Section, error) {
	return query(ctx, o, token, func(h *handler, _ time.Time) (operator.Section, error) {
		return h.readSection(section)
	})
}

// History returns the retained changes after a revision.
func (o operators) History(ctx context.Context, token string, after core.Revision) (operator.History, error) {
	return query(ctx, o, token, func(h *handler, _ time.Time) (operator.History, error) {
		return h.readHistory(after), nil
	})
}

// Diff returns what changed between two revisions.
func (o operators) Diff(ctx context.Context, token string, from, to core.Revision) (operator.Diff, error) {
	return query(ctx, o, token, func(h *handler, _ time.Time) (operator.Diff, error) {
		return h.readDiff(from, to)
	})
}

// Status returns the state of the deployment.
func (o operators) Status(ctx context.Context, token string) (operator.Status, error) {
	return query(ctx, o, token, func(h *handler, now time.Time) (operator.Status, error) {
		return h.readStatus(now), nil
	})
}

// query runs read on the control loop, once a quorum has confirmed that the state
// is current, and returns the result.
func query[A any](ctx context.Context, o operators, token string, read func(*handler, time.Time) (A, error)) (A, error) {
	var zero A
	answer, err := loop.Ask(ctx, o.loop, func(reply loop.Reply[readAnswer]) event {
		untyped := func(h *handler, now time.Time) (any, error) { return read(h, now) }
		return readEvent{token: token, read: untyped, reply: reply}
	})
	if err == nil {
		err = answer.err
	}
	if err != nil {
		return zero, operatorError(err)
	}
	return answer.value.(A), nil
}

// Submit replaces one section.
func (o operators) Submit(ctx context.Context, token string, request operator.Submit) (operator.Accepted, error) {
	return o.command(ctx, token, func(team core.Team, at time.Time) state.Command {
		return state.Command{Submit: &config.Submission{
			Section: request.Section, Base: request.Base, Request: request.RequestID, Team: team,
			Body: request.Body, Remove: request.Remove, At: at,
		}}
	})
}

// SetDataCentre takes a data centre out of service or puts it back.
func (o operators) SetDataCentre(ctx context.Context, token string, request operator.SetDataCentre) (operator.Accepted, error) {
	return o.order(ctx, token, func(team core.Team, at time.Time) state.Command {
		return state.Command{SetDataCentre: &config.SetDataCentre{
			Name: request.Name, State: request.State, Request: request.RequestID, Team: team, At: at,
		}}
	})
}

// Drain starts or ends draining of a backend server.
func (o operators) Drain(ctx context.Context, token string, request operator.Drain) (operator.Accepted, error) {
	return o.order(ctx, token, func(team core.Team, _ time.Time) state.Command {
		return state.Command{Drain: &state.Drain{Instance: request.Instance, Drain: request.Drain, Team: team}}
	})
}

// order is command for a request that would undo a newer one if it were carried out late:
// it first checks that the sender still waits. Submissions name the revision that they
// change.
func (o operators) order(ctx context.Context, token string, build func(core.Team, time.Time) state.Command) (operator.Accepted, error) {
	err := loop.Confirm(ctx)
	if err != nil {
		return operator.Accepted{}, operatorError(err)
	}
	return o.command(ctx, token, build)
}

// command has the control loop propose the command that build returns for the
// token's team.
func (o operators) command(ctx context.Context, token string, build func(core.Team, time.Time) state.Command) (operator.Accepted, error) {
	answer, err := loop.Ask(ctx, o.loop, func(reply loop.Reply[commandAnswer]) event {
		return changeEvent{build: build, token: token, reply: reply}
	})
	if err == nil {
		err = answer.err
	}
	if err == nil {
		err = answer.result.Refusal
	}
	if err != nil {
		return operator.Accepted{}, operatorError(err)
	}
	revision := answer.result.Revision
	if answer.result.Answer.Outcome == config.Accepted {
		revision = answer.result.Answer.Revision
	}
	return operator.Accepted{Revision: revision}, nil
}
