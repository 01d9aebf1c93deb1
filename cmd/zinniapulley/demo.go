package main

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"time"

	"zinniapulley.dev/demo"
)

// demoTimeout bounds a demonstration.
const demoTimeout = 30 * time.Second

// demoCommand runs all roles in this process.
type demoCommand struct {
	Example string `enum:"pinhal,deksel" default:"deksel" help:"Deployment to run: pinhal or deksel."`
	Flows   int    `default:"20" help:"Flows for each backend server."`
	Seed    uint64 `default:"1" help:"Seed of the fabric's random choices."`
	JSON    bool   `name:"json" help:"Print the report as JSON, without progress."`
	Verbose bool   `help:"Print the roles' log lines."`
}

// Run runs the demonstration and prints its report.
func (c *demoCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	options := demo.Options{
		Example:        c.Example,
		FlowsPerTarget: c.Flows,
		Seed:           c.Seed,
		Progress:       os.Stderr,
		Log:            slog.New(slog.DiscardHandler),
	}
	if c.JSON {
		options.Progress = io.Discard
	}
	if c.Verbose {
		options.Log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	report, err := demo.Run(ctx, options)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	report.Print(os.Stdout)
	return nil
}
