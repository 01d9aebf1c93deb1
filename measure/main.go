package main

import (
	"github.com/alecthomas/kong"
)

// commands lists the measurements.
type commands struct {
	Requests requestsCommand `cmd:"" help:"Measure how requests are placed, retried, refused and claimed."`
	Flows    flowsCommand    `cmd:"" help:"Measure how forwarding policies preserve flows and balance them."`
	Slopes   slopesCommand   `cmd:"" help:"Measure how the cost of control grows with the size of a deployment."`
}

func main() {
	var parsed commands
	ctx := kong.Parse(&parsed, kong.Name("measure"))
	ctx.FatalIfErrorf(ctx.Run())
}
