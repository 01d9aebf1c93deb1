package config

import (
	"strings"

	"zinniapulley.dev/core"
	"zinniapulley.dev/core/strictjson"
)

// Section names the part of the document that a submission changes:
// "services/<name>", "dataCentres", "limits" or "teams".
type Section string

const (
	// SectionDataCentres names the section of all data centres.
	SectionDataCentres Section = "dataCentres"
	// SectionLimits names the section that bounds the system's own actions.
	SectionLimits Section = "limits"
	// SectionTeams names the section of the operators' teams.
	SectionTeams Section = "teams"
	// SectionAnyService matches, in a team's list, every service that no other
	// entry names.
	SectionAnyService Section = "services/*"
)

const servicePrefix = "services/"

// ServiceSection returns the section of a service.
func ServiceSection(name core.ServiceName) Section {
	return Section(servicePrefix + string(name))
}

// Service returns the service whose section this is, and false for any other
// section.
func (s Section) Service() (core.ServiceName, bool) {
	name, ok := strings.CutPrefix(string(s), servicePrefix)
	if !ok || !validName(name) {
		return "", false
	}
	return core.ServiceName(name), true
}

// Valid reports whether a submission may name the section.
func (s Section) Valid() bool {
	switch s {
	case SectionDataCentres, SectionLimits, SectionTeams:
		return true
	default:
		_, ok := s.Service()
		return ok
	}
}

// maxNameLength limits the names of services, data centres, regions, teams and
// instances.
const maxNameLength = 63

// validName reports whether a name has 1 to maxNameLength characters a to z, 0
// to 9 and inner '-'.
func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	if name[0] == '-' || name[len(name)-1] == '-' {
		return false
	}
	for _, r := range name {
		if !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-') {
			return false
		}
	}
	return true
}

// Owner returns the team that owns a section, and false if none does. An entry
// that names the section takes precedence over "services/*".
func (d Document) Owner(section Section) (core.Team, bool) {
	owner, ok := d.listedOwner(section)
	if ok {
		return owner, true
	}
	_, isService := section.Service()
	if !isService {
		return "", false
	}
	return d.listedOwner(SectionAnyService)
}

func (d Document) listedOwner(section Section) (core.Team, bool) {
	for _, name := range sortedKeys(d.Teams) {
		for _, owned := range d.Teams[name].Sections {
			if owned == section {
				return name, true
			}
		}
	}
	return "", false
}

// path returns the JSON path of the section within the document.
func (s Section) path() string {
	name, ok := s.Service()
	if ok {
		return strictjson.Join("services", string(name))
	}
	return string(s)
}
