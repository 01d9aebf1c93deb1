package consensus

// Message is sent from one member to another. The core tolerates lost, duplicated,
// delayed and reordered messages.
type Message struct {
	From MemberID
	To   MemberID
	Term Term
	Body Body
}

// Body is the content of a message: VoteRequest, VoteReply, Append, AppendReply,
// InstallSnapshot, CampaignNow or Expelled, each by value.
type Body interface{ isBody() }

// VoteRequest is Raft's RequestVote: it requests a vote in the message's term.
type VoteRequest struct {
	// Pre marks a pre-vote, which is answered without any change of state.
	Pre bool
	// Transfer marks an election that the leader has requested by CampaignNow.
	Transfer  bool
	LastIndex Index
	LastTerm  Term
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Pre     bool
	Granted bool
}

// Append is Raft's AppendEntries: it carries the entries that follow the entry
// (PrevIndex, PrevTerm). Without entries it is a heartbeat.
type Append struct {
	PrevIndex Index
	PrevTerm  Term
	Entries   []Entry
	Commit    Index
	// Round is echoed in the reply, which confirms that the sender was still the
	// leader when the round began.
	Round uint64
}

// AppendReply answers an Append or an InstallSnapshot.
type AppendReply struct {
	Accepted bool
	// Match is the last index up to which the log matches the leader's, if Accepted.
	Match Index
	// RejectedPrev is the PrevIndex that didn't match, if not Accepted.
	RejectedPrev Index
	// Hint is the index from which the leader should send next, if not Accepted.
	Hint Index
	// Round is that of the message, or zero if the message is of an earlier term than
	// the reply.
	Round uint64
}

// InstallSnapshot carries a snapshot to a member that is too far behind.
type InstallSnapshot struct {
	Snapshot Snapshot
	Round    uint64
}

// CampaignNow is Raft's TimeoutNow: in a leadership transfer it makes a voter
// campaign at once.
type CampaignNow struct{}

// Expelled notifies a former member that a committed change has removed it.
type Expelled struct{}

func (VoteRequest) isBody()     {}
func (VoteReply) isBody()       {}
func (Append) isBody()          {}
func (AppendReply) isBody()     {}
func (InstallSnapshot) isBody() {}
func (CampaignNow) isBody()     {}
func (Expelled) isBody()        {}
