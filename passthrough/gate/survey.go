package gate

import (
	"net/netip"
	"slices"
	"time"

	"zinniapulley.dev/passthrough"
)

const (
	// surveyTimeout is how long a companion waits for the answers to a survey before it
	// reports those that it has.
	surveyTimeout = 40 * time.Millisecond
	// maxPendingSurveys is the most surveys that a companion has under way.
	maxPendingSurveys = 1024
)

// FinishedSurvey is a result and the entry instance that it goes to.
type FinishedSurvey struct {
	Entry  netip.AddrPort
	Result passthrough.SurveyResult
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
	result    passthrough.SurveyResult
}

// NewSurveys returns Surveys without any under way.
func NewSurveys() *Surveys { return &Surveys{pending: make(map[uint32]*survey)} }

// Begin starts a survey for an entry instance and returns the query for the companions
// to ask. It reports false if too many surveys are under way.
func (s *Surveys) Begin(now time.Time, entry netip.AddrPort, request passthrough.Survey) (passthrough.SurveyQuery, bool) {
	if len(s.pending) >= maxPendingSurveys {
		return passthrough.SurveyQuery{}, false
	}
	s.last++
	s.pending[s.last] = &survey{
		entry: entry, began: now, remaining: slices.Clone(request.Ask),
		result: passthrough.SurveyResult{Number: request.Number, Key: request.Key},
	}
	return passthrough.SurveyQuery{Number: s.last, Key: request.Key, Entry: entry}, true
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
func (g *Gate) HandleSurveyQuery(now time.Time, conductor netip.AddrPort, query passthrough.SurveyQuery) []Action {
	actions := g.HandleQuery(now, query.Entry, query.Key)
	for i := range actions {
		if actions[i].Kind == SendNote && actions[i].Note.Kind == passthrough.NoteNotHeld {
			actions[i] = Action{Kind: AnswerSurvey, Reason: passthrough.ReasonNotHeld, To: conductor, SurveyNumber: query.Number}
		}
	}
	return actions
}
