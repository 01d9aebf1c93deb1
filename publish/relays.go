package publish

import (
	"net/netip"
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// Limits of the choice of relays.
const (
	// RelaysPerDataCentre is how many subscribers of a data centre send their
	// requests to control and forward views to the others.
	RelaysPerDataCentre = 2
	// RelayTimeout is the time without a request from a relay after which
	// another subscriber may replace it.
	RelayTimeout = 6 * time.Second
)

// Candidate is a subscriber that may become a relay.
type Candidate struct {
	Instance   core.InstanceID
	DataCentre core.DataCentre
	// Address is the TCP address at which it answers subscribers. It is invalid
	// for a subscriber that can't be a relay.
	Address netip.AddrPort
}

// Relays chooses, for each data centre, which subscribers forward views: those
// that sent the first requests, as long as they keep sending them. After
// RelayTimeout without a request, the next subscriber that sends one replaces
// the relay; subscribers poll control when their relay doesn't answer. It isn't
// safe for concurrent use.
type Relays struct {
	relays map[core.DataCentre][]relay
}

// relay is a chosen candidate and the time of its last request.
type relay struct {
	Candidate
	lastRequest time.Time
}

// NewRelays returns a Relays without any relay.
func NewRelays() *Relays {
	return &Relays{relays: make(map[core.DataCentre][]relay)}
}

// Redirect records a subscriber's request and returns the addresses of the
// relays that should answer it instead. It returns none for a relay, and for a
// data centre without one.
func (r *Relays) Redirect(now time.Time, subscriber Candidate) []netip.AddrPort {
	list := active(now, r.relays[subscriber.DataCentre])
	index := slices.IndexFunc(list, func(c relay) bool { return c.Instance == subscriber.Instance })
	latest := relay{Candidate: subscriber, lastRequest: now}
	switch {
	case index >= 0:
		list[index] = latest
	case subscriber.Address.IsValid() && len(list) < RelaysPerDataCentre:
		index = len(list)
		list = append(list, latest)
	}
	r.relays[subscriber.DataCentre] = list
	if index >= 0 {
		return nil
	}
	var addresses []netip.AddrPort
	for _, c := range list {
		addresses = append(addresses, c.Address)
	}
	return addresses
}

func active(now time.Time, list []relay) []relay {
	return slices.DeleteFunc(list, func(c relay) bool { return now.Sub(c.lastRequest) > RelayTimeout })
}
