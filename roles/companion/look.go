package companion

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// probeTimeout bounds a probe of the backend server, which is on the same machine.
	probeTimeout = 200 * time.Millisecond
	// probeInterval is the minimum time between probes. Each uses one of the backend
	// server's few connections.
	probeInterval = 250 * time.Millisecond
)

// responseOverdue reports that a response of the backend server is overdue.
type responseOverdue struct{}

func (responseOverdue) handle(c *control, now time.Time) { c.probe(now) }

// needsProbe reports whether, without a further event, it will still be unknown at the
// given time if a backend server runs.
func (c *control) needsProbe(at time.Time) bool {
	target := c.registration.Target()
	return c.companion.config.Health.IsValid() && !target.Known && !c.registration.AwaitsConfiguration() && !target.NoServer(at, processStart, c.companion.config.Gate.FirstAnnouncementLimit)
}

// probe starts a connection attempt to the backend server's health address, unless one
// is running or the last one is too recent.
func (c *control) probe(now time.Time) {
	c.probeDue = now.Add(probeInterval)
	if !c.companion.config.Health.IsValid() || c.probing || now.Sub(c.probedAt) < probeInterval {
		return
	}
	c.probing, c.probedAt = true, now
	go c.companion.probeServer(now)
}

// probeServer connects to the backend server and posts the result.
func (c *Companion) probeServer(began time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp4", c.config.Health.String())
	if err == nil {
		_ = conn.Close()
	}
	err = c.loop.Send(ctx, probeResult{began: began, err: err})
	if err != nil {
		c.config.Log.Warn("result of the backend server's probe lost", "at", c.config.Health, "error", err)
	}
}

// probeResult is the result of a probe.
type probeResult struct {
	began time.Time
	err   error
}

func (e probeResult) handle(c *control, now time.Time) {
	c.probing = false
	if e.err == nil {
		target, changed := c.registration.ConnectionAccepted()
		if changed {
			c.updateState(func(s *state) { s.target = target })
			c.companion.config.Log.Info("backend server accepts connections, not announced yet", "at", c.companion.config.Health)
		}
		return
	}
	if !errors.Is(e.err, syscall.ECONNREFUSED) {
		return
	}
	target, changed := c.registration.ConnectionRefused(e.began)
	if !changed {
		return
	}
	c.updateState(func(s *state) { s.target = target })
	c.companion.config.Log.Info("no backend server runs", "at", c.companion.config.Health, "server", target.Server, "known", target.Known,
		"announcementAge", now.Sub(target.LastSeen), "error", e.err)
	c.sendHeartbeat(now)
}
