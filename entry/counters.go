package entry

import (
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/flow"
	"zinniapulley.dev/wire/geneve"
)

// counters counts packets by outcome.
type counters struct {
	sent         metrics.Counter
	flows        metrics.Counter
	sendError    metrics.Counter
	noView       metrics.Counter
	wrongNetwork metrics.Counter
	malformed    [geneve.DropCount]metrics.Counter
	unrouted     [flow.DropReasonCount]metrics.Counter
}

func newCounters(registry metrics.Registry) counters {
	c := counters{
		sent:         metrics.GetOrRegisterCounter("packets.sent", registry),
		flows:        metrics.GetOrRegisterCounter("flows.routed", registry),
		sendError:    metrics.GetOrRegisterCounter("packets.dropped.send error", registry),
		noView:       metrics.GetOrRegisterCounter("packets.dropped.no view", registry),
		wrongNetwork: metrics.GetOrRegisterCounter("packets.dropped.wrong network", registry),
	}
	for i := range c.malformed {
		name := "packets.dropped." + geneve.Drop(i).Error()
		c.malformed[i] = metrics.GetOrRegisterCounter(name, registry)
	}
	for i := range c.unrouted {
		name := "packets.dropped." + flow.DropReason(i).String()
		c.unrouted[i] = metrics.GetOrRegisterCounter(name, registry)
	}
	return c
}

func (c *counters) countMalformed(err error) {
	var drop geneve.Drop
	if errors.As(err, &drop) {
		c.malformed[drop].Inc(1)
	}
}
