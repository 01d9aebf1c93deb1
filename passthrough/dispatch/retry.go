package dispatch

import "zinniapulley.dev/passthrough"

const (
	// retryShare is how many further tries are earned by each opening packet that is tried
	// at a first companion. Each admitted flow earns one. When a whole service is full, up to
	// six tries for each packet took all the processor time of the entry instances, and with
	// it the packets of flows that had been admitted.
	retryShare = 0.2
	// retryBurst is how many further tries may be saved up: about as many flows as an entry
	// instance gets at once when all callers return after an outage.
	retryBurst = 100
)

// retryReserves holds, for each urgency, the part of the burst that is kept for more urgent
// packets.
var retryReserves = [passthrough.UrgencyCount]float64{passthrough.UrgencyRepeated: 0.5, passthrough.UrgencyOrdinary: 0.3}

// retryBudget bounds how often opening packets that companions have refused for want of
// time are tried again, at once or after a wait. After an outage an entry instance tried
// each of 500 waiting packets several times a second, and had no processor time left.
type retryBudget struct {
	// spent is how much of the burst has been used.
	spent float64
}

// firstTry records that an opening packet was sent to a first companion.
func (b *retryBudget) firstTry() { b.spent = max(b.spent-retryShare, 0) }

// admitted records that a companion has admitted a flow: there may be more room.
func (b *retryBudget) admitted() { b.spent = max(b.spent-1, 0) }

// take reports whether a packet of the urgency may be tried again, and counts it.
func (b *retryBudget) take(urgency passthrough.Urgency) bool {
	if b.spent+1 > (1-retryReserves[urgency])*retryBurst {
		return false
	}
	b.spent++
	return true
}
