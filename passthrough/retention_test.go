package passthrough_test

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/passthrough/gate"
	"zinniapulley.dev/route"
)

// setIdleTimeout puts a configuration with the idle timeout in force.
func (b *harness) setIdleTimeout(timeout time.Duration) {
	view := *table(2).View
	view.IdleTimeout = timeout
	b.gate.SetTable(b.now, route.Compile(&view))
}

// A very long idle timeout wrapped to a negative one with the margin that is added to it:
// the companion forgot all open flows, which were then reset.
func TestFlowIsKeptForAVeryLongIdleTimeout(t *testing.T) {
	for _, timeout := range []time.Duration{math.MaxInt64, math.MaxInt64 - 9*time.Second, math.MaxInt64 - time.Hour, 24 * 365 * time.Hour} {
		t.Run(timeout.String(), func(t *testing.T) {
			b := newHarness(t)
			b.open(1, 5000)
			b.setIdleTimeout(timeout)
			b.advance(20 * time.Second)
			b.gate.Sweep(b.now)
			b.expect(b.gate.HandleQuery(b.now, entryAt, flowKey(1)), gate.SendNote, passthrough.ReasonOpened)
			b.expect(b.send(data(1, 5001)), gate.Deliver, passthrough.ReasonRequest)
		})
	}
}

// Flows whose callers have vanished counted towards the connection limit for as long as
// the idle timeout, however long it is.
func TestSilentFlowIsNotKeptBeyondTheAgeOfFlows(t *testing.T) {
	b := newHarness(t)
	b.setIdleTimeout(math.MaxInt64)
	b.open(1, 5000)
	b.open(2, 5000)
	for range 80 {
		b.advance(time.Second)
		b.gate.FromServer(b.now, &passthrough.Packet{Key: flowKey(2), Flags: core.TCPAck})
		b.gate.Sweep(b.now)
	}
	b.g.Expect(b.gate.Status(b.now).Flows).To(gomega.Equal(1))
	b.expect(b.gate.HandleQuery(b.now, entryAt, flowKey(2)), gate.SendNote, passthrough.ReasonOpened)
}

// A very high cold rate wrapped to a negative bound, which left a cold backend server one
// flow a second.
func TestVeryHighColdRateIsNoLimit(t *testing.T) {
	b := newHarness(t)
	view := *table(2).View
	view.Services = []route.Service{{Name: "feed", ColdFor: math.MaxInt64, ColdRate: math.MaxFloat64}}
	b.gate.SetTable(b.now, route.Compile(&view))
	cold := announcement(2)
	cold.ColdFor = math.MaxInt64
	b.announce(cold)
	for port := range 3 {
		b.open(port, 5000)
	}
	b.g.Expect(b.gate.Status(b.now).Cold).To(gomega.BeTrue())
}
