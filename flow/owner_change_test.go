package flow_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/flow"
)

// group is a set of owners that forward packets to each other as companions do.
type group struct {
	owners map[core.BackendServerID]*flow.Owner
	// visited lists the owners that the last packet visited, in order.
	visited []core.BackendServerID
}

func newGroup(v *core.View, ids ...core.BackendServerID) *group {
	g := &group{owners: make(map[core.BackendServerID]*flow.Owner)}
	for _, id := range ids {
		g.owners[id] = newOwner(id, v)
	}
	return g
}

func (n *group) setView(v *core.View, ids ...core.BackendServerID) {
	for _, id := range ids {
		n.owners[id].Handle(start, flow.ViewChanged{Forwarding: flow.Compile(v), Self: serving()})
	}
}

// send looks a packet up in a view and lets it visit owners until one of them
// doesn't forward it. It returns the last owner and its action.
func (n *group) send(v *core.View, key core.FlowKey, flags flow.FlagSet, ack uint32) (core.BackendServerID, flow.Action) {
	route, _ := flow.Compile(v).Lookup(key)
	p := &flow.Packet{Key: key, Flags: flags, Ack: ack, Service: route.Service, Revision: route.Revision}
	for _, hop := range route.Hops {
		p.Hops = append(p.Hops, hop.Packets)
	}
	n.visited = nil
	for {
		id := serverAt(p.Hops[p.Hop])
		n.visited = append(n.visited, id)
		action := n.owners[id].Handle(start, p)
		if action.Kind != flow.ActionForward {
			return id, action
		}
		p.Hops = append([]netip.AddrPort(nil), action.Hops...)
		p.Hop = action.NextHop
		p.Revision = action.Revision
	}
}

func serverAt(address netip.AddrPort) core.BackendServerID {
	return core.BackendServerID(address.Addr().As4()[3])
}

// iss returns the initial sequence number that a backend server sends.
func iss(id core.BackendServerID) uint32 { return uint32(id) * 1000 }

// syn sends a SYN. The owner that admits it sends a SYN-ACK.
func (n *group) syn(v *core.View, key core.FlowKey) (core.BackendServerID, flow.Action) {
	id, action := n.send(v, key, flow.FlagSYN, 0)
	if action.Kind == flow.ActionDeliver {
		n.owners[id].Handle(start, flow.SynAckSent{Key: key, Seq: iss(id)})
	}
	return id, action
}

// open sends a SYN and the ACK that confirms the flow.
func (n *group) open(v *core.View, key core.FlowKey) core.BackendServerID {
	id, _ := n.syn(v, key)
	n.send(v, key, flow.FlagACK, iss(id)+1)
	return id
}

func TestFlowsSurviveWhileEntriesUseDifferentRevisions(t *testing.T) {
	g := gomega.NewWithT(t)
	views := []*core.View{view(1, 1, 2, 3), view(2, 2, 1, 3), view(3, 4, 2, 3, 1), view(4, 5, 4, 2, 3, 1)}
	n := newGroup(views[0], 1, 2, 3, 4, 5)
	key := caller(1000)
	g.Expect(n.open(views[0], key)).To(gomega.Equal(core.BackendServerID(1)))
	for i, newest := range views {
		for id := core.BackendServerID(1); id <= 5; id++ {
			n.setView(newest, id)
			for _, entry := range views[:i+1] {
				where, action := n.send(entry, key, flow.FlagACK, 55)
				g.Expect(where).To(gomega.Equal(core.BackendServerID(1)))
				g.Expect(action.Kind).To(gomega.Equal(flow.ActionDeliver))
			}
		}
	}
}

func TestPacketOfAnOlderRevisionReachesTheNewOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	old, newest := view(1, 1, 2, 3), view(9, 4, 5, 6, 1)
	n := newGroup(newest, 1, 2, 3, 4, 5, 6)
	key := caller(1000)
	g.Expect(n.open(newest, key)).To(gomega.Equal(core.BackendServerID(4)))
	where, action := n.send(old, key, flow.FlagACK, 55)
	g.Expect(where).To(gomega.Equal(core.BackendServerID(4)))
	g.Expect(action.Kind).To(gomega.Equal(flow.ActionDeliver))
	g.Expect(n.visited).To(gomega.Equal([]core.BackendServerID{1, 4}))
}

func TestNoPacketVisitsACompanionTwice(t *testing.T) {
	g := gomega.NewWithT(t)
	// Each owner has a newer view than the one before it in the chain.
	n := newGroup(view(1, 1, 2, 3), 1, 2, 3, 4, 5, 6)
	n.setView(view(2, 2, 1, 3, 4), 2)
	n.setView(view(3, 3, 1, 2, 4, 5), 3)
	n.setView(view(4, 1, 4, 2, 5, 3, 6), 4)
	n.setView(view(5, 5, 4, 3, 2, 1, 6), 5)
	_, action := n.send(view(1, 1, 2, 3), caller(1000), flow.FlagACK, 55)
	g.Expect(action.Kind).To(gomega.Equal(flow.ActionRefuse))
	seen := make(map[core.BackendServerID]bool)
	for _, id := range n.visited {
		g.Expect(seen[id]).To(gomega.BeFalse())
		seen[id] = true
	}
	g.Expect(n.visited).To(gomega.HaveLen(6))
}

func TestRepeatedSynAtTwoCompanionsGoesToTheConfirmedOne(t *testing.T) {
	g := gomega.NewWithT(t)
	before, after := view(1, 1, 2, 3), view(2, 2, 1, 3)
	n := newGroup(before, 1, 2, 3)
	key := caller(1000)
	first, _ := n.syn(before, key)
	n.setView(after, 1, 2, 3)
	second, _ := n.syn(after, key)
	g.Expect([]core.BackendServerID{first, second}).To(gomega.Equal([]core.BackendServerID{1, 2}))
	where, action := n.send(after, key, flow.FlagACK, iss(1)+1)
	g.Expect(where).To(gomega.Equal(core.BackendServerID(1)))
	g.Expect(action.Cause).To(gomega.Equal(flow.CauseFlowConfirmed))
	due, ok := n.owners[2].Deadline()
	g.Expect(ok).To(gomega.BeTrue())
	expired := n.owners[2].Handle(due, flow.DeadlinePassed{})
	g.Expect(expired.Kind).To(gomega.Equal(flow.ActionDiscardFlows))
	g.Expect(expired.Keys).To(gomega.Equal([]core.FlowKey{key}))
	g.Expect(n.owners[2].Flows()).To(gomega.BeZero())
	g.Expect(n.owners[1].Flows()).To(gomega.Equal(1))
}

func TestLateSynDoesNotTakeOverAnOpenFlow(t *testing.T) {
	g := gomega.NewWithT(t)
	before, after := view(1, 1, 2, 3), view(2, 2, 1, 3)
	n := newGroup(before, 1, 2, 3)
	key := caller(1000)
	n.open(before, key)
	n.setView(after, 1, 2, 3)
	late, _ := n.syn(after, key)
	g.Expect(late).To(gomega.Equal(core.BackendServerID(2)))
	for ack := uint32(1); ack < 5000; ack += 7 {
		if ack == iss(2)+1 {
			continue
		}
		where, action := n.send(after, key, flow.FlagACK, ack)
		g.Expect(where).To(gomega.Equal(core.BackendServerID(1)))
		g.Expect(action.Kind).To(gomega.Equal(flow.ActionDeliver))
	}
}

func TestSynAdmittedByALaterChoice(t *testing.T) {
	g := gomega.NewWithT(t)
	v := view(1, 1, 2, 3, 4)
	n := newGroup(v, 1, 2, 3, 4)
	n.owners[1].Handle(start, flow.LimitChanged{Connections: 0})
	key := caller(1000)
	g.Expect(n.open(v, key)).To(gomega.Equal(core.BackendServerID(2)))
	where, _ := n.send(v, key, flow.FlagACK, 77)
	g.Expect(where).To(gomega.Equal(core.BackendServerID(2)))
}

func TestSynIsRefusedWhenAllChoicesAreFull(t *testing.T) {
	g := gomega.NewWithT(t)
	v := view(1, 1, 2, 3, 4)
	n := newGroup(v, 1, 2, 3, 4)
	for id := core.BackendServerID(1); id <= 3; id++ {
		n.owners[id].Handle(start, flow.LimitChanged{Connections: 0})
	}
	where, action := n.send(v, caller(1000), flow.FlagSYN, 0)
	g.Expect(where).To(gomega.Equal(core.BackendServerID(4)))
	g.Expect(action.Kind).To(gomega.Equal(flow.ActionRefuse))
	g.Expect(action.Cause).To(gomega.Equal(flow.CauseNotChosen), "an earlier owner admits no new flow")
	for id := range n.owners {
		g.Expect(n.owners[id].Flows()).To(gomega.BeZero())
	}
}

func TestLimitIsNeverExceeded(t *testing.T) {
	g := gomega.NewWithT(t)
	v := view(1, 1)
	n := newGroup(v, 1)
	n.owners[1].Handle(start, flow.LimitChanged{Connections: 10})
	for port := uint16(1); port <= 50; port++ {
		n.syn(v, caller(port))
		n.syn(v, caller(port))
		if port%2 == 0 {
			n.send(v, caller(port), flow.FlagACK, iss(1)+1)
		}
		g.Expect(n.owners[1].Flows()).To(gomega.BeNumerically("<=", 10))
	}
	g.Expect(n.owners[1].Flows()).To(gomega.Equal(10))
}

func TestDataOvertakesTheHandshakesAck(t *testing.T) {
	g := gomega.NewWithT(t)
	v := view(1, 1, 2)
	n := newGroup(v, 1, 2)
	key := caller(1000)
	n.syn(v, key)
	_, data := n.send(v, key, flow.FlagACK, iss(1)+1)
	g.Expect(data.Cause).To(gomega.Equal(flow.CauseFlowConfirmed))
	_, ack := n.send(v, key, flow.FlagACK, iss(1)+1)
	g.Expect(ack.Cause).To(gomega.Equal(flow.CauseKnownFlow))
}

func TestPacketBeforeTheSynAckIsDroppedNotRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	v := view(1, 1)
	n := newGroup(v, 1)
	n.send(v, caller(1000), flow.FlagSYN, 0)
	_, action := n.send(v, caller(1000), flow.FlagACK, 1)
	g.Expect(action.Drop).To(gomega.Equal(flow.DropHalfOpen))
}

func TestReusedKeyAfterCloseIsANewFlow(t *testing.T) {
	g := gomega.NewWithT(t)
	v := view(1, 1, 2)
	n := newGroup(v, 1, 2)
	key := caller(1000)
	n.syn(v, key)
	n.owners[1].Handle(start, flow.FlowClosed{Key: key})
	later := start.Add(flow.DefaultHalfOpenTimeout / 2)
	n.owners[1].Handle(later, arrivingPacket(key, flow.FlagSYN, 1, 0, 1, 2))
	// The deadline of the key's first flow must not expire its second flow.
	expired := n.owners[1].Handle(start.Add(flow.DefaultHalfOpenTimeout), flow.DeadlinePassed{})
	g.Expect(expired.Kind).To(gomega.Equal(flow.ActionNone))
	g.Expect(n.owners[1].Flows()).To(gomega.Equal(1))
}

func TestRestartedCompanionResetsItsOldFlows(t *testing.T) {
	g := gomega.NewWithT(t)
	v := view(1, 1, 2)
	n := newGroup(v, 1, 2)
	key := caller(1000)
	n.open(v, key)
	n.owners[1] = newOwner(1, v)
	_, action := n.send(v, key, flow.FlagACK, 55)
	g.Expect(action.Kind).To(gomega.Equal(flow.ActionRefuse))
}

func TestAddressOfARemovedServiceReusedByAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	before := view(1, 1, 2)
	n := newGroup(before, 1, 2)
	key := caller(1000)
	n.open(before, key)
	after := view(2, 1, 2)
	after.Services = []core.Service{{ID: otherID, Name: "manuais", Address: serviceAddress}}
	reset := n.owners[1].Handle(start, flow.ViewChanged{Forwarding: flow.Compile(after), Self: serving()})
	g.Expect(reset.Kind).To(gomega.Equal(flow.ActionResetFlows))
	g.Expect(reset.Keys).To(gomega.Equal([]core.FlowKey{key}))
	// A packet sent by an entry instance with the old revision.
	g.Expect(n.owners[1].Handle(start, arrivingPacket(key, flow.FlagACK, 1, 0, 1, 2)).Drop).To(gomega.Equal(flow.DropWrongService))
	// A companion of the other service gets the old service's packet.
	other := flow.NewOwner(flow.OwnerConfig{Self: 9, Service: otherID, MaxHalfOpen: 10})
	other.Handle(start, flow.ViewChanged{Forwarding: flow.Compile(after), Self: serving()})
	other.Handle(start, flow.LimitChanged{Connections: 10})
	g.Expect(other.Handle(start, arrivingPacket(key, flow.FlagACK, 1, 0, 1, 2)).Drop).To(gomega.Equal(flow.DropWrongService))
}

func TestDrainingAdmitsNoNewFlowAndKeepsItsOwn(t *testing.T) {
	g := gomega.NewWithT(t)
	v := view(2, 1, 2)
	n := newGroup(view(1, 1, 2), 1, 2)
	key := caller(1000)
	n.open(view(1, 1, 2), key)
	draining := serving()
	draining.State = core.BackendDraining
	n.owners[1].Handle(start, flow.ViewChanged{Forwarding: flow.Compile(v), Self: draining})
	where, action := n.syn(v, caller(1001))
	g.Expect(where).To(gomega.Equal(core.BackendServerID(2)))
	g.Expect(action.Cause).To(gomega.Equal(flow.CauseNewFlow))
	where, _ = n.send(v, key, flow.FlagACK, 55)
	g.Expect(where).To(gomega.Equal(core.BackendServerID(1)))
}

func TestEmptyBucketsOnlyWhereNoFlowCanStart(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newGroup(view(1, 4, 1, 2, 3), 1, 2, 3, 4)
	_, none := n.owners[4].EmptyBuckets()
	g.Expect(none).To(gomega.BeEmpty(), "a choice never reports a bucket empty")
	n.open(view(1, 4, 1, 2, 3), caller(1000))
	n.setView(view(2, 1, 2, 3, 4), 4)
	revision, empty := n.owners[4].EmptyBuckets()
	g.Expect(revision).To(gomega.Equal(core.Revision(2)))
	g.Expect(empty).To(gomega.HaveLen(15), "all 16 but the flow's")
	_, action := n.send(view(1, 4, 1, 2, 3), caller(2000), flow.FlagSYN, 0)
	g.Expect(action.Cause).To(gomega.Equal(flow.CauseNewFlow))
	g.Expect(n.visited[0]).To(gomega.Equal(core.BackendServerID(4)))
	g.Expect(n.visited).To(gomega.HaveLen(2), "a bucket reported empty stays empty, also for packets of an older revision")
}

func TestDataCentreOutOfServiceResetsItsFlows(t *testing.T) {
	g := gomega.NewWithT(t)
	v := view(1, 1, 2)
	n := newGroup(v, 1, 2)
	key := caller(1000)
	n.open(v, key)
	after := view(2, 1, 2)
	after.DataCentres[0].In = false
	after.BackendServers[1].DataCentre = "sul-b"
	self := flow.SelfIn(after, 1, "sul-a")
	g.Expect(self).To(gomega.Equal(flow.Self{Known: true, State: core.BackendServing, Share: 100}))
	reset := n.owners[1].Handle(start, flow.ViewChanged{Forwarding: flow.Compile(after), Self: self})
	g.Expect(reset.Kind).To(gomega.Equal(flow.ActionResetFlows))
	where, action := n.send(v, key, flow.FlagACK, 55)
	g.Expect(action.Kind).To(gomega.Equal(flow.ActionRefuse))
	g.Expect(where).To(gomega.Equal(core.BackendServerID(2)))
	where, _ = n.syn(v, caller(1001))
	g.Expect(where).To(gomega.Equal(core.BackendServerID(2)))
}

func TestFlowsSurviveWhileTheCompanionIsCutOff(t *testing.T) {
	g := gomega.NewWithT(t)
	o := flow.NewOwner(flow.OwnerConfig{
		Self: 1, Service: serviceID, HalfOpenTimeout: time.Minute, MaxHalfOpen: 10, Lease: flow.DefaultLease,
	})
	o.Handle(start, flow.ViewChanged{Forwarding: flow.Compile(view(1, 1)), Self: serving()})
	o.Handle(start, flow.LimitChanged{Connections: 10})
	confirm := flow.Confirmed{Confirmation: flow.Confirmation{Revision: 1, In: true}}
	o.Handle(start, confirm)
	key := caller(1000)
	o.Handle(start, arrivingPacket(key, flow.FlagSYN, 1, 0, 1))
	o.Handle(start, flow.SynAckSent{Key: key, Seq: 5})
	ack := arrivingPacket(key, flow.FlagACK, 1, 0, 1)
	ack.Ack = 6
	g.Expect(o.Handle(start, ack).Kind).To(gomega.Equal(flow.ActionDeliver))
	cut := start.Add(outTarget)
	g.Expect(o.Handle(cut, ack).Drop).To(gomega.Equal(flow.DropLeaseUnconfirmed))
	g.Expect(o.Handle(cut, arrivingPacket(caller(1), flow.FlagACK, 1, 0, 1)).Drop).To(gomega.Equal(flow.DropLeaseUnconfirmed), "no reset while the lease is unconfirmed")
	o.Handle(cut, confirm)
	g.Expect(o.Handle(cut, ack).Kind).To(gomega.Equal(flow.ActionDeliver))
	out := flow.Confirmed{Confirmation: flow.Confirmation{Revision: 2, In: false}}
	g.Expect(o.Handle(cut, out).Kind).To(gomega.Equal(flow.ActionResetFlows))
	g.Expect(o.Handle(cut, ack).Kind).To(gomega.Equal(flow.ActionRefuse))
}
