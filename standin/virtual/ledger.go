package virtual

import (
	"fmt"
	"slices"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/request"
)

// Token identifies one submission by a caller and stands for the content of its
// request and answer.
type Token struct {
	// Submission numbers the submissions of the simulation.
	Submission int
	// Key is the idempotency key, empty for none; Body the request's content.
	Key  string
	Body string
}

// Run is one execution on a backend server.
type Run struct {
	answered bool
}

// Submission is a caller's request and its outcome.
type Submission struct {
	Token      Token
	Repeatable bool
	// At is when it was submitted, Ended when it had its outcome.
	At    time.Time
	Ended time.Time
	// FirstRun is when it was first sent to a backend server, or zero.
	FirstRun time.Time
	// Refused is the outcome of a refused request, zero for others.
	Refused request.Outcome
	Served  bool
	Aborted bool
	// Disconnected reports whether the caller left or its companion crashed.
	Disconnected bool
	runs         int
}

// RunLog records submissions and runs. It is the reference model: it detects every
// outcome that contradicts the record.
type RunLog struct {
	Submissions []*Submission
	runsOfKey   map[string][]*Run
	offered     int
	// Doubled counts repeated runs of requests that may run only once. Crossed counts
	// answers delivered to the caller of another request. Short counts incomplete
	// answers delivered as complete. Untrue counts requests that ran although they
	// were refused as not run.
	Doubled, Crossed, Short, Untrue int
	// Violations describes the first violations detected.
	Violations []string
}

func newRunLog() RunLog {
	return RunLog{runsOfKey: make(map[string][]*Run)}
}

// Offered returns how many times a request was sent to a backend server.
func (l *RunLog) Offered() int { return l.offered }

func (l *RunLog) submitted(token Token, repeatable bool, now time.Time) *Submission {
	s := &Submission{Token: token, Repeatable: repeatable, At: now}
	l.Submissions = append(l.Submissions, s)
	return s
}

func (l *RunLog) recordViolation(count *int, format string, args ...any) {
	const kept = 10
	*count++
	if len(l.Violations) < kept {
		l.Violations = append(l.Violations, fmt.Sprintf(format, args...))
	}
}

// started records a run and checks that it was allowed.
func (l *RunLog) started(token Token) *Run {
	run := &Run{}
	s := l.Submissions[token.Submission]
	s.runs++
	if s.Refused == request.NotRun {
		l.recordViolation(&l.Untrue, "submission %d ran after it was refused as not run", token.Submission)
	}
	if token.Key != "" {
		if len(l.runsOfKey[token.Key]) > 0 {
			l.recordViolation(&l.Doubled, "key %q ran again", token.Key)
		}
		l.runsOfKey[token.Key] = append(l.runsOfKey[token.Key], run)
		return run
	}
	if s.runs > 1 && !s.Repeatable {
		l.recordViolation(&l.Doubled, "submission %d ran again", token.Submission)
	}
	return run
}

// served records an answer that was delivered as complete, and checks it.
func (l *RunLog) served(s *Submission, answer *Answer, now time.Time) {
	s.Served = true
	s.Ended = now
	if !answer.complete {
		l.recordViolation(&l.Short, "submission %d got an incomplete answer as complete", s.Token.Submission)
	}
	same := answer.token.Submission == s.Token.Submission
	sameKey := s.Token.Key != "" && answer.token.Key == s.Token.Key && answer.token.Body == s.Token.Body
	if !same && !sameKey {
		l.recordViolation(&l.Crossed, "submission %d got the answer to %d", s.Token.Submission, answer.token.Submission)
	}
}

func (l *RunLog) refused(s *Submission, outcome request.Outcome, now time.Time) {
	s.Refused = outcome
	s.Ended = now
	if outcome == request.NotRun && s.runs > 0 {
		l.recordViolation(&l.Untrue, "submission %d was refused as not run and had run", s.Token.Submission)
	}
}

// Answer is an answer, possibly incomplete.
type Answer struct {
	token    Token
	complete bool
}

func sortedAttempts[V any](byAttempt map[core.AttemptID]V) []core.AttemptID {
	ids := make([]core.AttemptID, 0, len(byAttempt))
	for id := range byAttempt {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, core.AttemptID.Compare)
	return ids
}

// Sent reports whether the request was sent to a backend server.
func (s *Submission) Sent() bool { return !s.FirstRun.IsZero() }
