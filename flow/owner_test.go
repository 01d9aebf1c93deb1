package flow_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core"
	"zinniapulley.dev/flow"
)

const (
	serviceID = core.ServiceID(1)
	otherID   = core.ServiceID(2)
)

var (
	serviceAddress = netip.MustParseAddrPort("10.0.0.1:443")
	otherAddress   = netip.MustParseAddrPort("10.0.0.2:443")
	start          = time.Date(2026, 3, 12, 8, 0, 0, 0, time.UTC)
)

func packets(id core.BackendServerID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(id)}), 6081)
}

func server(id core.BackendServerID) core.BackendServer {
	return core.BackendServer{
		ID: id, Service: serviceID, DataCentre: "sul-a", State: core.BackendServing,
		Packets: packets(id), Share: 100,
	}
}

// view returns a view of six backend servers in which all buckets have the given
// chain.
func view(revision core.Revision, chain ...core.BackendServerID) *core.View {
	v := &core.View{
		Revision:    revision,
		DataCentres: []core.DataCentreState{{Name: "sul-a", In: true}, {Name: "sul-b", In: true}},
		Services: []core.Service{
			{ID: serviceID, Name: "balcao", Address: serviceAddress},
			{ID: otherID, Name: "manuais", Address: otherAddress},
		},
		Tables: []core.Table{{Service: serviceID, Buckets: make([]uint16, 16), Chains: []core.Chain{chain}}},
	}
	for id := core.BackendServerID(1); id <= 6; id++ {
		v.BackendServers = append(v.BackendServers, server(id))
	}
	return v
}

func serving() flow.Self {
	return flow.Self{Known: true, State: core.BackendServing, Share: 100, DataCentreIn: true}
}

// newOwner returns the owner for one of the view's backend servers.
func newOwner(id core.BackendServerID, v *core.View) *flow.Owner {
	o := flow.NewOwner(flow.OwnerConfig{
		Self: id, Service: serviceID,
		HalfOpenTimeout: flow.DefaultHalfOpenTimeout, MaxHalfOpen: flow.DefaultMaxHalfOpen,
	})
	o.Handle(start, flow.ViewChanged{Forwarding: flow.Compile(v), Self: serving()})
	o.Handle(start, flow.LimitChanged{Connections: 100})
	return o
}

func caller(port uint16) core.FlowKey {
	return core.FlowKey{Caller: netip.AddrPortFrom(netip.MustParseAddr("192.0.2.9"), port), Service: serviceAddress}
}

// arrivingPacket returns a packet at the candidate with the index hop of the chain.
func arrivingPacket(key core.FlowKey, flags flow.FlagSet, revision core.Revision, hop int, chain ...core.BackendServerID) *flow.Packet {
	p := &flow.Packet{Key: key, Flags: flags, Service: serviceID, Revision: revision, Hop: hop}
	for _, id := range chain {
		p.Hops = append(p.Hops, packets(id))
	}
	return p
}

func TestOwnerAdmitsConfirmsAndDelivers(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOwner(1, view(1, 1, 2))
	key := caller(1000)
	g.Expect(o.Handle(start, arrivingPacket(key, flow.FlagSYN, 1, 0, 1, 2)).Cause).To(gomega.Equal(flow.CauseNewFlow))
	o.Handle(start, flow.SynAckSent{Key: key, Seq: 700})
	ack := arrivingPacket(key, flow.FlagACK, 1, 0, 1, 2)
	ack.Ack = 701
	g.Expect(o.Handle(start, ack).Cause).To(gomega.Equal(flow.CauseFlowConfirmed))
	ack.Ack = 900
	g.Expect(o.Handle(start, ack).Kind).To(gomega.Equal(flow.ActionDeliver))
	g.Expect(o.Handle(start, flow.FlowClosed{Key: key}).Kind).To(gomega.Equal(flow.ActionNone))
	g.Expect(o.Flows()).To(gomega.BeZero())
}

func TestOwnerForwardsAndTheLastRefuses(t *testing.T) {
	g := gomega.NewWithT(t)
	first, last := newOwner(1, view(1, 1, 2)), newOwner(2, view(1, 1, 2))
	key := caller(1000)
	forwarded := first.Handle(start, arrivingPacket(key, flow.FlagACK, 1, 0, 1, 2))
	g.Expect(forwarded.Kind).To(gomega.Equal(flow.ActionForward))
	g.Expect(forwarded.Hops[forwarded.NextHop]).To(gomega.Equal(packets(2)))
	g.Expect(last.Handle(start, arrivingPacket(key, flow.FlagACK, 1, 1, 1, 2)).Kind).To(gomega.Equal(flow.ActionRefuse))
	g.Expect(last.Handle(start, arrivingPacket(key, flow.FlagRST, 1, 1, 1, 2)).Drop).To(gomega.Equal(flow.DropUnmatchedReset))
}

func TestOwnerDropsPacketsOfAnotherService(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOwner(1, view(1, 1, 2))
	wrongID := arrivingPacket(caller(1), flow.FlagSYN, 1, 0, 1, 2)
	wrongID.Service = otherID
	g.Expect(o.Handle(start, wrongID).Drop).To(gomega.Equal(flow.DropWrongService))
	wrongAddress := arrivingPacket(caller(1), flow.FlagSYN, 1, 0, 1, 2)
	wrongAddress.Key.Service = otherAddress
	g.Expect(o.Handle(start, wrongAddress).Drop).To(gomega.Equal(flow.DropWrongService))
	g.Expect(o.Flows()).To(gomega.BeZero())
}
