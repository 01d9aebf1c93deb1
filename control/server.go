// Package control assembles a control instance: the replicated state of
// configuration, membership and placement, its publication to other processes,
// and the operators' interface.
package control

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"zinniapulley.dev/config"
	"zinniapulley.dev/control/operator"
	"zinniapulley.dev/control/state"
	"zinniapulley.dev/core"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/wire"
)

const (
	// mailboxSize is the capacity of the control loop's mailbox in events.
	mailboxSize = 4096
	// maxPollWait is the longest long-poll duration that control grants.
	maxPollWait = 10 * time.Second
	// operatorTimeout is the read timeout and the write timeout of the operators'
	// interface.
	operatorTimeout = 30 * time.Second
)

// Config configures a control instance.
type Config struct {
	Instance core.InstanceID
	// RPC is the TCP address for calls from other processes.
	RPC netip.AddrPort
	// Operators is the TCP address of the operators' interface; invalid for none.
	Operators netip.AddrPort
	// HashSeed keys the hash from flows to buckets, for a new group.
	HashSeed uint64
	// InitialConfiguration is the configuration document of a new group.
	InitialConfiguration []byte
	Log                  *slog.Logger
}

// Server is one control instance.
type Server struct {
	config    Config
	loop      *loop.Loop[event]
	handler   *handler
	rpc       *wire.Server
	operators net.Listener
}

// New listens on the instance's addresses. Calls are answered only while Run runs.
// The error for an invalid initial configuration lists every validation error.
func New(options Config) (*Server, error) {
	initial, err := bootstrap(options)
	if err != nil {
		return nil, err
	}
	s := &Server{
		config:  options,
		loop:    loop.New[event](mailboxSize),
		handler: newHandler(options.Log, initial),
	}
	s.handler.commandLog = NewLocalLog(options.Instance, s.handler)
	s.rpc, err = wire.Listen(options.RPC)
	if err != nil {
		return nil, err
	}
	err = s.rpc.Register("Control", &service{loop: s.loop, lifetime: context.Background()})
	if err != nil {
		return nil, err
	}
	if options.Operators.IsValid() {
		s.operators, err = net.Listen("tcp4", options.Operators.String())
	}
	return s, core.At("listen for operators", core.Peer(options.Operators.String()), err)
}

// bootstrap returns the command that starts a new group, or nil if options has no
// initial configuration.
func bootstrap(options Config) (*state.Bootstrap, error) {
	if len(options.InitialConfiguration) == 0 {
		return nil, nil
	}
	_, err := config.Parse(options.InitialConfiguration)
	if err != nil {
		return nil, core.At("check initial configuration", core.Peer(options.Instance), err)
	}
	return &state.Bootstrap{Document: options.InitialConfiguration, HashSeed: options.HashSeed}, nil
}

// RPC returns the TCP address of the instance.
func (s *Server) RPC() netip.AddrPort {
	return s.rpc.Address()
}

// Operators returns the TCP address of the operators' interface; invalid if
// there is none.
func (s *Server) Operators() netip.AddrPort {
	if s.operators == nil {
		return netip.AddrPort{}
	}
	return s.operators.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	go s.rpc.Serve(ctx)
	if s.operators != nil {
		stop := s.serveOperators()
		defer stop()
	}
	err := s.loop.Send(ctx, startEvent{})
	if err != nil {
		return core.At("start", core.Peer(s.config.Instance), err)
	}
	s.loop.Run(ctx, s.handler)
	return nil
}

// serveOperators serves the operators' interface until the returned function
// is called.
func (s *Server) serveOperators() func() {
	server := &http.Server{
		Handler:      operator.NewHandler(operators{loop: s.loop}),
		ReadTimeout:  operatorTimeout,
		WriteTimeout: operatorTimeout,
	}
	go func() { _ = server.Serve(s.operators) }()
	return func() { _ = server.Close() }
}

// SetDataCentre takes a data centre out of service or puts it back on behalf of a
// team.
func (s *Server) SetDataCentre(ctx context.Context, request config.SetDataCentre) (state.Result, error) {
	answer, err := loop.Ask(ctx, s.loop, func(reply loop.Reply[commandAnswer]) event {
		return commandEvent{command: state.Command{SetDataCentre: &request}, reply: reply}
	})
	return answer.result, core.At("set data centre", core.Peer(s.config.Instance), firstError(err, answer.err))
}

// startEvent makes the handler check its leadership for the first time.
type startEvent struct{}

func (startEvent) handle(*handler, time.Time) {}

// commandEvent is a command from the program that embeds the instance.
type commandEvent struct {
	command state.Command
	reply   loop.Reply[commandAnswer]
}

func (e commandEvent) handle(h *handler, _ time.Time) {
	h.proposeAndReply(e.command, e.reply, "command", "request", describe(e.command))
}
