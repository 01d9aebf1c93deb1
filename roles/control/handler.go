package control

import (
	"bytes"
	"context"
	"encoding/gob"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/consensus"
	"zinniapulley.dev/core"
	"zinniapulley.dev/durable"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/replica"
	"zinniapulley.dev/route"
)

// handler owns the control state of a control instance. Only the control goroutine
// calls it.
type handler struct {
	server  *Server
	ctx     context.Context
	replica *replica.Replica
	state   route.State
	// entries holds the time of each entry instance's last heartbeat.
	entries map[netip.AddrPort]time.Time
	// companions holds the last heartbeat of each companion. The list of companions that
	// may hold flows is part of the replicated state.
	companions map[netip.AddrPort]companionHeartbeat
	leading    bool
	// entryChanges counts additions to and removals from entries.
	entryChanges int
	peers        peerList
	// peersVersion is the version of peers, which is rebuilt only after a change.
	peersVersion peersVersion
	// waiters are ordered by due. All of them already have lastOffer.
	waiters   []waiter
	lastOffer offer
	// encoded caches the last view that was sent.
	encoded encodedView
	// now is the time of the current event.
	now time.Time
	// laggingSince is when applying fell behind committing, zero if it hasn't.
	laggingSince time.Time
	// restoring is set while commands committed before the start are applied.
	restoring bool
	sweepDue  time.Time
}

func newHandler(ctx context.Context, server *Server) *handler {
	return &handler{server: server, ctx: ctx, entries: make(map[netip.AddrPort]time.Time), companions: make(map[netip.AddrPort]companionHeartbeat)}
}

// Handle processes one event.
func (h *handler) Handle(now time.Time, e event) {
	h.now = now
	e.handle(h, now)
	h.finish(now)
}

// Deadline returns when Wake is due.
func (h *handler) Deadline() (time.Time, bool) {
	due := h.sweepDue
	if h.replica != nil && h.replica.Deadline().Before(due) {
		due = h.replica.Deadline()
	}
	if len(h.waiters) > 0 && h.waiters[0].due.Before(due) {
		due = h.waiters[0].due
	}
	return due, true
}

// Wake does the work that is due.
func (h *handler) Wake(now time.Time) {
	h.now = now
	if h.replica != nil {
		h.replica.Wake(now)
	}
	if !now.Before(h.sweepDue) {
		h.sweepDue = now.Add(time.Second)
		h.expireEntries(now)
		h.proposeCompanions(now)
		h.updateMetrics()
	}
	h.finish(now)
}

// finish runs after each event. It renews the identity of a removed member, and answers
// the waiting calls whose reply has changed.
func (h *handler) finish(now time.Time) {
	if h.replica != nil && h.replica.Removed() {
		removed := h.replica
		h.replica = nil
		removed.Close()
		go h.server.openFolder(h.ctx, removed.Ended())
	}
	h.trackLag()
	h.refreshPeers()
	h.answerWaiters(now)
}

func (h *handler) updateMetrics() {
	registry := h.server.config.Metrics
	metrics.GetOrRegisterGauge("configuration.version", registry).Update(int64(h.state.Configuration.Version))
	metrics.GetOrRegisterGauge("revision", registry).Update(int64(h.state.Revision))
	metrics.GetOrRegisterGauge("entries", registry).Update(int64(len(h.entries)))
}

// Apply applies one committed command.
func (h *handler) Apply(encoded []byte) any {
	var command route.Command
	err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&command)
	if err != nil {
		// All members fail to decode it and skip it, so that their states stay equal.
		h.server.config.Log.Error("committed command not decoded, skipped", "error", err)
		return route.Result{Version: h.state.Configuration.Version, Revision: h.state.Revision}
	}
	result := h.state.Apply(command)
	if h.restoring {
		return result
	}
	h.server.config.Log.Info("command applied", "changed", result.Changed, "overtaken", result.Overtaken, "version", result.Version, "revision", result.Revision,
		"routes", len(h.state.Configuration.Routes), "out", h.state.Out)
	return result
}

// Snapshot returns the whole replicated state.
func (h *handler) Snapshot() ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(&h.state)
	return buffer.Bytes(), err
}

// Restore replaces the whole replicated state.
func (h *handler) Restore(encoded []byte) error {
	var state route.State
	if len(encoded) > 0 {
		err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&state)
		if err != nil {
			return core.At("decode state", "", err)
		}
	}
	h.state = state
	return nil
}

// opened is a data folder that is ready for use.
type opened struct{ folder *durable.Folder }

func (e opened) handle(h *handler, now time.Time) {
	h.state = route.State{}
	h.restoring = true
	defer func() { h.restoring = false }()
	var built *replica.Replica
	post := func(ctx context.Context, re replica.Event) error {
		return h.server.loop.Send(ctx, replicaEvent{from: built, event: re})
	}
	built, err := replica.New(h.ctx, now, replica.Config{
		Address: h.server.config.RPC, StateMachine: h, Log: h.server.config.Log,
		Post: post, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, e.folder)
	if err != nil {
		h.server.config.Log.Error("state not restored, joining with a new identity", "error", err)
		ended := make(chan struct{})
		close(ended)
		go h.server.openFolder(h.ctx, ended)
		return
	}
	h.replica = built
	status := built.Status()
	h.server.config.Log.Info("member of the replicated log started", "member", built.Self(), "term", status.Term,
		"lastIndex", status.LastIndex, "members", len(status.Membership.Members), "version", h.state.Configuration.Version)
}

// handle passes the event to the current replica and discards events of earlier ones.
func (e replicaEvent) handle(h *handler, now time.Time) {
	if h.replica != nil && e.from == h.replica {
		h.replica.Handle(now, e.event)
	}
}

// leave transfers leadership before a shutdown.
type leave struct{}

func (leave) handle(h *handler, now time.Time) {
	if h.replica != nil && h.replica.Leading() {
		h.replica.TransferLeadership(now)
	}
}

// membershipAnswer reports whether this instance is a member.
type membershipAnswer struct {
	ready, member bool
	self          consensus.MemberID
}

// membershipQuery requests a membershipAnswer.
type membershipQuery struct {
	reply loop.Reply[membershipAnswer]
}

func (e membershipQuery) handle(h *handler, _ time.Time) {
	if h.replica == nil {
		e.reply.Answer(membershipAnswer{})
		return
	}
	_, member := h.replica.Status().Membership.Find(h.replica.Self())
	e.reply.Answer(membershipAnswer{ready: true, member: member, self: h.replica.Self()})
}
