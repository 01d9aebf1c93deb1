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
	// pollWait is how long an answer may be held back while nothing is newer.
	pollWait = 2 * time.Second
	// maxWait is the longest that this relay holds an answer back.
	maxWait = 10 * time.Second
	// callTimeout bounds one call, an answer that is held back or not.
	callTimeout = 2 * pollWait
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// directTime is how long control is asked itself after relays failed.
	directTime = 5 * time.Second
	// maxConfirmedAge is the age of a relay's confirmation beyond which control
	// is asked itself.
	maxConfirmedAge = 5 * time.Second
)

// route decides whom a subscriber asks next: its relay, or one control instance
// after the other until one answers.
type route struct {
	controls []netip.AddrPort
	turn     int
	// relays lists the relays of the data centre; empty while control is asked.
	relays []netip.AddrPort
	// direct is until when relays are not asked.
	direct  time.Time
	backoff time.Duration
}

func newRoute(config Config) route {
	return route{controls: config.Controls, turn: rand.IntN(max(1, len(config.Controls))), backoff: minBackoff}
}

// toRelay reports whether a relay is asked next.
func (r *route) toRelay() bool {
	return len(r.relays) > 0
}

// address returns whom to ask next.
func (r *route) address() netip.AddrPort {
	if r.toRelay() {
		return r.relays[0]
	}
	return r.control()
}

// control returns the control instance that is asked at the moment.
func (r *route) control() netip.AddrPort {
	return r.controls[r.turn%len(r.controls)]
}

func (r *route) peer() core.Peer {
	return core.Peer(r.address().String())
}

// failed turns to another relay or control instance after a call that failed or
// an answer that was no use. It returns how long to pause before.
func (r *route) failed(now time.Time) time.Duration {
	if r.toRelay() {
		r.leaveRelay(now)
		return 0
	}
	r.turn++
	pause := r.backoff/2 + rand.N(r.backoff/2)
	r.backoff = min(2*r.backoff, maxBackoff)
	return pause
}

func (r *route) leaveRelay(now time.Time) {
	r.relays = r.relays[1:]
	if len(r.relays) == 0 {
		r.direct = now.Add(directTime)
	}
}

// answered notes that a call led to an answer.
func (r *route) answered() {
	r.backoff = minBackoff
}

// follow turns to the relays that control named, in random order, so that they
// share their subscribers.
func (r *route) follow(relays []netip.AddrPort) {
	r.relays = slices.Clone(relays)
	rand.Shuffle(len(r.relays), func(i, j int) { r.relays[i], r.relays[j] = r.relays[j], r.relays[i] })
}

// judge turns away from a source whose answer was no use.
func (r *route) judge(now time.Time, verdict publish.Verdict, answer publish.Answer) time.Duration {
	stale := r.toRelay() && (!answer.Confirmed || answer.Age > maxConfirmedAge)
	if verdict == publish.Older || verdict == publish.Corrupt || stale {
		return r.failed(now)
	}
	r.answered()
	return 0
}

// request returns what a subscriber asks next.
func (s *Subscription) request(now time.Time) wire.WatchRequest {
	return wire.WatchRequest{
		Instance:     s.config.Instance,
		DataCentre:   s.config.DataCentre,
		Relay:        s.config.Relay,
		Have:         s.follower.Request(),
		Acknowledged: s.acknowledged,
		Wait:         pollWait,
		Direct:       now.Before(s.route.direct),
	}
}
