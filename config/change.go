package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/core/strictjson"
)

// SetDataCentre is a request to put one data centre in or out of service.
type SetDataCentre struct {
	Name    core.DataCentre
	State   DataCentreState
	Request RequestID
	Team    core.Team
	// At is when the request was received.
	At time.Time
}

func (r SetDataCentre) digest() Digest {
	return sha256.Sum256(fmt.Appendf(nil, "data centre %q %q", r.Name, r.State))
}

// check returns the faults of a submission that don't depend on the document.
func (s Submission) check() Faults {
	var faults Faults
	add := func(path, problem string) {
		faults = append(faults, Fault{Path: path, Problem: problem})
	}
	_, isService := s.Section.Service()
	switch {
	case !s.Section.Valid():
		add("", fmt.Sprintf("%.80q is no section; sections are services/<name>, dataCentres, limits and teams", s.Section))
	case s.Remove && !isService:
		add(s.Section.path(), "can't be removed; only services can")
	case s.Remove && len(s.Body) > 0:
		add(s.Section.path(), "has both a body and the removal flag; send only one of them")
	}
	if s.Request == "" || len(s.Request) > MaxRequestID {
		add("", fmt.Sprintf("the request id must have 1 to %d bytes", MaxRequestID))
	}
	if len(s.Body) > MaxSectionBytes {
		add(s.Section.path(), fmt.Sprintf("is %d bytes long, more than %d", len(s.Body), MaxSectionBytes))
	}
	return faults
}

// withSubmission returns the document after a submission, and every fault that
// it would have.
func (d Document) withSubmission(submission Submission) (Document, Faults) {
	next := d
	faults := next.replaceSection(submission)
	for _, fault := range next.Validate() {
		if !faults.Covers(fault.Path) {
			faults = append(faults, fault)
		}
	}
	size := len(next.JSON())
	if size > MaxDocumentBytes {
		faults = append(faults, Fault{Problem: fmt.Sprintf("would be %d bytes long, more than %d", size, MaxDocumentBytes)})
	}
	return next, faults
}

// replaceSection replaces the submission's section. It copies a map before
// changing it, since other documents share the map.
func (d *Document) replaceSection(submission Submission) Faults {
	path := submission.Section.path()
	switch submission.Section {
	case SectionDataCentres:
		d.DataCentres = nil
		return strictjson.DecodeAt(path, submission.Body, &d.DataCentres)
	case SectionLimits:
		d.Limits = Limits{}
		return strictjson.DecodeAt(path, submission.Body, &d.Limits)
	case SectionTeams:
		d.Teams = nil
		return strictjson.DecodeAt(path, submission.Body, &d.Teams)
	default:
		return d.replaceService(path, submission)
	}
}

func (d *Document) replaceService(path string, submission Submission) Faults {
	name, _ := submission.Section.Service()
	_, exists := d.Services[name]
	if submission.Remove && !exists {
		return Faults{{Path: path, Problem: "doesn't exist, so it can't be removed"}}
	}
	services := maps.Clone(d.Services)
	if services == nil {
		services = make(map[core.ServiceName]Service)
	}
	d.Services = services
	if submission.Remove {
		delete(services, name)
		return nil
	}
	var service Service
	faults := strictjson.DecodeAt(path, submission.Body, &service)
	services[name] = service
	return faults
}

// withDataCentre returns the section "dataCentres" with one member's state
// changed.
func (d Document) withDataCentre(name core.DataCentre, state DataCentreState) []byte {
	changed := maps.Clone(d.DataCentres)
	member, ok := changed[name]
	if ok {
		member.State = state
		changed[name] = member
	}
	return mustMarshal(changed)
}

// SectionJSON returns the JSON of a section, and nil for an unknown service.
func (d Document) SectionJSON(section Section) []byte {
	switch section {
	case SectionDataCentres:
		return mustMarshal(d.DataCentres)
	case SectionLimits:
		return mustMarshal(d.Limits)
	case SectionTeams:
		return mustMarshal(d.Teams)
	default:
		name, _ := section.Service()
		service, ok := d.Services[name]
		if !ok {
			return nil
		}
		return mustMarshal(service)
	}
}

// sections lists the sections that the document has.
func (d Document) sections() []Section {
	sections := []Section{SectionDataCentres, SectionLimits, SectionTeams}
	for _, name := range sortedKeys(d.Services) {
		sections = append(sections, ServiceSection(name))
	}
	return sections
}

func (d Document) has(section Section) bool {
	name, isService := section.Service()
	if !isService {
		return true
	}
	_, ok := d.Services[name]
	return ok
}

// mustMarshal returns the JSON of a part of a document; encoding never fails.
func mustMarshal(part any) []byte {
	text, err := json.Marshal(part)
	if err != nil {
		panic("config: a part of a document always has a JSON form: " + err.Error())
	}
	return text
}

func sortBy[T any, K cmp.Ordered](list []T, key func(T) K) {
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
}
