package gate

import (
	"math"
	"slices"
	"time"
)

const (
	// confirmWeight is the weight of the last confirmation's time in the mean.
	confirmWeight = 0.1
	// confirmFactor is how many mean times a confirmation may take before it isn't
	// expected any more, minConfirmTime and maxConfirmTime the bounds of that time.
	confirmFactor  = 4
	minConfirmTime = 50 * time.Millisecond
	maxConfirmTime = 500 * time.Millisecond
	// arrivalWeight is the weight of the last admitted flow in the share of those whose
	// first request comes, and minArrivalShare the least share that is assumed.
	arrivalWeight   = 0.05
	minArrivalShare = 0.25
)

// expectations counts the flows whose first request is expected: those that were
// admitted and whose callers will still send it. After an outage most opening packets
// belong to attempts that their callers have abandoned.
type expectations struct {
	// queue holds the admitted flows in order, from the first that may be expected.
	queue []*gateFlow
	count int
	// meanTime is the moving average of the time from admission to confirmation, zero
	// while unknown.
	meanTime time.Duration
	// missing is the moving average of the share of admitted flows whose first request
	// hasn't come in time. After an outage half of them didn't, and each kept a place empty
	// until it was overdue.
	missing float64
}

// admitted records an admitted flow.
func (e *expectations) admitted(now time.Time, flow *gateFlow) {
	flow.admittedAt, flow.expected = now, true
	e.queue = append(e.queue, flow)
	e.count++
}

// confirmed records that the caller has confirmed the flow. Its first request may come
// with the next packet, and the flow is counted until then.
func (e *expectations) confirmed(now time.Time, flow *gateFlow) {
	took := now.Sub(flow.admittedAt)
	if e.meanTime == 0 {
		e.meanTime = took
	}
	e.meanTime = smooth(e.meanTime, took, confirmWeight)
}

// requestCame records the flow's first request.
func (e *expectations) requestCame(flow *gateFlow) {
	if flow.expected {
		e.missing -= arrivalWeight * e.missing
		e.remove(flow)
	}
}

// likely returns how many of the counted flows' requests are expected to come.
func (e *expectations) likely() int {
	return int(math.Ceil(max(1-e.missing, minArrivalShare) * float64(e.count)))
}

// remove stops counting the flow.
func (e *expectations) remove(flow *gateFlow) {
	if flow.expected {
		flow.expected = false
		e.count--
	}
}

// expire stops counting the flows whose first request is overdue.
func (e *expectations) expire(now time.Time) {
	limit := maxConfirmTime
	if e.meanTime > 0 {
		limit = min(max(confirmFactor*e.meanTime, minConfirmTime), maxConfirmTime)
	}
	expired := 0
	for expired < len(e.queue) && now.Sub(e.queue[expired].admittedAt) > limit {
		if e.queue[expired].expected {
			e.missing += arrivalWeight * (1 - e.missing)
			e.remove(e.queue[expired])
		}
		expired++
	}
	e.queue = slices.Delete(e.queue, 0, expired)
}
