package entry

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/capacity"
	"zinniapulley.dev/passthrough/dispatch"
)

// capacityMeter has the gauges of the capacity state and the counters of the flows that
// weren't started because of it.
type capacityMeter struct {
	registry metrics.Registry
	// refused counts the flows that were reset, waited those that wait for room.
	refused, waited metrics.Counter
	updatedAt       time.Time
	sites           map[siteKey]*siteGauges
}

// siteKey identifies a service in a data centre.
type siteKey struct{ service, dataCentre string }

// siteGauges are the gauges of a service in a data centre.
type siteGauges struct {
	slots, rate, running, waiting, expected, age metrics.Gauge
	// updatedAt is when the gauges were last set.
	updatedAt time.Time
}

func newCapacityMeter(registry metrics.Registry) capacityMeter {
	return capacityMeter{
		registry: registry,
		refused:  metrics.GetOrRegisterCounter("flows.refusedFull", registry),
		waited:   metrics.GetOrRegisterCounter("flows.waitingFull", registry),
		sites:    make(map[siteKey]*siteGauges),
	}
}

// due reports whether the gauges are to be updated.
func (m *capacityMeter) due(now time.Time) bool { return now.Sub(m.updatedAt) >= capacityInterval }

// update sets the gauges; those of a service that isn't reported any more become zero.
func (m *capacityMeter) update(now time.Time, sites []capacity.Site) {
	m.updatedAt = now
	for i := range sites {
		site := &sites[i]
		g := m.gauges(siteKey{string(site.Service), string(site.DataCentre)})
		g.set(now, site)
	}
	for _, g := range m.sites {
		if !g.updatedAt.Equal(now) {
			g.set(now, &capacity.Site{})
		}
	}
}

func (m *capacityMeter) gauges(key siteKey) *siteGauges {
	g, known := m.sites[key]
	if known {
		return g
	}
	gauge := func(name string) metrics.Gauge {
		return metrics.GetOrRegisterGauge(fmt.Sprintf("capacity.%s.%s.%s", key.service, key.dataCentre, name), m.registry)
	}
	g = &siteGauges{
		slots: gauge("slots"), rate: gauge("ratePerSecond"), running: gauge("running"), waiting: gauge("waiting"),
		expected: gauge("expectedMicroseconds"), age: gauge("ageMilliseconds"),
	}
	m.sites[key] = g
	return g
}

func (g *siteGauges) set(now time.Time, site *capacity.Site) {
	g.updatedAt = now
	g.slots.Update(int64(site.Slots))
	g.rate.Update(int64(site.Rate))
	g.running.Update(int64(site.Running))
	g.waiting.Update(int64(site.Waiting))
	g.expected.Update(site.Expected.Microseconds())
	g.age.Update(site.Age.Milliseconds())
}

// countRefusal counts a flow that no backend server can start in time.
func (m *capacityMeter) countRefusal(a *dispatch.Action) {
	switch a.Kind {
	case dispatch.Reset:
		m.refused.Inc(1)
	case dispatch.Wait:
		m.waited.Inc(1)
	}
}
