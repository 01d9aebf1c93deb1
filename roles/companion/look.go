package companion

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// lookTimeout bounds a connection to the backend server, which is on the same
	// machine.
	lookTimeout = 200 * time.Millisecond
	// lookInterval is the least time between two looks. Each is a connection, which
	// backend servers have few of.
	lookInterval = 250 * time.Millisecond
)

// suspected says that the backend server owes an answer.
type suspected struct{}

func (suspected) handle(c *control, now time.Time) { c.look(now) }

// searching reports whether it will still be open at the given time if a backend
// server runs, when nothing is heard until then.
func (c *control) searching(at time.Time) bool {
	target := c.registration.Target()
	return c.companion.config.Health.IsValid() && !target.Known && !target.NoServer(at, began, c.companion.config.Gate.FirstAnnouncementLimit)
}

// look has the backend server's address connected to.
func (c *control) look(now time.Time) {
	c.lookDue = now.Add(lookInterval)
	if !c.companion.config.Health.IsValid() || c.looking || now.Sub(c.looked) < lookInterval {
		return
	}
	c.looking, c.looked = true, now
	go c.companion.connect(now)
}

// connect connects to the backend server and posts what became of it.
func (c *Companion) connect(began time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp4", c.config.Health.String())
	if err == nil {
		_ = conn.Close()
	}
	err = c.loop.Send(ctx, connected{began: began, err: err})
	if err != nil {
		c.config.Log.Warn("look at the backend server without effect", "at", c.config.Health, "error", err)
	}
}

// connected is what became of a connection to the backend server.
type connected struct {
	began time.Time
	err   error
}

func (e connected) handle(c *control, now time.Time) {
	c.looking = false
	if e.err == nil {
		target, taken := c.registration.ConnectionAccepted()
		if taken {
			c.change(func(s *state) { s.target = target })
			c.companion.config.Log.Info("backend server found, not announced yet", "at", c.companion.config.Health)
		}
		return
	}
	if !errors.Is(e.err, syscall.ECONNREFUSED) {
		return
	}
	target, taken := c.registration.ConnectionRefused(e.began)
	if !taken {
		return
	}
	c.change(func(s *state) { s.target = target })
	c.companion.config.Log.Info("no backend server runs", "at", c.companion.config.Health, "server", target.Server, "known", target.Known,
		"announcementAge", now.Sub(target.LastSeen), "error", e.err)
	c.sayHello(now)
}
