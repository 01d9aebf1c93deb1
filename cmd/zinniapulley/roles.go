package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/companion"
	"zinniapulley.dev/control"
	"zinniapulley.dev/core"
	"zinniapulley.dev/entry"
	"zinniapulley.dev/settings"
)

// role is an entry, companion or control instance; Run serves until ctx is done.
type role interface {
	Run(ctx context.Context) error
}

// settingsFile is the argument of every role's command.
type settingsFile struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file (JSON)."`
}

// process holds what every role is built from.
type process struct {
	settings *settings.Settings
	log      *slog.Logger
	metrics  metrics.Registry
}

// load reads the settings and rejects those of another role.
func (f settingsFile) load(want settings.Role) (process, error) {
	loaded, err := settings.Load(f.Settings)
	if err != nil {
		return process{}, err
	}
	if loaded.Role != want {
		err = errors.Errorf("the file is for role %q, this command runs role %q", loaded.Role, want)
		return process{}, core.At("check settings", core.Peer(f.Settings), err)
	}
	log, err := newLogger(os.Stderr, loaded)
	return process{settings: loaded, log: log, metrics: metrics.NewRegistry()}, err
}

// entryCommand runs an entry instance.
type entryCommand struct {
	settingsFile
}

// Run builds the entry instance from its settings and serves.
func (c *entryCommand) Run() error {
	p, err := c.load(settings.RoleEntry)
	if err != nil {
		return err
	}
	built, err := entry.New(entry.Config{
		Instance:   p.settings.Instance,
		DataCentre: p.settings.DataCentre,
		Packets:    p.settings.Entry.Packets,
		Network:    p.settings.Entry.Network,
		Controls:   p.settings.Controls,
		Log:        p.log,
		Metrics:    p.metrics,

		StopDeadline: time.Duration(p.settings.StopDeadline),
	})
	if err != nil {
		return err
	}
	return serve(p, built)
}

// companionCommand runs a companion.
type companionCommand struct {
	settingsFile
}

// Run builds the companion from its settings and serves.
func (c *companionCommand) Run() error {
	p, err := c.load(settings.RoleCompanion)
	if err != nil {
		return err
	}
	own := p.settings.Companion
	built, err := companion.New(companion.Config{
		Instance:      p.settings.Instance,
		DataCentre:    p.settings.DataCentre,
		Service:       own.Service,
		BackendServer: own.BackendServer,
		Packets:       own.Packets,
		RPC:           own.RPC,
		FabricReturn:  own.FabricReturn,
		Capacity:      core.Capacity{Connections: own.Capacity.Connections, Slots: own.Capacity.Slots},
		Controls:      p.settings.Controls,
		Log:           p.log,
		Metrics:       p.metrics,
	})
	if err != nil {
		return err
	}
	return serve(p, built)
}

// controlCommand runs a control instance.
type controlCommand struct {
	settingsFile
}

// Run builds the control instance from its settings and serves.
func (c *controlCommand) Run() error {
	p, err := c.load(settings.RoleControl)
	if err != nil {
		return err
	}
	document, err := initialConfiguration(p.settings.Control.InitialConfiguration)
	if err != nil {
		return err
	}
	built, err := control.New(control.Config{
		Instance:             p.settings.Instance,
		RPC:                  p.settings.Control.RPC,
		Operators:            p.settings.Control.Operators,
		HashSeed:             rand.Uint64(),
		InitialConfiguration: document,
		Log:                  p.log,
	})
	if err != nil {
		return err
	}
	return serve(p, built)
}

// initialConfiguration reads the document that a new control group starts with.
func initialConfiguration(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	document, err := os.ReadFile(path)
	return document, core.At("read initial configuration", core.Peer(path), err)
}
