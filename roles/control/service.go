package control

import (
	"context"
	"net/netip"
	"time"

	"zinniapulley.dev/consensus"
	"zinniapulley.dev/core"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/replica"
	"zinniapulley.dev/roles/feed"
	"zinniapulley.dev/roles/traffic"
	"zinniapulley.dev/wire"
	"zinniapulley.dev/wire/hop"
)

// service answers the calls of other instances.
type service struct{ server *Server }

// Sync answers wire.MethodSync.
func (s *service) Sync(request wire.SyncRequest, reply *wire.SyncReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*feed.LongPollTimeout)
	defer cancel()
	answer, err := loop.Ask(ctx, s.server.loop, func(r loop.Reply[wire.SyncReply]) event { return syncQuery{request: request, reply: r} })
	*reply = answer
	return err
}

// Submit answers wire.MethodSubmit. It doesn't forward the command: a client that
// didn't reach the leader retries.
func (s *service) Submit(request wire.SubmitRequest, reply *wire.SubmitReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	answer, err := loop.Ask(ctx, s.server.loop, func(r loop.Reply[submitAnswer]) event { return submitted{command: request.Command, reply: r} })
	*reply = answer.reply
	return err
}

// Read answers wire.MethodRead.
func (s *service) Read(_ wire.ReadRequest, reply *wire.ReadReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	answer, err := loop.Ask(ctx, s.server.loop, func(r loop.Reply[readAnswer]) event { return readQuery{reply: r} })
	*reply = answer.reply
	return err
}

// replicaService answers the calls of other members of the replicated log.
type replicaService struct{ server *Server }

// Deliver answers wire.MethodDeliver.
func (s *replicaService) Deliver(request wire.DeliverRequest, reply *wire.DeliverReply) error {
	from, err := netip.ParseAddrPort(request.From)
	if err != nil {
		return core.At("deliver", core.Peer(request.From), err)
	}
	for _, encoded := range request.Messages {
		message, ok := wire.DecodeReplica(encoded)
		if !ok {
			continue
		}
		err = s.server.loop.Post(delivered{event: replica.Delivered{Message: message, Address: from}})
		if err != nil {
			return core.At("deliver", core.Peer(request.From), err)
		}
		reply.Taken++
	}
	return nil
}

// delivered is a message from another member.
type delivered struct{ event replica.Delivered }

func (e delivered) handle(h *handler, now time.Time) {
	if h.replica != nil {
		h.replica.Handle(now, e.event)
	}
}

// Join answers wire.MethodJoin.
func (s *replicaService) Join(request wire.JoinRequest, reply *wire.JoinReply) error {
	address, err := netip.ParseAddrPort(request.Address)
	if err != nil {
		return core.At("join", core.Peer(request.Address), err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	answer, err := loop.Ask(ctx, s.server.loop, func(r loop.Reply[wire.JoinReply]) event {
		return joining{id: request.ID, address: address, reply: r}
	})
	*reply = answer
	return err
}

// joining is a join request.
type joining struct {
	id      consensus.MemberID
	address netip.AddrPort
	reply   loop.Reply[wire.JoinReply]
}

func (e joining) handle(h *handler, now time.Time) {
	if h.replica == nil || !h.replica.Leading() {
		leader := h.leader()
		if leader.IsValid() {
			e.reply.Answer(wire.JoinReply{Leader: leader.String()})
			return
		}
		e.reply.Answer(wire.JoinReply{})
		return
	}
	h.replica.AddMember(now, e.id, e.address)
	e.reply.Answer(wire.JoinReply{Leader: h.server.config.RPC.String(), Added: true})
}

// heartbeatReceiver receives the heartbeats of entry instances and companions.
type heartbeatReceiver struct{ server *Server }

// Handle processes one datagram.
func (r *heartbeatReceiver) Handle(_ time.Time, d traffic.Datagram) {
	if hop.KindOf(d.Data) != hop.KindHeartbeat {
		return
	}
	heartbeat, err := hop.DecodeHeartbeat(d.Data)
	if err != nil {
		r.server.config.Log.Warn("malformed heartbeat", "from", d.From, "error", err)
		return
	}
	err = r.server.loop.Post(heartbeatReceived{heartbeat: heartbeat})
	if err != nil {
		r.server.config.Log.Warn("heartbeat dropped", "from", d.From, "error", err)
	}
}

// Tick does nothing.
func (r *heartbeatReceiver) Tick(time.Time) {}
