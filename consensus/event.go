package consensus

import "net/netip"

// Event is what a driver tells a core: one of the types below, by value.
type Event interface{ isEvent() }

// DeadlineReached says that the time of Deadline has come.
type DeadlineReached struct{}

// Received hands in a message from a peer.
type Received struct{ Message Message }

// Persisted reports that all Persist actions up to Sequence are synced.
type Persisted struct{ Sequence Sequence }

// Propose asks for a command to be added to the log. It is answered by Accepted
// or Refused with the same tag.
type Propose struct {
	Tag     Tag
	Command []byte
}

// ReadBarrier asks for a confirmation that this member leads and has applied all
// that was accepted before. It is answered by ReadReady or Refused.
type ReadBarrier struct{ Tag Tag }

// AddMember asks for a learner, which becomes a voter once it has caught up. It
// is answered by Accepted once the learner is committed, or by Refused.
type AddMember struct {
	Tag     Tag
	ID      MemberID
	Address netip.AddrPort
}

// RemoveMember asks for a member to be removed. It is answered by Accepted or
// Refused. A leader doesn't remove itself; TransferLeadership goes first.
type RemoveMember struct {
	Tag Tag
	ID  MemberID
}

// SnapshotTaken hands in the state machine as of the applied index Index.
type SnapshotTaken struct {
	Index Index
	State []byte
}

// TransferLeadership asks a leader to hand over to the voter that is furthest,
// for a graceful stop.
type TransferLeadership struct{}

func (DeadlineReached) isEvent()    {}
func (Received) isEvent()           {}
func (Persisted) isEvent()          {}
func (Propose) isEvent()            {}
func (ReadBarrier) isEvent()        {}
func (AddMember) isEvent()          {}
func (RemoveMember) isEvent()       {}
func (SnapshotTaken) isEvent()      {}
func (TransferLeadership) isEvent() {}
