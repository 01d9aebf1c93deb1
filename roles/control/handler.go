package control

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/gob"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/consensus"
	"zinniapulley.dev/core"
	"zinniapulley.dev/durable"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/replica"
	"zinniapulley.dev/roles/feed"
	"zinniapulley.dev/route"
	"zinniapulley.dev/wire"
	"zinniapulley.dev/wire/hop"
)

// lagLimit is how long what is committed may wait for the disk here before
// instances are sent elsewhere. It is far below the time within which a change must
// be in force, 3 s.
const lagLimit = 300 * time.Millisecond

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
	// now is the time of the event in hand.
	now time.Time
	// lagging is since when less is applied than is committed; zero if it isn't.
	lagging time.Time
	// restoring is set while what was committed before the start is applied.
	restoring bool
	sweep     time.Time
}

// peerList is what instances are told of the others, with its digest.
type peerList struct {
	entries, controls []string
	digest            uint64
}

// listedPeers tells whether the instances known have changed.
type listedPeers struct {
	// changes counts the entry instances that came or went.
	changes    int
	membership consensus.Index
}

// offer is what an instance can be told at a moment. While it stays the same, only
// the calls that have waited long enough are answered.
type offer struct {
	current  bool
	revision core.Revision
	digest   uint64
}

// waiter is a call that waits for a change.
type waiter struct {
	request wire.SyncRequest
	reply   loop.Reply[wire.SyncReply]
	due     time.Time
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

// answerWaiters answers the calls that have waited long enough, and all whose
// answer has changed.
func (h *handler) answerWaiters(now time.Time) {
	offered := offer{current: h.current(), revision: h.state.Revision, digest: h.peers.digest}
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

// has reports whether a caller has what is offered.
func (o offer) has(request wire.SyncRequest) bool {
	return o.current && request.Revision >= o.revision && request.Peers == o.digest
}

func (h *handler) measure() {
	registry := h.server.config.Metrics
	metrics.GetOrRegisterGauge("configuration.version", registry).Update(int64(h.state.Configuration.Version))
	metrics.GetOrRegisterGauge("revision", registry).Update(int64(h.state.Revision))
	metrics.GetOrRegisterGauge("entries", registry).Update(int64(len(h.entries)))
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
		reply.View = h.state.View()
	}
	return reply
}

// listPeers brings the list of entry and control instances up to date.
func (h *handler) listPeers() {
	now := listedPeers{changes: h.changes}
	if h.replica != nil {
		now.membership = h.replica.MembershipIndex()
	}
	if now == h.listed {
		return
	}
	h.listed = now
	var list peerList
	for address := range h.entries {
		list.entries = append(list.entries, address.String())
	}
	slices.Sort(list.entries)
	if h.replica != nil {
		for _, member := range h.replica.Status().Membership.Members {
			list.controls = append(list.controls, member.Address.String())
		}
	}
	digest := xxhash.New()
	for _, names := range [][]string{list.entries, list.controls} {
		_, _ = digest.Write(binary.BigEndian.AppendUint32(nil, uint32(len(names))))
		for _, name := range names {
			_, _ = digest.WriteString(name)
		}
	}
	list.digest = digest.Sum64()
	h.peers = list
}

// companionHeard is what a companion last said of itself.
type companionHeard struct {
	when              time.Time
	draining, leaving bool
}

// listCompanions has the leader add companions that it hears of to the list of those
// that may hold flows, and take out those that were silent for long.
func (h *handler) listCompanions(now time.Time) {
	leading := h.replica != nil && h.replica.Leading()
	if leading && !h.leading {
		// What was heard before, by another leader, isn't known here.
		for _, listed := range h.state.Companions {
			h.companions[listed.Address] = companionHeard{when: now, draining: listed.Draining}
		}
	}
	h.leading = leading
	var change route.SetCompanions
	for address, heard := range h.companions {
		listed, known := h.state.Companion(address)
		switch {
		case heard.leaving || now.Sub(heard.when) >= companionLimit:
			delete(h.companions, address)
			if known {
				change.Remove = append(change.Remove, address)
			}
		case !known || listed.Draining != heard.draining:
			change.Set = append(change.Set, route.Companion{Address: address, Draining: heard.draining})
		}
	}
	if !leading || len(change.Set)+len(change.Remove) == 0 {
		return
	}
	command, err := encodeCommand(route.Command{Companions: &change})
	if err != nil {
		h.server.config.Log.Error("list of companions not changed", "error", err)
		return
	}
	h.replica.Propose(now, command, func(_ any, err error) {
		h.server.config.Log.Info("list of companions changed", "set", change.Set, "removed", change.Remove, "error", err)
	})
}

func (h *handler) forgetEntries(now time.Time) {
	for address, heard := range h.entries {
		if now.Sub(heard) > entryLimit {
			delete(h.entries, address)
			h.changes++
			h.server.config.Log.Info("entry instance no longer heard of", "entry", address, "silent", now.Sub(heard))
		}
	}
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
		Address: h.server.config.RPC, Machine: h, Log: h.server.config.Log,
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
		h.replica.HandOver(now)
	}
}

// syncQuestion is a call for news.
type syncQuestion struct {
	request wire.SyncRequest
	reply   loop.Reply[wire.SyncReply]
}

func (e syncQuestion) handle(h *handler, now time.Time) {
	offered := offer{current: h.current(), revision: h.state.Revision, digest: h.peers.digest}
	if !offered.has(e.request) {
		e.reply.Answer(h.syncReply(e.request))
		return
	}
	h.waiters = append(h.waiters, waiter{request: e.request, reply: e.reply, due: now.Add(feed.Wait)})
}

// heard is the hello of an entry instance or a companion.
type heard struct{ hello hop.Hello }

func (e heard) handle(h *handler, now time.Time) {
	at := e.hello.Packets
	if e.hello.Companion {
		h.companions[at] = companionHeard{when: now, draining: e.hello.Draining, leaving: e.hello.Leaving}
		return
	}
	_, known := h.entries[at]
	h.entries[at] = now
	if !known {
		h.changes++
		h.server.config.Log.Info("entry instance heard of", "entry", at)
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
