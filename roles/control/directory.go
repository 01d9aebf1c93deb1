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

// peerList lists the entry and control instances for a sync reply, with a digest.
type peerList struct {
	entries, controls []string
	digest            uint64
}

// peersVersion identifies the sets of instances that a peerList was built from.
type peersVersion struct {
	// entryChanges is handler.entryChanges.
	entryChanges int
	membership   consensus.Index
}

// refreshPeers rebuilds the list of entry and control instances if either has changed.
func (h *handler) refreshPeers() {
	now := peersVersion{entryChanges: h.entryChanges}
	if h.replica != nil {
		now.membership = h.replica.MembershipIndex()
	}
	if now == h.peersVersion {
		return
	}
	h.peersVersion = now
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

// listDelay is how long a change in the list of companions may wait to be batched with
// others. It is well below the second that an entry instance waits after its start
// before it resets flows.
const listDelay = 250 * time.Millisecond

// companionHeartbeat is the last heartbeat of a companion.
type companionHeartbeat struct {
	receivedAt time.Time
	holding    hop.Holding
}

// listing returns how a companion should be listed, and false if it shouldn't be.
func (h *handler) listing(now time.Time, address netip.AddrPort, last companionHeartbeat) (route.Companion, bool) {
	switch {
	case last.holding == hop.HoldingNone || now.Sub(last.receivedAt) >= companionTimeout:
		return route.Companion{}, false
	case last.holding == hop.HoldingUnknown:
		return h.state.Companion(address)
	default:
		return route.Companion{Address: address, Draining: last.holding == hop.HoldingDraining}, true
	}
}

// proposeCompanions updates the replicated list of companions that may hold flows, if
// this instance leads: it adds or changes those that send heartbeats, and removes those
// that report no flows or whose last heartbeat is older than companionTimeout.
func (h *handler) proposeCompanions(now time.Time) {
	leading := h.replica != nil && h.replica.Leading()
	if leading && !h.leading {
		// This instance may not have received the heartbeats that the previous leader
		// received, so that the timeout of each listed companion starts anew.
		for _, listed := range h.state.Companions {
			h.companions[listed.Address] = companionHeartbeat{receivedAt: now, holding: hop.HoldingUnknown}
		}
	}
	h.leading = leading
	var change route.SetCompanions
	for address, last := range h.companions {
		listed, known := h.state.Companion(address)
		wanted, holds := h.listing(now, address, last)
		switch {
		case holds && listed != wanted:
			change.Set = append(change.Set, wanted)
		case !holds && known:
			change.Remove = append(change.Remove, address)
		case now.Sub(last.receivedAt) >= companionTimeout:
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

func (h *handler) expireEntries(now time.Time) {
	for address, last := range h.entries {
		if now.Sub(last) > entryTimeout {
			delete(h.entries, address)
			h.entryChanges++
			h.server.config.Log.Info("entry instance timed out", "entry", address, "silent", now.Sub(last))
		}
	}
}

// heartbeatReceived is the heartbeat of an entry instance or a companion.
type heartbeatReceived struct{ heartbeat hop.Heartbeat }

func (e heartbeatReceived) handle(h *handler, now time.Time) {
	at := e.heartbeat.Packets
	if e.heartbeat.Companion {
		last := companionHeartbeat{receivedAt: now, holding: e.heartbeat.Holding}
		h.companions[at] = last
		listed, _ := h.state.Companion(at)
		if wanted, holds := h.listing(now, at, last); holds && wanted != listed && now.Add(listDelay).Before(h.sweepDue) {
			h.sweepDue = now.Add(listDelay)
		}
		return
	}
	_, known := h.entries[at]
	h.entries[at] = now
	if !known {
		h.entryChanges++
		h.server.config.Log.Info("entry instance added", "entry", at)
	}
}
