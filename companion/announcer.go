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
	// heartbeatInterval is the time between two heartbeats, and between two
	// attempts to announce.
	heartbeatInterval = time.Second
	// announceTimeout bounds one announcement or heartbeat.
	announceTimeout = time.Second
)

// announcer announces the backend server to the control instances and renews
// its lease.
type announcer struct {
	request wire.AnnounceRequest
	control *subscriber.ControlClient
	// relay calls the data centre's relay of views and heartbeats at
	// relayAddress (see publish.Relays). It is nil before one is used.
	relay        *wire.Client
	relayAddress netip.AddrPort
	loop         *loop.Loop[event]
	log          *slog.Logger
	registration wire.AnnounceReply
	// superseded is set once a later start of the backend server is registered.
	superseded bool
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

// run announces the backend server and renews its lease until ctx is done, then
// reports its departure. It ends early when a later start supersedes this one.
func (a *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	defer a.close()
	for ctx.Err() == nil && !a.superseded {
		err := a.announceOrRenew(ctx)
		if err != nil && ctx.Err() == nil {
			a.log.Warn("announcement or heartbeat failed", "registered", a.registration.BackendServer, "error", err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	a.depart()
}

func (a *announcer) announceOrRenew(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if a.registration.BackendServer == 0 {
		return a.announce(ctx, callCtx)
	}
	return a.renew(ctx, callCtx)
}

func (a *announcer) announce(ctx, callCtx context.Context) error {
	var reply wire.AnnounceReply
	err := a.control.Call(callCtx, wire.MethodAnnounce, &a.request, &reply)
	if err != nil {
		return err
	}
	a.registration = reply
	return a.loop.Send(ctx, registered{reply: reply, startID: a.request.StartID})
}

func (a *announcer) renew(ctx, callCtx context.Context) error {
	next, err := loop.Ask(callCtx, a.loop, func(reply loop.Reply[heartbeat]) event {
		return heartbeatRequested{reply: reply}
	})
	if err != nil {
		return err
	}
	reply, err := a.send(callCtx, next)
	if err != nil {
		return err
	}
	for _, refusal := range reply.Refused {
		a.registration = wire.AnnounceReply{}
		a.log.Warn("heartbeat refused", "backendServer", refusal.BackendServer, "superseded", refusal.Superseded)
		if refusal.Superseded {
			a.superseded = true
			return a.loop.Send(ctx, superseded{})
		}
	}
	return nil
}

// send sends a heartbeat to the relay, or directly to control if there is no
// relay or the call fails.
func (a *announcer) send(ctx context.Context, next heartbeat) (wire.HeartbeatReply, error) {
	request := &wire.HeartbeatRequest{Beats: []membership.Heartbeat{{Report: next.report}}}
	var reply wire.HeartbeatReply
	if next.hasRelay {
		err := a.relayClient(next.relay).Call(ctx, wire.MethodRelayHeartbeat, request, &reply)
		if err == nil {
			return reply, nil
		}
		a.log.Warn("heartbeat through relay failed; sending it to control", "error", err)
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

// depart reports the departure of a registered backend server to control.
func (a *announcer) depart() {
	if a.registration.BackendServer == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	request := &wire.DepartRequest{Departure: membership.Departure{
		BackendServer: a.registration.BackendServer, StartID: a.request.StartID,
	}}
	err := a.control.Call(ctx, wire.MethodDepart, request, &wire.DepartReply{})
	a.log.Info("backend server departing", "backendServer", a.registration.BackendServer, "error", err)
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
