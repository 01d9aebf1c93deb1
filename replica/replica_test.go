package replica_test

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/consensus"
	"zinniapulley.dev/core"
	"zinniapulley.dev/durable"
	"zinniapulley.dev/durable/durabletest"
	"zinniapulley.dev/loop"
	"zinniapulley.dev/replica"
	"zinniapulley.dev/wire"
)

// register is a state machine that holds the last command.
type register struct{ value string }

func (r *register) Apply(command []byte) any  { r.value = string(command); return r.value }
func (r *register) Snapshot() ([]byte, error) { return []byte(r.value), nil }
func (r *register) Restore(state []byte) error {
	r.value = string(state)
	return nil
}

// member runs one replica with its own control goroutine and RPC server.
type member struct {
	machine *register
	replica *replica.Replica
	loop    *loop.Loop[func(*member, time.Time)]
	stalled atomic.Bool
}

func (m *member) Handle(now time.Time, e func(*member, time.Time)) { e(m, now) }
func (m *member) Wake(now time.Time)                               { m.replica.Wake(now) }
func (m *member) Deadline() (time.Time, bool)                      { return m.replica.Deadline(), true }

// deliverService receives the messages of peers.
type deliverService struct{ m *member }

func (s *deliverService) Deliver(request wire.DeliverRequest, reply *wire.DeliverReply) error {
	for _, encoded := range request.Messages {
		message, ok := wire.DecodeReplica(encoded)
		if ok {
			event := replica.Delivered{Message: message, Address: netip.MustParseAddrPort(request.From)}
			_ = s.m.loop.Post(func(m *member, now time.Time) { m.replica.Handle(now, event) })
		}
	}
	return nil
}

func startMembers(t *testing.T, count int) []*member {
	t.Helper()
	var servers []*wire.Server
	var voters []consensus.Member
	for i := range count {
		server, err := wire.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
		if err != nil {
			t.Fatal(err)
		}
		servers = append(servers, server)
		id := consensus.MemberID{Instance: core.InstanceID("m" + strconv.Itoa(i)), Incarnation: 1}
		voters = append(voters, consensus.Member{ID: id, Address: server.Address()})
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var members []*member
	for i, server := range servers {
		members = append(members, startMember(t, ctx, server, voters, i))
	}
	return members
}

func startMember(t *testing.T, ctx context.Context, server *wire.Server, voters []consensus.Member, i int) *member {
	t.Helper()
	m := &member{machine: &register{}, loop: loop.New[func(*member, time.Time)](256)}
	folder, _, err := durable.Open(durabletest.StallingDisk{Stalled: &m.stalled}, t.TempDir())
	if err == nil {
		err = folder.Begin(durable.Base{Self: voters[i].ID, Stored: consensus.NewGroup(voters)})
	}
	if err == nil {
		m.replica, err = replica.New(ctx, time.Now(), replica.Config{
			Address: server.Address(), StateMachine: m.machine, Log: slog.New(slog.DiscardHandler),
			Random: rand.New(rand.NewPCG(1, uint64(i))),
			Post: func(ctx context.Context, e replica.Event) error {
				return m.loop.Send(ctx, func(m *member, now time.Time) { m.replica.Handle(now, e) })
			},
		}, folder)
	}
	if err == nil {
		err = server.Register("Replica", &deliverService{m})
	}
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(ctx)
	go m.loop.Run(ctx, m)
	return m
}

// askMember runs handle on the member's control goroutine and waits for its reply.
func askMember[A any](m *member, handle func(*member, time.Time, loop.Reply[A])) A {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, _ := loop.Ask(ctx, m.loop, func(r loop.Reply[A]) func(*member, time.Time) {
		return func(m *member, now time.Time) { handle(m, now, r) }
	})
	return answer
}

func leading(m *member) bool {
	return askMember(m, func(m *member, _ time.Time, r loop.Reply[bool]) { r.Answer(m.replica.Leading()) })
}

func propose(m *member, value string) string {
	return askMember(m, func(m *member, now time.Time, r loop.Reply[string]) {
		m.replica.Propose(now, []byte(value), func(result any, err error) {
			if err != nil {
				r.Answer("refused: " + err.Error())
				return
			}
			r.Answer(result.(string))
		})
	})
}

// leaderAmong waits until one of the members leads, and returns it.
func leaderAmong(t *testing.T, members []*member) *member {
	t.Helper()
	var leader *member
	gomega.NewWithT(t).Eventually(func() bool {
		for _, m := range members {
			if leading(m) {
				leader = m
				return true
			}
		}
		return false
	}, 20*time.Second, 10*time.Millisecond).Should(gomega.BeTrue())
	return leader
}

// committedBy proposes the command until a leader among the members has committed it,
// and returns that leader. A leader may lose its leadership before it has.
func committedBy(t *testing.T, members []*member, command string) *member {
	t.Helper()
	var leader *member
	gomega.NewWithT(t).Eventually(func() string {
		leader = leaderAmong(t, members)
		return propose(leader, command)
	}, 20*time.Second, 50*time.Millisecond).Should(gomega.Equal(command))
	return leader
}

func TestAcceptedCommandReachesAllMembers(t *testing.T) {
	g := gomega.NewWithT(t)
	members := startMembers(t, 3)
	committedBy(t, members, "one")
	for _, m := range members {
		g.Eventually(func() string {
			return askMember(m, func(m *member, _ time.Time, r loop.Reply[string]) { r.Answer(m.machine.value) })
		}, 20*time.Second, 10*time.Millisecond).Should(gomega.Equal("one"))
	}
}

// TestLeaderWithStalledDiskTransfersLeadership stalls the leader's disk. Commands
// must be committed again while the stall lasts.
func TestLeaderWithStalledDiskTransfersLeadership(t *testing.T) {
	members := startMembers(t, 3)
	leader := committedBy(t, members, "before")
	leader.stalled.Store(true)
	defer leader.stalled.Store(false)
	go propose(leader, "held")
	var others []*member
	for _, m := range members {
		if m != leader {
			others = append(others, m)
		}
	}
	committedBy(t, others, "after")
}

func TestFollowerRefusesProposals(t *testing.T) {
	g := gomega.NewWithT(t)
	members := startMembers(t, 3)
	leader := leaderAmong(t, members)
	for _, m := range members {
		if m != leader && !leading(m) {
			g.Expect(strings.HasPrefix(propose(m, "x"), "refused")).To(gomega.BeTrue())
		}
	}
}
