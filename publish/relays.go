package publish

import (
	"net/netip"
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// Bounds of the choice of relays.
const (
	// RelaysPerDataCentre is how many subscribers of a data centre ask control
	// themselves and pass views on to the others.
	RelaysPerDataCentre = 2
	// RelayTimeout is how long a relay may be silent before another subscriber
	// takes its place.
	RelayTimeout = 6 * time.Second
)

// Candidate is a subscriber that can pass views on.
type Candidate struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	// Address is the TCP address at which it answers subscribers.
	Address netip.AddrPort
}

// Relays chooses, for each data centre, which subscribers pass views on: those
// that asked first, as long as they keep asking. Once one is silent, the next
// subscriber that asks takes its place; those that it served turn to control
// when it doesn't answer. It isn't safe for concurrent use.
type Relays struct {
	relays map[core.DataCentre][]relay
}

// relay is a chosen candidate with when it last asked.
type relay struct {
	Candidate
	heard time.Time
}

// NewRelays returns an empty choice.
func NewRelays() *Relays {
	return &Relays{relays: make(map[core.DataCentre][]relay)}
}

// Redirect takes note of a subscriber that asks and returns the addresses of the
// relays that it should ask instead. It returns none for a relay, and for a
// data centre without one. A subscriber that can't be a relay has no Address.
func (r *Relays) Redirect(now time.Time, subscriber Candidate) []netip.AddrPort {
	list := alive(now, r.relays[subscriber.DataCentre])
	place := slices.IndexFunc(list, func(c relay) bool { return c.Instance == subscriber.Instance })
	asker := relay{Candidate: subscriber, heard: now}
	switch {
	case place >= 0:
		list[place] = asker
	case subscriber.Address.IsValid() && len(list) < RelaysPerDataCentre:
		place = len(list)
		list = append(list, asker)
	}
	r.relays[subscriber.DataCentre] = list
	if place >= 0 {
		return nil
	}
	var addresses []netip.AddrPort
	for _, c := range list {
		addresses = append(addresses, c.Address)
	}
	return addresses
}

func alive(now time.Time, list []relay) []relay {
	return slices.DeleteFunc(list, func(c relay) bool { return now.Sub(c.heard) > RelayTimeout })
}
