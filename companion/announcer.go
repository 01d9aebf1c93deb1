package companion

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/wire"
)

const (
	// announceEvery is the time between two announcements.
	announceEvery = time.Second
	// announceTimeout bounds one announcement.
	announceTimeout = time.Second
)

// announcer announces the backend server to the control instances.
type announcer struct {
	request  wire.AnnounceRequest
	controls []netip.AddrPort
	loop     *loop.Loop[event]
	log      *slog.Logger
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
		controls: config.Controls,
		loop:     l,
		log:      config.Log,
	}
}

// run announces until ctx is done, and turns to the next control instance
// after an error.
func (a *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	turn := 0
	client := wire.NewClient(a.controls[0])
	defer func() { client.Close() }()
	for ctx.Err() == nil {
		err := a.announce(ctx, client)
		if err != nil && ctx.Err() == nil {
			a.log.Warn("announcement failed", "peer", client.Peer(), "error", err)
			client.Close()
			turn++
			client = wire.NewClient(a.controls[turn%len(a.controls)])
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (a *announcer) announce(ctx context.Context, client *wire.Client) error {
	callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var reply wire.AnnounceReply
	err := client.Call(callCtx, wire.MethodAnnounce, &a.request, &reply)
	if err != nil {
		return err
	}
	return a.loop.Send(ctx, announced{reply: reply})
}
