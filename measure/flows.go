package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/juju/errors"
	"zinniapulley.dev/measure/flows"
)

// flowsCommand measures how forwarding policies preserve flows and balance them.
type flowsCommand struct {
	JSON    bool   `help:"Print JSON instead of a table."`
	Seed    uint64 `default:"1" help:"Seed of all randomness."`
	Servers int    `default:"20" help:"Backend servers at the start."`
	Flows   int    `default:"4000" help:"Number of flows to open."`
}

// Run measures all policies over the same flows and changes.
func (c *flowsCommand) Run() error {
	results := flows.Measure(flows.Options{Seed: c.Seed, Servers: c.Servers, Flows: c.Flows})
	if c.JSON {
		return errors.Trace(json.NewEncoder(os.Stdout).Encode(results))
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "POLICY\tFLOWS\tBROKEN\tBUSIEST/MEAN\tMESSAGES A PACKET")
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%.3f\n", r.Policy, r.Flows, r.Broken, r.Imbalance, r.MessagesPerPacket)
	}
	return errors.Trace(w.Flush())
}
