package subscriber

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/publish"
	"zinniapulley.dev/wire"
)

const (
	// pollWait is the long-poll duration that a subscriber requests.
	pollWait = 2 * time.Second
	// maxPollWait is the longest long-poll duration that a relay grants.
	maxPollWait = 10 * time.Second
	// callTimeout limits one call, including the long-poll duration.
	callTimeout = 2 * pollWait
	// minBackoff and maxBackoff bound the backoff after failed calls.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// directDuration is how long control is polled directly after all relays failed.
	directDuration = 5 * time.Second
	// maxConfirmedAge is the age of a relay's confirmation above which the
	// subscriber leaves the relay.
	maxConfirmedAge = 5 * time.Second
)

// peerSelector selects the peer that a subscriber polls: a relay, or else the control
// instances in turn until one answers.
type peerSelector struct {
	controls    []netip.AddrPort
	nextControl int
	// relays lists the remaining relays to try, the current one first; empty while
	// control is polled.
	relays []netip.AddrPort
	// directUntil is the time until which control must not redirect to relays.
	directUntil time.Time
	backoff     time.Duration
}

func newPeerSelector(config Config) peerSelector {
	return peerSelector{controls: config.Controls, nextControl: rand.IntN(max(1, len(config.Controls))), backoff: minBackoff}
}

// usesRelay reports whether the current peer is a relay.
func (p *peerSelector) usesRelay() bool {
	return len(p.relays) > 0
}

// address returns the current peer's address.
func (p *peerSelector) address() netip.AddrPort {
	if p.usesRelay() {
		return p.relays[0]
	}
	return p.control()
}

// control returns the current control instance.
func (p *peerSelector) control() netip.AddrPort {
	return p.controls[p.nextControl%len(p.controls)]
}

func (p *peerSelector) peer() core.Peer {
	return core.Peer(p.address().String())
}

// switchPeer selects the next relay or control instance after a failed call or an
// unusable answer. It returns the pause before the next call.
func (p *peerSelector) switchPeer(now time.Time) time.Duration {
	if p.usesRelay() {
		p.dropRelay(now)
		return 0
	}
	p.nextControl++
	pause := p.backoff/2 + rand.N(p.backoff/2)
	p.backoff = min(2*p.backoff, maxBackoff)
	return pause
}

func (p *peerSelector) dropRelay(now time.Time) {
	p.relays = p.relays[1:]
	if len(p.relays) == 0 {
		p.directUntil = now.Add(directDuration)
	}
}

// resetBackoff resets the backoff after a call with a usable answer.
func (p *peerSelector) resetBackoff() {
	p.backoff = minBackoff
}

// setRelays selects the relays named by control, in random order to spread the
// subscribers over them.
func (p *peerSelector) setRelays(relays []netip.AddrPort) {
	p.relays = slices.Clone(relays)
	rand.Shuffle(len(p.relays), func(i, j int) { p.relays[i], p.relays[j] = p.relays[j], p.relays[i] })
}

// evaluate switches to another peer if the answer was unusable or a relay's confirmation
// is missing or too old. It returns the pause before the next call.
func (p *peerSelector) evaluate(now time.Time, verdict publish.Verdict, answer publish.Answer) time.Duration {
	stale := p.usesRelay() && (!answer.Confirmed || answer.Age > maxConfirmedAge)
	if verdict == publish.Older || verdict == publish.Corrupt || stale {
		return p.switchPeer(now)
	}
	p.resetBackoff()
	return 0
}

// request returns the next watch request.
func (s *Subscription) request(now time.Time) wire.WatchRequest {
	return wire.WatchRequest{
		Instance:     s.config.Instance,
		DataCentre:   s.config.DataCentre,
		Relay:        s.config.Relay,
		Have:         s.follower.Request(),
		Acknowledged: s.acknowledged,
		Wait:         pollWait,
		Direct:       now.Before(s.peers.directUntil),
	}
}
