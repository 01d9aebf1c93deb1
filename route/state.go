package route

import (
	"net/netip"
	"slices"

	"zinniapulley.dev/core"
)

// Command is one entry of the replicated log. Exactly one field is set.
type Command struct {
	Configure  *Configuration
	DataCentre *SetDataCentre
	Companions *SetCompanions
}

// SetCompanions changes which companions may hold flows.
type SetCompanions struct {
	// Set adds companions or replaces listed ones with the same address.
	Set    []Companion
	Remove []netip.AddrPort
}

// Companion is a companion that may hold flows.
type Companion struct {
	// Address is where it receives packets.
	Address netip.AddrPort
	// Draining reports whether its backend server is about to depart.
	Draining bool
}

func compareCompanion(c Companion, address netip.AddrPort) int { return c.Address.Compare(address) }

// SetDataCentre is an order that takes a data centre out of service or returns it to
// service. Orders on one data centre don't commute: one that arrives late would undo a
// newer one.
type SetDataCentre struct {
	Name core.DataCentre
	Out  bool
	// Number is the order's place among the orders on the data centre, from 1. An order
	// that would change the state is overtaken unless it is the next one. The orders of
	// earlier program versions have no number; they are always carried out.
	Number uint64
}

// Result is the effect of a command.
type Result struct {
	// Version is the version of the configuration after the command.
	Version uint64
	// Changed reports whether the command changed anything.
	Changed bool
	// Revision numbers the state after the command.
	Revision core.Revision
	// Overtaken reports that an order wasn't carried out, since it wasn't the next one
	// on its data centre.
	Overtaken bool
	// Orders is the number of the last order on the command's data centre.
	Orders uint64
}

// State is the replicated state. Its exported fields form the snapshot.
type State struct {
	Revision      core.Revision
	Configuration Configuration
	// Out lists the data centres that are out of service, sorted by name.
	Out []core.DataCentre
	// Orders is the number of the last order on each data centre. It includes orders
	// that changed nothing, which were acknowledged all the same.
	Orders map[core.DataCentre]uint64
	// Companions lists the companions that may hold flows, ordered by address.
	Companions []Companion
}

// maxFormer is the maximum number of former services kept for a route, latest
// first. Flows last one minute at most, so that older services hold none.
const maxFormer = 8

// Apply executes a command. A configuration that isn't newer changes nothing.
func (s *State) Apply(command Command) Result {
	var result Result
	switch {
	case command.Configure != nil:
		result.Changed = s.configure(*command.Configure)
	case command.DataCentre != nil:
		result = s.order(*command.DataCentre)
	case command.Companions != nil:
		result.Changed = s.setCompanions(*command.Companions)
	}
	if result.Changed {
		s.Revision++
	}
	result.Version, result.Revision = s.Configuration.Version, s.Revision
	return result
}

func (s *State) configure(next Configuration) bool {
	if next.Version <= s.Configuration.Version && s.Configuration.Source != nil {
		return false
	}
	earlier := make(map[netip.AddrPort]*Route, len(s.Configuration.Routes))
	for i := range s.Configuration.Routes {
		route := &s.Configuration.Routes[i]
		earlier[route.Address] = route
	}
	next.Routes = slices.Clone(next.Routes)
	for i := range next.Routes {
		route := &next.Routes[i]
		route.Former = formerServices(route, earlier[route.Address])
	}
	s.Configuration = next
	return true
}

// formerServices returns the services of the earlier route, its own former ones
// included, that the new route doesn't name.
func formerServices(route, earlier *Route) []core.ServiceName {
	if earlier == nil {
		return nil
	}
	var former []core.ServiceName
	add := func(service core.ServiceName) {
		if !route.MayHold(service) && !slices.Contains(former, service) && len(former) < maxFormer {
			former = append(former, service)
		}
	}
	for _, share := range earlier.Shares {
		add(share.Service)
	}
	for _, service := range earlier.Former {
		add(service)
	}
	return former
}

// order carries out an order on a data centre unless it was overtaken.
func (s *State) order(command SetDataCentre) Result {
	last := s.Orders[command.Name]
	if command.Number == 0 {
		return Result{Changed: s.setDataCentre(command), Orders: last}
	}
	if command.Number != last+1 && s.IsOut(command.Name) != command.Out {
		return Result{Overtaken: true, Orders: last}
	}
	if s.Orders == nil {
		s.Orders = make(map[core.DataCentre]uint64)
	}
	s.Orders[command.Name] = last + 1
	return Result{Changed: s.setDataCentre(command), Orders: last + 1}
}

// IsOut reports whether a data centre is out of service.
func (s *State) IsOut(name core.DataCentre) bool {
	_, out := slices.BinarySearch(s.Out, name)
	return out
}

func (s *State) setDataCentre(command SetDataCentre) bool {
	index, out := slices.BinarySearch(s.Out, command.Name)
	if out == command.Out {
		return false
	}
	if command.Out {
		s.Out = slices.Insert(slices.Clone(s.Out), index, command.Name)
		return true
	}
	s.Out = slices.Delete(slices.Clone(s.Out), index, index+1)
	return true
}

func (s *State) setCompanions(command SetCompanions) bool {
	next := slices.DeleteFunc(slices.Clone(s.Companions), func(c Companion) bool { return slices.Contains(command.Remove, c.Address) })
	for _, set := range command.Set {
		index, known := slices.BinarySearchFunc(next, set.Address, compareCompanion)
		if known {
			next[index] = set
		} else {
			next = slices.Insert(next, index, set)
		}
	}
	changed := !slices.Equal(next, s.Companions)
	s.Companions = next
	return changed
}

// Companion returns the listed companion with an address, and false if there is none.
func (s *State) Companion(address netip.AddrPort) (Companion, bool) {
	index, listed := slices.BinarySearchFunc(s.Companions, address, compareCompanion)
	if !listed {
		return Companion{}, false
	}
	return s.Companions[index], true
}

// View returns the part of the state that instances need to forward packets. It
// shares the state's slices, which are never modified in place.
func (s *State) View() *View {
	return &View{
		Revision: s.Revision, Version: s.Configuration.Version,
		Routes: s.Configuration.Routes, Services: s.Configuration.Services,
		Out: s.Out, Companions: s.Companions, IdleTimeout: s.Configuration.IdleTimeout,
	}
}
