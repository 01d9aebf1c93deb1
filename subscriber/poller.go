package subscriber

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/wire"
)

// errNoRelay reports that a call came to a relay that has no view yet.
const errNoRelay = errors.ConstError("this process has no view to pass on yet")

// step is what the poller does next.
type step struct {
	// pause is how long to wait before.
	pause time.Duration
	// keep is a revision to write to the floor file before; zero for none.
	keep core.Revision
	// floor asks control for a confirmed revision instead of a view.
	floor   bool
	address netip.AddrPort
	method  string
	request wire.WatchRequest
}

// result is what became of a step.
type result struct {
	// floor is a revision that bounds the first view from below; hasFloor is
	// set with it.
	floor    core.Revision
	hasFloor bool
	// kept is the revision that was written to the floor file.
	kept  core.Revision
	sent  time.Time
	watch *wire.WatchReply
	err   error
}

// stepped posts a result and asks for the next step.
type stepped struct {
	result result
	reply  loop.Reply[step]
}

func (e stepped) handle(s *Subscription, now time.Time) {
	e.reply.Answer(s.next(now, e.result))
}

// next takes the result of a step and returns the next one.
func (s *Subscription) next(now time.Time, r result) step {
	s.acknowledged = max(s.acknowledged, r.kept)
	if r.hasFloor {
		s.follower.SetFloor(r.floor)
	}
	var pause time.Duration
	switch {
	case r.err != nil:
		s.config.Log.Warn("subscription interrupted", "peer", s.route.peer(), "revision", s.follower.View().Revision, "error", r.err)
		pause = s.route.failed(now)
	case r.watch != nil:
		pause = s.watched(now, r)
	}
	return s.step(now, pause)
}

// watched takes the answer to a watch.
func (s *Subscription) watched(now time.Time, r result) time.Duration {
	if len(r.watch.Relays) > 0 {
		s.route.answered()
		s.route.follow(r.watch.Relays)
		return 0
	}
	verdict := s.take(now, r.sent, r.watch.Answer)
	return s.route.judge(now, verdict, r.watch.Answer)
}

func (s *Subscription) step(now time.Time, pause time.Duration) step {
	next := step{pause: pause, floor: !s.follower.HasFloor()}
	if next.floor {
		next.address = s.route.control()
		return next
	}
	revision := s.follower.View().Revision
	if s.config.FloorFile == "" {
		s.acknowledged = revision
	} else if revision > s.acknowledged {
		next.keep = revision
	}
	next.address = s.route.address()
	next.method = wire.MethodWatch
	if s.route.toRelay() {
		next.method = wire.MethodRelayWatch
	}
	next.request = s.request(now)
	return next
}

// Run takes the subscription's steps until ctx is done. It runs in a goroutine
// of its own.
func Run(ctx context.Context, config Config, post Post) {
	p := &poller{config: config}
	defer p.close()
	outcome := p.start()
	for ctx.Err() == nil {
		next, err := p.ask(ctx, post, outcome)
		if err != nil {
			return
		}
		outcome = p.take(ctx, next)
	}
}

// poller makes the calls of a subscription.
type poller struct {
	config  Config
	address netip.AddrPort
	client  *wire.Client
}

func (p *poller) ask(ctx context.Context, post Post, outcome result) (step, error) {
	reply := loop.NewReply[step]()
	err := post(ctx, stepped{result: outcome, reply: reply})
	if err != nil {
		return step{}, err
	}
	return reply.Wait(ctx)
}

// start reads the floor file, if there is one.
func (p *poller) start() result {
	var outcome result
	if p.config.FloorFile == "" {
		return outcome
	}
	floor, err := readFloor(p.config.FloorFile)
	if err != nil {
		p.config.Log.Warn("no floor on disk; a quorum is asked instead", "error", err)
		return outcome
	}
	outcome.floor, outcome.hasFloor, outcome.kept = floor, true, floor
	return outcome
}

func (p *poller) take(ctx context.Context, next step) result {
	var outcome result
	if next.keep > 0 {
		err := writeFloor(p.config.FloorFile, next.keep)
		if err != nil {
			return result{err: err}
		}
		outcome.kept = next.keep
		next.request.Acknowledged = next.keep
	}
	pause(ctx, next.pause)
	p.dial(next.address)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	outcome.sent = time.Now()
	if next.floor {
		p.floor(ctx, &outcome)
		return outcome
	}
	p.watch(ctx, next, &outcome)
	return outcome
}

func (p *poller) floor(ctx context.Context, outcome *result) {
	var reply wire.FloorReply
	outcome.err = p.client.Call(ctx, wire.MethodFloor, &wire.FloorRequest{Instance: p.config.Instance}, &reply)
	outcome.floor, outcome.hasFloor = reply.Revision, outcome.err == nil
}

func (p *poller) watch(ctx context.Context, next step, outcome *result) {
	reply := &wire.WatchReply{}
	outcome.err = p.client.Call(ctx, next.method, &next.request, reply)
	if outcome.err == nil {
		outcome.watch = reply
	}
}

// dial turns to another peer; the connection to the same one is kept.
func (p *poller) dial(address netip.AddrPort) {
	if p.client != nil && p.address == address {
		return
	}
	p.close()
	p.address, p.client = address, wire.NewClient(address)
}

func (p *poller) close() {
	if p.client != nil {
		p.client.Close()
	}
}

func pause(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Service answers the subscribers of a relay over net/rpc, by asking the
// control loop of the process.
type Service struct {
	post     Post
	lifetime context.Context
}

// Register makes a relay's service callable on a server. Calls are answered by
// the control loop behind post.
func Register(server *wire.Server, post Post) error {
	return server.Register("Relay", &Service{post: post, lifetime: context.Background()})
}

// Watch answers wire.MethodRelayWatch.
func (s *Service) Watch(request wire.WatchRequest, reply *wire.WatchReply) error {
	answer := loop.NewReply[wire.WatchReply]()
	err := s.post(s.lifetime, relayWatch{request: request, reply: answer})
	if err != nil {
		return err
	}
	*reply, err = answer.Wait(s.lifetime)
	if err == nil && reply.Answer.Current == 0 {
		return errNoRelay
	}
	return err
}

// Heartbeat answers wire.MethodRelayHeartbeat.
func (s *Service) Heartbeat(request wire.HeartbeatRequest, reply *wire.HeartbeatReply) error {
	answer := loop.NewReply[wire.HeartbeatReply]()
	err := s.post(s.lifetime, relayBeats{beats: request.Beats, reply: answer})
	if err != nil {
		return err
	}
	*reply, err = answer.Wait(s.lifetime)
	return err
}
