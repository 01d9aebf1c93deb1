package flow

import (
	"encoding/binary"
	"net/netip"

	"zinniapulley.dev/core"
)

// Hop is one candidate of a compiled chain.
type Hop struct {
	BackendServer core.BackendServerID
	// Packets is the UDP address of the backend server's companion.
	Packets netip.AddrPort
	// Choice reports whether the candidate may admit new flows of the bucket.
	Choice bool
}

// Route is where a packet goes. Hops is shared and must not be modified.
type Route struct {
	Service  core.ServiceID
	Revision core.Revision
	Bucket   uint32
	// Hops lists the candidates in the order in which the packet visits them.
	Hops []Hop
}

// ForwardingTable is a view compiled for lookups. It is immutable, so that
// traffic goroutines share it without locks.
type ForwardingTable struct {
	revision  core.Revision
	seed      uint64
	byAddress map[endpoint]*serviceRoutes
	byID      map[core.ServiceID]*serviceRoutes
}

// endpoint is an IPv4 address and port packed into one number, a much faster map
// key than netip.AddrPort.
type endpoint uint64

func endpointOf(address netip.AddrPort) endpoint {
	ip := address.Addr().As4()
	return endpoint(binary.BigEndian.Uint32(ip[:]))<<16 | endpoint(address.Port())
}

// serviceRoutes holds the compiled table of one service.
type serviceRoutes struct {
	service core.Service
	buckets []uint16
	chains  [][]Hop
}

// Compile returns the forwarding table of a view. Candidates that are unknown,
// lost or in a data centre that is out of service are omitted from the chains.
func Compile(view *core.View) *ForwardingTable {
	hops := reachableHops(view)
	f := &ForwardingTable{
		revision:  view.Revision,
		seed:      view.HashSeed,
		byAddress: make(map[endpoint]*serviceRoutes, len(view.Services)),
		byID:      make(map[core.ServiceID]*serviceRoutes, len(view.Services)),
	}
	for _, service := range view.Services {
		routes := &serviceRoutes{service: service}
		if service.Address.Addr().Is4() {
			f.byAddress[endpointOf(service.Address)] = routes
		}
		f.byID[service.ID] = routes
	}
	for i := range view.Tables {
		table := &view.Tables[i]
		routes, known := f.byID[table.Service]
		if !known {
			continue
		}
		routes.buckets = table.Buckets
		routes.chains = compileChains(table, hops)
	}
	return f
}

// hopKey identifies a candidate of a service. With the service in the key, a chain
// that names a backend server of another service can't send packets there.
type hopKey struct {
	service core.ServiceID
	backend core.BackendServerID
}

func reachableHops(view *core.View) map[hopKey]Hop {
	in := make(map[core.DataCentre]bool, len(view.DataCentres))
	for _, dc := range view.DataCentres {
		in[dc.Name] = dc.In
	}
	hops := make(map[hopKey]Hop, len(view.BackendServers))
	for i := range view.BackendServers {
		server := &view.BackendServers[i]
		if !in[server.DataCentre] || server.State == core.BackendLost {
			continue
		}
		key := hopKey{service: server.Service, backend: server.ID}
		hops[key] = Hop{BackendServer: server.ID, Packets: server.Packets}
	}
	return hops
}

func compileChains(table *core.Table, hops map[hopKey]Hop) [][]Hop {
	chains := make([][]Hop, len(table.Chains))
	for i, chain := range table.Chains {
		compiled := make([]Hop, 0, len(chain))
		for position, id := range chain {
			hop, reachable := hops[hopKey{service: table.Service, backend: id}]
			hop.Choice = position < core.Choices
			if reachable {
				compiled = append(compiled, hop)
			}
		}
		chains[i] = compiled
	}
	return chains
}

// Revision returns the revision of the view.
func (f *ForwardingTable) Revision() core.Revision {
	return f.revision
}

// Lookup returns the route of a packet, or the reason why there is none. It
// allocates nothing.
func (f *ForwardingTable) Lookup(key core.FlowKey) (Route, DropReason) {
	if !key.Caller.Addr().Is4() || !key.Service.Addr().Is4() {
		return Route{}, DropNotIPv4
	}
	routes, known := f.byAddress[endpointOf(key.Service)]
	if !known {
		return Route{}, DropUnknownService
	}
	if len(routes.buckets) == 0 {
		return Route{Service: routes.service.ID, Revision: f.revision}, DropNoCandidate
	}
	bucket := Bucket(Hash(f.seed, key), len(routes.buckets))
	route := Route{
		Service:  routes.service.ID,
		Revision: f.revision,
		Bucket:   bucket,
		Hops:     routes.chains[routes.buckets[bucket]],
	}
	if len(route.Hops) == 0 {
		return route, DropNoCandidate
	}
	return route, DropNone
}

// Service returns the service with the ID, and false if there is none.
func (f *ForwardingTable) Service(id core.ServiceID) (core.Service, bool) {
	routes, known := f.byID[id]
	if !known {
		return core.Service{}, false
	}
	return routes.service, true
}

// BucketCount returns the number of buckets of a service, zero if it has none.
func (f *ForwardingTable) BucketCount(id core.ServiceID) int {
	routes, known := f.byID[id]
	if !known {
		return 0
	}
	return len(routes.buckets)
}

// bucketHops returns the compiled chain of one bucket of a service.
func (f *ForwardingTable) bucketHops(id core.ServiceID, bucket uint32) []Hop {
	routes, known := f.byID[id]
	if !known || int(bucket) >= len(routes.buckets) {
		return nil
	}
	return routes.chains[routes.buckets[bucket]]
}
