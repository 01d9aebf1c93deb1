package placement

import (
	"zinniapulley.dev/core"
)

// Event is an input of Placement.Handle: ServiceAdded, ServiceRemoved,
// ServerChanged, ServerRemoved, DataCentreChanged, BucketsEmpty or Tick.
type Event interface {
	isEvent()
}

// ServiceAdded creates the table of a service.
type ServiceAdded struct {
	Service core.ServiceID
	// Targets is the expected number of backend servers. It fixes the number of
	// buckets for the lifetime of the service.
	Targets int
}

// ServiceRemoved drops the table of a service.
type ServiceRemoved struct {
	Service core.ServiceID
}

// ServerChanged carries the current state of a backend server that was
// announced, drains, was lost, or has a new capacity or share.
type ServerChanged struct {
	Server core.BackendServer
}

// ServerRemoved reports that a backend server departed or will not return.
type ServerRemoved struct {
	Server core.BackendServerID
}

// DataCentreChanged reports that operators put a data centre in or out of service.
type DataCentreChanged struct {
	Name core.DataCentre
	In   bool
}

// BucketsEmpty reports that a backend server has no flows left in the buckets
// and, as of the given revision, accepts no new flows for them.
type BucketsEmpty struct {
	Server   core.BackendServerID
	Revision core.Revision
	Buckets  []uint32
}

// Tick reports that the time returned by Deadline has been reached.
type Tick struct{}

func (ServiceAdded) isEvent()      {}
func (ServiceRemoved) isEvent()    {}
func (ServerChanged) isEvent()     {}
func (ServerRemoved) isEvent()     {}
func (DataCentreChanged) isEvent() {}
func (BucketsEmpty) isEvent()      {}
func (Tick) isEvent()              {}

// Kind is the type of change that a decision makes.
type Kind uint8

const (
	// KindAssigned assigns a bucket without an owner to To.
	KindAssigned Kind = iota + 1
	// KindMoved moves a bucket from From to To.
	KindMoved
	// KindRefilled adds further choices to a bucket's chain, after the owner.
	KindRefilled
	// KindReleased removes From, which has no flows left, from a chain.
	KindReleased
	// KindHeldBack leaves Count buckets unchanged because their chains are full
	// of backend servers that may still have flows.
	KindHeldBack
)

var kindNames = [...]string{"none", "assigned", "moved", "refilled", "released", "held back"}

// String returns the kind's name, as used in logs.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// Reason is the cause of a decision.
type Reason uint8

const (
	// ReasonNoOwner means that the bucket had no owner.
	ReasonNoOwner Reason = iota + 1
	// ReasonOwnerLost means that the owner's lease expired or the owner departed.
	ReasonOwnerLost
	// ReasonDataCentreOut means that the owner's data centre is out of service.
	ReasonDataCentreOut
	// ReasonDraining means that the owner is draining.
	ReasonDraining
	// ReasonNoWeight means that the owner's share or connection capacity is zero.
	ReasonNoWeight
	// ReasonBalance means that the owner had more buckets than its quota.
	ReasonBalance
	// ReasonFewChoices means that the chain had too few choices.
	ReasonFewChoices
	// ReasonNoFlows means that a chain member has no flows left.
	ReasonNoFlows
	// ReasonChainFull means that the chain has no room for another member.
	ReasonChainFull
)

var reasonNames = [...]string{
	"none", "no owner", "owner lost", "data centre out", "draining", "no weight",
	"balance", "few choices", "no flows", "chain full",
}

// String returns the reason's name, as used in logs.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}

// Decision is one change of a table, or one that was held back. The role logs
// each.
type Decision struct {
	Kind     Kind
	Reason   Reason
	Service  core.ServiceID
	Bucket   uint32
	From, To core.BackendServerID
	// Count is the number of buckets of KindHeldBack.
	Count int
}
