package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/juju/errors"
	"zinniapulley.dev/core"
	"zinniapulley.dev/platform"
)

// extensionTOML is the file extension of the users' platform.
const extensionTOML = ".toml"

// checkPlatformFile checks a deploy file, or else a settings file of the users'
// platform. It returns the kind of the file and its validation errors.
func checkPlatformFile(path string) (string, []string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", nil, core.At("read", core.Peer(path), err)
	}
	programs, faults, err := platform.ParseDeploy(data)
	if errors.Is(err, platform.ErrNoRoles) {
		_, err = platform.ParseSettings(data)
		if err != nil {
			return "platform settings", []string{err.Error()}, nil
		}
		return "platform settings", nil, nil
	}
	if err != nil {
		return "platform file", []string{err.Error()}, nil
	}
	for _, program := range programs {
		faults = append(faults, checkProgram(program)...)
	}
	return "deploy file", faults, nil
}

// checkProgram returns the validation errors of a role's command line.
func checkProgram(program platform.Program) []string {
	var parsed commands
	parser, err := kong.New(&parsed, kong.Name("zinniapulley"))
	if err == nil {
		_, err = parser.Parse(program.Arguments)
	}
	if err != nil {
		return []string{fmt.Sprintf("roles.%s.run: %v", program.Name, err)}
	}
	ports := map[string]uint16{
		"entry": parsed.Platform.Entry.MetricsPort, "companion": parsed.Platform.Companion.MetricsPort, "control": parsed.Platform.Control.MetricsPort,
	}
	if len(program.Arguments) < 2 || program.Arguments[0] != "platform" {
		return []string{fmt.Sprintf("roles.%s.run: not a platform command", program.Name)}
	}
	port, _, _ := strings.Cut(program.Metrics, "/")
	if program.Metrics != "" && port != strconv.Itoa(int(ports[program.Arguments[1]])) {
		return []string{fmt.Sprintf("roles.%s.metrics: port %s isn't the --metrics-port of its command", program.Name, port)}
	}
	return nil
}
