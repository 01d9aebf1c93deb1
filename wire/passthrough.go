package wire

import (
	"bytes"
	"compress/flate"
	"encoding/gob"

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
	// View is empty when the caller has the newest.
	View EncodedView
	// Entries and Controls list addresses; Peers is their digest.
	Entries  []string
	Controls []string
	Peers    uint64
}

// EncodedView is a route.View as it is sent, compressed. All callers get the same
// one, so that it is encoded once for each revision.
type EncodedView []byte

// EncodeView returns the view as it is sent.
func EncodeView(view *route.View) (EncodedView, error) {
	var buffer bytes.Buffer
	compressor, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err == nil {
		err = gob.NewEncoder(compressor).Encode(view)
	}
	if err == nil {
		err = compressor.Close()
	}
	return buffer.Bytes(), core.At("encode view", "", err)
}

// Decode returns the view, nil for an empty one.
func (e EncodedView) Decode() (*route.View, error) {
	if len(e) == 0 {
		return nil, nil
	}
	view := new(route.View)
	err := gob.NewDecoder(flate.NewReader(bytes.NewReader(e))).Decode(view)
	return view, core.At("decode view", "", err)
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
