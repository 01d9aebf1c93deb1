// Command zinniapulley is the one binary of the system. Each subcommand is a
// thin shell over a library.
package main

import (
	"os"

	"github.com/alecthomas/kong"
)

// exitFault is the exit status when a checked file has faults or a command
// failed; kong exits with its own status on wrong arguments.
const exitFault = 1

// commands lists the subcommands.
type commands struct {
	Entry      entryCommand      `cmd:"" help:"Run an entry instance: take packets from the fabric and send each to its companion."`
	Companion  companionCommand  `cmd:"" help:"Run the companion of a backend server: announce it, admit its flows and deliver them."`
	Control    controlCommand    `cmd:"" help:"Run a control instance: keep the replicated configuration, membership and placement."`
	Check      checkCommand      `cmd:"" help:"Check a settings file, a configuration document or a deploy file and list every fault."`
	Platform   platformCommand   `cmd:"" help:"Run a role as the users' platform starts it; the environment names the settings file."`
	Config     configCommand     `cmd:"" help:"Read and change the configuration."`
	Status     statusCommand     `cmd:"" help:"Show members, instances with their revisions, and backend servers."`
	Datacentre datacentreCommand `cmd:"" help:"Take a data centre out or put it in."`
	Drain      drainCommand      `cmd:"" help:"Have a backend server drain, or no longer."`
	Demo       demoCommand       `cmd:"" help:"Run all roles in this process, with small backend servers and callers."`
}

func main() {
	context := kong.Parse(&commands{},
		kong.Name("zinniapulley"),
		kong.Description("A layer-4 load balancer for many long flows."),
		kong.UsageOnError())
	err := context.Run()
	if err != nil {
		context.Errorf("%v", err)
		os.Exit(exitFault)
	}
}
