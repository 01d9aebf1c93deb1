package flow

import (
	"net/netip"
	"time"

	"zinniapulley.dev/core"
)

// Owner tracks the flows of one companion and decides for each packet whether this
// companion holds its flow, may admit it, or forwards the packet to the next
// candidate. It is used by one traffic goroutine only.
//
// A half-open flow becomes established only when a packet acknowledges exactly
// the SYN-ACK sent here. If two companions answered the same SYN, the one whose
// SYN-ACK the caller acknowledged keeps the flow; at the other it expires.
type Owner struct {
	config OwnerConfig
	lease  *Lease
	view   *ForwardingTable
	self   Self
	limit  int
	flows  map[core.FlowKey]flowState
	// halfOpen counts the half-open flows. halfOpenQueue lists them by deadline;
	// it may also contain flows that have since been confirmed or removed.
	halfOpen      int
	halfOpenQueue []halfOpenFlow
	// perBucket counts the flows of each bucket, half-open ones included.
	perBucket []uint32
	// lastNumber numbers the flows, to distinguish a reused key from its earlier use.
	lastNumber uint64
	hopBuffer  []netip.AddrPort
	keyBuffer  []core.FlowKey
}

type flowState struct {
	number      uint64
	bucket      uint32
	established bool
	// synAckSent reports whether synAck, the sequence number of the own SYN-ACK,
	// is set.
	synAckSent bool
	synAck     uint32
	// callerSeq is the sequence number of the caller's SYN.
	callerSeq uint32
}

// halfOpenFlow is a flow that expires at its deadline unless confirmed.
type halfOpenFlow struct {
	key      core.FlowKey
	number   uint64
	deadline time.Time
}

// NewOwner returns an owner without flows, view or limit. It admits no flow
// before it has handled a ViewChanged and a LimitChanged.
func NewOwner(config OwnerConfig) *Owner {
	return &Owner{
		config:    config,
		lease:     NewLease(config.Lease),
		flows:     make(map[core.FlowKey]flowState),
		hopBuffer: make([]netip.AddrPort, 0, MaxHops),
	}
}

// Handle handles one event and returns what the companion does next.
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
		return o.resetFlowsIfOut(now)
	case DeadlinePassed:
		return o.expire(now)
	default:
		return Action{}
	}
}

// Deadline returns when the oldest half-open flow expires, and false if there is
// none.
func (o *Owner) Deadline() (time.Time, bool) {
	o.trimHalfOpenQueue()
	if len(o.halfOpenQueue) == 0 {
		return time.Time{}, false
	}
	return o.halfOpenQueue[0].deadline, true
}

// Flows returns the number of flows held here, half-open ones included.
func (o *Owner) Flows() int {
	return len(o.flows)
}

// HalfOpen returns the number of flows that their callers have not confirmed yet.
func (o *Owner) HalfOpen() int {
	return o.halfOpen
}

// Confirmation returns what this companion can confirm to a peer of its data
// centre, and false if it has no valid confirmation.
func (o *Owner) Confirmation(now time.Time) (Confirmation, bool) {
	return o.lease.Confirmation(now)
}

// packet handles one packet from a caller.
func (o *Owner) packet(now time.Time, p *Packet) Action {
	reason := o.check(p)
	if reason != DropNone {
		return Action{Kind: ActionDrop, Drop: reason}
	}
	state, known := o.flows[p.Key]
	if o.lease.State(now) == LeaseUnconfirmed {
		return o.handleUnconfirmed(p, known)
	}
	switch {
	case known && o.belongsHere(p, state):
		return o.deliver(p, state)
	case known && !state.synAckSent && !o.hasNext(p):
		return Action{Kind: ActionDrop, Drop: DropHalfOpen, Bucket: state.bucket}
	case p.Flags.opens() && !known:
		return o.newFlow(now, p)
	default:
		return o.forwardOrRefuse(p, CauseUnknownFlow)
	}
}

// check returns why the packet must be dropped, or DropNone.
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

// handleUnconfirmed handles a packet while it isn't confirmed that the data centre
// is in service: nothing is delivered or refused, but packets of flows that other
// companions may hold are still forwarded.
func (o *Owner) handleUnconfirmed(p *Packet, known bool) Action {
	if known || !o.hasNext(p) {
		return Action{Kind: ActionDrop, Drop: DropLeaseUnconfirmed, Cause: CauseLeaseUnconfirmed}
	}
	return o.forwardOrRefuse(p, CauseLeaseUnconfirmed)
}

// belongsHere reports whether a packet of a known flow is for this companion. A
// reset of a half-open flow without acknowledgement may be for another companion,
// which the caller confirmed, so it visits the other candidates first.
func (o *Owner) belongsHere(p *Packet, state flowState) bool {
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

// deliver delivers a packet of a flow that is held here and marks the flow
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

// newFlow admits the flow of a SYN or forwards the SYN to the next candidate.
func (o *Owner) newFlow(now time.Time, p *Packet) Action {
	cause := o.notAdmittedCause(p)
	if cause != CauseNone {
		return o.forwardOrRefuse(p, cause)
	}
	o.lastNumber++
	bucket := o.bucket(p.Key)
	o.flows[p.Key] = flowState{number: o.lastNumber, bucket: bucket, callerSeq: p.Seq}
	o.perBucket[bucket]++
	o.halfOpen++
	deadline := now.Add(o.config.HalfOpenTimeout)
	o.halfOpenQueue = append(o.halfOpenQueue, halfOpenFlow{key: p.Key, number: o.lastNumber, deadline: deadline})
	return Action{Kind: ActionDeliver, Cause: CauseNewFlow, Bucket: bucket}
}

// notAdmittedCause returns why the flow of a SYN can't be admitted, or CauseNone.
func (o *Owner) notAdmittedCause(p *Packet) Cause {
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

// isChoice reports whether the own view has this companion among the choices for
// new flows of the bucket. The packet's hops are not used: buckets that EmptyBuckets
// has reported empty at the own view's revision must stay empty.
func (o *Owner) isChoice(p *Packet) bool {
	for _, hop := range o.view.bucketHops(o.config.Service, o.bucket(p.Key)) {
		if hop.BackendServer == o.config.Self {
			return hop.Choice
		}
	}
	return false
}

// forwardOrRefuse forwards a packet to the next candidate, or refuses it at the last.
// It drops unmatched resets and SYNs of a view newer than its own instead.
func (o *Owner) forwardOrRefuse(p *Packet, cause Cause) Action {
	bucket := o.bucket(p.Key)
	hops, revision := o.candidates(p, bucket)
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
	hops, _ := o.candidates(p, o.bucket(p.Key))
	return p.Hop+1 < len(hops)
}

// candidates returns the candidate list with which a packet is forwarded, and its
// revision. If the own view is newer than the packet's, the candidates not yet
// visited are those of the own chain. The visited ones stay in front, so that no
// packet visits a companion twice.
func (o *Owner) candidates(p *Packet, bucket uint32) ([]netip.AddrPort, core.Revision) {
	if o.view.Revision() <= p.Revision {
		return p.Hops, p.Revision
	}
	visited := p.Hops[:p.Hop+1]
	o.hopBuffer = append(o.hopBuffer[:0], visited...)
	for _, hop := range o.view.bucketHops(o.config.Service, bucket) {
		if len(o.hopBuffer) < MaxHops && hop.BackendServer != o.config.Self && !contains(visited, hop.Packets) {
			o.hopBuffer = append(o.hopBuffer, hop.Packets)
		}
	}
	return o.hopBuffer, o.view.Revision()
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

// synAckSent records the sequence number whose acknowledgement confirms a half-open
// flow.
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
