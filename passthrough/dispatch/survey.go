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

// sendSurveys has one companion of each data centre query the others there, and queries
// directly where too few are asked. companions are in the flow's order, so that each
// flow's surveys are conducted by others.
func (d *Dispatcher) sendSurveys(now time.Time, key core.FlowKey, l *flowLookup, companions []*companion) {
	var order []surveyGroup
	groups := make(map[surveyGroup][]*companion)
	for _, c := range companions {
		group := surveyGroup{c.status.DataCentre, c.status.Companion.Port()}
		if groups[group] == nil {
			order = append(order, group)
		}
		groups[group] = append(groups[group], c)
	}
	for _, group := range order {
		for part := range slices.Chunk(groups[group], maxSurveyed) {
			conductor := slices.IndexFunc(part, func(c *companion) bool { return c.fresh(now) && !c.unreachable(now) })
			if len(part) < minSurveyed || conductor < 0 {
				d.queryEach(key, part)
				continue
			}
			if !d.takeQueries(key, 1+float64(len(part))/addressesPerQuery) {
				return
			}
			ask := make([]netip.AddrPort, 0, len(part))
			for _, c := range part {
				ask = append(ask, c.status.Companion)
			}
			to := part[conductor].status.Companion
			l.surveys[to] = ask
			d.out = append(d.out, Action{
				Kind: Survey, Reason: passthrough.ReasonUnknownFlow, To: to,
				Survey: passthrough.Survey{Number: l.number, Key: key, Ask: ask},
			})
		}
	}
}

// HandleSurveyResult handles the result of a survey. One that was delayed until another
// lookup of the flow has begun is ignored: the flow may have opened since. The result is
// valid until the next call of a method.
func (d *Dispatcher) HandleSurveyResult(now time.Time, from netip.AddrPort, result passthrough.SurveyResult) []Action {
	d.out = d.out[:0]
	flow, known := d.flows[result.Key]
	if !known || flow.owner.IsValid() || flow.lookup == nil || flow.lookup.number != result.Number || flow.lookup.expired(now) {
		return d.out
	}
	notHeld := result.NotHeld
	if len(notHeld) == 0 {
		notHeld = flow.lookup.surveys[from]
	}
	for _, at := range notHeld {
		flow.lookup.notHeldBy[at] = true
	}
	d.concludeLookup(now, result.Key, flow)
	return d.out
}
