package config

import (
	"fmt"

	"zinniapulley.dev/core"
	"zinniapulley.dev/core/strictjson"
)

// State is the accepted configuration, with all that the outcome of later
// submissions depends on. It is deterministic: equal calls in equal order
// produce equal states. It isn't safe for concurrent use.
type State struct {
	document Document
	// revision is that of the last accepted change.
	revision core.Revision
	// lastChanged holds the revision at which each section last changed,
	// including removed sections.
	lastChanged map[Section]core.Revision
	// evictedRevision is the newest revision evicted from lastChanged. It is
	// used for any section that lastChanged doesn't hold.
	evictedRevision core.Revision
	// ids and names map the services of the document to their IDs and back.
	ids     map[core.ServiceName]core.ServiceID
	names   map[core.ServiceID]core.ServiceName
	lastID  core.ServiceID
	history history
	answers map[core.Team]*answers
}

// maxRemovedSections limits the removed sections whose revision is kept.
const maxRemovedSections = 4096

// NewState returns an empty state.
func NewState() *State {
	return &State{
		lastChanged: make(map[Section]core.Revision),
		ids:         make(map[core.ServiceName]core.ServiceID),
		names:       make(map[core.ServiceID]core.ServiceName),
		answers:     make(map[core.Team]*answers),
	}
}

// Empty reports whether no configuration has been accepted yet.
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

// SectionRevision returns the revision at which a section last changed. For a
// section without a record it is that of the newest evicted removal, or zero.
func (s *State) SectionRevision(section Section) core.Revision {
	revision, ok := s.lastChanged[section]
	if ok {
		return revision
	}
	return s.evictedRevision
}

// Bootstrap sets the first document of a deployment, at the given revision. It
// reports whether it did: it leaves a state that isn't empty unchanged, and
// refuses an invalid document.
func (s *State) Bootstrap(revision core.Revision, document Document) bool {
	if !s.Empty() || document.Validate() != nil {
		return false
	}
	for _, section := range document.sections() {
		s.lastChanged[section] = revision
	}
	s.assignIDs(document)
	s.document = document
	s.revision = revision
	return true
}

// Submit evaluates a submission. An accepted change gets the given revision,
// which must be above all earlier ones. A resend gets the original answer while
// the limits MaxAnswersPerTeam and MaxFaultsPerTeam keep it. A later resend of
// an accepted change gets a conflict, since its base is outdated.
func (s *State) Submit(revision core.Revision, submission Submission) Answer {
	return s.deduplicate(submission, submission.digest(), func() Answer {
		return s.evaluate(revision, submission)
	})
}

// SetDataCentre evaluates a request to put one data centre in or out of
// service. It has no base, since it applies whatever else has changed. Resends
// are handled as by Submit.
func (s *State) SetDataCentre(revision core.Revision, request SetDataCentre) Answer {
	submission := Submission{
		Section: SectionDataCentres, Base: s.revision, Request: request.Request,
		Team: request.Team, At: request.At,
		Body: s.document.withDataCentre(request.Name, request.State),
	}
	return s.deduplicate(submission, request.digest(), func() Answer {
		return s.evaluateDataCentre(revision, request, submission)
	})
}

// deduplicate returns the kept answer to a resend and refuses a reused request
// ID. Otherwise it evaluates the submission and keeps the answer.
func (s *State) deduplicate(submission Submission, digest Digest, evaluate func() Answer) Answer {
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
	answer := evaluate()
	earlier.add(KeptAnswer{Request: submission.Request, Digest: digest, Answer: answer})
	return answer
}

func (s *State) evaluateDataCentre(revision core.Revision, request SetDataCentre, submission Submission) Answer {
	owner, _ := s.document.Owner(SectionDataCentres)
	_, known := s.document.DataCentres[request.Name]
	if owner == request.Team && !known {
		path := strictjson.Join(string(SectionDataCentres), string(request.Name))
		return s.invalid(SectionDataCentres, Faults{{Path: path, Problem: "is no data centre of the document"}})
	}
	return s.evaluate(revision, submission)
}

func (s *State) evaluate(revision core.Revision, submission Submission) Answer {
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
	next, faults := s.document.withSubmission(submission)
	faults = append(faults, s.checkImmutable(next)...)
	if len(faults) > 0 {
		return s.invalid(submission.Section, faults)
	}
	s.accept(revision, submission, next)
	return s.answer(Accepted, submission.Section)
}

// checkImmutable returns a fault for each changed property of a service that
// can't change during its lifetime, and one when service IDs run out.
func (s *State) checkImmutable(next Document) Faults {
	var faults Faults
	for _, name := range sortedKeys(next.Services) {
		before, existed := s.document.Services[name]
		after := next.Services[name]
		path := strictjson.Join("services", string(name))
		if existed && before.BucketCount() != after.BucketCount() {
			problem := fmt.Sprintf("must stay %d during the lifetime of the service", before.BucketCount())
			faults = append(faults, Fault{Path: path + ".buckets", Problem: problem})
		}
		if existed && before.Kind != after.Kind {
			problem := fmt.Sprintf("must stay %q during the lifetime of the service", before.Kind)
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
	s.lastChanged[submission.Section] = revision
	s.evictRemoved()
}

// assignIDs assigns an ID to each service that has none, in the order of names,
// and drops the IDs of removed services. IDs are never reused.
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

// evictRemoved evicts the oldest removed section once there are more than
// maxRemovedSections.
func (s *State) evictRemoved() {
	removed := len(s.lastChanged) - len(s.document.sections())
	if removed <= maxRemovedSections {
		return
	}
	var oldest Section
	for _, section := range sortedKeys(s.lastChanged) {
		if s.document.has(section) {
			continue
		}
		if oldest == "" || s.lastChanged[section] < s.lastChanged[oldest] {
			oldest = section
		}
	}
	s.evictedRevision = max(s.evictedRevision, s.lastChanged[oldest])
	delete(s.lastChanged, oldest)
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

// Services returns the accepted services as published, in the order of IDs.
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

// DataCentres returns the accepted data centres as published, in the order of
// names.
func (s *State) DataCentres() []core.DataCentreState {
	var states []core.DataCentreState
	for _, name := range sortedKeys(s.document.DataCentres) {
		in := s.document.DataCentres[name].State == In
		states = append(states, core.DataCentreState{Name: name, In: in})
	}
	return states
}
