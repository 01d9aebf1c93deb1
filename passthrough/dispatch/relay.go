package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
)

const (
	// headersLen is the length of the headers of UDP and IPv4 in bytes. queryLen,
	// surveyLen and relayLen are the lengths of a query, and of a survey and a relay without
	// companions and packet, with these headers; envelopeLen that of a packet's envelope.
	headersLen  = 28
	queryLen    = headersLen + 24
	surveyLen   = headersLen + 19
	relayLen    = headersLen + 8
	envelopeLen = headersLen + 10
	// addressLen is the length of a companion's address in a survey or relay.
	addressLen = 4
	// maxMessage is the longest message of a lookup. It fits a frame of 1,500 bytes.
	maxMessage = 1500
	// minRelayed is how many companions a relay has at least room for.
	minRelayed = 8
	// maxRelayBackoff is how often the time to the next repetition of relays doubles.
	maxRelayBackoff = 1
	// unsureRecently is how long after a companion couldn't tell whether it holds a flow
	// others are looked up there by relays.
	unsureRecently = time.Second
)

// RelayCounts counts relayed lookups since the start.
type RelayCounts struct {
	// Started counts the lookups that sent relays, and Repeated the relays that were sent
	// again for want of answers.
	Started, Repeated int
	// Concluded counts the relays whose conductor reported a result.
	Concluded int
	// Found and Denied count the lookups with relays that ended with the flow's owner, and
	// with a reset since no companion holds the flow.
	Found, Denied int
}

// Relays returns the counts of relayed lookups.
func (d *Dispatcher) Relays() RelayCounts { return d.relays }

// relaySent is a relay of a lookup.
type relaySent struct {
	conductor netip.AddrPort
	asked     []netip.AddrPort
	// concluded is set once the conductor has reported a result.
	concluded bool
}

// needsCopy reports whether the companion supports relayed lookups and can't tell from its
// records whether it holds a flow.
func (c *companion) needsCopy(now time.Time) bool {
	return c.status.Relays && (c.status.Untracked || now.Sub(c.unsureAt) < unsureRecently)
}

// settling reports whether this entry instance has just started and waits for the statuses
// that it has requested, so that it doesn't know yet whom to ask.
func (d *Dispatcher) settling(now time.Time) bool {
	return d.table != nil && !d.firstRequestAt.IsZero() && !d.settled(now)
}

// planRelays plans relays to the companions that can't tell from their records whether they
// hold the flow, and returns those that are to be asked otherwise. At first one relay goes
// to all that support it; later copies would cost more than queries where the records tell.
// A companion without an announced backend server would drop the copy: it is asked once
// its status names a service.
func (d *Dispatcher) planRelays(now time.Time, key core.FlowKey, l *flowLookup, asked []*companion) []*companion {
	if l.packet == nil || !slices.ContainsFunc(asked, func(c *companion) bool { return c.needsCopy(now) }) {
		return asked
	}
	var relayed, others []*companion
	for _, c := range asked {
		switch {
		case !c.status.Relays || (l.scope == scopeAll && !c.needsCopy(now)):
			others = append(others, c)
		case c.status.Service != "":
			relayed = append(relayed, c)
		}
	}
	room := min(max((maxMessage-relayLen-len(l.packet.Data))/addressLen, minRelayed), maxSurveyed)
	for _, group := range groupCompanions(relayed, l.scope == scopeAll) {
		for part := range slices.Chunk(group, room) {
			d.lookupMessages = append(d.lookupMessages, Action{
				Kind: Relay, Reason: passthrough.ReasonUnknownFlow, To: d.conductorFor(now, l, part), Packet: l.packet,
				Survey: passthrough.Survey{Key: key, Ask: addressesOf(part)},
			})
		}
	}
	return others
}

// conductorFor returns the companion that conducts a relay: the first that is known to
// respond, one of this data centre if possible, and one that hasn't failed to.
func (d *Dispatcher) conductorFor(now time.Time, l *flowLookup, companions []*companion) netip.AddrPort {
	best, bestRank := companions[0], 0
	for _, c := range companions {
		rank := 1
		switch {
		case !c.fresh(now) || c.unreachable(now):
			continue
		case now.Sub(c.notConductedAt) < pathRetry || l.conductedBy(c.status.Companion):
		case c.status.DataCentre == d.dataCentre:
			rank = 3
		default:
			rank = 2
		}
		if rank > bestRank {
			best, bestRank = c, rank
		}
	}
	return best.status.Companion
}

// conductedBy reports whether the companion was the conductor of a relay of the lookup
// that has no result.
func (l *flowLookup) conductedBy(at netip.AddrPort) bool {
	for _, r := range l.relays {
		if r.conductor == at && !r.concluded {
			return true
		}
	}
	return false
}

// countRelays counts the lookup's next relays. If it repeats them, conductors that have
// reported nothing aren't used for some time.
func (d *Dispatcher) countRelays(now time.Time, l *flowLookup) {
	if l.relayed == 0 {
		d.relays.Started++
	}
	if l.sent && l.relayed > 0 {
		l.repeats++
		d.relays.Repeated++
		for _, r := range l.relays {
			c, known := d.companions[r.conductor]
			if known && !r.concluded {
				c.notConductedAt = now
			}
		}
	}
	l.relayed++
}

// messageLen returns the length of a message of a lookup with the headers of UDP and IPv4.
func messageLen(a *Action) int {
	switch a.Kind {
	case Survey:
		return surveyLen + addressLen*len(a.Survey.Ask)
	case Relay:
		return relayLen + addressLen*len(a.Survey.Ask) + len(a.Packet.Data)
	case Lookup:
		return envelopeLen + len(a.Packet.Data)
	default:
		return queryLen
	}
}

func addressesOf(companions []*companion) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(companions))
	for _, c := range companions {
		addresses = append(addresses, c.status.Companion)
	}
	return addresses
}
