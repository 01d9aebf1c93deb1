package companion

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/asynclog"
	"zinniapulley.dev/passthrough/gate"
	"zinniapulley.dev/waitqueue"
)

const (
	// queueLinesPerSecond limits the log lines about packets that are queued, and those
	// about packets that leave the queue.
	queueLinesPerSecond = 20
	// queueTickInterval is the time between ticks while packets wait: a few run times, so
	// that a place whose request doesn't come isn't empty for long.
	queueTickInterval = 20 * time.Millisecond
)

// queueMeter measures the queue of opening packets.
type queueMeter struct {
	length  metrics.Gauge
	waits   metrics.Histogram
	started [waitqueue.ReasonCount]metrics.Counter
	refused [waitqueue.ReasonCount]metrics.Counter
	queued  metrics.Counter

	queuedLimit asynclog.Limit
	leftLimit   asynclog.Limit
}

func newQueueMeter(registry metrics.Registry, leftOut *asynclog.LeftOut) queueMeter {
	m := queueMeter{
		length:      metrics.GetOrRegisterGauge("queue.length", registry),
		waits:       metrics.GetOrRegisterHistogram("queue.wait.microseconds", registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		queued:      metrics.GetOrRegisterCounter("queue.queued", registry),
		queuedLimit: asynclog.Limit{PerSecond: queueLinesPerSecond, LeftOut: leftOut},
		leftLimit:   asynclog.Limit{PerSecond: queueLinesPerSecond, LeftOut: leftOut},
	}
	for reason := waitqueue.ReasonNone + 1; reason < waitqueue.ReasonCount; reason++ {
		m.started[reason] = metrics.GetOrRegisterCounter("queue.started."+reason.String(), registry)
		m.refused[reason] = metrics.GetOrRegisterCounter("queue.refused."+reason.String(), registry)
	}
	return m
}

// TickInterval returns the time until the next tick.
func (path *packetPath) TickInterval() time.Duration {
	if path.gate.Queued() > 0 {
		return queueTickInterval
	}
	return tickInterval
}

// recordQueue counts and logs a packet that was queued, left the queue, or was refused
// instead of being queued.
func (path *packetPath) recordQueue(now time.Time, a *gate.Action) {
	if a.Order == waitqueue.ReasonNone {
		return
	}
	q := &path.queue
	switch a.Kind {
	case gate.Queue:
		q.queued.Inc(1)
		leftOut, ok := q.queuedLimit.Allow(now, asynclog.Cause{Line: "packet queued", Outcome: "waits", Reason: a.Order.String()})
		if ok {
			path.log.Info("packet queued", "flow", a.Packet.Key, "entry", a.To, "copy", a.Packet.Ack, "reason", a.Order, "queued", path.gate.Queued(),
				"running", path.gate.Running(), "places", path.gate.Room(now).Places(), "server", path.state.target.Server, "linesLeftOut", leftOut)
		}
		return
	case gate.Deliver:
		q.started[a.Order].Inc(1)
		q.waits.Update(a.Waited.Microseconds())
	default:
		q.refused[a.Order].Inc(1)
	}
	if a.Kind == gate.Refuse && a.Waited == 0 {
		// It was never queued, and the refusal has its own line.
		return
	}
	outcome := "refused"
	if a.Kind == gate.Deliver {
		outcome = "delivered"
	}
	leftOut, ok := q.leftLimit.Allow(now, asynclog.Cause{Line: "packet left the queue", Outcome: outcome, Reason: a.Order.String()})
	if ok {
		path.log.Info("packet left the queue", "flow", a.Packet.Key, "delivered", a.Kind == gate.Deliver, "order", a.Order, "reason", a.Reason, "waited", a.Waited,
			"queued", path.gate.Queued(), "running", path.gate.Running(), "places", path.gate.Room(now).Places(), "server", path.state.target.Server, "linesLeftOut", leftOut)
	}
}
