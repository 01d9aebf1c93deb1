package main

import (
	"encoding/json"
	"os"

	"zinniapulley.dev/measure/slopes"
)

// slopesCommand measures how control's cost grows with the deployment.
type slopesCommand struct {
	JSON bool `name:"json" help:"Print the report as JSON."`
}

// Run measures and prints the slopes.
func (c *slopesCommand) Run() error {
	report, err := slopes.Run(os.Stderr)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	report.Print(os.Stdout)
	return nil
}
