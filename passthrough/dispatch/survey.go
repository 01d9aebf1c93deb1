package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
)

const (
	// minSurveyed and maxSurveyed are the least and the most companions of a survey. The
	// messages of the longest survey are as long as a short packet.
	minSurveyed = 4
	maxSurveyed = 64
)

// surveyGroup is what the companions of a survey have in common.
type surveyGroup struct {
	dataCentre core.DataCentre
	port       uint16
}

// planSurveys plans that one companion of each data centre queries the others there, and
// that they are queried directly where too few are asked. companions are in the flow's
// order, so that each flow's surveys are conducted by others.
func (d *Dispatcher) planSurveys(now time.Time, key core.FlowKey, l *flowLookup, companions []*companion) {
	for _, group := range groupCompanions(companions, true) {
		for part := range slices.Chunk(group, maxSurveyed) {
			conductor := slices.IndexFunc(part, func(c *companion) bool { return c.fresh(now) && !c.unreachable(now) })
			if len(part) < minSurveyed || conductor < 0 {
				d.planQueries(key, part)
				continue
			}
			to := part[conductor].status.Companion
			d.lookupMessages = append(d.lookupMessages, Action{
				Kind: Survey, Reason: passthrough.ReasonUnknownFlow, To: to,
				Survey: passthrough.Survey{Number: l.number, Key: key, Ask: addressesOf(part)},
			})
		}
	}
}

// groupCompanions groups companions by their port, since the messages name one, and by data
// centre if these are kept apart. The order is kept within the groups and among them.
func groupCompanions(companions []*companion, apart bool) [][]*companion {
	var grouped [][]*companion
	indices := make(map[surveyGroup]int)
	for _, c := range companions {
		group := surveyGroup{port: c.status.Companion.Port()}
		if apart {
			group.dataCentre = c.status.DataCentre
		}
		index, known := indices[group]
		if !known {
			index = len(grouped)
			indices[group] = index
			grouped = append(grouped, nil)
		}
		grouped[index] = append(grouped[index], c)
	}
	return grouped
}

// HandleSurveyResult handles the result of a survey. One that was delayed until another
// lookup of the flow has begun is ignored: the flow may have opened since. The result is
// valid until the next call of a method.
func (d *Dispatcher) HandleSurveyResult(now time.Time, from netip.AddrPort, result passthrough.SurveyResult) []Action {
	d.out = d.out[:0]
	flow, known := d.flows[result.Key]
	if !known || flow.owner.IsValid() || flow.lookup == nil || flow.lookup.expired(now) {
		return d.out
	}
	asked, current := d.askedBy(flow.lookup, from, result.Number)
	if !current {
		return d.out
	}
	notHeld := result.NotHeld
	if len(notHeld) == 0 {
		notHeld = asked
	}
	for _, at := range notHeld {
		flow.lookup.notHeldBy[at] = true
	}
	d.concludeLookup(now, result.Key, flow)
	return d.out
}

// askedBy returns the companions that a conductor was to ask by the survey or relay with
// the number. It reports false if the lookup sent it none.
func (d *Dispatcher) askedBy(l *flowLookup, conductor netip.AddrPort, number uint32) ([]netip.AddrPort, bool) {
	if number == l.number {
		return l.surveys[conductor], true
	}
	r, known := l.relays[number]
	if !known || r.conductor != conductor {
		return nil, false
	}
	if !r.concluded {
		r.concluded = true
		d.relays.Concluded++
	}
	return r.asked, true
}
