package config

import (
	"fmt"
	"math/bits"
	"net/netip"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/core/strictjson"
)

// Limits of a document.
const (
	// MaxServices is the maximum number of services.
	MaxServices = 4096
	// MaxDataCentres is the maximum number of data centres.
	MaxDataCentres = 64
	// MaxTeams is the maximum number of teams.
	MaxTeams = 256
	// MaxTokens is the maximum number of tokens of a team.
	MaxTokens = 16
	// MaxShare is the highest share, in percent.
	MaxShare = 1000
	// MinBuckets and MaxBuckets bound the buckets of a service.
	MinBuckets = 256
	MaxBuckets = 16384
	// MaxConnections and MaxSlots bound the capacity of a backend server.
	MaxConnections = 1 << 20
	MaxSlots       = 1 << 16
	// MaxRetries is the highest value of Requests.Retries.
	MaxRetries = 10
	// MaxDeadline is the longest deadline of a request.
	MaxDeadline = 24 * time.Hour
	// MaxBucketMoves is the highest value of Limits.BucketMoves.
	MaxBucketMoves = 65536
	// MaxReturnRamp is the longest ramp of a returning data centre.
	MaxReturnRamp = time.Hour
)

// Validate returns all validation errors of a decoded document, and nil when it
// is valid.
func (d Document) Validate() Faults {
	v := validator{document: d}
	v.counts()
	v.dataCentres()
	v.limits()
	v.services()
	v.addresses()
	v.teams()
	return v.faults
}

type validator struct {
	document Document
	faults   Faults
}

func (v *validator) add(path, format string, args ...any) {
	v.faults = append(v.faults, strictjson.NewFault(path, fmt.Sprintf(format, args...)))
}

// within adds a fault when a number is out of range.
func (v *validator) within(path string, number, lowest, highest int) {
	if number < lowest || number > highest {
		v.add(path, "must lie between %d and %d, not %d", lowest, highest, number)
	}
}

func (v *validator) name(path, name string) {
	if !validName(name) {
		v.add(path, "needs a name of 1 to %d letters a to z, digits and inner '-'", maxNameLength)
	}
}

func (v *validator) counts() {
	v.atMost("dataCentres", len(v.document.DataCentres), MaxDataCentres)
	v.atMost("services", len(v.document.Services), MaxServices)
	v.atMost("teams", len(v.document.Teams), MaxTeams)
	if len(v.document.DataCentres) == 0 {
		v.add("dataCentres", "must name at least one data centre")
	}
	if len(v.document.Teams) == 0 {
		v.add("teams", "must name at least one team")
	}
}

func (v *validator) atMost(path string, count, limit int) {
	if count > limit {
		v.add(path, "holds %d entries, more than %d", count, limit)
	}
}

func (v *validator) dataCentres() {
	for _, name := range sortedKeys(v.document.DataCentres) {
		path := strictjson.Join("dataCentres", string(name))
		v.name(path, string(name))
		dataCentre := v.document.DataCentres[name]
		if !validName(dataCentre.Region) {
			v.name(path+".region", dataCentre.Region)
		}
		if dataCentre.State != In && dataCentre.State != Out {
			v.add(path+".state", "must be \"in\" or \"out\", not %q", dataCentre.State)
		}
	}
}

func (v *validator) limits() {
	limits := v.document.Limits
	v.within("limits.bucketMovesPerSecond", limits.BucketMoves, 0, MaxBucketMoves)
	if time.Duration(limits.ReturnRamp) > MaxReturnRamp {
		v.add("limits.returnRamp", "must be at most %v", MaxReturnRamp)
	}
}

func (v *validator) services() {
	for _, name := range sortedKeys(v.document.Services) {
		path := strictjson.Join("services", string(name))
		v.name(path, string(name))
		v.service(path, v.document.Services[name])
		v.serviceTeam(path+".team", name)
	}
}

func (v *validator) service(path string, service Service) {
	problem := addressProblem(service.Address)
	if problem != "" {
		v.add(path+".address", "%s", problem)
	}
	if service.Kind.Core() == 0 {
		v.add(path+".kind", "must be \"stream\" or \"request\", not %q", service.Kind)
	}
	v.buckets(path+".buckets", service.Buckets)
	v.share(path+".share", service.Share)
	v.within(path+".capacity.connections", service.Capacity.Connections, 1, MaxConnections)
	v.within(path+".capacity.slots", service.Capacity.Slots, 1, MaxSlots)
	v.requests(path+".requests", service)
}

func addressProblem(address netip.AddrPort) string {
	ip := address.Addr()
	switch {
	case !ip.Is4():
		return "must be an IPv4 address and port, such as \"192.0.2.1:80\""
	case ip.IsUnspecified(), ip.IsMulticast(), ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		return fmt.Sprintf("must be the address of a host, not %v", ip)
	case address.Port() == 0:
		return "must have a port other than 0"
	default:
		return ""
	}
}

func (v *validator) buckets(path string, buckets int) {
	if buckets == 0 {
		return
	}
	v.within(path, buckets, MinBuckets, MaxBuckets)
	if buckets > 0 && bits.OnesCount(uint(buckets)) != 1 {
		v.add(path, "must be a power of two, not %d", buckets)
	}
}

func (v *validator) share(path string, share Share) {
	for _, name := range sortedKeys(share.DataCentres) {
		memberPath := strictjson.Join(path+".dataCentres", string(name))
		_, known := v.document.DataCentres[name]
		if !known {
			v.add(memberPath, "names no data centre of the document")
		}
		v.within(memberPath, share.DataCentres[name], 0, MaxShare)
	}
	for _, name := range sortedKeys(share.Instances) {
		memberPath := strictjson.Join(path+".instances", string(name))
		v.name(memberPath, string(name))
		v.within(memberPath, share.Instances[name], 0, MaxShare)
	}
}

func (v *validator) requests(path string, service Service) {
	requests := service.Requests
	if service.Kind == Stream && requests != (Requests{}) {
		v.add(path, "applies to services of kind \"request\" only")
	}
	if time.Duration(requests.Deadline) > MaxDeadline {
		v.add(path+".deadline", "must be at most %v", MaxDeadline)
	}
	v.within(path+".retries", requests.RetriesOrDefault(), 0, MaxRetries)
	v.within(path+".retryBudget", requests.RetryBudgetOrDefault(), 0, 100)
}

func (v *validator) serviceTeam(path string, name core.ServiceName) {
	team := v.document.Services[name].Team
	owner, owned := v.document.Owner(ServiceSection(name))
	switch {
	case !owned:
		v.add(path, "no team owns %s; list it under a team's sections", ServiceSection(name))
	case owner != team:
		v.add(path, "is %q, but %s belongs to team %q", team, ServiceSection(name), owner)
	}
}

// addresses adds a fault for every service that has the same address as a
// service earlier in the order of names.
func (v *validator) addresses() {
	usedBy := make(map[netip.AddrPort]core.ServiceName)
	for _, name := range sortedKeys(v.document.Services) {
		address := v.document.Services[name].Address
		if !address.IsValid() {
			continue
		}
		other, duplicate := usedBy[address]
		if duplicate {
			path := strictjson.Join("services", string(name)) + ".address"
			v.add(path, "%v is already the address of service %s", address, other)
			continue
		}
		usedBy[address] = name
	}
}

func (v *validator) teams() {
	owners := make(map[Section]core.Team)
	for _, name := range sortedKeys(v.document.Teams) {
		path := strictjson.Join("teams", string(name))
		v.name(path, string(name))
		v.team(path, name, owners)
	}
	if len(v.document.Teams) == 0 {
		return
	}
	for _, section := range []Section{SectionDataCentres, SectionLimits, SectionTeams} {
		_, owned := owners[section]
		if !owned {
			v.add("teams", "no team owns section %s", section)
		}
	}
}

func (v *validator) team(path string, name core.Team, owners map[Section]core.Team) {
	team := v.document.Teams[name]
	v.atMost(path+".tokens", len(team.Tokens), MaxTokens)
	if len(team.Tokens) == 0 {
		v.add(path+".tokens", "must hold at least one token hash")
	}
	for i, section := range team.Sections {
		sectionPath := fmt.Sprintf("%s.sections[%d]", path, i)
		if !section.Valid() && section != SectionAnyService {
			v.add(sectionPath, "%q is no section; sections are services/<name>, services/*, dataCentres, limits and teams", section)
			continue
		}
		other, duplicate := owners[section]
		if duplicate {
			v.add(sectionPath, "section %s already belongs to team %q", section, other)
			continue
		}
		owners[section] = name
	}
}
