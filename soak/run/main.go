// Command run runs the soak with a series of seeds against the real program.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/juju/errors"
	"zinniapulley.dev/soak"
)

type commands struct {
	Binary string        `help:"Path of the program." default:"target/zinniapulley" type:"existingfile"`
	First  uint64        `help:"First seed." default:"1"`
	Seeds  int           `help:"Number of seeds." default:"10"`
	Length time.Duration `help:"Time during which faults are injected, for each seed." default:"15s"`
	Folder string        `help:"Folder for settings, data and logs." default:"target/soak"`
	Net    byte          `help:"Third octet of the first of the five loopback networks to use, if they are free." default:"40"`
}

// Run runs the seeds one after the other. It fails if a guarantee was violated.
func (c *commands) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	broken := 0
	for i := range c.Seeds {
		if ctx.Err() != nil {
			return errors.New("stopped")
		}
		seed := c.First + uint64(i)
		folder := filepath.Join(c.Folder, fmt.Sprint(seed))
		err := os.RemoveAll(folder)
		if err != nil {
			return errors.Trace(err)
		}
		report, err := soak.Run(ctx, soak.Options{
			Seed: seed, Length: c.Length, Command: []string{c.Binary}, Network: c.Net, Folder: folder,
		})
		if err != nil {
			return err
		}
		fmt.Println(report)
		if !report.Passed() {
			broken++
		}
	}
	if broken > 0 {
		return errors.Errorf("%d of %d seeds violated a guarantee; logs are in %s", broken, c.Seeds, c.Folder)
	}
	return nil
}

func main() {
	ctx := kong.Parse(&commands{}, kong.Name("soak"), kong.Description("Runs the soak with a series of seeds."))
	ctx.FatalIfErrorf(ctx.Run())
}
