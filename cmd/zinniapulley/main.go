// Command zinniapulley is the only binary of the system. Each subcommand is a
// thin wrapper around a library.
package main

import (
	"os"

	"github.com/alecthomas/kong"
)

// exitFailure is the exit status of a failed command and of a check that found
// validation errors; kong exits with its own status on wrong arguments.
const exitFailure = 1

// commands lists the subcommands.
type commands struct {
	Entry      entryCommand      `cmd:"" help:"Run an entry instance: forward packets from the fabric to the companions."`
	Companion  companionCommand  `cmd:"" help:"Run the companion of a backend server: announce it, admit its flows and deliver them."`
	Control    controlCommand    `cmd:"" help:"Run a control instance: maintain the replicated configuration, membership and placement."`
	Check      checkCommand      `cmd:"" help:"Check a settings file, a configuration document or a deploy file and list every validation error."`
	Platform   platformCommand   `cmd:"" help:"Run a role as the users' platform starts it; the environment names the settings file."`
	Config     configCommand     `cmd:"" help:"Read and change the configuration."`
	Status     statusCommand     `cmd:"" help:"Show members, instances with their revisions, and backend servers."`
	Datacentre datacentreCommand `cmd:"" help:"Take a data centre out of service or return it to service."`
	Drain      drainCommand      `cmd:"" help:"Start or stop draining a backend server."`
	Explain    explainCommand    `cmd:"" help:"Ask an entry instance where a caller's flow would go now, and why."`
	Demo       demoCommand       `cmd:"" help:"Run all roles in this process, with small backend servers and callers."`
}

func main() {
	context := kong.Parse(&commands{},
		kong.Name("zinniapulley"),
		kong.Description("A layer-4 load balancer for many long-lived flows."),
		kong.UsageOnError())
	err := context.Run()
	if err != nil {
		context.Errorf("%v", err)
		os.Exit(exitFailure)
	}
}
