// Package control assembles a control instance of pass-through forwarding: a member of
// the replicated log of the configuration and the data centres out of service. It serves
// operators and keeps the view of entry instances and companions current.
package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"zinniapulley.dev/consensus"
	"zinniapulley.dev/core"
	"zinniapulley.dev/durable"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/replica"
	"zinniapulley.dev/roles/traffic"
	"zinniapulley.dev/wire"
)

const (
	// mailboxSize is the capacity of the control goroutine's mailbox in events.
	mailboxSize = 1024
	// openRetryDelay is the delay before another attempt to open the data folder.
	openRetryDelay = 300 * time.Millisecond
	// handoverDelay is how long a shutdown waits for another instance to become leader.
	handoverDelay = 400 * time.Millisecond
	// entryTimeout is the time without a heartbeat after which an entry instance is no
	// longer listed to companions. It is longer than a restart of the instance and of a
	// control instance.
	entryTimeout = 15 * time.Second
	// companionTimeout is the time without a heartbeat after which a companion is assumed
	// to hold no flows: longer than any flow would wait for it.
	companionTimeout = 20 * time.Second
	// submitTimeout bounds an operator's call. Operators' clients switch to another
	// instance after a second.
	submitTimeout = 850 * time.Millisecond
	// leaderRetryDelay is the delay before a call is retried that no leader answered.
	leaderRetryDelay = 80 * time.Millisecond
	// joinInterval is the time between join requests.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds a join request.
	joinTimeout = 600 * time.Millisecond
)

// ErrUnavailable reports that no quorum could be reached in time. A command may have
// been committed nevertheless.
const ErrUnavailable = errors.ConstError("no quorum of control instances could be reached in time")

// Config configures a control instance.
type Config struct {
	Instance core.InstanceID
	// RPC is the TCP address for other processes, and the UDP address for heartbeats.
	RPC netip.AddrPort
	// Seeds returns the RPC addresses of the control instances that the settings
	// currently name, at least one.
	Seeds func() []netip.AddrPort
	// First is set when the deployment starts for the first time. The seeds, if this
	// instance is one of them, then form a new group.
	First bool
	// Folder holds the durable state.
	Folder  string
	Files   durable.FileSystem
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Server is one control instance.
type Server struct {
	config     Config
	loop       *loop.Loop[event]
	rpc        *wire.Server
	heartbeats *net.UDPConn
	// orderMetrics is safe for concurrent use.
	orderMetrics orderMetrics
}

// event is an event of the control goroutine.
type event interface {
	handle(h *handler, now time.Time)
}

// New opens the sockets. Calls are answered once Run is called.
func New(config Config) (*Server, error) {
	s := &Server{config: config, loop: loop.New[event](mailboxSize), orderMetrics: newOrderMetrics(config.Metrics)}
	var err error
	s.rpc, err = wire.Listen(config.RPC)
	if err != nil {
		return nil, err
	}
	s.heartbeats, err = traffic.Listen(config.RPC)
	if err != nil {
		s.rpc.Close()
		return nil, err
	}
	service := &service{server: s}
	err = s.rpc.Register("Control", service)
	if err == nil {
		err = s.rpc.Register("Replica", &replicaService{server: s})
	}
	if err != nil {
		s.rpc.Close()
		_ = s.heartbeats.Close()
		return nil, err
	}
	return s, nil
}

// Run serves until ctx is done, and then transfers leadership and shuts down.
func (s *Server) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var listening sync.WaitGroup
	listening.Go(func() { s.rpc.Serve(serving) })
	listening.Go(func() { traffic.Run(serving, &heartbeatReceiver{server: s}, entryTimeout, s.heartbeats) })
	go s.openFolder(serving, nil)
	go s.join(serving)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.loop.Run(serving, newHandler(serving, s))
	}()
	<-ctx.Done()
	s.config.Log.Info("control instance shutting down", "wait", handoverDelay)
	err := s.loop.Send(serving, leave{})
	time.Sleep(handoverDelay)
	stop()
	<-done
	// The addresses are free again once Run has returned.
	listening.Wait()
	return core.At("leave", core.Peer(s.config.Instance), err)
}

// openFolder opens the data folder, retrying until it succeeds, and sends it to the
// control goroutine. With ended, it first waits until the member that used the folder
// has ended, and then assigns the folder a new identity.
func (s *Server) openFolder(ctx context.Context, ended <-chan struct{}) {
	if ended != nil {
		<-ended
	}
	for {
		folder, err := s.prepare(ended != nil)
		if err == nil {
			_ = s.loop.Send(ctx, opened{folder: folder})
			return
		}
		s.config.Log.Error("data folder not opened, retrying", "folder", s.config.Folder, "error", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(openRetryDelay):
		}
	}
}

// prepare opens the folder, and initializes it if it is empty or must be renewed.
func (s *Server) prepare(renew bool) (*durable.Folder, error) {
	folder, found, err := durable.Open(s.config.Files, s.config.Folder)
	if err != nil || (found && !renew) {
		return folder, err
	}
	base := durable.Base{Self: consensus.MemberID{Instance: instanceAt(s.config.RPC), Incarnation: consensus.Incarnation(rand.Uint64() | 1<<63)}}
	if !found && s.config.First && s.isSeed() {
		base = s.firstGroup()
	}
	s.config.Log.Info("data folder initialized", "folder", s.config.Folder, "member", base.Self, "renewed", found,
		"members", len(base.Stored.Snapshot.Membership.Members))
	return folder, folder.Begin(base)
}

// instanceAt derives a control instance's ID from its address, which its peers have
// among their seeds.
func instanceAt(address netip.AddrPort) core.InstanceID {
	return core.InstanceID(address.Addr().String())
}

func (s *Server) isSeed() bool {
	for _, seed := range s.config.Seeds() {
		if seed == s.config.RPC {
			return true
		}
	}
	return false
}

// firstIncarnation is the incarnation of the members of a new group. Later ones are
// random, with the highest bit set.
const firstIncarnation consensus.Incarnation = 1

// firstGroup returns the initial state of each seed in a new group.
func (s *Server) firstGroup() durable.Base {
	var members []consensus.Member
	for _, seed := range s.config.Seeds() {
		id := consensus.MemberID{Instance: instanceAt(seed), Incarnation: firstIncarnation}
		members = append(members, consensus.Member{ID: id, Address: seed, Role: consensus.RoleVoter})
	}
	return durable.Base{
		Self:   consensus.MemberID{Instance: instanceAt(s.config.RPC), Incarnation: firstIncarnation},
		Stored: consensus.NewGroup(members),
	}
}

// join sends join requests while this instance isn't a member.
func (s *Server) join(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		answer, err := loop.Ask(ctx, s.loop, func(reply loop.Reply[membershipAnswer]) event { return membershipQuery{reply: reply} })
		if err == nil && answer.ready && !answer.member {
			seeds := s.config.Seeds()
			s.requestJoin(ctx, answer.self, seeds[attempt%len(seeds)])
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinInterval):
		}
	}
}

// requestJoin sends a join request to one instance, and to the leader that it names.
func (s *Server) requestJoin(ctx context.Context, self consensus.MemberID, at netip.AddrPort) {
	request := wire.JoinRequest{ID: self, Address: s.config.RPC.String()}
	var reply wire.JoinReply
	err := call(ctx, joinTimeout, at, wire.MethodJoin, request, &reply)
	leader, parseErr := netip.ParseAddrPort(reply.Leader)
	if err == nil && !reply.Added && parseErr == nil {
		reply = wire.JoinReply{}
		err = call(ctx, joinTimeout, leader, wire.MethodJoin, request, &reply)
	}
	s.config.Log.Info("join requested", "member", self, "at", at, "leader", reply.Leader, "taken", reply.Added, "error", err)
}

// call makes one call on a new connection.
func call(ctx context.Context, timeout time.Duration, at netip.AddrPort, method string, request, reply any) error {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := wire.NewClient(at)
	defer client.Close()
	return client.Call(limited, method, request, reply)
}

// replicaEvent is an event of the replica's goroutines for the control goroutine.
type replicaEvent struct {
	from  *replica.Replica
	event replica.Event
}
