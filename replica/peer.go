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
	// peerQueue is the most messages that wait for one peer. The core repeats
	// what is dropped beyond it.
	peerQueue = 64
	// deliverTimeout is how long a peer may take to take messages before its
	// connection is given up as silent.
	deliverTimeout = 600 * time.Millisecond
	// maxAddresses is the most addresses kept of senders; those in use come again
	// with the next message.
	maxAddresses = 64
	// peerIdle is how long nothing is sent to a peer before its goroutine ends.
	peerIdle = 10 * time.Second
)

// peer is the sending side towards one member.
type peer struct {
	self    netip.AddrPort
	address netip.AddrPort
	queue   chan consensus.Message
	done    chan struct{}
}

// send queues a message for its addressee. It drops it when the queue is full
// or the address isn't known.
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

// peerFor returns the running sender for a member, nil for an unknown one.
func (r *Replica) peerFor(id consensus.MemberID) *peer {
	known, ok := r.peers[id]
	if ok {
		select {
		case <-known.done:
		default:
			return known
		}
	}
	address, ok := r.addressOf(r.core.Status(), id)
	if !ok {
		return nil
	}
	p := &peer{self: r.config.Address, address: address, queue: make(chan consensus.Message, peerQueue), done: make(chan struct{})}
	r.peers[id] = p
	go p.run(r.ctx, r.config.Log)
	return p
}

// addressOf returns where a member answers, and false if that isn't known.
func (r *Replica) addressOf(status consensus.Status, id consensus.MemberID) (netip.AddrPort, bool) {
	member, ok := status.Membership.Find(id)
	if ok {
		return member.Address, true
	}
	address, ok := r.addresses[id]
	return address, ok
}

// forgetAddresses bounds the addresses of those that are no members.
func (r *Replica) forgetAddresses() {
	if len(r.addresses) > maxAddresses {
		clear(r.addresses)
	}
}

// run sends what is queued until ctx is done or nothing comes for long.
func (p *peer) run(ctx context.Context, log *slog.Logger) {
	defer close(p.done)
	client := wire.NewClient(p.address)
	defer client.Close()
	lost := false
	idle := time.NewTimer(peerIdle)
	defer idle.Stop()
	for {
		idle.Reset(peerIdle)
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			return
		case message := <-p.queue:
			err := p.deliver(ctx, client, message)
			if (err != nil) != lost {
				lost = err != nil
				log.Info("path to member of the replicated log", "peer", p.address, "lost", lost, "error", err)
			}
		}
	}
}

// deliver sends a message and all that are queued behind it.
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
