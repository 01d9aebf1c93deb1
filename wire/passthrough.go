package wire

import (
	"zinniapulley.dev/core"
	"zinniapulley.dev/route"
)

// Methods of control instances in pass-through forwarding.
const (
	// MethodSync answers with what has changed since the caller last heard.
	MethodSync = "Control.Sync"
	// MethodSubmit hands a command to the leader.
	MethodSubmit = "Control.Submit"
	// MethodRead asks the leader for the configuration that is newest.
	MethodRead = "Control.Read"
)

// SyncRequest says what an instance has. The answer waits for a change, for
// SyncWait at most.
type SyncRequest struct {
	Instance core.InstanceID
	// Revision is that of the view in force; zero for none.
	Revision core.Revision
	// Peers is the digest of the entry and control instances known.
	Peers uint64
}

// SyncReply brings what has changed.
type SyncReply struct {
	// Behind says that the control instance can't be sure to have what is in
	// force. A caller without any view still gets what was committed as far as is
	// known there; others get nothing but Controls.
	Behind bool
	// View is nil when the caller has the newest.
	View *route.View
	// Entries and Controls list addresses; Peers is their digest.
	Entries  []string
	Controls []string
	Peers    uint64
}

// SubmitRequest carries an encoded route.Command.
type SubmitRequest struct{ Command []byte }

// SubmitReply is the result of a command.
type SubmitReply struct {
	Result route.Result
	// NotLeader says that nothing was done, because another instance leads.
	NotLeader bool
	// Failure says why the outcome is unknown; empty otherwise.
	Failure string
}

// ReadRequest asks for the newest configuration.
type ReadRequest struct{ Instance core.InstanceID }

// ReadReply is the newest configuration.
type ReadReply struct {
	Version uint64
	// Source is the document as the operator sent it.
	Source []byte
	// NotLeader says that another instance leads.
	NotLeader bool
	// Failure says why the newest isn't known; empty otherwise.
	Failure string
}
