package flow

import (
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// viewChanged applies a newer view. It resets all flows if operators have taken the
// own data centre out of service, removed the service or changed its address.
func (o *Owner) viewChanged(e ViewChanged) Action {
	if o.view != nil && e.Forwarding.Revision() < o.view.Revision() {
		return Action{}
	}
	moved := o.addressChanged(e.Forwarding)
	o.view = e.Forwarding
	o.self = e.Self
	o.resizeBuckets()
	o.lease.Learn(e.Forwarding.Revision(), e.Self.DataCentreIn)
	if moved || !e.Self.DataCentreIn {
		return o.resetFlows()
	}
	return Action{}
}

// addressChanged reports whether the service's address in the new view differs
// from the current one, so that callers can no longer reach their open flows.
func (o *Owner) addressChanged(next *ForwardingTable) bool {
	if o.view == nil {
		return false
	}
	before, _ := o.view.Service(o.config.Service)
	after, _ := next.Service(o.config.Service)
	return before.Address != after.Address
}

// resizeBuckets sizes the counters to the table. The number of buckets of a service
// never changes.
func (o *Owner) resizeBuckets() {
	count := max(1, o.view.BucketCount(o.config.Service))
	if len(o.perBucket) == count {
		return
	}
	o.perBucket = make([]uint32, count)
	for key, state := range o.flows {
		state.bucket = o.bucket(key)
		o.flows[key] = state
		o.perBucket[state.bucket]++
	}
}

// resetFlowsIfOut resets all flows once the data centre is out of service.
func (o *Owner) resetFlowsIfOut(now time.Time) Action {
	if o.lease.State(now) != LeaseOutOfService {
		return Action{}
	}
	o.self.DataCentreIn = false
	return o.resetFlows()
}

// resetFlows removes all flows and returns the action that resets them, in the
// order of opening.
func (o *Owner) resetFlows() Action {
	if len(o.flows) == 0 {
		return Action{}
	}
	keys := make([]core.FlowKey, 0, len(o.flows))
	for key := range o.flows {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b core.FlowKey) int {
		return int(int64(o.flows[a].number) - int64(o.flows[b].number))
	})
	clear(o.flows)
	clear(o.perBucket)
	o.halfOpen = 0
	o.halfOpenQueue = nil
	return Action{Kind: ActionResetFlows, Keys: keys}
}

func (o *Owner) remove(key core.FlowKey) {
	state, known := o.flows[key]
	if !known {
		return
	}
	if !state.established {
		o.halfOpen--
	}
	o.perBucket[state.bucket]--
	delete(o.flows, key)
}

// expire removes the half-open flows whose deadline has passed.
func (o *Owner) expire(now time.Time) Action {
	o.keyBuffer = o.keyBuffer[:0]
	for len(o.halfOpenQueue) > 0 && !o.halfOpenQueue[0].deadline.After(now) {
		first := o.halfOpenQueue[0]
		o.halfOpenQueue = o.halfOpenQueue[1:]
		if o.stillHalfOpen(first) {
			o.remove(first.key)
			o.keyBuffer = append(o.keyBuffer, first.key)
		}
	}
	if len(o.keyBuffer) == 0 {
		return Action{}
	}
	return Action{Kind: ActionDiscardFlows, Keys: o.keyBuffer}
}

// trimHalfOpenQueue removes flows that are no longer half-open from the front.
func (o *Owner) trimHalfOpenQueue() {
	for len(o.halfOpenQueue) > 0 && !o.stillHalfOpen(o.halfOpenQueue[0]) {
		o.halfOpenQueue = o.halfOpenQueue[1:]
	}
}

func (o *Owner) stillHalfOpen(f halfOpenFlow) bool {
	state, known := o.flows[f.key]
	return known && !state.established && state.number == f.number
}

// EmptyBuckets returns, in order, the buckets in whose chain this companion is an
// earlier owner without any flow left, and the view revision for which this holds.
// From that revision on it admits no flow of these buckets, unless a newer revision
// makes it a choice again, so control may remove it from their chains.
func (o *Owner) EmptyBuckets() (core.Revision, []uint32) {
	if o.view == nil {
		return 0, nil
	}
	var empty []uint32
	for bucket := range o.view.BucketCount(o.config.Service) {
		if o.perBucket[bucket] == 0 && o.isEarlierOwner(uint32(bucket)) {
			empty = append(empty, uint32(bucket))
		}
	}
	return o.view.Revision(), empty
}

// isEarlierOwner reports whether the own view has this companion in the bucket's
// chain but not as a choice for new flows.
func (o *Owner) isEarlierOwner(bucket uint32) bool {
	noNewFlows := o.self.State != core.BackendServing || o.self.Share <= 0
	for _, hop := range o.view.bucketHops(o.config.Service, bucket) {
		if hop.BackendServer == o.config.Self {
			return noNewFlows || !hop.Choice
		}
	}
	return false
}
