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

// opens reports whether a packet with these flags asks for a new flow.
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

// Packet is a packet from a caller with what its encapsulation says.
type Packet struct {
	Key   core.FlowKey
	Flags FlagSet
	// Seq and Ack are the TCP sequence and acknowledgement numbers. Ack is
	// meaningful only with FlagACK.
	Seq, Ack uint32
	Service  core.ServiceID
	// Revision is the revision by which Hops was chosen.
	Revision core.Revision
	// Hops lists the candidates in the order in which the packet visits them,
	// Hop the index of this visit.
	Hops []netip.AddrPort
	Hop  int
}

// SynAckSent says that the TCP stack is about to send a SYN-ACK. It must be
// handled before the SYN-ACK leaves the companion.
type SynAckSent struct {
	Key core.FlowKey
	// Seq is the sequence number of the SYN-ACK.
	Seq uint32
}

// FlowClosed says that the TCP stack has forgotten the flow.
type FlowClosed struct {
	Key core.FlowKey
}

// Self is what the newest view says about the own backend server.
type Self struct {
	// Known is false when the view doesn't have the backend server.
	Known bool
	State core.BackendState
	Share int
	// DataCentreIn is whether operators have the own data centre in, also when
	// the backend server is not known.
	DataCentreIn bool
}

// SelfIn returns what a view says about a backend server and its data centre.
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

// ViewChanged brings a newer view. Older ones are ignored.
type ViewChanged struct {
	Forwarding *Forwarding
	Self       Self
}

// LimitChanged sets how many flows the backend server bears at once.
type LimitChanged struct {
	Connections int
}

// Confirmed brings a confirmation of whether the own data centre is in.
type Confirmed struct {
	Confirmation Confirmation
}

// DeadlinePassed says that the time that Deadline returned has come.
type DeadlinePassed struct{}

func (*Packet) isEvent()        {}
func (SynAckSent) isEvent()     {}
func (FlowClosed) isEvent()     {}
func (ViewChanged) isEvent()    {}
func (LimitChanged) isEvent()   {}
func (Confirmed) isEvent()      {}
func (DeadlinePassed) isEvent() {}

// ActionKind says what the companion does after an event.
type ActionKind uint8

const (
	// ActionNone asks for nothing.
	ActionNone ActionKind = iota
	// ActionDeliver hands the packet to the TCP stack.
	ActionDeliver
	// ActionPassOn sends the packet to Hops[NextHop] with the given list.
	ActionPassOn
	// ActionRefuse answers the packet with a TCP reset. Nothing of it reached
	// a backend server.
	ActionRefuse
	// ActionDrop discards the packet for the given reason.
	ActionDrop
	// ActionForget makes the TCP stack discard the flows of Keys without a
	// packet to their callers.
	ActionForget
	// ActionGiveUp makes the TCP stack reset the flows of Keys.
	ActionGiveUp
)

// String returns the kind in words.
func (k ActionKind) String() string {
	names := [...]string{"none", "deliver", "pass on", "refuse", "drop", "forget", "give up"}
	if int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Cause says why a packet was delivered, passed on or refused.
type Cause uint8

const (
	// CauseNone is set where the kind of the action says it all.
	CauseNone Cause = iota
	// CauseNewFlow delivers the first packet of an admitted flow.
	CauseNewFlow
	// CauseKnownFlow delivers a packet of a flow that lives here.
	CauseKnownFlow
	// CauseFlowConfirmed delivers the packet that established a flow.
	CauseFlowConfirmed
	// CauseFull says that the backend server bears no further flow.
	CauseFull
	// CauseNotServing says that the backend server takes no new flow.
	CauseNotServing
	// CauseNotChosen says that the backend server is no choice for new flows
	// of the bucket.
	CauseNotChosen
	// CauseNotHere says that the flow doesn't live here.
	CauseNotHere
	// CauseHeld says that it isn't confirmed that the data centre is in.
	CauseHeld

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
	// Service and Bucket locate the flow, for the log line of a new flow.
	Bucket uint32
	// Revision, Hops and NextHop go into the encapsulation of ActionPassOn.
	Revision core.Revision
	Hops     []netip.AddrPort
	NextHop  int
	// Keys lists the flows of ActionForget and ActionGiveUp.
	Keys []core.FlowKey
}

// OwnerConfig sets up an Owner.
type OwnerConfig struct {
	Self    core.BackendServerID
	Service core.ServiceID
	// HalfOpenTimeout is how long a caller may take to confirm a flow.
	HalfOpenTimeout time.Duration
	// MaxHalfOpen bounds the flows that no caller has confirmed yet.
	MaxHalfOpen int
	// Lease is how long a confirmation that the own data centre is in lasts.
	// Zero means that the data centre's state in the view is enough.
	Lease time.Duration
}

// Defaults of OwnerConfig.
const (
	DefaultHalfOpenTimeout = 10 * time.Second
	DefaultMaxHalfOpen     = 1024
)
