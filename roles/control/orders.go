package control

import (
	"bytes"
	"context"
	"encoding/gob"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/consensus"
	"zinniapulley.dev/core"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/route"
	"zinniapulley.dev/wire"
)

// Configure submits a configuration, which must be valid. It returns once the
// configuration, or a newer one, is durable.
func (s *Server) Configure(ctx context.Context, configuration route.Configuration) (route.Result, error) {
	return s.submit(ctx, route.Command{Configure: &configuration})
}

func (s *Server) submit(ctx context.Context, command route.Command) (route.Result, error) {
	encoded, err := encodeCommand(command)
	if err != nil {
		return route.Result{}, err
	}
	var reply wire.SubmitReply
	err = s.atLeader(ctx, "submit", func(limited context.Context) (refusal, error) {
		answer, err := loop.Ask(limited, s.loop, func(r loop.Reply[submitAnswer]) event { return submitted{command: encoded, reply: r} })
		if err != nil {
			return refusal{}, err
		}
		reply = answer.reply
		if reply.NotLeader && answer.leader.IsValid() {
			reply, err = forward[wire.SubmitReply](limited, answer.leader, wire.MethodSubmit, wire.SubmitRequest{Command: encoded})
		}
		return refusal{notLeader: reply.NotLeader, failure: reply.Failure}, err
	})
	return reply.Result, err
}

func encodeCommand(command route.Command) ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(command)
	return buffer.Bytes(), core.At("encode command", "", err)
}

// Read returns the newest configuration, confirmed by a quorum. Source is empty before
// the first one.
func (s *Server) Read(ctx context.Context) (wire.ReadReply, error) {
	var reply wire.ReadReply
	err := s.atLeader(ctx, "read", func(limited context.Context) (refusal, error) {
		answer, err := loop.Ask(limited, s.loop, func(r loop.Reply[readAnswer]) event { return readQuery{reply: r} })
		if err != nil {
			return refusal{}, err
		}
		reply = answer.reply
		if reply.NotLeader && answer.leader.IsValid() {
			reply, err = forward[wire.ReadReply](limited, answer.leader, wire.MethodRead, wire.ReadRequest{Instance: s.config.Instance})
		}
		return refusal{notLeader: reply.NotLeader, failure: reply.Failure}, err
	})
	return reply, err
}

// forward calls the leader. It decodes into a new reply: encoding/gob omits zero values,
// so that a reused reply would keep its old ones.
func forward[R any](ctx context.Context, leader netip.AddrPort, method string, request any) (R, error) {
	var reply R
	err := call(ctx, submitTimeout, leader, method, request, &reply)
	return reply, err
}

// refusal is why an attempt failed at an instance that answered.
type refusal struct {
	notLeader bool
	failure   string
}

// atLeader repeats the attempt until the leader has answered or submitTimeout has
// passed. Repeated and late commands are safe: configurations have versions, orders on
// data centres have numbers.
func (s *Server) atLeader(ctx context.Context, step core.Step, attempt func(context.Context) (refusal, error)) error {
	limited, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	for {
		refused, err := attempt(limited)
		if err == nil && !refused.notLeader && refused.failure == "" {
			return nil
		}
		select {
		case <-limited.Done():
			s.config.Log.Warn("operator's call timed out", "step", step, "notLeader", refused.notLeader, "failure", refused.failure, "error", err)
			return core.At(step, core.Peer(s.config.Instance), ErrUnavailable)
		case <-time.After(leaderRetryDelay):
		}
	}
}

// submitAnswer is the outcome of a command at this instance.
type submitAnswer struct {
	reply  wire.SubmitReply
	leader netip.AddrPort
}

// submitted is a command for the replicated log.
type submitted struct {
	command []byte
	reply   loop.Reply[submitAnswer]
}

func (e submitted) handle(h *handler, now time.Time) {
	if h.replica == nil || !h.replica.Leading() {
		e.reply.Answer(submitAnswer{reply: wire.SubmitReply{NotLeader: true}, leader: h.leader()})
		return
	}
	h.replica.Propose(now, e.command, func(result any, err error) {
		applied, ok := result.(route.Result)
		if err == nil && !ok {
			err = errors.New("the command was committed but not applied")
		}
		e.reply.Answer(submitAnswer{reply: submitReply(applied, err)})
	})
}

func submitReply(result route.Result, err error) wire.SubmitReply {
	var refused consensus.Refusal
	if errors.As(err, &refused) && refused.Reason == consensus.RefusedNotLeader {
		return wire.SubmitReply{NotLeader: true}
	}
	if err != nil {
		return wire.SubmitReply{Failure: err.Error()}
	}
	return wire.SubmitReply{Result: result}
}

// leader returns the leader's address, invalid if it is unknown or this instance.
func (h *handler) leader() netip.AddrPort {
	if h.replica == nil {
		return netip.AddrPort{}
	}
	address, _ := h.replica.Leader()
	if address == h.server.config.RPC {
		return netip.AddrPort{}
	}
	return address
}

// readAnswer is the outcome of a read at this instance.
type readAnswer struct {
	reply  wire.ReadReply
	leader netip.AddrPort
}

// readQuery requests a readAnswer.
type readQuery struct {
	reply loop.Reply[readAnswer]
}

func (e readQuery) handle(h *handler, now time.Time) {
	if h.replica == nil || !h.replica.Leading() {
		e.reply.Answer(readAnswer{reply: wire.ReadReply{NotLeader: true}, leader: h.leader()})
		return
	}
	h.replica.ReadBarrier(now, func(err error) {
		if err != nil {
			e.reply.Answer(readAnswer{reply: wire.ReadReply{Failure: err.Error()}})
			return
		}
		e.reply.Answer(readAnswer{reply: wire.ReadReply{Version: h.state.Configuration.Version, Source: h.state.Configuration.Source}})
	})
}

// Newest returns the document of the newest configuration, empty before the first one.
func (s *Server) Newest(ctx context.Context) ([]byte, error) {
	reply, err := s.Read(ctx)
	return reply.Source, err
}
