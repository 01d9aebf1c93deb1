package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// requestsCommand measures the request policies on virtual time.
type requestsCommand struct {
	JSON   bool          `help:"Print JSON instead of a table."`
	Seed   uint64        `default:"1" help:"Seed of all randomness."`
	Length time.Duration `default:"60s" help:"Virtual length of each run."`
}

// requestsReport is the outcome of all runs.
type requestsReport struct {
	Seed   uint64        `json:"seed"`
	Length string        `json:"length"`
	Runs   []requestsRun `json:"runs"`
	Claims claimsReport  `json:"claims"`
	Setup  requestsSetup `json:"setup"`
}

// requestsSetup describes the simulated service.
type requestsSetup struct {
	BackendServers int     `json:"backendServers"`
	Slots          int     `json:"slots"`
	ServiceMillis  float64 `json:"serviceMillis"`
	Skew           float64 `json:"shareOfBusiestCompanion"`
}

// requestsRun is the result of one policy under one scenario.
type requestsRun struct {
	Policy   string `json:"policy"`
	Scenario string `json:"scenario"`
	// Submitted counts requests; Served, NotRun, Unknown and Cut count their
	// outcomes. Untrue counts requests that ran although they were refused as not run.
	Submitted int `json:"submitted"`
	Served    int `json:"servedWhole"`
	NotRun    int `json:"refusedTruly"`
	Unknown   int `json:"outcomeUnknown"`
	Cut       int `json:"cut"`
	Untrue    int `json:"refusedUntruly"`
	Doubled   int `json:"doubled"`
	Crossed   int `json:"answersToTheWrongCaller"`
	Short     int `json:"shortAnswers"`
	// Highest is the maximum over all backend servers of running requests divided
	// by slots.
	Highest float64 `json:"highestRunningOverSlots"`
	// Imbalance is the mean over time of the highest number of running requests
	// divided by the mean of all backend servers.
	Imbalance float64 `json:"imbalance"`
	// WaitMillis is the 99th percentile of the wait for a slot.
	WaitMillis float64 `json:"waitMillis99"`
	// Amplification is the mean number of sends of a request that was sent.
	Amplification float64 `json:"amplification"`
	// Messages counts messages between companions per request.
	Messages float64 `json:"messagesPerRequest"`
	// Commands and Batches count what the claim log committed, per claim.
	Commands float64 `json:"commandsPerClaim"`
	Batches  float64 `json:"syncsPerClaim"`
}

// Run measures every policy in every scenario and prints the report.
func (c *requestsCommand) Run() error {
	report := requestsReport{Seed: c.Seed, Length: c.Length.String(), Setup: simulationSetup()}
	for _, scenario := range requestScenarios() {
		for _, policy := range requestPolicies() {
			run, err := measureRequests(policy, scenario, c.Seed, c.Length)
			if err != nil {
				return err
			}
			report.Runs = append(report.Runs, run)
		}
	}
	claims, err := measureClaims()
	if err != nil {
		return err
	}
	report.Claims = claims
	return c.print(os.Stdout, report)
}

func (c *requestsCommand) print(out io.Writer, report requestsReport) error {
	if c.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return errors.Trace(encoder.Encode(report))
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "scenario\tpolicy\tsubmitted\tserved\tnot run\tunknown\tcut\tuntrue\tdoubled\tcrossed\tshort\t"+
		"run/slots\timbalance\twait p99 ms\tamplif.\tmsgs\tcmds/claim\tsyncs/claim\t")
	for _, r := range report.Runs {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.0f\t%.3f\t%.2f\t%.2f\t%.2f\t\n",
			r.Scenario, r.Policy, r.Submitted, r.Served, r.NotRun, r.Unknown, r.Cut, r.Untrue, r.Doubled, r.Crossed,
			r.Short, r.Highest, r.Imbalance, r.WaitMillis, r.Amplification, r.Messages, r.Commands, r.Batches)
	}
	err := table.Flush()
	if err != nil {
		return errors.Trace(err)
	}
	claims := report.Claims
	_, err = fmt.Fprintf(out, "claims: %.0f bytes logged and %.0f bytes in memory per claim, %.0f commands/s applied by one core\n",
		claims.LoggedBytes, claims.MemoryBytes, claims.AppliedPerSecond)
	return errors.Trace(err)
}
