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

// errNoView is returned by a relay that has no view yet.
const errNoView = errors.ConstError("this process has no view to pass on yet")

// step is what the poller does next.
type step struct {
	// pause is the delay before the call.
	pause time.Duration
	// saveFloor is a revision to write to the floor file first; zero for none.
	saveFloor core.Revision
	// fetchFloor is set to request a confirmed revision from control, not a view.
	fetchFloor bool
	address    netip.AddrPort
	method     string
	request    wire.WatchRequest
}

// result is the outcome of a step.
type result struct {
	// floor is the lowest acceptable revision of the first view. It is valid if
	// hasFloor is set.
	floor    core.Revision
	hasFloor bool
	// savedFloor is the revision that was written to the floor file.
	savedFloor core.Revision
	// sent is when the call was made.
	sent  time.Time
	watch *wire.WatchReply
	err   error
}

// stepCompleted reports the result of a step and requests the next one.
type stepCompleted struct {
	result result
	reply  loop.Reply[step]
}

func (e stepCompleted) handle(s *Subscription, now time.Time) {
	e.reply.Answer(s.handleResult(now, e.result))
}

// handleResult handles the result of a step and returns the next step.
func (s *Subscription) handleResult(now time.Time, r result) step {
	s.acknowledged = max(s.acknowledged, r.savedFloor)
	if r.hasFloor {
		s.follower.SetFloor(r.floor)
	}
	var pause time.Duration
	switch {
	case r.err != nil:
		s.config.Log.Warn("subscription interrupted", "peer", s.peers.peer(), "revision", s.follower.View().Revision, "error", r.err)
		pause = s.peers.switchPeer(now)
	case r.watch != nil:
		pause = s.handleWatchReply(now, r)
	}
	return s.nextStep(now, pause)
}

// handleWatchReply handles the reply to a watch call. It returns the pause before the
// next call.
func (s *Subscription) handleWatchReply(now time.Time, r result) time.Duration {
	if len(r.watch.Relays) > 0 {
		s.peers.resetBackoff()
		s.peers.setRelays(r.watch.Relays)
		return 0
	}
	verdict := s.apply(now, r.sent, r.watch.Answer)
	return s.peers.evaluate(now, verdict, r.watch.Answer)
}

func (s *Subscription) nextStep(now time.Time, pause time.Duration) step {
	next := step{pause: pause, fetchFloor: !s.follower.HasFloor()}
	if next.fetchFloor {
		next.address = s.peers.control()
		return next
	}
	revision := s.follower.View().Revision
	if s.config.FloorFile == "" {
		s.acknowledged = revision
	} else if revision > s.acknowledged {
		next.saveFloor = revision
	}
	next.address = s.peers.address()
	next.method = wire.MethodWatch
	if s.peers.usesRelay() {
		next.method = wire.MethodRelayWatch
	}
	next.request = s.request(now)
	return next
}

// Run executes the subscription's steps until ctx is done. It blocks, so the caller
// must run it in a separate goroutine.
func Run(ctx context.Context, config Config, send Send) {
	p := &poller{config: config}
	defer p.close()
	outcome := p.loadFloor()
	for ctx.Err() == nil {
		next, err := p.nextStep(ctx, send, outcome)
		if err != nil {
			return
		}
		outcome = p.run(ctx, next)
	}
}

// poller makes the calls of a subscription.
type poller struct {
	config  Config
	address netip.AddrPort
	client  *wire.Client
}

func (p *poller) nextStep(ctx context.Context, send Send, outcome result) (step, error) {
	reply := loop.NewReply[step]()
	err := send(ctx, stepCompleted{result: outcome, reply: reply})
	if err != nil {
		return step{}, err
	}
	return reply.Wait(ctx)
}

// loadFloor reads the floor file, if there is one.
func (p *poller) loadFloor() result {
	var outcome result
	if p.config.FloorFile == "" {
		return outcome
	}
	floor, err := readFloor(p.config.FloorFile)
	if err != nil {
		p.config.Log.Warn("cannot read floor file; requesting floor from control", "error", err)
		return outcome
	}
	outcome.floor, outcome.hasFloor, outcome.savedFloor = floor, true, floor
	return outcome
}

func (p *poller) run(ctx context.Context, next step) result {
	var outcome result
	if next.saveFloor > 0 {
		err := writeFloor(p.config.FloorFile, next.saveFloor)
		if err != nil {
			return result{err: err}
		}
		outcome.savedFloor = next.saveFloor
		next.request.Acknowledged = next.saveFloor
	}
	sleep(ctx, next.pause)
	p.connect(next.address)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	outcome.sent = time.Now()
	if next.fetchFloor {
		p.fetchFloor(ctx, &outcome)
		return outcome
	}
	p.watch(ctx, next, &outcome)
	return outcome
}

func (p *poller) fetchFloor(ctx context.Context, outcome *result) {
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

// connect replaces the client if the address differs from the current one.
func (p *poller) connect(address netip.AddrPort) {
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

func sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Service is the net/rpc service of a relay. It sends each call to the process's
// control loop and waits for the reply.
type Service struct {
	send     Send
	lifetime context.Context
}

// Register registers a relay's service on a server. Calls are handled by the control
// loop behind send.
func Register(server *wire.Server, send Send) error {
	return server.Register("Relay", &Service{send: send, lifetime: context.Background()})
}

// Watch handles wire.MethodRelayWatch.
func (s *Service) Watch(request wire.WatchRequest, reply *wire.WatchReply) error {
	answer := loop.NewReply[wire.WatchReply]()
	err := s.send(s.lifetime, relayWatch{request: request, reply: answer})
	if err != nil {
		return err
	}
	*reply, err = answer.Wait(s.lifetime)
	if err == nil && reply.Answer.Current == 0 {
		return errNoView
	}
	return err
}

// Heartbeat handles wire.MethodRelayHeartbeat.
func (s *Service) Heartbeat(request wire.HeartbeatRequest, reply *wire.HeartbeatReply) error {
	answer := loop.NewReply[wire.HeartbeatReply]()
	err := s.send(s.lifetime, relayHeartbeats{heartbeats: request.Beats, reply: answer})
	if err != nil {
		return err
	}
	*reply, err = answer.Wait(s.lifetime)
	return err
}
