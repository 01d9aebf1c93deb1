package dispatch

import (
	"net/netip"
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
)

const (
	// checkTimeout is how long the answer to a check is valid. A flow with the same
	// addresses and ports may have opened through another entry instance since.
	checkTimeout = 150 * time.Millisecond
	// maxCheckTries is how often a check without an answer is sent.
	maxCheckTries = 3
	// checksPerCall is the most checks sent by one call of Continue: at most 400 a second.
	checksPerCall = 20
	// checkLen is the length of a check with the headers of UDP and IPv4.
	checkLen = headersLen + 23
	// checkReserve is the part of the bytes that lookups may send at once which checks
	// leave to lookups: these have a caller's packet.
	checkReserve = 0.5
)

// check is a query whether a companion still holds a flow that it confirmed before its
// backend server changed.
type check struct {
	key   core.FlowKey
	owner netip.AddrPort
	// epoch is the owner's epoch when it confirmed the flow.
	epoch  uint32
	sentAt time.Time
	tries  int
}

// checks holds the checks of an entry instance.
type checks struct {
	// changed holds the companions whose backend servers changed since flows were last
	// queued, queue the checks to be sent, and sent those without an answer, by number.
	changed map[netip.AddrPort]bool
	queue   []check
	sent    map[uint32]check
}

func newChecks() checks {
	return checks{changed: make(map[netip.AddrPort]bool), sent: make(map[uint32]check)}
}

// clear drops all checks, which are too old after a pause.
func (s *checks) clear() {
	clear(s.changed)
	clear(s.sent)
	s.queue = nil
}

// trackServer records which backend server a status names. The flows of an earlier one
// are checked.
func (d *Dispatcher) trackServer(c *companion, status passthrough.Status) {
	if status.Server == "" {
		return
	}
	restarted := c.born != 0 && status.Born != 0 && c.born != status.Born
	if c.serverName == status.Server && !restarted {
		c.born = max(c.born, status.Born)
		return
	}
	if c.serverName != "" {
		d.checks.changed[status.Companion] = true
	}
	c.serverName, c.born = status.Server, status.Born
	c.epoch++
}

// epochOf returns the epoch of a companion, zero if it is unknown.
func (d *Dispatcher) epochOf(at netip.AddrPort) uint32 {
	c, known := d.companions[at]
	if !known {
		return 0
	}
	return c.epoch
}

// continueChecks sends the checks that are due, as far as lookups leave room.
func (d *Dispatcher) continueChecks(now time.Time) {
	if len(d.checks.changed) > 0 {
		d.queueChecks()
	}
	for number, c := range d.checks.sent {
		if now.Sub(c.sentAt) <= checkTimeout {
			continue
		}
		delete(d.checks.sent, number)
		if c.tries < maxCheckTries {
			d.checks.queue = append(d.checks.queue, c)
		}
	}
	for range checksPerCall {
		if len(d.checks.queue) == 0 || d.backlog || d.lookupBytes < checkReserve*burstShare*d.maxLookupBytes {
			return
		}
		c := d.checks.queue[0]
		d.checks.queue = d.checks.queue[1:]
		if d.flowChecked(c) == nil {
			continue
		}
		d.lookupBytes -= checkLen
		d.lookups++
		c.sentAt, c.tries = now, c.tries+1
		d.checks.sent[d.lookups] = c
		d.out = append(d.out, Action{
			Kind: Check, Reason: passthrough.ReasonUnknownFlow, To: c.owner, Survey: passthrough.Survey{Number: d.lookups, Key: c.key},
		})
	}
}

// queueChecks queues the cached flows that were confirmed at earlier backend servers of
// companions that have another one now.
func (d *Dispatcher) queueChecks() {
	for key, flow := range d.flows {
		if !d.checks.changed[flow.owner] || flow.ownerEpoch == 0 || flow.ownerEpoch == d.epochOf(flow.owner) {
			continue
		}
		if flow.acked && !flow.closing {
			d.checks.queue = append(d.checks.queue, check{key: key, owner: flow.owner, epoch: flow.ownerEpoch})
		}
	}
	clear(d.checks.changed)
}

// flowChecked returns the flow of a check, nil if it has changed or was confirmed since.
func (d *Dispatcher) flowChecked(c check) *cachedFlow {
	flow, known := d.flows[c.key]
	if !known || flow.owner != c.owner || flow.ownerEpoch != c.epoch || flow.closing {
		return nil
	}
	return flow
}

// HandleCheckAnswer handles a companion's answer that it doesn't hold the flow of a check.
// It confirmed the flow for an earlier backend server, so that no other companion holds
// it: the flow is reset. If the caller has sent a packet since the check, that packet
// decides. The result is valid until the next call of a method.
func (d *Dispatcher) HandleCheckAnswer(now time.Time, from netip.AddrPort, number uint32) []Action {
	d.out = d.out[:0]
	c, known := d.checks.sent[number]
	if !known || c.owner != from {
		return d.out
	}
	delete(d.checks.sent, number)
	flow := d.flowChecked(c)
	if flow == nil || now.Sub(c.sentAt) > checkTimeout || flow.lastSeen.After(c.sentAt) {
		return d.out
	}
	ack := flow.ack
	d.remove(c.key, flow)
	d.out = append(d.out, Action{Kind: Reset, Reason: passthrough.ReasonFlowLost, Packet: &passthrough.Packet{Key: c.key}, ResetSeq: ack})
	return d.out
}
