package operator

import (
	"context"
	"encoding/json"
	"time"

	"zinniapulley.dev/config"
	"zinniapulley.dev/core"
)

// Control is what the interface is about. Each method takes the token that the
// caller presented, and fails with an Error. Answers are current: they hold all
// that was accepted before the call.
type Control interface {
	// Config returns the whole configuration.
	Config(ctx context.Context, token string) (Config, error)
	// Section returns one section.
	Section(ctx context.Context, token string, section config.Section) (Section, error)
	// History returns the kept changes after a revision, oldest first.
	History(ctx context.Context, token string, after core.Revision) (History, error)
	// Diff returns what changed between two revisions. A zero to stands for
	// the newest one.
	Diff(ctx context.Context, token string, from, to core.Revision) (Diff, error)
	// Status returns who has which revision in force, and the backend servers.
	Status(ctx context.Context, token string) (Status, error)
	// Submit replaces one section.
	Submit(ctx context.Context, token string, request Submit) (Accepted, error)
	// SetDataCentre puts a data centre in or out.
	SetDataCentre(ctx context.Context, token string, request SetDataCentre) (Accepted, error)
	// Drain sets or lifts the wish that a backend server drains.
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
	// Revision is the base of a submission that replaces this body.
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

// SectionChange is what became of a section. A body is null where the section
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
	// Members lists the control instances, where the log knows them.
	Members []string `json:"members,omitempty"`
	// Subscribers lists who has which revision in force.
	Subscribers    []Subscriber       `json:"subscribers"`
	BackendServers []BackendServer    `json:"backendServers"`
	DataCentres    []DataCentreStatus `json:"dataCentres"`
	// Draining lists the instances that operators have draining.
	Draining []core.InstanceID `json:"draining"`
}

// Subscriber is an instance that puts views in force.
type Subscriber struct {
	Instance   core.InstanceID `json:"instance"`
	DataCentre core.DataCentre `json:"dataCentre"`
	Revision   core.Revision   `json:"revision"`
	// BehindSeconds is for how long it lacks the newest revision, zero if it
	// has it.
	BehindSeconds float64 `json:"behindSeconds"`
	// HeardSeconds is how long ago it was last heard from.
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

// Submit asks to replace one section.
type Submit struct {
	Section config.Section `json:"section"`
	// Base is the revision that Section gave.
	Base      core.Revision    `json:"base"`
	RequestID config.RequestID `json:"requestID"`
	Body      json.RawMessage  `json:"body,omitempty"`
	// Remove takes the section of a service out.
	Remove bool `json:"remove,omitempty"`
}

// SetDataCentre asks to put a data centre in or out.
type SetDataCentre struct {
	Name      core.DataCentre        `json:"name"`
	State     config.DataCentreState `json:"state"`
	RequestID config.RequestID       `json:"requestID"`
}

// Drain asks that a backend server drains, or no longer.
type Drain struct {
	Instance core.InstanceID `json:"instance"`
	Drain    bool            `json:"drain"`
}

// Accepted says that a change was accepted.
type Accepted struct {
	// Revision is that of the change. Once a subscriber has it or a later one
	// in force, the change is in force there.
	Revision core.Revision `json:"revision"`
}

// Code says, for programs, why a request failed.
type Code string

// The codes.
const (
	// CodeBadRequest refuses a request that can't be understood.
	CodeBadRequest Code = "bad request"
	// CodeUnauthorized refuses a token that belongs to no team.
	CodeUnauthorized Code = "unauthorized"
	// CodeForbidden refuses what belongs to another team.
	CodeForbidden Code = "forbidden"
	// CodeNotFound refuses what is about something unknown.
	CodeNotFound Code = "not found"
	// CodeConflict refuses a base that is outdated; Revision is the current
	// one.
	CodeConflict Code = "conflict"
	// CodeReusedID refuses a request ID that was used for something else.
	CodeReusedID Code = "reused request id"
	// CodeInvalid refuses a document with faults.
	CodeInvalid Code = "invalid"
	// CodeNotLeader says that another instance leads. Nothing was changed.
	CodeNotLeader Code = "not leader"
	// CodeUnknown says that the outcome is unknown. The same request with the
	// same request ID may be sent again.
	CodeUnknown Code = "outcome unknown"
)

// Error is why a request failed.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Revision is the section's current revision, for CodeConflict.
	Revision core.Revision `json:"revision,omitempty"`
	// Faults lists what is wrong, for CodeInvalid.
	Faults config.Faults `json:"faults,omitempty"`
}

// Error returns the message.
func (e *Error) Error() string {
	return e.Message
}
