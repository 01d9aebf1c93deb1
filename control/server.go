// Package control assembles a control instance: the replicated state of
// configuration, membership and placement, its publication to other processes,
// and the operators' interface.
package control

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
	// mailboxSize is the length of the control loop's mailbox in events.
	mailboxSize = 4096
	// maxWatchWait bounds how long a watcher's answer is held back.
	maxWatchWait = 10 * time.Second
	// DefaultLease is how long an announcement of a backend server holds.
	DefaultLease = 3 * time.Second
)

// Config sets up a control instance.
type Config struct {
	Instance core.InstanceID
	// RPC is the TCP address for calls from other processes.
	RPC netip.AddrPort
	// HashSeed keys the hash from flows to buckets, for a new group.
	HashSeed uint64
	// InitialConfiguration is the document that a new group starts with.
	InitialConfiguration []byte
	Log                  *slog.Logger
}

// Server is one control instance.
type Server struct {
	config  Config
	loop    *loop.Loop[event]
	handler *handler
	rpc     *wire.Server
}

// New opens the instance's address. Calls are answered once Run runs.
func New(config Config) (*Server, error) {
	server, err := wire.Listen(config.RPC)
	if err != nil {
		return nil, err
	}
	machine := newMachine(config.HashSeed)
	s := &Server{
		config: config,
		loop:   loop.New[event](mailboxSize),
		handler: &handler{
			log:     config.Log,
			machine: machine,
			order:   NewLocalLog(machine),
			leases:  newLeases(),
			lease:   DefaultLease,
		},
		rpc: server,
	}
	err = server.Register("Control", &service{loop: s.loop, lifetime: context.Background()})
	return s, err
}

// RPC returns the TCP address of the instance.
func (s *Server) RPC() netip.AddrPort {
	return s.rpc.Address()
}

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	if len(s.config.InitialConfiguration) > 0 {
		err := s.loop.Send(ctx, configureEvent{
			document: s.config.InitialConfiguration,
			reply:    loop.NewReply[configureAnswer](),
		})
		if err != nil {
			return core.At("submit initial configuration", core.Peer(s.config.Instance), err)
		}
	}
	go s.rpc.Serve(ctx)
	s.loop.Run(ctx, s.handler)
	return nil
}

// Configure submits a configuration document.
func (s *Server) Configure(ctx context.Context, document []byte) (Result, error) {
	answer, err := loop.Ask(ctx, s.loop, func(reply loop.Reply[configureAnswer]) event {
		return configureEvent{document: document, reply: reply}
	})
	if err != nil {
		return Result{}, core.At("submit configuration", core.Peer(s.config.Instance), err)
	}
	return answer.result, answer.err
}

// service answers net/rpc calls by asking the control loop.
type service struct {
	loop     *loop.Loop[event]
	lifetime context.Context
}

// Watch answers wire.MethodWatch.
func (s *service) Watch(request wire.WatchRequest, reply *wire.WatchReply) error {
	answer, err := loop.Ask(s.lifetime, s.loop, func(r loop.Reply[wire.WatchReply]) event {
		return watchEvent{request: request, reply: r}
	})
	*reply = answer
	return err
}

// Announce answers wire.MethodAnnounce.
func (s *service) Announce(request wire.AnnounceRequest, reply *wire.AnnounceReply) error {
	answer, err := loop.Ask(s.lifetime, s.loop, func(r loop.Reply[announceAnswer]) event {
		return announceEvent{request: request, reply: r}
	})
	if err != nil {
		return err
	}
	*reply = answer.reply
	return answer.err
}
