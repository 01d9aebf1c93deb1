package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/dispatch"
	"zinniapulley.dev/roles/entry"
	"zinniapulley.dev/route"
)

// explainerFunc answers a question without an entry instance.
type explainerFunc func(core.FlowKey) (dispatch.Explanation, error)

func (f explainerFunc) Explain(_ context.Context, key core.FlowKey) (dispatch.Explanation, error) {
	return f(key)
}

// ask runs the command against the answers of the function.
func ask(t *testing.T, asJSON bool, f explainerFunc) (string, error) {
	server := httptest.NewServer(metricsHandler(metrics.NewRegistry(), explainHandler(f)))
	defer server.Close()
	var out bytes.Buffer
	command := explainCommand{
		Entry:  netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
		Caller: netip.MustParseAddrPort("100.64.0.7:1234"), Route: netip.MustParseAddrPort("198.18.0.1:443"), JSON: asJSON, out: &out,
	}
	err := command.Run()
	return out.String(), err
}

func TestExplainPrintsTheAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	d := dispatch.New(now.Add(-time.Hour), "north")
	d.SetTable(route.Compile(&route.View{Version: 7, Revision: 7, Routes: []route.Route{{
		Name: "reads", Address: netip.MustParseAddrPort("198.18.0.1:443"), Shares: []route.Share{{Service: "feed", Weight: 1}},
	}}}))
	d.HandleStatus(now, passthrough.Status{
		Companion: netip.MustParseAddrPort("10.0.0.1:8000"), DataCentre: "north", Service: "feed", Server: "b1", Ready: true, Slots: 4, Running: 3,
	})
	explain := func(key core.FlowKey) (dispatch.Explanation, error) { return d.Explain(now, key), nil }
	text, err := ask(t, false, explain)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(text).To(gomega.ContainSubstring("outcome: forward 10.0.0.1:8000 (chosen by load) stayed.unplanned"))
	g.Expect(text).To(gomega.MatchRegexp(`10\.0\.0\.1:8000 +north +b1 +chosen +0\.75 +3`))
	encoded, err := ask(t, true, explain)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var answer explainAnswer
	g.Expect(json.Unmarshal([]byte(encoded), &answer)).To(gomega.Succeed())
	g.Expect(answer.Flow).To(gomega.Equal("100.64.0.7:1234>198.18.0.1:443"))
	g.Expect(answer.To).To(gomega.Equal("10.0.0.1:8000"))
	g.Expect(answer.Candidates).To(gomega.HaveLen(1))
}

// A question that isn't answered must not look like an answer.
func TestExplainReportsARefusal(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := ask(t, false, func(core.FlowKey) (dispatch.Explanation, error) {
		return dispatch.Explanation{}, entry.ErrTooManyQuestions
	})
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("too many questions")))
	_, err = flowOf(map[string][]string{"caller": {"100.64.0.7:1"}, "route": {"somewhere"}})
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(`route="somewhere": must be an IPv4 address with a port`)))
}
