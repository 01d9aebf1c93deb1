package config_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"zinniapulley.dev/config"
	"zinniapulley.dev/core"
)

// feedBody returns the section of service feed with an address and a capacity.
func feedBody(address string, connections int) []byte {
	const format = `{"address":%q,"kind":"stream","team":"kits","buckets":256,"capacity":{"connections":%d,"slots":5}}`
	return fmt.Appendf(nil, format, address, connections)
}

func bootstrappedState(t testing.TB) *config.State {
	t.Helper()
	document, err := config.Parse(goodDocument(t))
	if err != nil {
		t.Fatal(err)
	}
	state := config.NewState()
	if !state.Bootstrap(1, document) {
		t.Fatal("the first document was refused")
	}
	return state
}

func submitFeed(base core.Revision, request config.RequestID, connections int) config.Submission {
	return config.Submission{
		Section: "services/feed", Base: base, Request: request, Team: "kits",
		Body: feedBody("192.0.2.2:80", connections),
	}
}

func TestOfTwoSubmissionsWithOneBaseOnlyTheFirstIsAccepted(t *testing.T) {
	g := gomega.NewWithT(t)
	state := bootstrappedState(t)
	first := state.Submit(2, submitFeed(1, "a", 100))
	second := state.Submit(3, submitFeed(1, "b", 200))
	g.Expect(first).To(gomega.Equal(config.Answer{Outcome: config.Accepted, Section: "services/feed", Revision: 2}))
	g.Expect(second).To(gomega.Equal(config.Answer{Outcome: config.Conflict, Section: "services/feed", Revision: 2}))
	g.Expect(second.Err()).To(gomega.MatchError(gomega.ContainSubstring("at revision 2")))
	g.Expect(state.Document().Services["feed"].Capacity.Connections).To(gomega.Equal(100))
}

func TestAResendGetsTheFirstAnswerAndAReusedIDIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	state := bootstrappedState(t)
	first := state.Submit(2, submitFeed(1, "a", 100))
	state.Submit(3, submitFeed(2, "b", 200))
	restored, err := config.Restore(state.Snapshot())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, s := range []*config.State{state, restored} {
		before := s.Snapshot()
		g.Expect(s.Submit(4, submitFeed(1, "a", 100))).To(gomega.Equal(first))
		g.Expect(s.Submit(4, submitFeed(1, "a", 300)).Outcome).To(gomega.Equal(config.ReusedID))
		g.Expect(s.Snapshot()).To(gomega.Equal(before))
	}
}

func TestAResendOlderThanTheKeptAnswersChangesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	state := bootstrappedState(t)
	state.Submit(2, submitFeed(1, "first", 100))
	for i := range config.MaxAnswersPerTeam {
		request := config.RequestID(fmt.Sprintf("later-%d", i))
		state.Submit(core.Revision(i+3), submitFeed(core.Revision(i+2), request, 200+i))
	}
	before := state.Document()
	answer := state.Submit(5000, submitFeed(1, "first", 100))
	g.Expect(answer.Outcome).To(gomega.Equal(config.Conflict))
	g.Expect(state.Document()).To(gomega.Equal(before))
	g.Expect(len(state.Snapshot().Answers[0].Kept)).To(gomega.Equal(config.MaxAnswersPerTeam))
}

func TestSectionsOfDifferentTeamsChangeWithoutConflict(t *testing.T) {
	g := gomega.NewWithT(t)
	state := bootstrappedState(t)
	feed := state.Submit(2, submitFeed(1, "a", 100))
	limits := state.Submit(3, config.Submission{
		Section: "limits", Base: 1, Request: "a", Team: "operators", Body: []byte(`{"returnRamp":"7s"}`),
	})
	g.Expect(feed.Outcome).To(gomega.Equal(config.Accepted))
	g.Expect(limits.Outcome).To(gomega.Equal(config.Accepted))
}

func TestATeamCannotChangeAnotherTeamsSection(t *testing.T) {
	g := gomega.NewWithT(t)
	state := bootstrappedState(t)
	foreign := submitFeed(1, "a", 100)
	foreign.Team = "operators"
	before := state.Document()
	answer := state.Submit(2, foreign)
	g.Expect(answer).To(gomega.Equal(config.Answer{
		Outcome: config.Forbidden, Section: "services/feed", Revision: 1, Owner: "kits",
	}))
	foreign.Team = "nobody"
	g.Expect(state.Submit(2, foreign).Outcome).To(gomega.Equal(config.Forbidden))
	g.Expect(state.Document()).To(gomega.Equal(before))
}

func TestARejectedSubmissionChangesNothingAndListsItsFaults(t *testing.T) {
	g := gomega.NewWithT(t)
	state := bootstrappedState(t)
	before := state.Document()
	bad := submitFeed(1, "a", 0)
	bad.Body = []byte(strings.Replace(string(feedBody("192.0.2.1:80", 0)), `"buckets":256`, `"buckets":512,"colour":1`, 1))
	answer := state.Submit(2, bad)
	g.Expect(answer.Outcome).To(gomega.Equal(config.Invalid))
	var paths []string
	for _, fault := range answer.Faults {
		paths = append(paths, fault.Path)
	}
	g.Expect(paths).To(gomega.ConsistOf(
		"services.feed.colour", "services.feed.address", "services.feed.buckets",
		"services.feed.capacity.connections",
	))
	g.Expect(state.Document()).To(gomega.Equal(before))
	g.Expect(state.Revision()).To(gomega.Equal(core.Revision(1)))
}

func TestAServiceIDIsNeverReused(t *testing.T) {
	g := gomega.NewWithT(t)
	state := bootstrappedState(t)
	first, _ := state.ServiceID("feed")
	remove := config.Submission{Section: "services/feed", Base: 1, Request: "a", Team: "kits", Remove: true}
	g.Expect(state.Submit(2, remove).Outcome).To(gomega.Equal(config.Accepted))
	restored, err := config.Restore(state.Snapshot())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(restored.Submit(3, submitFeed(1, "b", 100)).Outcome).To(gomega.Equal(config.Conflict))
	g.Expect(restored.Submit(3, submitFeed(2, "c", 100)).Outcome).To(gomega.Equal(config.Accepted))
	second, _ := restored.ServiceID("feed")
	g.Expect(second).To(gomega.BeNumerically(">", first))
	g.Expect(restored.Services()[len(restored.Services())-1].ID).To(gomega.Equal(second))
}

func TestSetDataCentreNeedsNoBase(t *testing.T) {
	g := gomega.NewWithT(t)
	state := bootstrappedState(t)
	request := config.SetDataCentre{Name: "north-a", State: config.Out, Request: "a", Team: "operators"}
	answer := state.SetDataCentre(2, request)
	g.Expect(answer.Outcome).To(gomega.Equal(config.Accepted))
	g.Expect(state.SetDataCentre(3, request)).To(gomega.Equal(answer))
	g.Expect(state.DataCentres()[0]).To(gomega.Equal(core.DataCentreState{Name: "north-a", In: false}))
	request.Request, request.Name = "b", "south"
	g.Expect(state.SetDataCentre(3, request).Outcome).To(gomega.Equal(config.Invalid))
	request.Request, request.Team = "c", "kits"
	g.Expect(state.SetDataCentre(3, request).Outcome).To(gomega.Equal(config.Forbidden))
}

func TestHistoryIsBoundedAndDiffsWithinIt(t *testing.T) {
	g := gomega.NewWithT(t)
	state := bootstrappedState(t)
	changes := config.MaxHistoryEntries + 5
	for i := range changes {
		request := config.RequestID(fmt.Sprintf("r%d", i))
		state.Submit(core.Revision(i+2), submitFeed(core.Revision(i+1), request, 100+i%2))
	}
	last := core.Revision(changes + 1)
	g.Expect(state.History(0)).To(gomega.HaveLen(config.MaxHistoryEntries))
	changed, err := state.Diff(last-1, last)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(changed).To(gomega.HaveLen(1))
	g.Expect(string(changed[0].After)).To(gomega.ContainSubstring(`"connections":100`))
	unchanged, err := state.Diff(last-2, last)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(unchanged).To(gomega.BeEmpty())
	_, err = state.Diff(1, last)
	g.Expect(err).To(gomega.Equal(&config.HistoryTruncatedError{Revision: 1, Oldest: 6}))
}
