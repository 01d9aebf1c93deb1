package control

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"zinniapulley.dev/consensus"
	"zinniapulley.dev/route"
	"zinniapulley.dev/wire/hop"
)

// peerList is what instances are told of the others, with its digest.
type peerList struct {
	entries, controls []string
	digest            uint64
}

// listedPeers tells whether the instances known have changed.
type listedPeers struct {
	// changes counts the entry instances that came or went.
	changes    int
	membership consensus.Index
}

// listPeers brings the list of entry and control instances up to date.
func (h *handler) listPeers() {
	now := listedPeers{changes: h.changes}
	if h.replica != nil {
		now.membership = h.replica.MembershipIndex()
	}
	if now == h.listed {
		return
	}
	h.listed = now
	var list peerList
	for address := range h.entries {
		list.entries = append(list.entries, address.String())
	}
	slices.Sort(list.entries)
	if h.replica != nil {
		for _, member := range h.replica.Status().Membership.Members {
			list.controls = append(list.controls, member.Address.String())
		}
	}
	digest := xxhash.New()
	for _, names := range [][]string{list.entries, list.controls} {
		_, _ = digest.Write(binary.BigEndian.AppendUint32(nil, uint32(len(names))))
		for _, name := range names {
			_, _ = digest.WriteString(name)
		}
	}
	list.digest = digest.Sum64()
	h.peers = list
}

// listDelay is how long a companion that may hold flows waits to be listed, with
// others. It is well below the time that an entry instance waits after its start
// before it resets flows, a second.
const listDelay = 250 * time.Millisecond

// companionHeard is what a companion last said of itself.
type companionHeard struct {
	when    time.Time
	holding hop.Holding
}

// listing returns how a companion should be listed, and false if it shouldn't be.
func (h *handler) listing(now time.Time, address netip.AddrPort, heard companionHeard) (route.Companion, bool) {
	switch {
	case heard.holding == hop.HoldingNone || now.Sub(heard.when) >= companionLimit:
		return route.Companion{}, false
	case heard.holding == hop.HoldingUnknown:
		return h.state.Companion(address)
	default:
		return route.Companion{Address: address, Draining: heard.holding == hop.HoldingDraining}, true
	}
}

// listCompanions has the leader add companions that it hears of to the list of those
// that may hold flows, and take out those that were silent for long.
func (h *handler) listCompanions(now time.Time) {
	leading := h.replica != nil && h.replica.Leading()
	if leading && !h.leading {
		// What was heard before, by another leader, isn't known here.
		for _, listed := range h.state.Companions {
			h.companions[listed.Address] = companionHeard{when: now, holding: hop.HoldingUnknown}
		}
	}
	h.leading = leading
	var change route.SetCompanions
	for address, heard := range h.companions {
		listed, known := h.state.Companion(address)
		wanted, holds := h.listing(now, address, heard)
		switch {
		case holds && listed != wanted:
			change.Set = append(change.Set, wanted)
		case !holds && known:
			change.Remove = append(change.Remove, address)
		case now.Sub(heard.when) >= companionLimit:
			delete(h.companions, address)
		}
	}
	if !leading || len(change.Set)+len(change.Remove) == 0 {
		return
	}
	command, err := encodeCommand(route.Command{Companions: &change})
	if err != nil {
		h.server.config.Log.Error("list of companions not changed", "error", err)
		return
	}
	h.replica.Propose(now, command, func(_ any, err error) {
		h.server.config.Log.Info("list of companions changed", "set", change.Set, "removed", change.Remove, "error", err)
	})
}

func (h *handler) forgetEntries(now time.Time) {
	for address, heard := range h.entries {
		if now.Sub(heard) > entryLimit {
			delete(h.entries, address)
			h.changes++
			h.server.config.Log.Info("entry instance no longer heard of", "entry", address, "silent", now.Sub(heard))
		}
	}
}

// heard is the hello of an entry instance or a companion.
type heard struct{ hello hop.Heartbeat }

func (e heard) handle(h *handler, now time.Time) {
	at := e.hello.Packets
	if e.hello.Companion {
		said := companionHeard{when: now, holding: e.hello.Holding}
		h.companions[at] = said
		listed, _ := h.state.Companion(at)
		if wanted, holds := h.listing(now, at, said); holds && wanted != listed && now.Add(listDelay).Before(h.sweep) {
			h.sweep = now.Add(listDelay)
		}
		return
	}
	_, known := h.entries[at]
	h.entries[at] = now
	if !known {
		h.changes++
		h.server.config.Log.Info("entry instance heard of", "entry", at)
	}
}
