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

// handler owns all control state of a control instance. Only the control
// goroutine calls it.
type handler struct {
	server  *Server
	ctx     context.Context
	replica *replica.Replica
	state   route.State
	// entries holds when each entry instance was heard of last.
	entries map[netip.AddrPort]time.Time
	// companions is the same of companions. The list of them that may hold flows is
	// part of the replicated state.
	companions map[netip.AddrPort]companionHeard
	leading    bool
	// changes counts the entry instances that came or went.
	changes int
	peers   peerList
	// listed is what peers was made of, so that it is made again only after a change.
	listed listedPeers
	// waiters are ordered by due; answered is what those that wait have.
	waiters  []waiter
	answered offer
	// encoded is the view that was sent last.
	encoded encodedView
	// now is the time of the event in hand.
	now time.Time
	// lagging is since when less is applied than is committed; zero if it isn't.
	lagging time.Time
	// restoring is set while what was committed before the start is applied.
	restoring bool
	sweep     time.Time
}

func newHandler(ctx context.Context, server *Server) *handler {
	return &handler{server: server, ctx: ctx, entries: make(map[netip.AddrPort]time.Time), companions: make(map[netip.AddrPort]companionHeard)}
}

// Handle takes one event.
func (h *handler) Handle(now time.Time, e event) {
	h.now = now
	e.handle(h, now)
	h.after(now)
}

// Deadline returns when Wake is due.
func (h *handler) Deadline() (time.Time, bool) {
	due := h.sweep
	if h.replica != nil && h.replica.Deadline().Before(due) {
		due = h.replica.Deadline()
	}
	if len(h.waiters) > 0 && h.waiters[0].due.Before(due) {
		due = h.waiters[0].due
	}
	return due, true
}

// Wake acts on the time that has passed.
func (h *handler) Wake(now time.Time) {
	h.now = now
	if h.replica != nil {
		h.replica.Wake(now)
	}
	if !now.Before(h.sweep) {
		h.sweep = now.Add(time.Second)
		h.forgetEntries(now)
		h.listCompanions(now)
		h.measure()
	}
	h.after(now)
}

// after renews an identity that the group has removed, and answers the calls that
// have waited for what changed.
func (h *handler) after(now time.Time) {
	if h.replica != nil && h.replica.Removed() {
		removed := h.replica
		h.replica = nil
		removed.Close()
		go h.server.openFolder(h.ctx, removed.Ended())
	}
	h.followLag()
	h.listPeers()
	h.answerWaiters(now)
}

func (h *handler) measure() {
	registry := h.server.config.Metrics
	metrics.GetOrRegisterGauge("configuration.version", registry).Update(int64(h.state.Configuration.Version))
	metrics.GetOrRegisterGauge("revision", registry).Update(int64(h.state.Revision))
	metrics.GetOrRegisterGauge("entries", registry).Update(int64(len(h.entries)))
}

// Apply carries out one committed command.
func (h *handler) Apply(encoded []byte) any {
	var command route.Command
	err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&command)
	if err != nil {
		// Every member finds the same, so that skipping keeps them equal.
		h.server.config.Log.Error("committed command can't be read, skipped", "error", err)
		return route.Result{Version: h.state.Configuration.Version, Revision: h.state.Revision}
	}
	result := h.state.Apply(command)
	if h.restoring {
		return result
	}
	h.server.config.Log.Info("command applied", "changed", result.Changed, "version", result.Version, "revision", result.Revision,
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

// opened is a data folder that is ready.
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
		h.server.config.Log.Error("state not restored, joining anew", "error", err)
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

// handle takes an event of the replica that runs now; those of an earlier one are
// of no use.
func (e replicaEvent) handle(h *handler, now time.Time) {
	if h.replica != nil && e.from == h.replica {
		h.replica.Handle(now, e.event)
	}
}

// leave hands leadership over.
type leave struct{}

func (leave) handle(h *handler, now time.Time) {
	if h.replica != nil && h.replica.Leading() {
		h.replica.TransferLeadership(now)
	}
}

// membershipAnswer says whether this instance is a member.
type membershipAnswer struct {
	ready, member bool
	self          consensus.MemberID
}

// membershipQuestion asks for it.
type membershipQuestion struct {
	reply loop.Reply[membershipAnswer]
}

func (e membershipQuestion) handle(h *handler, _ time.Time) {
	if h.replica == nil {
		e.reply.Answer(membershipAnswer{})
		return
	}
	_, member := h.replica.Status().Membership.Find(h.replica.Self())
	e.reply.Answer(membershipAnswer{ready: true, member: member, self: h.replica.Self()})
}
