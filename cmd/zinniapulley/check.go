package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"zinniapulley.dev/config"
	"zinniapulley.dev/core"
	"zinniapulley.dev/core/strictjson"
	"zinniapulley.dev/settings"
)

// checkCommand checks a file without running anything.
type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"Settings file or configuration document (JSON), or a deploy or settings file of the users' platform (TOML)."`
	JSON bool   `name:"json" help:"Print the validation errors as JSON."`
}

// checkReport is what check prints with --json.
type checkReport struct {
	File   string             `json:"file"`
	Kind   string             `json:"kind"`
	OK     bool               `json:"ok"`
	Faults []strictjson.Fault `json:"faults"`
	// Problems holds the validation errors of a platform file.
	Problems []string `json:"problems,omitempty"`
}

// Run checks the file and prints every validation error with its JSON path. The
// exit status is 0 only for a valid file.
func (c *checkCommand) Run() error {
	if filepath.Ext(c.File) == extensionTOML {
		return c.runPlatform()
	}
	data, err := os.ReadFile(c.File)
	if err != nil {
		return core.At("read", core.Peer(c.File), err)
	}
	kind, err := checkDocument(data)
	var faults strictjson.Faults
	if err != nil && !errors.As(err, &faults) {
		return err
	}
	report := checkReport{File: c.File, Kind: kind, OK: err == nil, Faults: faults}
	c.print(report)
	if err != nil {
		os.Exit(exitFailure)
	}
	return nil
}

// runPlatform checks a file of the users' platform.
func (c *checkCommand) runPlatform() error {
	kind, problems, err := checkPlatformFile(c.File)
	if err != nil {
		return err
	}
	c.print(checkReport{File: c.File, Kind: kind, OK: len(problems) == 0, Problems: problems})
	if len(problems) > 0 {
		os.Exit(exitFailure)
	}
	return nil
}

func (c *checkCommand) print(report checkReport) {
	if c.JSON {
		_ = json.NewEncoder(os.Stdout).Encode(report)
		return
	}
	if report.OK {
		fmt.Printf("%s: %s without faults\n", report.File, report.Kind)
		return
	}
	fmt.Printf("%s: %s with %d faults\n", report.File, report.Kind, len(report.Faults)+len(report.Problems))
	for _, problem := range report.Problems {
		fmt.Printf("  %s\n", problem)
	}
	for _, fault := range report.Faults {
		fmt.Printf("  %s\n", fault)
	}
}

// checkDocument checks a settings file if the document names a role, and a
// configuration document otherwise.
func checkDocument(data []byte) (string, error) {
	var probe struct {
		Role *json.RawMessage `json:"role"`
	}
	err := json.Unmarshal(data, &probe)
	if err == nil && probe.Role != nil {
		_, err = settings.Parse(data)
		return "settings", err
	}
	document, err := config.Parse(data)
	if err == nil {
		faults := document.SharedTokens()
		if len(faults) > 0 {
			err = faults
		}
	}
	return "configuration", err
}
