package publish_test

import (
	"fmt"
	"net/netip"
	"slices"

	"pgregory.net/rapid"
	"zinniapulley.dev/core"
)

// address returns an address that differs for each n below 65536.
func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, 1}), uint16(n+1))
}

// firstView returns a view with two data centres, two services and their tables.
func firstView() *core.View {
	return &core.View{
		Revision:    1,
		HashSeed:    7,
		DataCentres: []core.DataCentreState{{Name: "north-a", In: true}, {Name: "north-b", In: true}},
		Services:    []core.Service{service(1), service(2)},
		BackendServers: []core.BackendServer{
			backendServer(1, 1), backendServer(2, 1), backendServer(3, 2),
		},
		Tables: []core.Table{table(1, 1, 2), table(2, 3)},
	}
}

func service(id core.ServiceID) core.Service {
	return core.Service{
		ID: id, Name: core.ServiceName(fmt.Sprintf("service-%d", id)),
		Address: address(int(id)), Kind: core.ServiceStream,
	}
}

func backendServer(id core.BackendServerID, of core.ServiceID) core.BackendServer {
	return core.BackendServer{
		ID: id, Instance: core.InstanceID(fmt.Sprintf("b%d", id)), Service: of, DataCentre: "north-a",
		StartID: core.StartID(id) * 10, State: core.BackendServing, Packets: address(100 + int(id)),
		RPC: address(200 + int(id)), Capacity: core.Capacity{Connections: 100, Slots: 5}, Share: 100,
	}
}

// tableBuckets is the number of buckets of test tables.
const tableBuckets = 64

func table(of core.ServiceID, owners ...core.BackendServerID) core.Table {
	t := core.Table{Service: of, Buckets: make([]uint16, tableBuckets)}
	for _, owner := range owners {
		t.Chains = append(t.Chains, core.Chain{owner})
	}
	for i := range t.Buckets {
		t.Buckets[i] = uint16(i % len(owners))
	}
	return t
}

// drawNext returns a view with some changes to the given one.
func drawNext(t *rapid.T, view *core.View) *core.View {
	next := &core.View{
		Revision: view.Revision + core.Revision(rapid.IntRange(1, 3).Draw(t, "step")), HashSeed: view.HashSeed,
		DataCentres: slices.Clone(view.DataCentres), Services: slices.Clone(view.Services),
		BackendServers: slices.Clone(view.BackendServers), Tables: slices.Clone(view.Tables),
	}
	for range rapid.IntRange(0, 3).Draw(t, "changes") {
		drawChange(t, next)
	}
	return next
}

func drawChange(t *rapid.T, view *core.View) {
	switch rapid.IntRange(0, 5).Draw(t, "change") {
	case 0:
		i := rapid.IntRange(0, len(view.DataCentres)-1).Draw(t, "data centre")
		view.DataCentres[i].In = !view.DataCentres[i].In
	case 1:
		addService(t, view)
	case 2:
		removeService(t, view)
	case 3:
		changeServers(t, view)
	default:
		changeTable(t, view)
	}
}

func addService(t *rapid.T, view *core.View) {
	id := core.ServiceID(rapid.Uint32Range(1, 6).Draw(t, "new service"))
	if slices.ContainsFunc(view.Services, func(s core.Service) bool { return s.ID == id }) {
		return
	}
	view.Services = append(view.Services, service(id))
	view.Tables = append(view.Tables, table(id, 1))
}

func removeService(t *rapid.T, view *core.View) {
	if len(view.Services) == 0 {
		return
	}
	id := rapid.SampledFrom(view.Services).Draw(t, "service gone").ID
	view.Services = slices.DeleteFunc(view.Services, func(s core.Service) bool { return s.ID == id })
	view.Tables = slices.DeleteFunc(view.Tables, func(t core.Table) bool { return t.Service == id })
}

func changeServers(t *rapid.T, view *core.View) {
	id := core.BackendServerID(rapid.Uint32Range(1, 8).Draw(t, "server"))
	before := len(view.BackendServers)
	view.BackendServers = slices.DeleteFunc(view.BackendServers, func(s core.BackendServer) bool { return s.ID == id })
	if before > len(view.BackendServers) && rapid.Bool().Draw(t, "server gone") {
		return
	}
	server := backendServer(id, 1)
	server.Capacity.Connections = rapid.IntRange(0, 3).Draw(t, "connections")
	view.BackendServers = append(view.BackendServers, server)
}

func changeTable(t *rapid.T, view *core.View) {
	if len(view.Tables) == 0 {
		return
	}
	i := rapid.IntRange(0, len(view.Tables)-1).Draw(t, "table")
	changed := core.Table{
		Service: view.Tables[i].Service,
		Buckets: slices.Clone(view.Tables[i].Buckets), Chains: slices.Clone(view.Tables[i].Chains),
	}
	chains := rapid.IntRange(1, 5).Draw(t, "chains")
	for len(changed.Chains) < chains {
		changed.Chains = append(changed.Chains, core.Chain{core.BackendServerID(len(changed.Chains) + 1)})
	}
	changed.Chains = changed.Chains[:chains]
	changed.Chains[rapid.IntRange(0, chains-1).Draw(t, "chain")] = core.Chain{
		core.BackendServerID(rapid.Uint32Range(1, 8).Draw(t, "owner")), 3,
	}
	for b := range changed.Buckets {
		if int(changed.Buckets[b]) >= chains || rapid.IntRange(0, 15).Draw(t, "move") == 0 {
			changed.Buckets[b] = uint16(b % chains)
		}
	}
	view.Tables[i] = changed
}
