package traffic_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/roles/traffic"
)

// hurried needs short ticks from its first datagram on.
type hurried struct {
	urgent bool
	ticks  atomic.Int64
}

func (h *hurried) Handle(time.Time, traffic.Datagram) { h.urgent = true }
func (h *hurried) Tick(time.Time)                     { h.ticks.Add(1) }

func (h *hurried) TickInterval() time.Duration {
	if h.urgent {
		return time.Millisecond
	}
	return time.Hour
}

// A place whose request didn't come stayed empty until the next tick although packets
// waited for it.
func TestTickIntervalFollowsTheHandler(t *testing.T) {
	g := gomega.NewWithT(t)
	socket, err := traffic.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	sender, err := traffic.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = sender.Close() }()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	handler := &hurried{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		traffic.Run(ctx, handler, time.Hour, socket)
	}()
	_, err = sender.WriteTo([]byte("datagram"), socket.LocalAddr())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(handler.ticks.Load).WithTimeout(10 * time.Second).Should(gomega.BeNumerically(">=", 3))
	stop()
	<-done
}
