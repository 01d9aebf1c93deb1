package publish

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"zinniapulley.dev/core"
)

// Digest is a checksum over all of a view but its revision. It detects
// corruption and lost changes, but doesn't protect against forgery.
type Digest uint64

// DigestOf returns the digest of a view. The order of the view's lists doesn't
// matter.
func DigestOf(view *core.View) Digest {
	h := hasher{sum: xxhash.New()}
	h.number(view.HashSeed)
	h.dataCentres(sortedDataCentres(view.DataCentres))
	h.services(sortedServices(view.Services))
	h.backendServers(sortedServers(view.BackendServers))
	h.tables(sortedTables(view.Tables))
	h.flush()
	return Digest(h.sum.Sum64())
}

// flushBytes is the buffer size, in bytes, at which the hasher flushes.
const flushBytes = 4096

type hasher struct {
	sum    *xxhash.Digest
	buffer []byte
}

func (h *hasher) flush() {
	_, _ = h.sum.Write(h.buffer)
	h.buffer = h.buffer[:0]
}

func (h *hasher) number(n uint64) {
	h.buffer = binary.AppendUvarint(h.buffer, n)
	if len(h.buffer) >= flushBytes {
		h.flush()
	}
}

func (h *hasher) integer(n int) {
	h.number(uint64(n))
}

func (h *hasher) text(text string) {
	h.integer(len(text))
	h.buffer = append(h.buffer, text...)
}

func (h *hasher) address(address netip.AddrPort) {
	h.text(string(address.Addr().AsSlice()))
	h.number(uint64(address.Port()))
}

func (h *hasher) boolean(value bool) {
	if value {
		h.number(1)
		return
	}
	h.number(0)
}

func (h *hasher) dataCentres(list []core.DataCentreState) {
	h.integer(len(list))
	for _, dataCentre := range list {
		h.text(string(dataCentre.Name))
		h.boolean(dataCentre.In)
	}
}

func (h *hasher) services(list []core.Service) {
	h.integer(len(list))
	for _, service := range list {
		h.number(uint64(service.ID))
		h.text(string(service.Name))
		h.address(service.Address)
		h.number(uint64(service.Kind))
	}
}

func (h *hasher) backendServers(list []core.BackendServer) {
	h.integer(len(list))
	for _, server := range list {
		h.number(uint64(server.ID))
		h.text(string(server.Instance))
		h.number(uint64(server.Service))
		h.text(string(server.DataCentre))
		h.number(uint64(server.StartID))
		h.number(uint64(server.State))
		h.address(server.Packets)
		h.address(server.RPC)
		h.integer(server.Capacity.Connections)
		h.integer(server.Capacity.Slots)
		h.integer(server.Share)
	}
}

func (h *hasher) tables(list []core.Table) {
	h.integer(len(list))
	for _, table := range list {
		h.number(uint64(table.Service))
		h.integer(len(table.Buckets))
		for _, index := range table.Buckets {
			h.number(uint64(index))
		}
		h.integer(len(table.Chains))
		for _, chain := range table.Chains {
			h.integer(len(chain))
			for _, id := range chain {
				h.number(uint64(id))
			}
		}
	}
}

func sortedDataCentres(list []core.DataCentreState) []core.DataCentreState {
	return sortedBy(list, func(d core.DataCentreState) core.DataCentre { return d.Name })
}

func sortedServices(list []core.Service) []core.Service {
	return sortedBy(list, func(s core.Service) core.ServiceID { return s.ID })
}

func sortedServers(list []core.BackendServer) []core.BackendServer {
	return sortedBy(list, func(s core.BackendServer) core.BackendServerID { return s.ID })
}

func sortedTables(list []core.Table) []core.Table {
	return sortedBy(list, func(t core.Table) core.ServiceID { return t.Service })
}

// sortedBy returns the list in ascending order of keys, without modifying it.
func sortedBy[T any, K cmp.Ordered](list []T, key func(T) K) []T {
	order := func(a, b T) int { return cmp.Compare(key(a), key(b)) }
	if slices.IsSortedFunc(list, order) {
		return list
	}
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, order)
	return sorted
}
