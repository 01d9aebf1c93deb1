package control

import (
	"slices"
	"time"

	"zinniapulley.dev/consensus"
	"zinniapulley.dev/core"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/roles/feed"
	"zinniapulley.dev/wire"
)

// lagLimit is how long what is committed may wait for the disk here before
// instances are sent elsewhere. It is far below the time within which a change must
// be in force, 3 s.
const lagLimit = 300 * time.Millisecond

// offer is what an instance can be told at a moment. While it stays the same, only
// the calls that have waited long enough are answered.
type offer struct {
	current  bool
	revision core.Revision
	digest   uint64
}

// encodedView is the view of a revision as it is sent.
type encodedView struct {
	revision core.Revision
	view     wire.EncodedView
}

// waiter is a call that waits for a change.
type waiter struct {
	request wire.SyncRequest
	reply   loop.Reply[wire.SyncReply]
	due     time.Time
}

// answerWaiters answers the calls that have waited long enough, and all whose
// answer has changed.
func (h *handler) answerWaiters(now time.Time) {
	offered := h.offer()
	if offered != h.answered {
		h.answered = offered
		h.waiters = slices.DeleteFunc(h.waiters, func(w waiter) bool {
			if offered.has(w.request) {
				return false
			}
			w.reply.Answer(h.syncReply(w.request))
			return true
		})
	}
	overdue := 0
	for overdue < len(h.waiters) && !now.Before(h.waiters[overdue].due) {
		h.waiters[overdue].reply.Answer(h.syncReply(h.waiters[overdue].request))
		overdue++
	}
	h.waiters = slices.Delete(h.waiters, 0, overdue)
}

// offer returns what instances can be told now.
func (h *handler) offer() offer {
	return offer{current: h.current(), revision: h.state.Revision, digest: h.peers.digest}
}

// has reports whether a caller has what is offered.
func (o offer) has(request wire.SyncRequest) bool {
	return o.current && request.Revision >= o.revision && request.Peers == o.digest
}

// current reports whether what is applied here is what is in force, as far as
// this instance can know without asking a quorum. One whose disk is stalled hears
// of what is committed but can't apply it.
func (h *handler) current() bool {
	if h.replica == nil {
		return false
	}
	status := h.replica.Status()
	known := status.Membership.IsVoter(h.replica.Self()) && status.Leader != consensus.MemberID{}
	return known && (h.lagging.IsZero() || h.now.Sub(h.lagging) < lagLimit)
}

// followLag notes since when less is applied here than is committed.
func (h *handler) followLag() {
	if h.replica == nil {
		return
	}
	status := h.replica.Status()
	switch {
	case status.Applied >= status.Commit:
		h.lagging = time.Time{}
	case h.lagging.IsZero():
		h.lagging = h.now
	}
}

func (h *handler) syncReply(request wire.SyncRequest) wire.SyncReply {
	reply := wire.SyncReply{Behind: !h.current(), Peers: h.peers.digest}
	if reply.Behind && request.Revision > 0 {
		reply.Controls = h.peers.controls
		return reply
	}
	if request.Peers != h.peers.digest {
		reply.Entries, reply.Controls = h.peers.entries, h.peers.controls
	}
	if request.Revision < h.state.Revision {
		reply.View = h.encodedView()
	}
	return reply
}

// encodedView returns the view as it is sent, empty if it can't be.
func (h *handler) encodedView() wire.EncodedView {
	if h.encoded.revision == h.state.Revision {
		return h.encoded.view
	}
	view, err := wire.EncodeView(h.state.View())
	if err != nil {
		h.server.config.Log.Error("view not sent", "revision", h.state.Revision, "error", err)
		return nil
	}
	h.encoded = encodedView{revision: h.state.Revision, view: view}
	return view
}

// syncQuestion is a call for news.
type syncQuestion struct {
	request wire.SyncRequest
	reply   loop.Reply[wire.SyncReply]
}

func (e syncQuestion) handle(h *handler, now time.Time) {
	offered := h.offer()
	// While the data folder is being read, a caller without a view waits for what
	// was in force before the start.
	reading := h.replica == nil && e.request.Revision == 0
	if !reading && !offered.has(e.request) {
		e.reply.Answer(h.syncReply(e.request))
		return
	}
	h.waiters = append(h.waiters, waiter{request: e.request, reply: e.reply, due: now.Add(feed.LongPollTimeout)})
}
