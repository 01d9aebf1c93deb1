package flow

import (
	"net/netip"
	"time"

	"zinniapulley.dev/core"
)

// Owner decides for one companion what becomes of each packet: whether its
// flow lives here, may start here, or must be sought at the next candidate.
// It belongs to one traffic goroutine.
//
// A half-open flow becomes established only when a packet acknowledges exactly
// the SYN-ACK sent here. Of two companions that answered the same SYN, the one
// that the caller confirmed gets the flow; the other forgets its half.
type Owner struct {
	config OwnerConfig
	lease  *Lease
	view   *ForwardingTable
	self   Self
	limit  int
	flows  map[core.FlowKey]flowState
	// halfOpen counts the flows that no caller has confirmed, and waiting lists
	// them by deadline, with entries that are no longer half-open in between.
	halfOpen int
	waiting  []waitingFlow
	// perBucket counts the flows of each bucket, half-open ones included.
	perBucket []uint32
	// opened numbers the flows, to tell a reused key from its earlier use.
	opened uint64
	hops   []netip.AddrPort
	keys   []core.FlowKey
}

// flowState is what the owner knows of one flow.
type flowState struct {
	number      uint64
	bucket      uint32
	established bool
	// synAckSent is whether synAck, the sequence number of the own SYN-ACK, is
	// known.
	synAckSent bool
	synAck     uint32
	// callerSeq is the sequence number of the caller's SYN.
	callerSeq uint32
}

// waitingFlow is a flow that is forgotten at its deadline unless confirmed.
type waitingFlow struct {
	key      core.FlowKey
	number   uint64
	deadline time.Time
}

// NewOwner returns an owner without flows, view or limit: it admits nothing
// until it has a ViewChanged and a LimitChanged.
func NewOwner(config OwnerConfig) *Owner {
	return &Owner{
		config: config,
		lease:  NewLease(config.Lease),
		flows:  make(map[core.FlowKey]flowState),
		hops:   make([]netip.AddrPort, 0, MaxHops),
	}
}

// Handle takes one event and returns what the companion does next.
func (o *Owner) Handle(now time.Time, event Event) Action {
	switch e := event.(type) {
	case *Packet:
		return o.packet(now, e)
	case SynAckSent:
		return o.synAckSent(e)
	case FlowClosed:
		o.remove(e.Key)
		return Action{}
	case ViewChanged:
		return o.viewChanged(e)
	case LimitChanged:
		o.limit = e.Connections
		return Action{}
	case Confirmed:
		o.lease.Confirm(now, e.Confirmation)
		return o.giveUpIfOut(now)
	case DeadlinePassed:
		return o.expire(now)
	default:
		return Action{}
	}
}

// Deadline returns when the oldest half-open flow is to be forgotten, and
// false if there is none.
func (o *Owner) Deadline() (time.Time, bool) {
	o.trimWaiting()
	if len(o.waiting) == 0 {
		return time.Time{}, false
	}
	return o.waiting[0].deadline, true
}

// Flows returns how many flows are open here, half-open ones included.
func (o *Owner) Flows() int {
	return len(o.flows)
}

// HalfOpen returns how many flows no caller has confirmed yet.
func (o *Owner) HalfOpen() int {
	return o.halfOpen
}

// Confirmation returns what this companion can tell a peer of its data centre.
func (o *Owner) Confirmation(now time.Time) (Confirmation, bool) {
	return o.lease.Confirmation(now)
}

// packet decides about one packet from a caller.
func (o *Owner) packet(now time.Time, p *Packet) Action {
	reason := o.check(p)
	if reason != DropNone {
		return Action{Kind: ActionDrop, Drop: reason}
	}
	state, known := o.flows[p.Key]
	if o.lease.State(now) == LeaseUnconfirmed {
		return o.held(p, known)
	}
	switch {
	case known && o.belongs(p, state):
		return o.deliver(p, state)
	case known && !state.synAckSent && !o.hasNext(p):
		return Action{Kind: ActionDrop, Drop: DropHalfOpen, Bucket: state.bucket}
	case p.Flags.opens() && !known:
		return o.newFlow(now, p)
	default:
		return o.seek(p, CauseUnknownFlow)
	}
}

// check returns why the packet may not be handled here at all.
func (o *Owner) check(p *Packet) DropReason {
	if p.Service != o.config.Service {
		return DropWrongService
	}
	if len(p.Hops) > MaxHops || p.Hop < 0 || p.Hop >= len(p.Hops) {
		return DropBadHops
	}
	if o.view == nil {
		return DropLeaseUnconfirmed
	}
	service, known := o.view.Service(o.config.Service)
	if !known || service.Address != p.Key.Service {
		return DropWrongService
	}
	return DropNone
}

// held decides while it isn't confirmed that the data centre is in: nothing is
// delivered and nothing refused, but flows of others still find their way.
func (o *Owner) held(p *Packet, known bool) Action {
	if known || !o.hasNext(p) {
		return Action{Kind: ActionDrop, Drop: DropLeaseUnconfirmed, Cause: CauseLeaseUnconfirmed}
	}
	return o.seek(p, CauseLeaseUnconfirmed)
}

// belongs reports whether a packet of a known flow is for this companion. A
// reset of a half-open flow without acknowledgement may be for the companion
// that the caller confirmed, so it goes there first.
func (o *Owner) belongs(p *Packet, state flowState) bool {
	if state.established || p.Flags.opens() {
		return true
	}
	if !state.synAckSent {
		return false
	}
	if p.Flags.Has(FlagACK) {
		return p.Ack == state.synAck+1
	}
	return p.Flags.Has(FlagRST) && p.Seq == state.callerSeq+1 && !o.hasNext(p)
}

// deliver hands over a packet of a flow that lives here and marks the flow
// established once its caller has acknowledged the SYN-ACK.
func (o *Owner) deliver(p *Packet, state flowState) Action {
	cause := CauseKnownFlow
	if !state.established && p.Flags.Has(FlagACK) {
		state.established = true
		o.flows[p.Key] = state
		o.halfOpen--
		cause = CauseFlowConfirmed
	}
	return Action{Kind: ActionDeliver, Cause: cause, Bucket: state.bucket}
}

// newFlow admits the flow of a SYN or passes it to the next choice.
func (o *Owner) newFlow(now time.Time, p *Packet) Action {
	cause := o.unfit(p)
	if cause != CauseNone {
		return o.seek(p, cause)
	}
	o.opened++
	bucket := o.bucket(p.Key)
	o.flows[p.Key] = flowState{number: o.opened, bucket: bucket, callerSeq: p.Seq}
	o.perBucket[bucket]++
	o.halfOpen++
	deadline := now.Add(o.config.HalfOpenTimeout)
	o.waiting = append(o.waiting, waitingFlow{key: p.Key, number: o.opened, deadline: deadline})
	return Action{Kind: ActionDeliver, Cause: CauseNewFlow, Bucket: bucket}
}

// unfit returns why the flow of a SYN can't start here, or CauseNone.
func (o *Owner) unfit(p *Packet) Cause {
	self := o.self
	switch {
	case !self.Known || !self.DataCentreIn || self.State != core.BackendServing || self.Share <= 0:
		return CauseNotServing
	case !o.isChoice(p):
		return CauseNotChosen
	case len(o.flows) >= o.limit || o.halfOpen >= o.config.MaxHalfOpen:
		return CauseFull
	default:
		return CauseNone
	}
}

// isChoice reports whether the own view has this companion among the choices
// for new flows of the bucket. A packet's word doesn't count: what EmptyBuckets
// has reported at the own view's revision must stay true.
func (o *Owner) isChoice(p *Packet) bool {
	for _, hop := range o.view.bucketHops(o.config.Service, o.bucket(p.Key)) {
		if hop.BackendServer == o.config.Self {
			return hop.Choice
		}
	}
	return false
}

// seek passes a packet to the next candidate, or refuses it at the last.
func (o *Owner) seek(p *Packet, cause Cause) Action {
	bucket := o.bucket(p.Key)
	hops, revision := o.route(p, bucket)
	next := p.Hop + 1
	if next < len(hops) {
		return Action{
			Kind: ActionForward, Cause: cause, Bucket: bucket,
			Revision: revision, Hops: hops, NextHop: next,
		}
	}
	if p.Flags.Has(FlagRST) {
		return Action{Kind: ActionDrop, Drop: DropUnmatchedReset, Cause: cause, Bucket: bucket}
	}
	if p.Flags.opens() && p.Revision > o.view.Revision() {
		return Action{Kind: ActionDrop, Drop: DropViewBehind, Cause: cause, Bucket: bucket}
	}
	return Action{Kind: ActionRefuse, Cause: cause, Bucket: bucket}
}

// hasNext reports whether there is a candidate after this one.
func (o *Owner) hasNext(p *Packet) bool {
	hops, _ := o.route(p, o.bucket(p.Key))
	return p.Hop+1 < len(hops)
}

// route returns the list by which a packet goes on. Where the own view is newer
// than the packet's, the candidates not yet visited are those of the own chain.
// The visited ones stay in front, so that no packet visits a companion twice.
func (o *Owner) route(p *Packet, bucket uint32) ([]netip.AddrPort, core.Revision) {
	if o.view.Revision() <= p.Revision {
		return p.Hops, p.Revision
	}
	visited := p.Hops[:p.Hop+1]
	o.hops = append(o.hops[:0], visited...)
	for _, hop := range o.view.bucketHops(o.config.Service, bucket) {
		if len(o.hops) < MaxHops && hop.BackendServer != o.config.Self && !contains(visited, hop.Packets) {
			o.hops = append(o.hops, hop.Packets)
		}
	}
	return o.hops, o.view.Revision()
}

func contains(hops []netip.AddrPort, address netip.AddrPort) bool {
	for _, hop := range hops {
		if hop == address {
			return true
		}
	}
	return false
}

// bucket returns the flow's bucket in the own view.
func (o *Owner) bucket(key core.FlowKey) uint32 {
	count := o.view.BucketCount(o.config.Service)
	if count == 0 {
		return 0
	}
	return Bucket(Hash(o.view.seed, key), count)
}

// synAckSent notes which acknowledgement will confirm a half-open flow.
func (o *Owner) synAckSent(e SynAckSent) Action {
	state, known := o.flows[e.Key]
	if !known || state.established {
		return Action{}
	}
	state.synAckSent = true
	state.synAck = e.Seq
	o.flows[e.Key] = state
	return Action{}
}
