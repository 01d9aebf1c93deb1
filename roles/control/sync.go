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

// lagLimit is how long a committed command may wait for this instance's disk before
// sync replies report that it is behind. It is far below the 3 s within which a change
// must be in force.
const lagLimit = 300 * time.Millisecond

// offer identifies the content of sync replies at one moment. While it doesn't change,
// a waiting call is answered only once it is due.
type offer struct {
	current  bool
	revision core.Revision
	digest   uint64
}

// encodedView is an encoded view with its revision.
type encodedView struct {
	revision core.Revision
	view     wire.EncodedView
}

// waiter is a sync call that waits for a change.
type waiter struct {
	request wire.SyncRequest
	reply   loop.Reply[wire.SyncReply]
	due     time.Time
}

// answerWaiters answers the waiting calls that are due or whose reply has changed.
func (h *handler) answerWaiters(now time.Time) {
	offered := h.offer()
	if offered != h.lastOffer {
		h.lastOffer = offered
		h.waiters = slices.DeleteFunc(h.waiters, func(w waiter) bool {
			if offered.coveredBy(w.request) || h.hasNothingFor(w.request) {
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

// offer returns the current offer.
func (h *handler) offer() offer {
	return offer{current: h.current(), revision: h.state.Revision, digest: h.peers.digest}
}

// coveredBy reports whether the requesting instance already has all that is offered.
func (o offer) coveredBy(request wire.SyncRequest) bool {
	return o.current && request.Revision >= o.revision && request.Peers == o.digest
}

// hasNothingFor reports whether an instance without a view has to wait: for the view
// that was in force before the start while the data folder is being read, and for the
// first one if the folder was empty. After an outage all instances call at once, and
// would call again.
func (h *handler) hasNothingFor(request wire.SyncRequest) bool {
	return request.Revision == 0 && (h.replica == nil || (h.state.Revision == 0 && !h.current()))
}

// current reports whether the applied state is the one in force, as far as this
// instance can tell without a quorum. An instance with a stalled disk receives the
// commit index but can't apply the commands.
func (h *handler) current() bool {
	if h.replica == nil {
		return false
	}
	status := h.replica.Status()
	known := status.Membership.IsVoter(h.replica.Self()) && status.Leader != consensus.MemberID{}
	return known && (h.laggingSince.IsZero() || h.now.Sub(h.laggingSince) < lagLimit)
}

// trackLag records when applying falls behind committing.
func (h *handler) trackLag() {
	if h.replica == nil {
		return
	}
	status := h.replica.Status()
	switch {
	case status.Applied >= status.Commit:
		h.laggingSince = time.Time{}
	case h.laggingSince.IsZero():
		h.laggingSince = h.now
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

// encodedView returns the encoded view, nil if it can't be encoded.
func (h *handler) encodedView() wire.EncodedView {
	if h.encoded.revision == h.state.Revision {
		return h.encoded.view
	}
	view, err := wire.EncodeView(h.state.View())
	if err != nil {
		h.server.config.Log.Error("view not encoded", "revision", h.state.Revision, "error", err)
		return nil
	}
	h.encoded = encodedView{revision: h.state.Revision, view: view}
	return view
}

// syncQuery is a sync call.
type syncQuery struct {
	request wire.SyncRequest
	reply   loop.Reply[wire.SyncReply]
}

func (e syncQuery) handle(h *handler, now time.Time) {
	offered := h.offer()
	if !h.hasNothingFor(e.request) && !offered.coveredBy(e.request) {
		e.reply.Answer(h.syncReply(e.request))
		return
	}
	h.waiters = append(h.waiters, waiter{request: e.request, reply: e.reply, due: now.Add(feed.LongPollTimeout)})
}
