package consensus

// Message goes from one member to another. Lost, repeated, late and reordered
// messages do no harm.
type Message struct {
	From MemberID
	To   MemberID
	Term Term
	Body Body
}

// Body is the content of a message: VoteRequest, VoteReply, Append, AppendReply,
// InstallSnapshot, CampaignNow or Expelled, each by value.
type Body interface{ isBody() }

// VoteRequest asks for a vote in the message's term.
type VoteRequest struct {
	// Pre asks whether a vote would be given, without any change of state.
	Pre bool
	// Transfer marks an election that the leader itself has asked for.
	Transfer  bool
	LastIndex Index
	LastTerm  Term
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Pre     bool
	Granted bool
}

// Append carries entries that follow the entry (PrevIndex, PrevTerm). Without
// entries it is a heartbeat.
type Append struct {
	PrevIndex Index
	PrevTerm  Term
	Entries   []Entry
	Commit    Index
	// Round is sent back in the reply. It confirms that the sender still led
	// when the round began.
	Round uint64
}

// AppendReply answers an Append or an InstallSnapshot.
type AppendReply struct {
	Accepted bool
	// Match is the last index known to equal the leader's log, when accepted.
	Match Index
	// RejectedPrev is the PrevIndex that didn't match, when not accepted.
	RejectedPrev Index
	// Hint is the index from which the leader should send, when not accepted.
	Hint  Index
	Round uint64
}

// InstallSnapshot carries a snapshot to a member that is too far behind.
type InstallSnapshot struct {
	Snapshot Snapshot
	Round    uint64
}

// CampaignNow asks a voter to campaign at once: the leader hands over.
type CampaignNow struct{}

// Expelled tells a former member that a committed change has removed it.
type Expelled struct{}

func (VoteRequest) isBody()     {}
func (VoteReply) isBody()       {}
func (Append) isBody()          {}
func (AppendReply) isBody()     {}
func (InstallSnapshot) isBody() {}
func (CampaignNow) isBody()     {}
func (Expelled) isBody()        {}
