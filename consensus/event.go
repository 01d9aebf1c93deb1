package consensus

import "net/netip"

// Event is an input of a core: one of the types below, by value.
type Event interface{ isEvent() }

// DeadlineReached reports that the time returned by Deadline has been reached.
type DeadlineReached struct{}

// Received carries a message from a peer.
type Received struct{ Message Message }

// Persisted reports that all Persist actions up to Sequence are synced.
type Persisted struct{ Sequence Sequence }

// Propose requests that a command be appended to the log. It is answered by
// Committed or Refused with the same tag.
type Propose struct {
	Tag     Tag
	Command []byte
}

// ReadBarrier starts a linearizable read (Raft's read index): it confirms
// that this member leads and has applied everything committed before.
// It is answered by ReadReady or Refused.
type ReadBarrier struct{ Tag Tag }

// AddMember adds a learner, which becomes a voter once it has caught up. It is
// answered by Committed once the entry that adds the learner is committed, or by
// Refused.
type AddMember struct {
	Tag     Tag
	ID      MemberID
	Address netip.AddrPort
}

// RemoveMember removes a member. It is answered by Committed or Refused. A leader
// can't remove itself; use TransferLeadership first.
type RemoveMember struct {
	Tag Tag
	ID  MemberID
}

// SnapshotTaken carries the state machine's state at the applied index Index.
type SnapshotTaken struct {
	Index Index
	State []byte
}

// TransferLeadership makes a leader transfer leadership to the most up-to-date
// voter, for a graceful stop.
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
