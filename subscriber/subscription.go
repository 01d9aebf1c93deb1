package subscriber

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/membership"
	"zinniapulley.dev/publish"
	"zinniapulley.dev/wire"
)

// Config describes a subscriber and the control instances it subscribes to.
type Config struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	// Controls lists the RPC addresses of the control instances.
	Controls []netip.AddrPort
	// Relay is the TCP address at which this process serves as a relay; invalid if
	// it doesn't.
	Relay netip.AddrPort
	// FloorFile is the path of the file that holds the newest revision that was in
	// force; empty for a process without a disk.
	FloorFile string
	Log       *slog.Logger
}

// Event is handled by a Subscription on the control loop of its process.
type Event interface {
	handle(s *Subscription, now time.Time)
}

// Send sends an event to the control loop of the process. It blocks while the loop's
// mailbox is full.
type Send func(ctx context.Context, event Event) error

// Subscription is the control state of a subscriber. It must only be used by the
// control loop of its process.
type Subscription struct {
	config    Config
	applyView func(now time.Time, view *core.View)
	follower  *publish.Follower
	peers     peerSelector
	// acknowledged is the revision that this process reports as in force.
	acknowledged core.Revision
	source       *publish.Source
	waiters      map[publish.WaiterID]loop.Reply[wire.WatchReply]
	lastWaiter   publish.WaiterID
	upstream     upstream
}

// New returns the control state of a subscriber. inForce is called on the
// control loop with each newer view.
func New(config Config, applyView func(now time.Time, view *core.View)) *Subscription {
	return &Subscription{
		config:    config,
		applyView: applyView,
		follower:  publish.NewFollower(),
		peers:     newPeerSelector(config),
		source:    publish.NewSource(),
		waiters:   make(map[publish.WaiterID]loop.Reply[wire.WatchReply]),
		upstream:  newUpstream(),
	}
}

// Handle handles one event.
func (s *Subscription) Handle(now time.Time, event Event) {
	event.handle(s, now)
}

// Wake answers the long polls of this relay's subscribers that are due, and flushes
// the batch for control if it is due.
func (s *Subscription) Wake(now time.Time) {
	s.deliver(s.source.ExpireWaiters(now))
	s.upstream.flush(now)
}

// Deadline returns when Wake must be called next, or false if it needn't be.
func (s *Subscription) Deadline() (time.Time, bool) {
	due, ok := s.source.NextDeadline()
	flush, pending := s.upstream.due()
	if pending && (!ok || flush.Before(due)) {
		return flush, true
	}
	return due, ok
}

// Confirmed returns when a quorum of the control instances last confirmed the view in
// force as current, as far as this process has received, or false if none has.
func (s *Subscription) Confirmed() (time.Time, bool) {
	return s.follower.Confirmed()
}

// Relay returns the relay that this process polls. While it polls control, it returns
// the control instance and false.
func (s *Subscription) Relay() (netip.AddrPort, bool) {
	return s.peers.address(), s.peers.usesRelay()
}

// apply puts the view of an answer in force.
func (s *Subscription) apply(now, sent time.Time, answer publish.Answer) publish.Verdict {
	verdict, err := s.follower.Apply(sent, answer)
	switch verdict {
	case publish.InForce:
		view := s.follower.View()
		s.config.Log.Info("view in force", "revision", view.Revision, "services", len(view.Services),
			"backendServers", len(view.BackendServers), "peer", s.peers.peer(), "delta", answer.Delta != nil)
		s.applyView(now, view)
	case publish.Older, publish.Corrupt:
		s.config.Log.Warn("answer rejected", "verdict", verdict, "revision", s.follower.View().Revision,
			"offered", answer.Current, "peer", s.peers.peer(), "error", err)
	}
	s.publishView(now)
	return verdict
}

// publishView publishes the view in force, and its confirmation, to the subscribers
// of this relay.
func (s *Subscription) publishView(now time.Time) {
	confirmed, ok := s.follower.Confirmed()
	if ok {
		s.source.Confirm(confirmed)
	}
	s.deliver(s.source.Publish(now, s.follower.View()))
}

func (s *Subscription) deliver(deliveries []publish.Delivery) {
	for _, delivery := range deliveries {
		reply, ok := s.waiters[delivery.Waiter]
		if ok {
			delete(s.waiters, delivery.Waiter)
			reply.Answer(wire.WatchReply{Answer: delivery.Answer})
		}
	}
}

// relayWatch is a call by which a subscriber of this relay requests a newer view.
type relayWatch struct {
	request wire.WatchRequest
	reply   loop.Reply[wire.WatchReply]
}

func (e relayWatch) handle(s *Subscription, now time.Time) {
	s.upstream.addReport(now, publish.Report{
		Instance: e.request.Instance, DataCentre: e.request.DataCentre, Revision: e.request.Acknowledged,
	})
	s.lastWaiter++
	deadline := now.Add(min(e.request.Wait, maxPollWait))
	answer, answered := s.source.Wait(now, s.lastWaiter, e.request.Have, deadline)
	if answered {
		e.reply.Answer(wire.WatchReply{Answer: answer})
		return
	}
	s.waiters[s.lastWaiter] = e.reply
}

// relayHeartbeats is a call with heartbeats to forward to control.
type relayHeartbeats struct {
	heartbeats []membership.Heartbeat
	reply      loop.Reply[wire.HeartbeatReply]
}

func (e relayHeartbeats) handle(s *Subscription, now time.Time) {
	e.reply.Answer(wire.HeartbeatReply{Refused: s.upstream.addHeartbeats(now, e.heartbeats)})
}
