package main

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
	"zinniapulley.dev/settings"
)

// errUnfinished reports that a role was stopped before all its work had ended.
const errUnfinished = errors.ConstError("stopped before all work had ended")

// forcedStopTimeout bounds the time from a forced stop to the end of the role.
const forcedStopTimeout = 3 * time.Second

// serve runs the role until a signal asks it to stop. A second signal, or the
// stop deadline, forces the stop.
func serve(p process, r role) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ended := make(chan error, 1)
	stopStatus, err := serveStatus(p)
	if err != nil {
		return err
	}
	defer stopStatus()
	p.log.Info("started", "role", p.settings.Role, "instance", p.settings.Instance, "dataCentre", p.settings.DataCentre)
	go func() { ended <- r.Run(ctx) }()
	select {
	case err := <-ended:
		return err
	case received := <-signals:
		p.log.Info("stopping", "signal", received.String(), "deadline", time.Duration(p.settings.StopDeadline))
	}
	cancel()
	return awaitEnd(p, r, ended, signals)
}

// awaitEnd waits for the role to end, and forces the stop on a second signal or
// at the deadline.
func awaitEnd(p process, r role, ended <-chan error, signals <-chan os.Signal) error {
	deadline := time.NewTimer(time.Duration(p.settings.StopDeadline))
	defer deadline.Stop()
	select {
	case err := <-ended:
		p.log.Info("stopped", "error", err)
		return err
	case received := <-signals:
		return forceStop(p, r, ended, "stop on second "+core.Step(received.String()))
	case <-deadline.C:
		return forceStop(p, r, ended, "stop at the deadline")
	}
}

// forceStopper is a role whose graceful stop can be ended early.
type forceStopper interface {
	StopNow()
}

// forceStop ends the graceful stop of a role early. It returns errUnfinished if the
// role can't do so or doesn't end within forcedStopTimeout.
func forceStop(p process, r role, ended <-chan error, step core.Step) error {
	running, ok := r.(forceStopper)
	if !ok {
		return core.At(step, core.Peer(p.settings.Instance), errUnfinished)
	}
	running.StopNow()
	timer := time.NewTimer(forcedStopTimeout)
	defer timer.Stop()
	select {
	case err := <-ended:
		p.log.Info("stopped", "step", step, "error", err)
		return core.At(step, core.Peer(p.settings.Instance), err)
	case <-timer.C:
		return core.At(step, core.Peer(p.settings.Instance), errUnfinished)
	}
}

// newLogger returns a logger with the level and format of the settings.
func newLogger(out io.Writer, s *settings.Settings) (*slog.Logger, error) {
	var level slog.Level
	err := level.UnmarshalText([]byte(s.Log.Level))
	if err != nil {
		return nil, core.At("set log level", core.Peer(s.Instance), err)
	}
	options := &slog.HandlerOptions{Level: level}
	if s.Log.Format == "json" {
		return slog.New(slog.NewJSONHandler(out, options)), nil
	}
	return slog.New(slog.NewTextHandler(out, options)), nil
}

// statusReadTimeout bounds how long a client may take to send its request.
const statusReadTimeout = 5 * time.Second

// serveStatus serves the metrics as JSON at the status address, if one is set,
// until the returned function is called.
func serveStatus(p process) (func(), error) {
	if !p.settings.Status.IsValid() {
		return func() {}, nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(p.metrics)
	})
	server := &http.Server{Addr: p.settings.Status.String(), Handler: mux, ReadTimeout: statusReadTimeout}
	listener, err := net.Listen("tcp4", server.Addr)
	if err != nil {
		return nil, core.At("listen for status", core.Peer(server.Addr), err)
	}
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }, nil
}
