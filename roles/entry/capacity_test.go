package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/capacity"
	"zinniapulley.dev/passthrough/dispatch"
)

// The gauges of a service whose companions are silent or gone must not keep their last
// values, which look like free capacity.
func TestCapacityGaugesFollowTheState(t *testing.T) {
	g := gomega.NewWithT(t)
	registry := metrics.NewRegistry()
	meter := newCapacityMeter(registry)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	value := func(name string) int64 {
		return registry.Get("capacity.feed.north." + name).(metrics.Gauge).Value()
	}
	site := capacity.Site{Service: "feed", DataCentre: "north"}
	site.Add(capacity.Server{Slots: 4, Running: 6, Waiting: 2, Run: 40 * time.Millisecond}, 0, 100*time.Millisecond)
	meter.update(now, []capacity.Site{site})
	g.Expect([]int64{value("slots"), value("ratePerSecond"), value("running"), value("waiting"), value("ageMilliseconds")}).To(
		gomega.Equal([]int64{4, 100, 6, 2, 100}))
	g.Expect(value("expectedMicroseconds")).To(gomega.Equal(int64(70_000)))
	g.Expect(meter.due(now.Add(capacityInterval / 2))).To(gomega.BeFalse())
	meter.update(now.Add(capacityInterval), nil)
	g.Expect(value("slots")).To(gomega.BeZero())
	g.Expect(value("ratePerSecond")).To(gomega.BeZero())
}

// Flows that were reset and flows that wait must be told apart.
func TestRefusalsByCapacityAreCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	meter := newCapacityMeter(metrics.NewRegistry())
	meter.countRefusal(&dispatch.Action{Kind: dispatch.Reset})
	meter.countRefusal(&dispatch.Action{Kind: dispatch.Wait})
	meter.countRefusal(&dispatch.Action{Kind: dispatch.Wait})
	g.Expect(meter.refused.Count()).To(gomega.Equal(int64(1)))
	g.Expect(meter.waited.Count()).To(gomega.Equal(int64(2)))
}
