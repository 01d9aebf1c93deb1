package flow

import (
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// viewChanged puts a newer view in force. Flows are given up when operators
// have taken the own data centre out or removed the service or moved it to
// another address.
func (o *Owner) viewChanged(e ViewChanged) Action {
	if o.view != nil && e.Forwarding.Revision() < o.view.Revision() {
		return Action{}
	}
	moved := o.addressChanged(e.Forwarding)
	o.view = e.Forwarding
	o.self = e.Self
	o.fitBuckets()
	o.lease.Learn(e.Forwarding.Revision(), e.Self.DataCentreIn)
	if moved || !e.Self.DataCentreIn {
		return o.giveUp()
	}
	return Action{}
}

// addressChanged reports whether the service's address in the new view differs
// from the one in force, so that no open flow can be reached any more.
func (o *Owner) addressChanged(next *ForwardingTable) bool {
	if o.view == nil {
		return false
	}
	before, _ := o.view.Service(o.config.Service)
	after, _ := next.Service(o.config.Service)
	return before.Address != after.Address
}

// fitBuckets sizes the counters to the table. The number of buckets never
// changes while the service lives.
func (o *Owner) fitBuckets() {
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

// giveUpIfOut gives all flows up once the data centre is known to be out.
func (o *Owner) giveUpIfOut(now time.Time) Action {
	if o.lease.State(now) != LeaseOutOfService {
		return Action{}
	}
	o.self.DataCentreIn = false
	return o.giveUp()
}

// giveUp forgets all flows and returns their keys, in the order of opening.
func (o *Owner) giveUp() Action {
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
	o.waiting = nil
	return Action{Kind: ActionResetFlows, Keys: keys}
}

// remove forgets one flow.
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

// expire forgets the half-open flows whose time has passed.
func (o *Owner) expire(now time.Time) Action {
	o.keys = o.keys[:0]
	for len(o.waiting) > 0 && !o.waiting[0].deadline.After(now) {
		first := o.waiting[0]
		o.waiting = o.waiting[1:]
		if o.stillWaiting(first) {
			o.remove(first.key)
			o.keys = append(o.keys, first.key)
		}
	}
	if len(o.keys) == 0 {
		return Action{}
	}
	return Action{Kind: ActionDiscardFlows, Keys: o.keys}
}

// trimWaiting drops the entries in front that are no longer half-open.
func (o *Owner) trimWaiting() {
	for len(o.waiting) > 0 && !o.stillWaiting(o.waiting[0]) {
		o.waiting = o.waiting[1:]
	}
}

func (o *Owner) stillWaiting(w waitingFlow) bool {
	state, known := o.flows[w.key]
	return known && !state.established && state.number == w.number
}

// EmptyBuckets lists, in order, the buckets in whose chain this companion is
// an earlier owner but has no flow left, with the revision at which that is so.
// From that revision on none can start here, unless a newer revision makes it a
// choice again; so control may take it out of those chains.
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

// isEarlierOwner reports whether the own view has this companion in the
// bucket's chain without letting it take new flows.
func (o *Owner) isEarlierOwner(bucket uint32) bool {
	barred := o.self.State != core.BackendServing || o.self.Share <= 0
	for _, hop := range o.view.bucketHops(o.config.Service, bucket) {
		if hop.BackendServer == o.config.Self {
			return barred || !hop.Choice
		}
	}
	return false
}
