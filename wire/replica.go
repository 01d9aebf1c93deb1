package wire

import (
	"zinniapulley.dev/consensus"
)

// Names of the net/rpc methods of the replicated log's members.
const (
	// MethodDeliver delivers messages of the replicated log to a member.
	MethodDeliver = "Replica.Deliver"
	// MethodJoin requests that an instance be added as a member.
	MethodJoin = "Replica.Join"
)

// DeliverRequest carries messages from one member to another, in order.
type DeliverRequest struct {
	// From is the address at which the sender receives messages.
	From     string
	Messages []ReplicaMessage
}

// DeliverReply counts the messages that the member has accepted.
type DeliverReply struct{ Taken int }

// JoinRequest requests that a member be added as a learner.
type JoinRequest struct {
	ID      consensus.MemberID
	Address string
}

// JoinReply holds the leader's address, empty if unknown. Added is true if the
// answering instance is the leader and has accepted the request.
type JoinReply struct {
	Leader string
	Added  bool
}

// ReplicaMessage is a consensus.Message in a form that encoding/gob can encode: at
// most one body is set, and a body without fields is a flag.
type ReplicaMessage struct {
	From, To        consensus.MemberID
	Term            consensus.Term
	VoteRequest     *consensus.VoteRequest
	VoteReply       *consensus.VoteReply
	Append          *consensus.Append
	AppendReply     *consensus.AppendReply
	InstallSnapshot *consensus.InstallSnapshot
	CampaignNow     bool
	Expelled        bool
}

// EncodeReplica converts a message to the form in which it is sent.
func EncodeReplica(m consensus.Message) ReplicaMessage {
	out := ReplicaMessage{From: m.From, To: m.To, Term: m.Term}
	switch body := m.Body.(type) {
	case consensus.VoteRequest:
		out.VoteRequest = &body
	case consensus.VoteReply:
		out.VoteReply = &body
	case consensus.Append:
		out.Append = &body
	case consensus.AppendReply:
		out.AppendReply = &body
	case consensus.InstallSnapshot:
		out.InstallSnapshot = &body
	case consensus.CampaignNow:
		out.CampaignNow = true
	case consensus.Expelled:
		out.Expelled = true
	}
	return out
}

// DecodeReplica returns the message, and false if it has no body.
func DecodeReplica(m ReplicaMessage) (consensus.Message, bool) {
	out := consensus.Message{From: m.From, To: m.To, Term: m.Term}
	switch {
	case m.VoteRequest != nil:
		out.Body = *m.VoteRequest
	case m.VoteReply != nil:
		out.Body = *m.VoteReply
	case m.Append != nil:
		out.Body = *m.Append
	case m.AppendReply != nil:
		out.Body = *m.AppendReply
	case m.InstallSnapshot != nil:
		out.Body = *m.InstallSnapshot
	case m.CampaignNow:
		out.Body = consensus.CampaignNow{}
	case m.Expelled:
		out.Body = consensus.Expelled{}
	}
	return out, out.Body != nil
}
