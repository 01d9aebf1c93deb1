package passthrough

import (
	"net/netip"
	"slices"
	"time"

	"zinniapulley.dev/core"
)

const (
	// surveyTimeout is how long a companion waits for the answers to a survey before it
	// reports those that it has.
	surveyTimeout = 40 * time.Millisecond
	// maxPendingSurveys is the most surveys that a companion has under way.
	maxPendingSurveys = 1024
	// minSurveyed and maxSurveyed are the least and the most companions of a survey. The
	// messages of the longest survey are as long as a short packet.
	minSurveyed = 4
	maxSurveyed = 64
)

// Survey has a companion query others of its data centre whether they hold a flow. An
// entry instance that has lost its cache looks up flows at all companions of a service,
// and its network has no room for an answer of each.
type Survey struct {
	// Number identifies the lookup at the entry instance.
	Number uint32
	Key    core.FlowKey
	Ask    []netip.AddrPort
}

// SurveyQuery is a query of a survey. A companion that doesn't hold the flow answers to
// the one that conducts the survey, any other with a note to the entry instance.
type SurveyQuery struct {
	// Number identifies the survey at the companion that conducts it.
	Number uint32
	Key    core.FlowKey
	Entry  netip.AddrPort
}

// SurveyResult lists the companions of a survey that don't hold the flow.
type SurveyResult struct {
	// Number is that of the Survey.
	Number uint32
	Key    core.FlowKey
	// NotHeld is empty if none of the companions asked holds the flow.
	NotHeld []netip.AddrPort
}

// FinishedSurvey is a result and the entry instance that it goes to.
type FinishedSurvey struct {
	Entry  netip.AddrPort
	Result SurveyResult
}

// Surveys tracks the surveys that one companion conducts.
type Surveys struct {
	last    uint32
	pending map[uint32]*survey
}

// survey is a survey under way.
type survey struct {
	entry     netip.AddrPort
	began     time.Time
	remaining []netip.AddrPort
	result    SurveyResult
}

// NewSurveys returns Surveys without any under way.
func NewSurveys() *Surveys { return &Surveys{pending: make(map[uint32]*survey)} }

// Begin starts a survey for an entry instance and returns the query for the companions
// to ask. It reports false if too many surveys are under way.
func (s *Surveys) Begin(now time.Time, entry netip.AddrPort, request Survey) (SurveyQuery, bool) {
	if len(s.pending) >= maxPendingSurveys {
		return SurveyQuery{}, false
	}
	s.last++
	s.pending[s.last] = &survey{
		entry: entry, began: now, remaining: slices.Clone(request.Ask),
		result: SurveyResult{Number: request.Number, Key: request.Key},
	}
	return SurveyQuery{Number: s.last, Key: request.Key, Entry: entry}, true
}

// NotHeld records that a companion doesn't hold the flow of a survey. It reports true
// with the last answer.
func (s *Surveys) NotHeld(from netip.AddrPort, number uint32) (FinishedSurvey, bool) {
	pending, known := s.pending[number]
	if !known {
		return FinishedSurvey{}, false
	}
	i := slices.Index(pending.remaining, from)
	if i < 0 {
		return FinishedSurvey{}, false
	}
	pending.remaining = slices.Delete(pending.remaining, i, i+1)
	pending.result.NotHeld = append(pending.result.NotHeld, from)
	if len(pending.remaining) > 0 {
		return FinishedSurvey{}, false
	}
	delete(s.pending, number)
	pending.result.NotHeld = nil
	return FinishedSurvey{Entry: pending.entry, Result: pending.result}, true
}

// Expire ends the surveys that still lack answers after surveyTimeout, and returns
// their results. A companion that holds the flow has answered to the entry instance.
func (s *Surveys) Expire(now time.Time) []FinishedSurvey {
	var finished []FinishedSurvey
	for number, pending := range s.pending {
		if now.Sub(pending.began) < surveyTimeout {
			continue
		}
		delete(s.pending, number)
		if len(pending.result.NotHeld) > 0 {
			finished = append(finished, FinishedSurvey{Entry: pending.entry, Result: pending.result})
		}
	}
	return finished
}

// HandleSurveyQuery answers a query of the survey that a companion conducts. The result
// is valid until the next call of a method.
func (g *Gate) HandleSurveyQuery(now time.Time, conductor netip.AddrPort, query SurveyQuery) []GateAction {
	actions := g.HandleQuery(now, query.Entry, query.Key)
	for i := range actions {
		if actions[i].Kind == GateNote && actions[i].Note.Kind == NoteNotHeld {
			actions[i] = GateAction{Kind: GateSurveyAnswer, Reason: ReasonNotHeld, To: conductor, SurveyNumber: query.Number}
		}
	}
	return actions
}

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
			d.out = append(d.out, Dispatch{
				Kind: DispatchSurvey, Reason: ReasonUnknownFlow, To: to,
				Survey: Survey{Number: l.number, Key: key, Ask: ask},
			})
		}
	}
}

// HandleSurveyResult handles the result of a survey. One that was delayed until another
// lookup of the flow has begun is ignored: the flow may have opened since. The result is
// valid until the next call of a method.
func (d *Dispatcher) HandleSurveyResult(now time.Time, from netip.AddrPort, result SurveyResult) []Dispatch {
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
