package operator

import (
	"context"
	"encoding/json"
	"time"

	"zinniapulley.dev/config"
	"zinniapulley.dev/core"
)

// Control implements the operators' interface. Each method takes the token that
// the operator presented, and fails with an Error. Results are linearizable: they
// reflect every change that was accepted before the call.
type Control interface {
	// Config returns the whole configuration.
	Config(ctx context.Context, token string) (Config, error)
	// Section returns one section.
	Section(ctx context.Context, token string, section config.Section) (Section, error)
	// History returns the retained changes after a revision, oldest first.
	History(ctx context.Context, token string, after core.Revision) (History, error)
	// Diff returns what changed between two revisions. If to is zero, it is the
	// newest one.
	Diff(ctx context.Context, token string, from, to core.Revision) (Diff, error)
	// Status returns which subscriber has which revision in force, and the
	// registered backend servers.
	Status(ctx context.Context, token string) (Status, error)
	// Submit replaces one section.
	Submit(ctx context.Context, token string, request Submit) (Accepted, error)
	// SetDataCentre takes a data centre out of service or puts it back.
	SetDataCentre(ctx context.Context, token string, request SetDataCentre) (Accepted, error)
	// Drain starts or ends draining of a backend server.
	Drain(ctx context.Context, token string, request Drain) (Accepted, error)
}

// Config is the whole configuration.
type Config struct {
	Revision core.Revision   `json:"revision"`
	Document json.RawMessage `json:"document"`
}

// Section is one section of the configuration.
type Section struct {
	Section config.Section `json:"section"`
	// Revision is the Base to submit when replacing this body.
	Revision core.Revision `json:"revision"`
	Owner    core.Team     `json:"owner"`
	// Body is null for a section that doesn't exist.
	Body json.RawMessage `json:"body"`
}

// History lists accepted changes, oldest first.
type History struct {
	Revision core.Revision `json:"revision"`
	Changes  []Change      `json:"changes"`
}

// Change is one accepted change.
type Change struct {
	Revision  core.Revision    `json:"revision"`
	Section   config.Section   `json:"section"`
	Team      core.Team        `json:"team"`
	RequestID config.RequestID `json:"requestID"`
	At        time.Time        `json:"at"`
}

// Diff lists the sections that differ between two revisions.
type Diff struct {
	From     core.Revision   `json:"from"`
	To       core.Revision   `json:"to"`
	Sections []SectionChange `json:"sections"`
}

// SectionChange is a section before and after. A body is null where the section
// doesn't exist.
type SectionChange struct {
	Section config.Section  `json:"section"`
	Before  json.RawMessage `json:"before"`
	After   json.RawMessage `json:"after"`
}

// Status is the state of the deployment.
type Status struct {
	// Control is the control instance that answers.
	Control  core.InstanceID `json:"control"`
	Revision core.Revision   `json:"revision"`
	// Members lists the control instances, if the log has a record of them.
	Members []string `json:"members,omitempty"`
	// Subscribers lists the revision that each subscriber has in force.
	Subscribers    []Subscriber       `json:"subscribers"`
	BackendServers []BackendServer    `json:"backendServers"`
	DataCentres    []DataCentreStatus `json:"dataCentres"`
	// Draining lists the instances that operators have set to drain.
	Draining []core.InstanceID `json:"draining"`
}

// Subscriber is an instance that receives views and puts them in force.
type Subscriber struct {
	Instance   core.InstanceID `json:"instance"`
	DataCentre core.DataCentre `json:"dataCentre"`
	Revision   core.Revision   `json:"revision"`
	// BehindSeconds is how long the subscriber has lacked the newest revision;
	// zero if it has it.
	BehindSeconds float64 `json:"behindSeconds"`
	// HeardSeconds is the time since the subscriber's last report.
	HeardSeconds float64 `json:"heardSeconds"`
}

// BackendServer is a registered backend server.
type BackendServer struct {
	ID          core.BackendServerID `json:"id"`
	Instance    core.InstanceID      `json:"instance"`
	Service     core.ServiceName     `json:"service"`
	DataCentre  core.DataCentre      `json:"dataCentre"`
	State       string               `json:"state"`
	Connections int                  `json:"connections"`
	Slots       int                  `json:"slots"`
	Share       int                  `json:"share"`
}

// DataCentreStatus is a data centre of the configuration.
type DataCentreStatus struct {
	Name core.DataCentre `json:"name"`
	In   bool            `json:"in"`
}

// Submit is a request to replace one section.
type Submit struct {
	Section config.Section `json:"section"`
	// Base is the Revision that Section returned.
	Base      core.Revision    `json:"base"`
	RequestID config.RequestID `json:"requestID"`
	Body      json.RawMessage  `json:"body,omitempty"`
	// Remove removes the section of a service.
	Remove bool `json:"remove,omitempty"`
}

// SetDataCentre is a request to take a data centre out of service or to put it
// back.
type SetDataCentre struct {
	Name      core.DataCentre        `json:"name"`
	State     config.DataCentreState `json:"state"`
	RequestID config.RequestID       `json:"requestID"`
}

// Drain is a request to start or end draining of a backend server.
type Drain struct {
	Instance core.InstanceID `json:"instance"`
	Drain    bool            `json:"drain"`
}

// Accepted is the reply to an accepted change.
type Accepted struct {
	// Revision is the revision of the change. The change is in force at a
	// subscriber that has this revision or a later one in force.
	Revision core.Revision `json:"revision"`
}

// Code is the machine-readable reason why a request failed.
type Code string

// Codes of an Error.
const (
	// CodeBadRequest refuses a malformed request.
	CodeBadRequest Code = "bad request"
	// CodeUnauthorized refuses a token that belongs to no team.
	CodeUnauthorized Code = "unauthorized"
	// CodeForbidden refuses a request about another team's section or service.
	CodeForbidden Code = "forbidden"
	// CodeNotFound refuses a request about something that doesn't exist.
	CodeNotFound Code = "not found"
	// CodeConflict refuses an outdated base; Revision is the current one.
	CodeConflict Code = "conflict"
	// CodeReusedID refuses a request ID that was used for another request.
	CodeReusedID Code = "reused request id"
	// CodeInvalid refuses a document that fails validation.
	CodeInvalid Code = "invalid"
	// CodeNotLeader means that the instance is not the leader. Nothing was
	// changed.
	CodeNotLeader Code = "not leader"
	// CodeUnknown means that the outcome is unknown. The same request may be sent
	// again with the same request ID.
	CodeUnknown Code = "outcome unknown"
)

// Error is the reply to a failed request.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Revision is the section's current revision, for CodeConflict.
	Revision core.Revision `json:"revision,omitempty"`
	// Faults lists the validation errors, for CodeInvalid.
	Faults config.Faults `json:"faults,omitempty"`
}

// Error returns the message.
func (e *Error) Error() string {
	return e.Message
}
