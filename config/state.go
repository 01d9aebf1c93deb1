package config

import (
	"fmt"

	"zinniapulley.dev/core"
	"zinniapulley.dev/core/strictjson"
)

// State is the accepted configuration with all that later submissions are
// judged by. It is deterministic: equal calls in equal order give equal
// states. It isn't safe for concurrent use.
type State struct {
	document Document
	// revision is that of the last accepted change.
	revision core.Revision
	// changed holds the revision at which each section last changed, removed
	// ones included.
	changed map[Section]core.Revision
	// forgotten is the revision of the newest removed section that changed no
	// longer holds. A section that changed doesn't hold counts as of it.
	forgotten core.Revision
	// ids and names hold the services of the document.
	ids     map[core.ServiceName]core.ServiceID
	names   map[core.ServiceID]core.ServiceName
	lastID  core.ServiceID
	history history
	answers map[core.Team]*answers
}

// maxRemoved is the most removed sections whose revision is kept.
const maxRemoved = 4096

// NewState returns the state before any configuration was accepted.
func NewState() *State {
	return &State{
		changed: make(map[Section]core.Revision),
		ids:     make(map[core.ServiceName]core.ServiceID),
		names:   make(map[core.ServiceID]core.ServiceName),
		answers: make(map[core.Team]*answers),
	}
}

// Empty reports whether no configuration was accepted yet.
func (s *State) Empty() bool {
	return s.revision == 0
}

// Document returns the accepted document. It must not be modified.
func (s *State) Document() Document {
	return s.document
}

// Revision returns the revision of the last accepted change.
func (s *State) Revision() core.Revision {
	return s.revision
}

// SectionRevision returns the revision at which a section last changed, and
// zero for one that never existed.
func (s *State) SectionRevision(section Section) core.Revision {
	revision, ok := s.changed[section]
	if ok {
		return revision
	}
	return s.forgotten
}

// Bootstrap takes the first document of a deployment, at the given revision.
// It reports whether it did: a state that isn't empty stays as it is.
func (s *State) Bootstrap(revision core.Revision, document Document) bool {
	if !s.Empty() || document.Validate() != nil {
		return false
	}
	for _, section := range document.sections() {
		s.changed[section] = revision
	}
	s.assignIDs(document)
	s.document = document
	s.revision = revision
	return true
}

// Submit judges a submission. If it is accepted, the change gets the given
// revision, which must be above all earlier ones. A resend gets the answer that
// the first of its kind got, as long as the team made fewer than
// AnswersPerTeam other submissions since; an older resend of an accepted
// change gets a conflict, since its base is outdated.
func (s *State) Submit(revision core.Revision, submission Submission) Answer {
	return s.once(submission, submission.digest(), func() Answer {
		return s.judge(revision, submission)
	})
}

// SetDataCentre judges a request to put one data centre in or out. It has no
// base: whoever asks wants the state whatever else has changed. Resends are
// treated as Submit treats them.
func (s *State) SetDataCentre(revision core.Revision, request SetDataCentre) Answer {
	submission := Submission{
		Section: SectionDataCentres, Base: s.revision, Request: request.Request,
		Team: request.Team, At: request.At,
		Body: s.document.withDataCentre(request.Name, request.State),
	}
	return s.once(submission, request.digest(), func() Answer {
		return s.judgeDataCentre(revision, request, submission)
	})
}

// once returns the kept answer of a resend, refuses a request ID that was used
// for something else, and otherwise judges and keeps the answer.
func (s *State) once(submission Submission, digest Digest, judge func() Answer) Answer {
	_, known := s.document.Teams[submission.Team]
	if !known {
		return s.forbidden(submission)
	}
	earlier := s.answersOf(submission.Team)
	first, found := earlier.find(submission.Request)
	if found && first.Digest == digest {
		return first.Answer
	}
	if found {
		return s.answer(ReusedID, submission.Section)
	}
	answer := judge()
	earlier.add(KeptAnswer{Request: submission.Request, Digest: digest, Answer: answer})
	return answer
}

func (s *State) judgeDataCentre(revision core.Revision, request SetDataCentre, submission Submission) Answer {
	owner, _ := s.document.Owner(SectionDataCentres)
	_, known := s.document.DataCentres[request.Name]
	if owner == request.Team && !known {
		path := strictjson.Join(string(SectionDataCentres), string(request.Name))
		return s.invalid(SectionDataCentres, Faults{{Path: path, Problem: "is no data centre of the document"}})
	}
	return s.judge(revision, submission)
}

func (s *State) judge(revision core.Revision, submission Submission) Answer {
	faults := submission.check()
	if len(faults) > 0 {
		return s.invalid(submission.Section, faults)
	}
	owner, _ := s.document.Owner(submission.Section)
	if owner != submission.Team {
		return s.forbidden(submission)
	}
	current := s.SectionRevision(submission.Section)
	if submission.Base < current || submission.Base > s.revision {
		return s.answer(Conflict, submission.Section)
	}
	next, faults := s.document.with(submission)
	faults = append(faults, s.fixed(next)...)
	if len(faults) > 0 {
		return s.invalid(submission.Section, faults)
	}
	s.accept(revision, submission, next)
	return s.answer(Accepted, submission.Section)
}

// fixed returns a fault for each property of a service that changed though it
// can't change in the service's life.
func (s *State) fixed(next Document) Faults {
	var faults Faults
	for _, name := range sortedKeys(next.Services) {
		before, existed := s.document.Services[name]
		after := next.Services[name]
		path := strictjson.Join("services", string(name))
		if existed && before.BucketCount() != after.BucketCount() {
			problem := fmt.Sprintf("must stay %d in the life of the service", before.BucketCount())
			faults = append(faults, Fault{Path: path + ".buckets", Problem: problem})
		}
		if existed && before.Kind != after.Kind {
			problem := fmt.Sprintf("must stay %q in the life of the service", before.Kind)
			faults = append(faults, Fault{Path: path + ".kind", Problem: problem})
		}
	}
	if s.lastID+core.ServiceID(len(next.Services)) > core.MaxServiceID {
		faults = append(faults, Fault{Path: "services", Problem: "has used up all service IDs"})
	}
	return faults
}

func (s *State) accept(revision core.Revision, submission Submission, next Document) {
	s.history.add(Entry{
		Revision: revision,
		Section:  submission.Section,
		Team:     submission.Team,
		Request:  submission.Request,
		At:       submission.At,
		Before:   s.document.SectionJSON(submission.Section),
		After:    next.SectionJSON(submission.Section),
	})
	s.assignIDs(next)
	s.document = next
	s.revision = revision
	s.changed[submission.Section] = revision
	s.forgetRemoved()
}

// assignIDs gives an ID to each service that has none, in the order of names,
// and drops those of services that are gone. No ID is given twice.
func (s *State) assignIDs(next Document) {
	for _, name := range sortedKeys(s.ids) {
		_, stays := next.Services[name]
		if !stays {
			delete(s.names, s.ids[name])
			delete(s.ids, name)
		}
	}
	for _, name := range sortedKeys(next.Services) {
		_, has := s.ids[name]
		if !has {
			s.lastID++
			s.ids[name] = s.lastID
			s.names[s.lastID] = name
		}
	}
}

// forgetRemoved drops the oldest removed section once there are too many.
func (s *State) forgetRemoved() {
	removed := len(s.changed) - len(s.document.sections())
	if removed <= maxRemoved {
		return
	}
	var oldest Section
	for _, section := range sortedKeys(s.changed) {
		if s.document.has(section) {
			continue
		}
		if oldest == "" || s.changed[section] < s.changed[oldest] {
			oldest = section
		}
	}
	s.forgotten = max(s.forgotten, s.changed[oldest])
	delete(s.changed, oldest)
}

func (s *State) answer(outcome Outcome, section Section) Answer {
	return Answer{Outcome: outcome, Section: section, Revision: s.SectionRevision(section)}
}

func (s *State) invalid(section Section, faults Faults) Answer {
	answer := s.answer(Invalid, section)
	answer.Faults = faults.Clip(MaxFaults)
	return answer
}

func (s *State) forbidden(submission Submission) Answer {
	answer := s.answer(Forbidden, submission.Section)
	answer.Owner, _ = s.document.Owner(submission.Section)
	return answer
}

// Services returns the accepted services as published, by ID.
func (s *State) Services() []core.Service {
	services := make([]core.Service, 0, len(s.ids))
	for _, name := range sortedKeys(s.ids) {
		service := s.document.Services[name]
		services = append(services, core.Service{
			ID: s.ids[name], Name: name, Address: service.Address, Kind: service.Kind.Core(),
		})
	}
	sortBy(services, func(service core.Service) core.ServiceID { return service.ID })
	return services
}

// ServiceID returns the ID of a service of the document.
func (s *State) ServiceID(name core.ServiceName) (core.ServiceID, bool) {
	id, ok := s.ids[name]
	return id, ok
}

// ServiceName returns the name of the service with an ID.
func (s *State) ServiceName(id core.ServiceID) (core.ServiceName, bool) {
	name, ok := s.names[id]
	return name, ok
}

// DataCentres returns the accepted data centres as published, by name.
func (s *State) DataCentres() []core.DataCentreState {
	var states []core.DataCentreState
	for _, name := range sortedKeys(s.document.DataCentres) {
		in := s.document.DataCentres[name].State == In
		states = append(states, core.DataCentreState{Name: name, In: in})
	}
	return states
}
