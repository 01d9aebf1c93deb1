package placement

import (
	"zinniapulley.dev/core"
)

// Event is what a Placement handles: ServiceAdded, ServiceRemoved,
// ServerChanged, ServerRemoved, DataCentreChanged, BucketsEmpty or Tick.
type Event interface {
	isEvent()
}

// ServiceAdded creates the table of a service.
type ServiceAdded struct {
	Service core.ServiceID
	// Targets is how many backend servers the service is expected to have. It
	// sets the number of buckets for the life of the service.
	Targets int
}

// ServiceRemoved drops the table of a service.
type ServiceRemoved struct {
	Service core.ServiceID
}

// ServerChanged brings a backend server as it now is: announced, draining,
// lost, or with another capacity or share.
type ServerChanged struct {
	Server core.BackendServer
}

// ServerRemoved says that a backend server has left or will not come back.
type ServerRemoved struct {
	Server core.BackendServerID
}

// DataCentreChanged says that operators have a data centre in or out.
type DataCentreChanged struct {
	Name core.DataCentre
	In   bool
}

// BucketsEmpty reports that a backend server has no flow left in the buckets,
// which take no new flows there at the given revision.
type BucketsEmpty struct {
	Server   core.BackendServerID
	Revision core.Revision
	Buckets  []uint32
}

// Tick says that the time that Deadline returned has come.
type Tick struct{}

func (ServiceAdded) isEvent()      {}
func (ServiceRemoved) isEvent()    {}
func (ServerChanged) isEvent()     {}
func (ServerRemoved) isEvent()     {}
func (DataCentreChanged) isEvent() {}
func (BucketsEmpty) isEvent()      {}
func (Tick) isEvent()              {}

// Kind says what a decision does.
type Kind uint8

const (
	// KindAssigned gives a bucket without an owner to To.
	KindAssigned Kind = iota + 1
	// KindMoved moves a bucket from From to To.
	KindMoved
	// KindRefilled gives a bucket further choices, after its owner.
	KindRefilled
	// KindReleased takes From, which has no flow left, out of a chain.
	KindReleased
	// KindHeldBack leaves Count buckets where they are, as their chains are
	// full of backend servers that still have flows.
	KindHeldBack
)

var kindNames = [...]string{"none", "assigned", "moved", "refilled", "released", "held back"}

// String returns the kind in words.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// Reason says why a decision was taken.
type Reason uint8

const (
	// ReasonNoOwner means that the bucket had no owner.
	ReasonNoOwner Reason = iota + 1
	// ReasonOwnerLost means that the owner has lost its lease or has left.
	ReasonOwnerLost
	// ReasonDataCentreOut means that the owner's data centre is out.
	ReasonDataCentreOut
	// ReasonDraining means that the owner is draining.
	ReasonDraining
	// ReasonNoWeight means that the owner has no share or bears nothing.
	ReasonNoWeight
	// ReasonBalance means that the owner had more buckets than its weight
	// gives it.
	ReasonBalance
	// ReasonFewChoices means that the chain had too few choices.
	ReasonFewChoices
	// ReasonNoFlows means that an earlier owner has no flow left.
	ReasonNoFlows
	// ReasonChainFull means that the chain has no room.
	ReasonChainFull
)

var reasonNames = [...]string{
	"none", "no owner", "owner lost", "data centre out", "draining", "no weight",
	"balance", "few choices", "no flows", "chain full",
}

// String returns the reason in words.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}

// Decision is one change of a table, or one that was held back. The role logs a
// line for each.
type Decision struct {
	Kind     Kind
	Reason   Reason
	Service  core.ServiceID
	Bucket   uint32
	From, To core.BackendServerID
	// Count is the number of buckets of KindHeldBack.
	Count int
}
