package membership_test

import (
	"errors"
	"net/netip"
	"reflect"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
	"zinniapulley.dev/core"
	"zinniapulley.dev/membership"
)

func announcement(instance core.InstanceID, start core.StartID, host string) membership.Announcement {
	return membership.Announcement{
		Instance: instance, Service: 1, DataCentre: "north-a", StartID: start,
		Packets:  netip.MustParseAddrPort(host + ":6081"),
		RPC:      netip.MustParseAddrPort(host + ":7000"),
		Capacity: core.Capacity{Connections: 100, Slots: 5},
		State:    core.BackendServing,
	}
}

func announce(g *gomega.WithT, state *membership.State, a membership.Announcement) core.BackendServer {
	server, err := state.Announce(a)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return server
}

func TestAQuickRestartTakesOverWithANewStart(t *testing.T) {
	g := gomega.NewWithT(t)
	state := membership.NewState()
	first := announce(g, state, announcement("b1", 10, "192.0.2.1"))
	second := announce(g, state, announcement("b1", 11, "192.0.2.1"))
	g.Expect(second.ID).To(gomega.Equal(first.ID))
	g.Expect(second.StartID).To(gomega.Equal(core.StartID(11)))
	restored := membership.Restore(state.Snapshot())
	for _, s := range []*membership.State{state, restored} {
		_, err := s.Announce(announcement("b1", 10, "192.0.2.1"))
		g.Expect(err).To(gomega.Equal(&membership.SupersededError{Instance: "b1", StartID: 10, Current: 11}))
		err = s.Depart(membership.Departure{BackendServer: first.ID, StartID: 10})
		g.Expect(err).To(gomega.BeAssignableToTypeOf(&membership.SupersededError{}))
		g.Expect(s.Servers()).To(gomega.Equal([]core.BackendServer{second}))
	}
}

func TestTwoProcessesClaimingOneBackendServer(t *testing.T) {
	g := gomega.NewWithT(t)
	state := membership.NewState()
	holder := announce(g, state, announcement("b1", 10, "192.0.2.1"))
	_, err := state.Announce(announcement("b1", 11, "192.0.2.2"))
	g.Expect(err).To(gomega.Equal(&membership.ConflictError{Instance: "b1", Holder: holder, Resource: "the instance"}))
	_, err = state.Announce(announcement("b2", 12, "192.0.2.1"))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("address 192.0.2.1:6081 is held by backend server 1 of instance b1")))
	g.Expect(state.Depart(membership.Departure{BackendServer: holder.ID, StartID: 10})).To(gomega.Succeed())
	again := announce(g, state, announcement("b1", 11, "192.0.2.2"))
	g.Expect(again.ID).To(gomega.BeNumerically(">", holder.ID))
}

func TestAnInstanceThatChangesServiceGetsANewID(t *testing.T) {
	g := gomega.NewWithT(t)
	state := membership.NewState()
	first := announce(g, state, announcement("b1", 10, "192.0.2.1"))
	moved := announcement("b1", 11, "192.0.2.1")
	moved.Service = 2
	second := announce(g, state, moved)
	g.Expect(second.ID).To(gomega.BeNumerically(">", first.ID))
	g.Expect(state.Servers()).To(gomega.HaveLen(1))
	g.Expect(state.RemoveService(1)).To(gomega.BeEmpty())
	g.Expect(state.RemoveService(2)).To(gomega.Equal([]core.BackendServerID{second.ID}))
	g.Expect(state.Servers()).To(gomega.BeEmpty())
}

func TestOperatorsDrainPersistsAcrossRestartsUntilEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	state := membership.NewState()
	g.Expect(state.Drain("b1", true)).To(gomega.Equal(&membership.UnknownInstanceError{Instance: "b1"}))
	announce(g, state, announcement("b1", 10, "192.0.2.1"))
	g.Expect(state.Drain("b1", true)).To(gomega.Succeed())
	g.Expect(announce(g, state, announcement("b1", 11, "192.0.2.1")).State).To(gomega.Equal(core.BackendDraining))
	g.Expect(state.Drained()).To(gomega.Equal([]core.InstanceID{"b1"}))
	g.Expect(state.Drain("b1", false)).To(gomega.Succeed())
	server, _ := state.ByInstance("b1")
	g.Expect(server.State).To(gomega.Equal(core.BackendServing))
}

func TestInvalidAnnouncementsAreRefused(t *testing.T) {
	cases := map[string]func(*membership.Announcement){
		"no instance":       func(a *membership.Announcement) { a.Instance = "" },
		"no service":        func(a *membership.Announcement) { a.Service = 0 },
		"no data centre":    func(a *membership.Announcement) { a.DataCentre = "" },
		"no start":          func(a *membership.Announcement) { a.StartID = 0 },
		"no address":        func(a *membership.Announcement) { a.Packets = netip.AddrPort{} },
		"no RPC port":       func(a *membership.Announcement) { a.RPC = netip.AddrPortFrom(a.RPC.Addr(), 0) },
		"negative capacity": func(a *membership.Announcement) { a.Capacity.Slots = -1 },
		"lost":              func(a *membership.Announcement) { a.State = core.BackendLost },
	}
	for name, invalidate := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			state := membership.NewState()
			a := announcement("b1", 10, "192.0.2.1")
			invalidate(&a)
			_, err := state.Announce(a)
			g.Expect(err).To(gomega.BeAssignableToTypeOf(&membership.InvalidError{}))
			g.Expect(state.Servers()).To(gomega.BeEmpty())
		})
	}
}

// serverModel is one accepted announcement in stateModel.
type serverModel struct {
	id core.BackendServerID
	membership.Announcement
}

// stateModel is the reference model of membership.State: a list searched
// linearly, with every start ever replaced.
type stateModel struct {
	servers  []serverModel
	replaced map[core.InstanceID][]core.StartID
	lastID   core.BackendServerID
}

func (m *stateModel) announce(a membership.Announcement) bool {
	for _, s := range m.servers {
		if s.Instance != a.Instance && (s.Packets == a.Packets || s.RPC == a.RPC) {
			return false
		}
	}
	for i, s := range m.servers {
		if s.Instance != a.Instance {
			continue
		}
		if s.Packets != a.Packets || s.RPC != a.RPC {
			return false
		}
		for _, start := range m.replaced[a.Instance] {
			if start == a.StartID {
				return false
			}
		}
		if s.StartID != a.StartID {
			m.replaced[a.Instance] = append(m.replaced[a.Instance], s.StartID)
		}
		m.servers[i].Announcement = a
		return true
	}
	m.lastID++
	m.replaced[a.Instance] = nil
	m.servers = append(m.servers, serverModel{id: m.lastID, Announcement: a})
	return true
}

func (m *stateModel) depart(d membership.Departure) bool {
	for i, s := range m.servers {
		if s.id == d.BackendServer && s.StartID == d.StartID {
			m.servers = append(m.servers[:i], m.servers[i+1:]...)
			return true
		}
	}
	return false
}

func (m *stateModel) report(r membership.Report) bool {
	for i, s := range m.servers {
		if s.id == r.BackendServer && s.StartID == r.StartID {
			m.servers[i].Capacity, m.servers[i].State = r.Capacity, r.State
			return true
		}
	}
	return false
}

func (m *stateModel) published() []core.BackendServer {
	published := make([]core.BackendServer, 0, len(m.servers))
	for _, s := range m.servers {
		published = append(published, core.BackendServer{
			ID: s.id, Instance: s.Instance, Service: s.Service, DataCentre: s.DataCentre, StartID: s.StartID,
			State: s.State, Packets: s.Packets, RPC: s.RPC, Capacity: s.Capacity,
		})
	}
	return published
}

// maxStart keeps the number of drawn starts below the number that State records.
const maxStart = 6

func drawAnnouncement(t *rapid.T) membership.Announcement {
	a := announcement(
		rapid.SampledFrom([]core.InstanceID{"b1", "b2", "b3"}).Draw(t, "instance"),
		core.StartID(rapid.Uint64Range(1, maxStart).Draw(t, "start")),
		rapid.SampledFrom([]string{"192.0.2.1", "192.0.2.2", "192.0.2.3"}).Draw(t, "host"),
	)
	a.Capacity.Connections = rapid.IntRange(0, 3).Draw(t, "connections")
	return a
}

func TestStateMatchesTheReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := membership.NewState()
		model := &stateModel{replaced: make(map[core.InstanceID][]core.StartID)}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			got, want := stepBoth(t, state, model)
			if (got == nil) != want {
				t.Fatalf("got error %v, model accepted: %v", got, want)
			}
			if !reflect.DeepEqual(state.Servers(), model.published()) {
				t.Fatalf("got %+v, model %+v", state.Servers(), model.published())
			}
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				state = membership.Restore(state.Snapshot())
			}
		}
	})
}

func stepBoth(t *rapid.T, state *membership.State, model *stateModel) (error, bool) {
	id := core.BackendServerID(rapid.Uint32Range(1, 6).Draw(t, "id"))
	start := core.StartID(rapid.Uint64Range(1, maxStart).Draw(t, "start of change"))
	switch rapid.IntRange(0, 3).Draw(t, "step") {
	case 0:
		departure := membership.Departure{BackendServer: id, StartID: start}
		return state.Depart(departure), model.depart(departure)
	case 1:
		report := membership.Report{BackendServer: id, StartID: start, State: core.BackendDraining}
		return state.Report(report), model.report(report)
	default:
		a := drawAnnouncement(t)
		_, err := state.Announce(a)
		var invalid *membership.InvalidError
		if errors.As(err, &invalid) {
			t.Fatal(err)
		}
		return err, model.announce(a)
	}
}
