package config_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
	"zinniapulley.dev/config"
	"zinniapulley.dev/core"
)

// referenceState is a reference model of config.State. It keeps every section
// as JSON and every submission, and parses the whole document for each one.
type referenceState struct {
	revision    core.Revision
	sections    map[config.Section]json.RawMessage
	changed     map[config.Section]core.Revision
	submissions []evaluated
	ids         map[core.ServiceName]core.ServiceID
	lastID      core.ServiceID
}

type evaluated struct {
	submission config.Submission
	answer     config.Answer
}

func (r *referenceState) document(sections map[config.Section]json.RawMessage) []byte {
	whole := map[string]any{"services": map[string]any{}}
	for section, body := range sections {
		name, isService := section.Service()
		if isService {
			whole["services"].(map[string]any)[string(name)] = body
			continue
		}
		whole[string(section)] = body
	}
	text, _ := json.Marshal(whole)
	return text
}

func (r *referenceState) answer(outcome config.Outcome, section config.Section) config.Answer {
	return config.Answer{Outcome: outcome, Section: section, Revision: r.changed[section]}
}

func (r *referenceState) submit(revision core.Revision, s config.Submission) config.Answer {
	for _, earlier := range r.submissions {
		if earlier.submission.Team != s.Team || earlier.submission.Request != s.Request {
			continue
		}
		if reflect.DeepEqual(earlier.submission, s) {
			return earlier.answer
		}
		return r.answer(config.ReusedID, s.Section)
	}
	answer := r.evaluate(revision, s)
	r.submissions = append(r.submissions, evaluated{submission: s, answer: answer})
	return answer
}

func (r *referenceState) evaluate(revision core.Revision, s config.Submission) config.Answer {
	owner := core.Team("kits")
	if s.Section == "limits" || s.Section == "dataCentres" {
		owner = "operators"
	}
	if s.Team != owner {
		answer := r.answer(config.Forbidden, s.Section)
		answer.Owner = owner
		return answer
	}
	if s.Base < r.changed[s.Section] || s.Base > r.revision {
		return r.answer(config.Conflict, s.Section)
	}
	sections := make(map[config.Section]json.RawMessage)
	for section, body := range r.sections {
		sections[section] = body
	}
	_, exists := sections[s.Section]
	sections[s.Section] = s.Body
	if s.Remove {
		delete(sections, s.Section)
	}
	_, err := config.Parse(r.document(sections))
	if err != nil || s.Remove && !exists {
		return r.answer(config.Invalid, s.Section)
	}
	name, isService := s.Section.Service()
	if isService && s.Remove {
		delete(r.ids, name)
	}
	if isService && !s.Remove && !exists {
		r.lastID++
		r.ids[name] = r.lastID
	}
	r.sections, r.revision, r.changed[s.Section] = sections, revision, revision
	return r.answer(config.Accepted, s.Section)
}

func newReference(t testing.TB) *referenceState {
	var whole struct {
		Services    map[core.ServiceName]json.RawMessage
		DataCentres json.RawMessage
		Limits      json.RawMessage
		Teams       json.RawMessage
	}
	err := json.Unmarshal(goodDocument(t), &whole)
	if err != nil {
		t.Fatal(err)
	}
	r := &referenceState{
		revision: 1, lastID: 2,
		sections: map[config.Section]json.RawMessage{
			"dataCentres": whole.DataCentres, "limits": whole.Limits, "teams": whole.Teams,
		},
		changed: make(map[config.Section]core.Revision),
		ids:     map[core.ServiceName]core.ServiceID{"counter": 1, "feed": 2},
	}
	for name, body := range whole.Services {
		r.sections[config.ServiceSection(name)] = body
	}
	for section := range r.sections {
		r.changed[section] = 1
	}
	return r
}

func drawBody(t *rapid.T, section config.Section) []byte {
	switch section {
	case "limits":
		return []byte(rapid.SampledFrom([]string{`{}`, `{"returnRamp":"1s"}`, `{"returnRamp":"2h"}`, `[]`}).Draw(t, "limits"))
	case "dataCentres":
		return []byte(rapid.SampledFrom([]string{
			`{"north-a":{"region":"north","state":"out"},"north-b":{"region":"north","state":"in"}}`,
			`{"north-a":{"region":"north","state":"in"}}`, `{}`, `{`,
		}).Draw(t, "data centres"))
	default:
		host := rapid.IntRange(1, 4).Draw(t, "host")
		connections := rapid.IntRange(0, 3).Draw(t, "connections")
		return feedBody(fmt.Sprintf("192.0.2.%d:80", host), connections)
	}
}

func drawSubmission(t *rapid.T, revision core.Revision) config.Submission {
	section := rapid.SampledFrom([]config.Section{
		"services/feed", "services/spare", "services/other", "dataCentres", "limits",
	}).Draw(t, "section")
	s := config.Submission{
		Section: section,
		Base:    core.Revision(rapid.Uint64Range(0, uint64(revision)+1).Draw(t, "base")),
		Request: config.RequestID(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h"}).Draw(t, "request")),
		Team:    rapid.SampledFrom([]core.Team{"kits", "kits", "operators"}).Draw(t, "team"),
	}
	_, isService := section.Service()
	if isService && rapid.IntRange(0, 4).Draw(t, "remove") == 0 {
		s.Remove = true
		return s
	}
	s.Body = drawBody(t, section)
	return s
}

func TestStateMatchesTheReferenceModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		state := bootstrappedState(t)
		reference := newReference(t)
		var sent []config.Submission
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			s := drawSubmission(rt, reference.revision)
			if len(sent) > 0 && rapid.IntRange(0, 3).Draw(rt, "resend") == 0 {
				s = rapid.SampledFrom(sent).Draw(rt, "earlier")
			}
			sent = append(sent, s)
			state = submitToBoth(rt, state, reference, s)
		}
	})
}

// submitToBoth compares the answers to a submission and the resulting documents
// and service IDs. It returns the state, in some draws restored from a snapshot.
func submitToBoth(t *rapid.T, state *config.State, reference *referenceState, s config.Submission) *config.State {
	next := reference.revision + 1
	got := state.Submit(next, s)
	want := reference.submit(next, s)
	got.Faults = nil
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("%+v: got %+v, reference model %+v", s, got, want)
	}
	document, err := config.Parse(reference.document(reference.sections))
	if err != nil {
		t.Fatalf("the reference model's document is invalid: %v", err)
	}
	if !bytes.Equal(state.Document().JSON(), document.JSON()) {
		t.Fatalf("got %s, reference model %s", state.Document().JSON(), document.JSON())
	}
	for name, want := range reference.ids {
		got, _ := state.ServiceID(name)
		if got != want {
			t.Fatalf("service %s has ID %d, in the reference model %d", name, got, want)
		}
	}
	if !rapid.Bool().Draw(t, "restart") {
		return state
	}
	restored, err := config.Restore(state.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	return restored
}
