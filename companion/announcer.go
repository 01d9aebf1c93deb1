package companion

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/membership"
	"zinniapulley.dev/subscriber"
	"zinniapulley.dev/wire"
)

const (
	// heartbeatEvery is the time between two heartbeats, and between two
	// announcements that fail.
	heartbeatEvery = time.Second
	// announceTimeout bounds one announcement or heartbeat.
	announceTimeout = time.Second
)

// announcer announces the backend server to the control instances and keeps
// its lease.
type announcer struct {
	request wire.AnnounceRequest
	control *subscriber.ControlClient
	// relay is the client of the relay at relayAddress; nil for none.
	relay        *wire.Client
	relayAddress netip.AddrPort
	loop         *loop.Loop[event]
	log          *slog.Logger
	registered   wire.AnnounceReply
	// replaced is set once a later start has replaced this one.
	replaced bool
}

func newAnnouncer(config Config, packets netip.AddrPort, l *loop.Loop[event]) *announcer {
	return &announcer{
		request: wire.AnnounceRequest{
			Instance:   config.Instance,
			DataCentre: config.DataCentre,
			Service:    config.Service,
			StartID:    startID(),
			Packets:    packets,
			RPC:        config.RPC,
			Capacity:   config.Capacity,
			State:      core.BackendServing,
		},
		control: subscriber.NewControlClient(config.Controls),
		loop:    l,
		log:     config.Log,
	}
}

// run announces the backend server and keeps its lease until ctx is done, then
// has it taken out. It ends early when a later start replaces this one.
func (a *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	defer a.close()
	for ctx.Err() == nil && !a.replaced {
		err := a.step(ctx)
		if err != nil && ctx.Err() == nil {
			a.log.Warn("announcement or heartbeat failed", "registered", a.registered.BackendServer, "error", err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	a.depart()
}

func (a *announcer) step(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if a.registered.BackendServer == 0 {
		return a.announce(ctx, callCtx)
	}
	return a.beat(ctx, callCtx)
}

func (a *announcer) announce(ctx, callCtx context.Context) error {
	var reply wire.AnnounceReply
	err := a.control.Call(callCtx, wire.MethodAnnounce, &a.request, &reply)
	if err != nil {
		return err
	}
	a.registered = reply
	return a.loop.Send(ctx, announced{reply: reply, startID: a.request.StartID})
}

func (a *announcer) beat(ctx, callCtx context.Context) error {
	next, err := loop.Ask(callCtx, a.loop, func(reply loop.Reply[heartbeat]) event {
		return beat{reply: reply}
	})
	if err != nil {
		return err
	}
	reply, err := a.send(callCtx, next)
	if err != nil {
		return err
	}
	for _, refusal := range reply.Refused {
		a.registered = wire.AnnounceReply{}
		a.log.Warn("heartbeat refused", "backendServer", refusal.BackendServer, "superseded", refusal.Superseded)
		if refusal.Superseded {
			a.replaced = true
			return a.loop.Send(ctx, superseded{})
		}
	}
	return nil
}

// send sends a heartbeat to the relay, or to control if there is none or it
// fails.
func (a *announcer) send(ctx context.Context, next heartbeat) (wire.HeartbeatReply, error) {
	request := &wire.HeartbeatRequest{Beats: []membership.Heartbeat{{Report: next.report}}}
	var reply wire.HeartbeatReply
	if next.hasRelay {
		err := a.relayClient(next.relay).Call(ctx, wire.MethodRelayHeartbeat, request, &reply)
		if err == nil {
			return reply, nil
		}
		a.log.Warn("heartbeat by relay failed", "error", err)
	}
	reply = wire.HeartbeatReply{}
	err := a.control.Call(ctx, wire.MethodHeartbeat, request, &reply)
	return reply, err
}

func (a *announcer) relayClient(address netip.AddrPort) *wire.Client {
	if a.relay == nil || a.relayAddress != address {
		a.closeRelay()
		a.relay, a.relayAddress = wire.NewClient(address), address
	}
	return a.relay
}

// depart has the backend server taken out.
func (a *announcer) depart() {
	if a.registered.BackendServer == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	request := &wire.DepartRequest{Departure: membership.Departure{
		BackendServer: a.registered.BackendServer, StartID: a.request.StartID,
	}}
	err := a.control.Call(ctx, wire.MethodDepart, request, &wire.DepartReply{})
	a.log.Info("backend server departs", "backendServer", a.registered.BackendServer, "error", err)
}

func (a *announcer) close() {
	a.closeRelay()
	a.control.Close()
}

func (a *announcer) closeRelay() {
	if a.relay != nil {
		a.relay.Close()
		a.relay = nil
	}
}
