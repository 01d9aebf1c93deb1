package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough/dispatch"
)

const (
	// pathExplain is where an entry instance answers questions, at its metrics address.
	pathExplain = "/explain"
	// explainTimeout is how long the packet path may take for an answer: many ticks of 50 ms.
	explainTimeout = 2 * time.Second
	// maxErrorBytes is the most of an error message that is read.
	maxErrorBytes = 1000
)

// explainCommand asks an entry instance where a flow would go.
type explainCommand struct {
	Entry  netip.AddrPort `help:"Metrics address of the entry instance." required:""`
	Caller netip.AddrPort `help:"Address and port of the caller." required:""`
	Route  netip.AddrPort `help:"Address and port of the route." required:""`
	JSON   bool           `name:"json" help:"Print the answer as JSON."`

	out io.Writer
}

// Run asks and prints the answer.
func (c *explainCommand) Run() error {
	if c.out == nil {
		c.out = os.Stdout
	}
	client := http.Client{Timeout: 2 * explainTimeout}
	query := url.Values{"caller": {c.Caller.String()}, "route": {c.Route.String()}}
	address := url.URL{Scheme: "http", Host: c.Entry.String(), Path: pathExplain, RawQuery: query.Encode()}
	response, err := client.Get(address.String())
	if err != nil {
		return core.At("ask the entry instance", core.Peer(c.Entry.String()), err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return core.At("ask the entry instance", core.Peer(c.Entry.String()), errors.Errorf("%s: %s", response.Status, message))
	}
	var answer explainAnswer
	err = json.NewDecoder(response.Body).Decode(&answer)
	if err != nil {
		return core.At("read the answer", core.Peer(c.Entry.String()), err)
	}
	if c.JSON {
		return core.At("print", "", json.NewEncoder(c.out).Encode(answer))
	}
	answer.print(c.out)
	return nil
}

// explainer tells where a flow would go; it is an entry instance.
type explainer interface {
	Explain(ctx context.Context, key core.FlowKey) (dispatch.Explanation, error)
}

// explainHandler answers questions at an entry instance.
func explainHandler(e explainer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, err := flowOf(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), explainTimeout)
		defer cancel()
		explanation, err := e.Explain(ctx, key)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(newExplainAnswer(&explanation))
	})
}

// flowOf returns the flow that a question names.
func flowOf(query url.Values) (core.FlowKey, error) {
	caller, err := parseAddress(query, "caller")
	if err != nil {
		return core.FlowKey{}, err
	}
	service, err := parseAddress(query, "route")
	return core.FlowKey{Caller: caller, Service: service}, err
}

func parseAddress(query url.Values, name string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(query.Get(name))
	if err != nil || !address.Addr().Is4() {
		return netip.AddrPort{}, errors.Errorf("%s=%q: must be an IPv4 address with a port", name, query.Get(name))
	}
	return address, nil
}

// explainAnswer is the answer as JSON. Times are in milliseconds.
type explainAnswer struct {
	Flow        string           `json:"flow"`
	DataCentre  core.DataCentre  `json:"dataCentre"`
	Version     uint64           `json:"version"`
	Route       string           `json:"route,omitempty"`
	Service     core.ServiceName `json:"service,omitempty"`
	Plan        string           `json:"plan"`
	Share       float64          `json:"share"`
	Destination core.DataCentre  `json:"destination,omitempty"`
	Outcome     string           `json:"outcome"`
	Reason      string           `json:"reason"`
	To          string           `json:"to,omitempty"`
	Placement   string           `json:"placement,omitempty"`
	// Room is set if no backend server can start the flow in time.
	Room       *explainRoom       `json:"room,omitempty"`
	Candidates []explainCandidate `json:"candidates"`
}

type explainCandidate struct {
	Companion  string          `json:"companion"`
	DataCentre core.DataCentre `json:"dataCentre"`
	Server     string          `json:"server"`
	Result     string          `json:"result"`
	// Load is what the choice compares, penalties included.
	Load     float64 `json:"load"`
	Running  int     `json:"running"`
	Assigned int     `json:"assigned"`
	Flows    int     `json:"flows"`
	Slots    int     `json:"slots"`
	Cold     bool    `json:"cold"`
	Failing  bool    `json:"failing"`
	Waiting  int     `json:"waiting"`
	// ExpectedMs and DelayMs are zero while not measured.
	ExpectedMs float64 `json:"expectedMs"`
	DelayMs    float64 `json:"delayMs"`
	AgeMs      float64 `json:"ageMs"`
}

// explainRoom holds the figures by which no backend server can start the flow in time.
type explainRoom struct {
	Servers        int     `json:"servers"`
	Silent         int     `json:"silent"`
	Slots          int     `json:"slots"`
	Running        int     `json:"running"`
	ShortestWaitMs float64 `json:"shortestWaitMs"`
	LimitMs        float64 `json:"limitMs"`
	AgeMs          float64 `json:"ageMs"`
}

// milliseconds returns the time with a precision of 0.01 ms.
func milliseconds(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}

func newExplainAnswer(e *dispatch.Explanation) explainAnswer {
	answer := explainAnswer{
		Flow: e.Key.String(), DataCentre: e.DataCentre, Version: e.Version, Route: e.Route, Service: e.Service,
		Plan: e.Decision.String(), Share: e.Share, Destination: e.Destination,
		Outcome: e.Kind.String(), Reason: e.Reason.String(), Candidates: make([]explainCandidate, 0, len(e.Candidates)),
	}
	if e.To.IsValid() {
		answer.To = e.To.String()
	}
	if e.Placement != dispatch.PlacementNone {
		answer.Placement = e.Placement.String()
	}
	for i := range e.Candidates {
		c := &e.Candidates[i]
		answer.Candidates = append(answer.Candidates, explainCandidate{
			Companion: c.Status.Companion.String(), DataCentre: c.Status.DataCentre, Server: c.Status.Server, Result: c.Result.String(),
			Load: c.Load, Running: c.Status.Running, Assigned: c.Assigned, Flows: c.Status.Flows, Slots: c.Status.Slots,
			Cold: c.Status.Cold, Failing: c.Status.Failing, Waiting: c.Waiting, ExpectedMs: milliseconds(c.Expected), DelayMs: milliseconds(c.Way), AgeMs: milliseconds(c.Age),
		})
	}
	if e.Room != nil {
		answer.Room = &explainRoom{
			Servers: e.Room.Servers, Silent: e.Room.Silent, Slots: e.Room.Slots, Running: e.Room.Running,
			ShortestWaitMs: milliseconds(e.Room.ShortestWait), LimitMs: milliseconds(e.Room.Limit), AgeMs: milliseconds(e.Room.Age),
		}
	}
	return answer
}

// print writes the answer as text.
func (a *explainAnswer) print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "flow %s at an entry instance of %s, version %d\n", a.Flow, a.DataCentre, a.Version)
	if a.Service != "" {
		_, _ = fmt.Fprintf(out, "route %s, service %s; plan: %s, share %.2f %s\n", a.Route, a.Service, a.Plan, a.Share, a.Destination)
	}
	_, _ = fmt.Fprintf(out, "outcome: %s %s (%s) %s\n", a.Outcome, a.To, a.Reason, a.Placement)
	if a.Room != nil {
		_, _ = fmt.Fprintf(out, "no room in time: %d servers with %d slots and %d requests, %d more without figures; shortest wait %v ms, limit %v ms, age %v ms\n",
			a.Room.Servers, a.Room.Slots, a.Room.Running, a.Room.Silent, a.Room.ShortestWaitMs, a.Room.LimitMs, a.Room.AgeMs)
	}
	if len(a.Candidates) == 0 {
		return
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "COMPANION\tDATA CENTRE\tSERVER\tRESULT\tLOAD\tRUNNING\tASSIGNED\tWAITING\tFLOWS\tSLOTS\tEXPECTED\tDELAY\tCOLD\tFAILING\tAGE")
	for _, c := range a.Candidates {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.2f\t%d\t%d\t%d\t%d\t%d\t%v ms\t%v ms\t%t\t%t\t%v ms\n", c.Companion, c.DataCentre, c.Server,
			c.Result, c.Load, c.Running, c.Assigned, c.Waiting, c.Flows, c.Slots, c.ExpectedMs, c.DelayMs, c.Cold, c.Failing, c.AgeMs)
	}
	_ = table.Flush()
}
