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

// Config says who subscribes and whom it asks.
type Config struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	// Controls lists the RPC addresses of the control instances.
	Controls []netip.AddrPort
	// Relay is the TCP address at which this process passes views on. Invalid:
	// it doesn't.
	Relay netip.AddrPort
	// FloorFile keeps the newest revision that was in force, for a process with
	// a disk. Empty: none.
	FloorFile string
	Log       *slog.Logger
}

// Event is what a Subscription handles on the control loop of its process.
type Event interface {
	handle(s *Subscription, now time.Time)
}

// Post hands an event to the control loop of the process, and waits for room.
type Post func(ctx context.Context, event Event) error

// Subscription is the control state of a subscriber. Only the control loop of
// its process calls it.
type Subscription struct {
	config   Config
	inForce  func(now time.Time, view *core.View)
	follower *publish.Follower
	route    route
	// acknowledged is the revision that this process reports as in force.
	acknowledged core.Revision
	source       *publish.Source
	waiting      map[publish.WaiterID]loop.Reply[wire.WatchReply]
	lastWaiter   publish.WaiterID
	upstream     upstream
}

// New returns the control state of a subscriber. inForce is called on the
// control loop with each newer view.
func New(config Config, inForce func(now time.Time, view *core.View)) *Subscription {
	return &Subscription{
		config:   config,
		inForce:  inForce,
		follower: publish.NewFollower(),
		route:    newRoute(config),
		source:   publish.NewSource(),
		waiting:  make(map[publish.WaiterID]loop.Reply[wire.WatchReply]),
		upstream: newUpstream(),
	}
}

// Handle carries out one event.
func (s *Subscription) Handle(now time.Time, event Event) {
	event.handle(s, now)
}

// Wake answers the subscribers of this relay that have waited long enough, and
// has what they reported passed on.
func (s *Subscription) Wake(now time.Time) {
	s.deliver(s.source.ExpireWaiters(now))
	s.upstream.flush(now)
}

// Deadline returns when Wake is due next, and false if it isn't.
func (s *Subscription) Deadline() (time.Time, bool) {
	due, ok := s.source.NextDeadline()
	flush, pending := s.upstream.due()
	if pending && (!ok || flush.Before(due)) {
		return flush, true
	}
	return due, ok
}

// Confirmed returns when a quorum of the control instances last confirmed the
// view in force as current, as far as this process knows, and false if it never
// did.
func (s *Subscription) Confirmed() (time.Time, bool) {
	return s.follower.Confirmed()
}

// Relay returns the relay that this process asks, and false while it asks
// control.
func (s *Subscription) Relay() (netip.AddrPort, bool) {
	return s.route.address(), s.route.toRelay()
}

// take puts the view of an answer in force.
func (s *Subscription) take(now, sent time.Time, answer publish.Answer) publish.Verdict {
	verdict, err := s.follower.Apply(sent, answer)
	switch verdict {
	case publish.InForce:
		view := s.follower.View()
		s.config.Log.Info("view in force", "revision", view.Revision, "services", len(view.Services),
			"backendServers", len(view.BackendServers), "peer", s.route.peer(), "delta", answer.Delta != nil)
		s.inForce(now, view)
	case publish.Older, publish.Corrupt:
		s.config.Log.Warn("answer not taken", "verdict", verdict, "revision", s.follower.View().Revision,
			"offered", answer.Current, "peer", s.route.peer(), "error", err)
	}
	s.passOn(now)
	return verdict
}

// passOn publishes the view in force, and its confirmation, to the subscribers
// of this relay.
func (s *Subscription) passOn(now time.Time) {
	confirmed, ok := s.follower.Confirmed()
	if ok {
		s.source.Confirm(confirmed)
	}
	s.deliver(s.source.Publish(now, s.follower.View()))
}

func (s *Subscription) deliver(deliveries []publish.Delivery) {
	for _, delivery := range deliveries {
		reply, waits := s.waiting[delivery.Waiter]
		if waits {
			delete(s.waiting, delivery.Waiter)
			reply.Answer(wire.WatchReply{Answer: delivery.Answer})
		}
	}
}

// relayWatch is a subscriber of this relay that asks for a newer view.
type relayWatch struct {
	request wire.WatchRequest
	reply   loop.Reply[wire.WatchReply]
}

func (e relayWatch) handle(s *Subscription, now time.Time) {
	s.upstream.report(now, publish.Report{
		Instance: e.request.Instance, DataCentre: e.request.DataCentre, Revision: e.request.Acknowledged,
	})
	s.lastWaiter++
	until := now.Add(min(e.request.Wait, maxWait))
	answer, answered := s.source.Wait(now, s.lastWaiter, e.request.Have, until)
	if answered {
		e.reply.Answer(wire.WatchReply{Answer: answer})
		return
	}
	s.waiting[s.lastWaiter] = e.reply
}

// relayBeats are heartbeats to be passed on.
type relayBeats struct {
	beats []membership.Heartbeat
	reply loop.Reply[wire.HeartbeatReply]
}

func (e relayBeats) handle(s *Subscription, now time.Time) {
	e.reply.Answer(wire.HeartbeatReply{Refused: s.upstream.beat(now, e.beats)})
}
