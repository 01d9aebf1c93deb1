package wire

import (
	"bytes"
	"compress/flate"
	"encoding/gob"

	"zinniapulley.dev/core"
	"zinniapulley.dev/route"
)

// Names of the net/rpc methods of control instances in pass-through forwarding.
const (
	// MethodSync returns the changes since the caller's last sync.
	MethodSync = "Control.Sync"
	// MethodSubmit submits a command to the leader.
	MethodSubmit = "Control.Submit"
	// MethodRead reads the newest configuration from the leader.
	MethodRead = "Control.Read"
)

// SyncRequest reports what an instance has. The reply is deferred until there is a
// change, for feed.LongPollTimeout at most.
type SyncRequest struct {
	Instance core.InstanceID
	// Revision is that of the view in force; zero for none.
	Revision core.Revision
	// Peers is the digest of the lists of entry and control instances that the
	// caller has.
	Peers uint64
}

// SyncReply carries the changes.
type SyncReply struct {
	// Behind is true if the control instance can't confirm that its view is the one in
	// force. A caller without a view still gets the newest view that the instance has
	// applied; other callers get Controls only.
	Behind bool
	// View is empty when the caller has the newest.
	View EncodedView
	// Entries and Controls list addresses; Peers is the digest of both lists.
	Entries  []string
	Controls []string
	Peers    uint64
}

// EncodedView is a compressed route.View. It is the same for all callers, so it is
// encoded once for each revision.
type EncodedView []byte

// EncodeView encodes a view.
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

// Decode returns the view, or nil if e is empty.
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
	// NotLeader is true if the command was not submitted because the instance is
	// not the leader.
	NotLeader bool
	// Failure is the reason why the outcome is unknown; empty otherwise.
	Failure string
}

// ReadRequest requests the newest configuration.
type ReadRequest struct{ Instance core.InstanceID }

// ReadReply is the newest configuration.
type ReadReply struct {
	Version uint64
	// Source is the document as the operator sent it.
	Source []byte
	// NotLeader is true if the instance is not the leader.
	NotLeader bool
	// Failure is the reason why the read failed; empty otherwise.
	Failure string
}
