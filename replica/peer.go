package replica

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"zinniapulley.dev/consensus"
	"zinniapulley.dev/wire"
)

const (
	// peerQueueSize is the maximum number of messages queued for one peer. The core
	// repeats messages that are dropped beyond it.
	peerQueueSize = 64
	// deliverTimeout limits one Deliver call to a peer. The connection is closed when
	// it expires.
	deliverTimeout = 600 * time.Millisecond
	// maxAddresses is the number of sender addresses above which all are evicted.
	// Those in use are recorded again with the next message.
	maxAddresses = 64
	// peerIdleTimeout is how long a peer's goroutine waits for messages before it ends.
	peerIdleTimeout = 10 * time.Second
)

// peer sends messages to one member.
type peer struct {
	self    netip.AddrPort
	address netip.AddrPort
	queue   chan consensus.Message
	done    chan struct{}
}

// send queues a message for its addressee. It drops the message if the queue is full
// or the address is unknown.
func (r *Replica) send(message consensus.Message) {
	p := r.peerFor(message.To)
	if p == nil {
		return
	}
	select {
	case p.queue <- message:
	default:
	}
}

// peerFor returns the running peer of a member, starting it if needed, or nil if the
// member's address is unknown.
func (r *Replica) peerFor(id consensus.MemberID) *peer {
	running, ok := r.peers[id]
	if ok {
		select {
		case <-running.done:
		default:
			return running
		}
	}
	address, ok := r.addressOf(r.core.Status(), id)
	if !ok {
		return nil
	}
	p := &peer{self: r.config.Address, address: address, queue: make(chan consensus.Message, peerQueueSize), done: make(chan struct{})}
	r.peers[id] = p
	go p.run(r.ctx, r.config.Log)
	return p
}

// addressOf returns a member's address, and false if it is unknown.
func (r *Replica) addressOf(status consensus.Status, id consensus.MemberID) (netip.AddrPort, bool) {
	member, ok := status.Membership.Find(id)
	if ok {
		return member.Address, true
	}
	address, ok := r.addresses[id]
	return address, ok
}

// evictAddresses bounds the number of recorded sender addresses.
func (r *Replica) evictAddresses() {
	if len(r.addresses) > maxAddresses {
		clear(r.addresses)
	}
}

// run sends queued messages until ctx is done or peerIdleTimeout expires.
func (p *peer) run(ctx context.Context, log *slog.Logger) {
	defer close(p.done)
	client := wire.NewClient(p.address)
	defer client.Close()
	lost := false
	idle := time.NewTimer(peerIdleTimeout)
	defer idle.Stop()
	for {
		idle.Reset(peerIdleTimeout)
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			return
		case message := <-p.queue:
			err := p.deliver(ctx, client, message)
			if (err != nil) != lost {
				lost = err != nil
				log.Info("connection to member of the replicated log changed", "peer", p.address, "lost", lost, "error", err)
			}
		}
	}
}

// deliver sends a message and all that are queued behind it in one call.
func (p *peer) deliver(ctx context.Context, client *wire.Client, first consensus.Message) error {
	request := wire.DeliverRequest{From: p.self.String(), Messages: []wire.ReplicaMessage{wire.EncodeReplica(first)}}
	for len(p.queue) > 0 {
		request.Messages = append(request.Messages, wire.EncodeReplica(<-p.queue))
	}
	limited, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	var reply wire.DeliverReply
	return client.Call(limited, wire.MethodDeliver, request, &reply)
}
