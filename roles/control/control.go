// Package control assembles a control instance of pass-through forwarding: a
// member of the replicated log that holds the configuration and the data centres
// taken out, answers operators, and keeps entry instances and companions current.
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
	// mailboxSize is the length of the control goroutine's mailbox in events.
	mailboxSize = 1024
	// openRetry is the pause before a data folder that couldn't be opened is
	// opened again.
	openRetry = 300 * time.Millisecond
	// handOverTime is how long a stop waits for another instance to lead.
	handOverTime = 400 * time.Millisecond
	// entryLimit is how long an entry instance may be silent before companions
	// are no longer told of it. It outlives the restart of the instance and of a
	// control instance.
	entryLimit = 15 * time.Second
	// companionLimit is how long a companion may be silent before it no longer counts
	// as one that may hold flows: longer than any flow would wait for it.
	companionLimit = 20 * time.Second
	// submitTimeout bounds how long an operator's order waits here. Operators turn
	// to another instance after a second.
	submitTimeout = 850 * time.Millisecond
	// leaderRetry is the pause before an order is offered again while no leader
	// takes it.
	leaderRetry = 80 * time.Millisecond
	// joinInterval is the time between requests to become a member.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds one of them.
	joinTimeout = 600 * time.Millisecond
)

// ErrUnavailable reports that no quorum could be reached in time. An order may
// have been accepted nevertheless.
const ErrUnavailable = errors.ConstError("no quorum of control instances could be reached in time")

// Config sets up a control instance.
type Config struct {
	Instance core.InstanceID
	// RPC is the TCP address for other processes, and the UDP address for hellos.
	RPC netip.AddrPort
	// Seeds returns the control instances that the settings name by now, by their
	// RPC addresses; at least one.
	Seeds func() []netip.AddrPort
	// First says that the deployment starts for the first time: the seeds, if this
	// instance is one of them, make a new group.
	First bool
	// Folder holds the durable state.
	Folder  string
	Files   durable.FileSystem
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Server is one control instance.
type Server struct {
	config Config
	loop   *loop.Loop[event]
	rpc    *wire.Server
	hellos *net.UDPConn
}

// event is what the control goroutine takes.
type event interface {
	handle(h *handler, now time.Time)
}

// New opens the addresses. Calls are answered once Run runs.
func New(config Config) (*Server, error) {
	s := &Server{config: config, loop: loop.New[event](mailboxSize)}
	var err error
	s.rpc, err = wire.Listen(config.RPC)
	if err != nil {
		return nil, err
	}
	s.hellos, err = traffic.Listen(config.RPC)
	if err != nil {
		return nil, err
	}
	service := &service{server: s}
	err = s.rpc.Register("Control", service)
	if err == nil {
		err = s.rpc.Register("Replica", &replicaService{server: s})
	}
	return s, err
}

// Run serves until ctx is done, and then hands over.
func (s *Server) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var listening sync.WaitGroup
	listening.Go(func() { s.rpc.Serve(serving) })
	listening.Go(func() { traffic.Run(serving, &hellos{server: s}, entryLimit, s.hellos) })
	go s.openFolder(serving, nil)
	go s.join(serving)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.loop.Run(serving, newHandler(serving, s))
	}()
	<-ctx.Done()
	s.config.Log.Info("leaving", "wait", handOverTime)
	err := s.loop.Send(serving, leave{})
	time.Sleep(handOverTime)
	stop()
	<-done
	// The addresses are free again once Run has returned.
	listening.Wait()
	return core.At("leave", core.Peer(s.config.Instance), err)
}

// openFolder opens the data folder, however often it takes, and posts it. With
// ended, it waits until the member that used the folder has ended, and then gives
// the folder a new identity.
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
		s.config.Log.Error("data folder not opened, trying again", "folder", s.config.Folder, "error", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(openRetry):
		}
	}
}

// prepare opens the folder and gives an empty one, or one that must be renewed,
// its first state.
func (s *Server) prepare(renew bool) (*durable.Folder, error) {
	folder, found, err := durable.Open(s.config.Files, s.config.Folder)
	if err != nil || (found && !renew) {
		return folder, err
	}
	base := durable.Base{Self: consensus.MemberID{Instance: instanceAt(s.config.RPC), Incarnation: consensus.Incarnation(rand.Uint64() | 1<<63)}}
	if !found && s.config.First && s.isSeed() {
		base = s.firstGroup()
	}
	s.config.Log.Info("data folder begun", "folder", s.config.Folder, "member", base.Self, "renewed", found,
		"members", len(base.Stored.Snapshot.Membership.Members))
	return folder, folder.Begin(base)
}

// instanceAt names a control instance by its address, which its peers know from
// their seeds.
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

// firstIncarnation is that of the members of a new group. Later ones are random,
// with the highest bit set.
const firstIncarnation consensus.Incarnation = 1

// firstGroup is the state with which each seed starts a new group.
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

// join asks to become a member for as long as this instance is none.
func (s *Server) join(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		answer, err := loop.Ask(ctx, s.loop, func(reply loop.Reply[membershipAnswer]) event { return membershipQuestion{reply: reply} })
		if err == nil && answer.ready && !answer.member {
			known := s.config.Seeds()
			s.askToJoin(ctx, answer.self, known[turn%len(known)])
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinInterval):
		}
	}
}

// askToJoin asks one instance, and the leader that it names.
func (s *Server) askToJoin(ctx context.Context, self consensus.MemberID, at netip.AddrPort) {
	request := wire.JoinRequest{ID: self, Address: s.config.RPC.String()}
	var reply wire.JoinReply
	err := call(ctx, joinTimeout, at, wire.MethodJoin, request, &reply)
	leader, parseErr := netip.ParseAddrPort(reply.Leader)
	if err == nil && !reply.Added && parseErr == nil {
		reply = wire.JoinReply{}
		err = call(ctx, joinTimeout, leader, wire.MethodJoin, request, &reply)
	}
	s.config.Log.Info("asked to join", "member", self, "at", at, "leader", reply.Leader, "taken", reply.Added, "error", err)
}

// call makes one call on a connection of its own.
func call(ctx context.Context, timeout time.Duration, at netip.AddrPort, method string, request, reply any) error {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := wire.NewClient(at)
	defer client.Close()
	return client.Call(limited, method, request, reply)
}

// replicaEvent brings an event of the replica's goroutines to the control
// goroutine.
type replicaEvent struct {
	from  *replica.Replica
	event replica.Event
}
