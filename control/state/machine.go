package state

import (
	"time"

	"zinniapulley.dev/config"
	"zinniapulley.dev/core"
	"zinniapulley.dev/membership"
	"zinniapulley.dev/placement"
)

// Machine is the replicated state machine. It isn't safe for concurrent use.
type Machine struct {
	config   *config.State
	members  *membership.State
	tables   *tables
	hashSeed uint64
	revision core.Revision
	view     *core.View
}

// New returns the machine of a deployment that has no configuration yet.
func New() *Machine {
	return &Machine{
		config:  config.NewState(),
		members: membership.NewState(),
		tables:  newTables(),
		view:    &core.View{},
	}
}

// View returns the published view. It is never modified.
func (m *Machine) View() *core.View {
	return m.view
}

// Config returns the accepted configuration. Callers must not modify it.
func (m *Machine) Config() *config.State {
	return m.config
}

// Members returns the registered backend servers. Callers must not modify them.
func (m *Machine) Members() *membership.State {
	return m.members
}

// Apply applies one command. A refused command changes nothing that is published;
// of Reports and Departures, those that are not refused themselves still apply.
func (m *Machine) Apply(command Command) Result {
	result, changed := m.apply(command)
	if changed {
		m.revision++
		result.Decisions = append(result.Decisions, m.publish(command.At)...)
	}
	result.Revision = m.revision
	if result.Server.ID != 0 {
		result.Server = m.publishedServer(result.Server)
	}
	return result
}

// apply changes the state and reports whether a new revision is due.
func (m *Machine) apply(command Command) (Result, bool) {
	switch {
	case command.Bootstrap != nil:
		return m.bootstrap(command.Bootstrap)
	case command.Submit != nil:
		return m.applyConfigChange(m.config.Submit(m.revision+1, *command.Submit))
	case command.SetDataCentre != nil:
		return m.applyConfigChange(m.config.SetDataCentre(m.revision+1, *command.SetDataCentre))
	case command.Announce != nil:
		return m.announce(command.Announce)
	case len(command.Reports) > 0:
		return m.report(command.Reports)
	case len(command.Departures) > 0:
		return m.depart(command.Departures)
	case command.Drain != nil:
		return m.drain(command.Drain)
	case command.Emptied != nil:
		return m.updateTables(command.At, *command.Emptied)
	case command.Tick != nil:
		return m.updateTables(command.At, placement.Tick{})
	default:
		return Result{Refusal: EmptyCommandError{}}, false
	}
}

func (m *Machine) bootstrap(command *Bootstrap) (Result, bool) {
	if !m.config.Empty() {
		return Result{Refusal: &AlreadyStartedError{Revision: m.revision}}, false
	}
	document, err := config.Parse(command.Document)
	if err != nil {
		return Result{Refusal: err}, false
	}
	m.hashSeed = command.HashSeed
	m.config.Bootstrap(m.revision+1, document)
	return Result{}, true
}

// applyConfigChange completes a configuration change: it removes the backend
// servers of removed services. A resend of an accepted submission, recognised by
// its older revision, changes nothing.
func (m *Machine) applyConfigChange(answer config.Answer) (Result, bool) {
	result := Result{Answer: answer, Refusal: answer.Err()}
	if answer.Outcome != config.Accepted || answer.Revision <= m.revision {
		return result, false
	}
	for _, server := range m.members.Servers() {
		_, configured := m.config.ServiceName(server.Service)
		if !configured {
			result.Departed = append(result.Departed, server)
			m.members.RemoveService(server.Service)
		}
	}
	return result, true
}

func (m *Machine) announce(command *Announce) (Result, bool) {
	announcement, err := m.announcement(command)
	if err != nil {
		return Result{Refusal: err}, false
	}
	before, known := m.members.ByInstance(command.Instance)
	after, err := m.members.Announce(announcement)
	if err != nil {
		return Result{Refusal: err}, false
	}
	return Result{Server: after}, !known || before != after
}

func (m *Machine) announcement(command *Announce) (membership.Announcement, error) {
	service, configured := m.config.ServiceID(command.Service)
	if !configured {
		return membership.Announcement{}, &UnknownServiceError{Instance: command.Instance, Service: command.Service}
	}
	_, configured = m.config.Document().DataCentres[command.DataCentre]
	if !configured {
		return membership.Announcement{}, &UnknownDataCentreError{Instance: command.Instance, DataCentre: command.DataCentre}
	}
	return membership.Announcement{
		Instance: command.Instance, Service: service, DataCentre: command.DataCentre, StartID: command.StartID,
		Packets: command.Packets, RPC: command.RPC, Capacity: command.Capacity, State: command.State,
	}, nil
}

// report applies each report that matches the current registration. The others
// concern backend servers that have changed in the meantime.
func (m *Machine) report(reports []membership.Report) (Result, bool) {
	changed := false
	var refusal error
	for _, report := range reports {
		before, _ := m.members.Server(report.BackendServer)
		err := m.members.Report(report)
		if err != nil {
			refusal = err
			continue
		}
		after, _ := m.members.Server(report.BackendServer)
		changed = changed || before != after
	}
	return Result{Refusal: refusal}, changed
}

func (m *Machine) depart(departures []membership.Departure) (Result, bool) {
	var result Result
	for _, departure := range departures {
		server, _ := m.members.Server(departure.BackendServer)
		err := m.members.Depart(departure)
		if err != nil {
			result.Refusal = err
			continue
		}
		result.Departed = append(result.Departed, server)
	}
	return result, len(result.Departed) > 0
}

func (m *Machine) drain(command *Drain) (Result, bool) {
	err := m.authorizeDrain(command)
	if err != nil {
		return Result{Refusal: err}, false
	}
	before, _ := m.members.ByInstance(command.Instance)
	err = m.members.Drain(command.Instance, command.Drain)
	after, _ := m.members.ByInstance(command.Instance)
	return Result{Refusal: err, Server: after}, err == nil && before != after
}

// authorizeDrain refuses teams other than the owners of the service and of section
// dataCentres. An instance that isn't registered has only the latter.
func (m *Machine) authorizeDrain(command *Drain) error {
	section := config.SectionDataCentres
	server, _ := m.members.ByInstance(command.Instance)
	name, registered := m.config.ServiceName(server.Service)
	if registered {
		section = config.ServiceSection(name)
	}
	owner, _ := m.config.Document().Owner(section)
	operators, _ := m.config.Document().Owner(config.SectionDataCentres)
	if command.Team == owner || command.Team == operators {
		return nil
	}
	return &ForbiddenError{Team: command.Team, Owner: owner, Subject: "backend server of instance " + string(command.Instance)}
}

// Registered returns the backend server of a repeated announcement. It returns
// false if there is none with the same start id, service and addresses.
func (m *Machine) Registered(command *Announce) (core.BackendServer, bool) {
	announcement, err := m.announcement(command)
	if err != nil {
		return core.BackendServer{}, false
	}
	server, known := m.members.ByInstance(command.Instance)
	if !known || server.StartID != announcement.StartID || server.Service != announcement.Service ||
		server.Packets != announcement.Packets || server.RPC != announcement.RPC {
		return core.BackendServer{}, false
	}
	return m.publishedServer(server), true
}

// updateTables passes an event to placement at the next revision.
func (m *Machine) updateTables(at time.Time, event placement.Event) (Result, bool) {
	decisions, changed := m.tables.handle(at, m.revision+1, event)
	return Result{Decisions: decisions}, changed
}

// TablesDue returns when the next table change is due, and false if none is.
func (m *Machine) TablesDue() (time.Time, bool) {
	return m.tables.placement.Deadline()
}
