package virtual

import (
	"fmt"
	"slices"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/request"
)

// Token names one submission by a caller, and so the content of its answer.
type Token struct {
	// Submission numbers the submissions of the world.
	Submission int
	// Key is the idempotency key, empty for none; Body the request's content.
	Key  string
	Body string
}

// Run is one run on a backend server.
type Run struct {
	answered bool
}

// Submission is a caller's request and what became of it.
type Submission struct {
	Token      Token
	Repeatable bool
	// At and Ended are when it was submitted and when it had its outcome.
	At    time.Time
	Ended time.Time
	// FirstRun is when it was first handed to a backend server, zero if never.
	FirstRun time.Time
	// Refused is zero unless it was refused.
	Refused request.Outcome
	Served  bool
	Aborted     bool
	Disconnected    bool
	runs    int
}

// Ledger is the naive version: a list of what was submitted and a map of what
// ran. It finds every outcome that is not true.
type Ledger struct {
	Submissions []*Submission
	runsOfKey   map[string][]*Run
	offered     int
	// Doubled counts runs of a request that may not run again; Crossed counts
	// answers given to another request's caller; Short counts answers that
	// looked whole and were not; Untrue counts refusals as not run of requests
	// that ran.
	Doubled, Crossed, Short, Untrue int
	// Faults describes the first faults.
	Faults []string
}

func newLedger() Ledger {
	return Ledger{runsOfKey: make(map[string][]*Run)}
}

// Offered returns how many times a request was sent to a backend server.
func (l *Ledger) Offered() int { return l.offered }

func (l *Ledger) submitted(token Token, repeatable bool, now time.Time) *Submission {
	s := &Submission{Token: token, Repeatable: repeatable, At: now}
	l.Submissions = append(l.Submissions, s)
	return s
}

func (l *Ledger) fault(count *int, format string, args ...any) {
	const kept = 10
	*count++
	if len(l.Faults) < kept {
		l.Faults = append(l.Faults, fmt.Sprintf(format, args...))
	}
}

// started notes a run, and finds one that must not be.
func (l *Ledger) started(token Token) *Run {
	run := &Run{}
	s := l.Submissions[token.Submission]
	s.runs++
	if s.Refused == request.NotRun {
		l.fault(&l.Untrue, "submission %d ran after it was refused as not run", token.Submission)
	}
	if token.Key != "" {
		if len(l.runsOfKey[token.Key]) > 0 {
			l.fault(&l.Doubled, "key %q ran again", token.Key)
		}
		l.runsOfKey[token.Key] = append(l.runsOfKey[token.Key], run)
		return run
	}
	if s.runs > 1 && !s.Repeatable {
		l.fault(&l.Doubled, "submission %d ran again", token.Submission)
	}
	return run
}

// served notes a whole answer with the given content.
func (l *Ledger) served(s *Submission, answer *Answer, now time.Time) {
	s.Served = true
	s.Ended = now
	if !answer.whole {
		l.fault(&l.Short, "submission %d got a part for the whole", s.Token.Submission)
	}
	same := answer.token.Submission == s.Token.Submission
	sameKey := s.Token.Key != "" && answer.token.Key == s.Token.Key && answer.token.Body == s.Token.Body
	if !same && !sameKey {
		l.fault(&l.Crossed, "submission %d got the answer to %d", s.Token.Submission, answer.token.Submission)
	}
}

func (l *Ledger) refused(s *Submission, outcome request.Outcome, now time.Time) {
	s.Refused = outcome
	s.Ended = now
	if outcome == request.NotRun && s.runs > 0 {
		l.fault(&l.Untrue, "submission %d was refused as not run and had run", s.Token.Submission)
	}
}

// Answer is the content of an answer as far as it has come.
type Answer struct {
	token Token
	whole bool
}

func sortedAttempts[V any](of map[core.AttemptID]V) []core.AttemptID {
	ids := make([]core.AttemptID, 0, len(of))
	for id := range of {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, core.AttemptID.Compare)
	return ids
}

// Sent reports whether the request was handed to a backend server.
func (s *Submission) Sent() bool { return !s.FirstRun.IsZero() }
