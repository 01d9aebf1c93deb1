package flow

import (
	"net/netip"
	"time"

	"zinniapulley.dev/core"
)

// FlagSet is a set of TCP flags.
type FlagSet uint8

// The TCP flags that decide where a packet goes.
const (
	FlagFIN FlagSet = 1 << iota
	FlagSYN
	FlagRST
	FlagACK
)

// Has reports whether all the given flags are set.
func (s FlagSet) Has(flags FlagSet) bool {
	return s&flags == flags
}

// opens reports whether a packet with these flags requests a new flow.
func (s FlagSet) opens() bool {
	return s.Has(FlagSYN) && s&(FlagACK|FlagRST) == 0
}

// MaxHops is the longest candidate list that a packet may carry: the hops of
// one chain already visited, and those of a newer chain still to be visited.
const MaxHops = core.MaxHops

// Event is what an Owner handles: *Packet, SynAckSent, FlowClosed, ViewChanged,
// LimitChanged, Confirmed or DeadlinePassed.
type Event interface {
	isEvent()
}

// Packet is a packet from a caller with the fields of its encapsulation.
type Packet struct {
	Key   core.FlowKey
	Flags FlagSet
	// Seq and Ack are the TCP sequence and acknowledgement numbers. Ack is
	// meaningful only with FlagACK.
	Seq, Ack uint32
	Service  core.ServiceID
	// Revision is the revision of the view from which Hops was computed.
	Revision core.Revision
	// Hops lists the candidates in the order in which the packet visits them,
	// Hop the index of this visit.
	Hops []netip.AddrPort
	Hop  int
}

// SynAckSent reports that the TCP stack is about to send a SYN-ACK. It must be
// handled before the SYN-ACK leaves the companion.
type SynAckSent struct {
	Key core.FlowKey
	// Seq is the sequence number of the SYN-ACK.
	Seq uint32
}

// FlowClosed reports that the TCP stack has removed the flow.
type FlowClosed struct {
	Key core.FlowKey
}

// Self is the state of the own backend server and data centre in the newest view.
type Self struct {
	// Known reports whether the view contains the backend server.
	Known bool
	State core.BackendState
	Share int
	// DataCentreIn reports whether the own data centre is in service. It is
	// set also if the backend server is not in the view.
	DataCentreIn bool
}

// SelfIn returns the state of a backend server and its data centre in a view.
func SelfIn(view *core.View, id core.BackendServerID, dc core.DataCentre) Self {
	self := Self{DataCentreIn: view.DataCentreInService(dc)}
	for i := range view.BackendServers {
		server := &view.BackendServers[i]
		if server.ID == id {
			self.Known = true
			self.State = server.State
			self.Share = server.Share
		}
	}
	return self
}

// ViewChanged carries a newer view. Older ones are ignored.
type ViewChanged struct {
	Forwarding *ForwardingTable
	Self       Self
}

// LimitChanged sets the maximum number of open flows of the backend server.
type LimitChanged struct {
	Connections int
}

// Confirmed carries a confirmation of whether the own data centre is in service.
type Confirmed struct {
	Confirmation Confirmation
}

// DeadlinePassed reports that the time returned by Deadline has passed.
type DeadlinePassed struct{}

func (*Packet) isEvent()        {}
func (SynAckSent) isEvent()     {}
func (FlowClosed) isEvent()     {}
func (ViewChanged) isEvent()    {}
func (LimitChanged) isEvent()   {}
func (Confirmed) isEvent()      {}
func (DeadlinePassed) isEvent() {}

// ActionKind is what the companion does after an event.
type ActionKind uint8

const (
	// ActionNone requires nothing.
	ActionNone ActionKind = iota
	// ActionDeliver hands the packet to the TCP stack.
	ActionDeliver
	// ActionForward sends the packet to Hops[NextHop], with Hops as its
	// candidate list.
	ActionForward
	// ActionRefuse answers the packet with a TCP reset. No backend server has
	// received any of it.
	ActionRefuse
	// ActionDrop discards the packet for the given reason.
	ActionDrop
	// ActionDiscardFlows makes the TCP stack discard the flows of Keys without
	// sending anything to their callers.
	ActionDiscardFlows
	// ActionResetFlows makes the TCP stack reset the flows of Keys.
	ActionResetFlows
)

// String returns the kind in words.
func (k ActionKind) String() string {
	names := [...]string{"none", "deliver", "pass on", "refuse", "drop", "forget", "give up"}
	if int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Cause is why a packet was delivered, forwarded or refused.
type Cause uint8

const (
	// CauseNone is set where the kind of the action needs no cause.
	CauseNone Cause = iota
	// CauseNewFlow delivers the first packet of an admitted flow.
	CauseNewFlow
	// CauseKnownFlow delivers a packet of a flow that this companion holds.
	CauseKnownFlow
	// CauseFlowConfirmed delivers the packet that established a flow.
	CauseFlowConfirmed
	// CauseFull means that the limit of open or half-open flows is reached.
	CauseFull
	// CauseNotServing means that the backend server accepts no new flows.
	CauseNotServing
	// CauseNotChosen means that the backend server is not a choice for new
	// flows of the bucket.
	CauseNotChosen
	// CauseUnknownFlow means that this companion doesn't hold the flow.
	CauseUnknownFlow
	// CauseLeaseUnconfirmed means that it isn't confirmed that the data centre
	// is in service.
	CauseLeaseUnconfirmed

	// CauseCount is the number of causes, for arrays of counters.
	CauseCount
)

var causeNames = [CauseCount]string{
	"none", "new flow", "known flow", "flow confirmed", "full", "not serving",
	"not a choice", "not here", "held",
}

// String returns the cause in words.
func (c Cause) String() string {
	if c >= CauseCount {
		return "unknown"
	}
	return causeNames[c]
}

// Action is what the companion does after an event. Hops and Keys are valid
// until the next call of Handle.
type Action struct {
	Kind  ActionKind
	Drop  DropReason
	Cause Cause
	// Bucket is the flow's bucket, for the log line of a new flow.
	Bucket uint32
	// Revision, Hops and NextHop go into the encapsulation of ActionForward.
	Revision core.Revision
	Hops     []netip.AddrPort
	NextHop  int
	// Keys lists the flows of ActionDiscardFlows and ActionResetFlows.
	Keys []core.FlowKey
}

// OwnerConfig sets up an Owner.
type OwnerConfig struct {
	Self    core.BackendServerID
	Service core.ServiceID
	// HalfOpenTimeout is how long a caller may take to confirm a flow.
	HalfOpenTimeout time.Duration
	// MaxHalfOpen is the maximum number of half-open flows.
	MaxHalfOpen int
	// Lease is how long a confirmation that the own data centre is in service
	// lasts. Zero means that the data centre's state in the view is enough.
	Lease time.Duration
}

// Defaults of OwnerConfig.
const (
	DefaultHalfOpenTimeout = 10 * time.Second
	DefaultMaxHalfOpen     = 1024
)
