package passthrough

import "zinniapulley.dev/route"

const (
	// urgentPriority is the lowest priority whose requests are urgent.
	urgentPriority = 1
)

// Urgency orders opening packets by how soon a companion is tried again that has refused
// one.
type Urgency uint8

const (
	// UrgencyRepeated: the caller has sent a copy of the packet. Its answer is late already,
	// and it yields to those that aren't late.
	UrgencyRepeated Urgency = iota
	UrgencyOrdinary
	UrgencyHigh
	UrgencyCount
)

// UrgencyOf returns the Urgency of an opening packet.
func UrgencyOf(p *Packet, r *route.Route) Urgency {
	switch {
	case p.Ack > 0:
		return UrgencyRepeated
	case Urgent(r):
		return UrgencyHigh
	default:
		return UrgencyOrdinary
	}
}

// Urgent reports whether the route's requests go ahead of those of ordinary routes.
func Urgent(r *route.Route) bool { return r.Priority <= urgentPriority }
