package gate

import (
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
)

// confirmSpan is how far a caller's confirmation may be ahead of the sequence
// number with which the backend server answered: the SYN-ACK counts as one, and
// nothing follows it before the confirmation.
const confirmSpan = 1

// confirmation decides about a packet of a flow that is half-open here. It is
// accepted only if it acknowledges this backend server's SYN-ACK.
func (g *Gate) confirmation(now time.Time, p *passthrough.Packet, flow *gateFlow) {
	if !flow.synAckSeen && !g.target.Down() {
		g.act(Deliver, passthrough.ReasonUnknownFlow, p)
		return
	}
	if g.target.Down() || !p.Flags.Has(core.TCPAck) || p.Ack-flow.synAckSeq > confirmSpan {
		entry, lookupCopy, relayed := flow.entry, flow.lookupCopy, flow.relayed
		g.remove(p.Key, flow)
		g.returnPacket(entry, lookupCopy, relayed, p, passthrough.ReasonNotHeld)
		return
	}
	flow.stage = stageOpen
	g.expected.confirmed(now, flow)
	g.note(passthrough.NoteHeld, passthrough.ReasonOpened, p.Key, flow.entry)
	g.laterPacket(now, p, flow)
}

// laterPacket delivers a packet of a flow held here, or resets the flow if the
// backend server has ended.
func (g *Gate) laterPacket(now time.Time, p *passthrough.Packet, flow *gateFlow) {
	if flow.lookupCopy && flow.stage == stageOpen && g.target.Down() {
		// As for a returned lookup copy: another server may hold a later flow.
		entry, relayed := flow.entry, flow.relayed
		g.remove(p.Key, flow)
		g.returnPacket(entry, true, relayed, p, passthrough.ReasonNotHeld)
		return
	}
	if flow.lookupCopy && flow.stage == stageOpen {
		g.note(passthrough.NoteHeld, passthrough.ReasonOpened, p.Key, flow.entry)
	}
	if g.target.Down() && flow.stage == stageOpen {
		g.flowLost(p, flow)
		return
	}
	flow.callerAcked, flow.callerAck = p.Flags.Has(core.TCPAck), p.Ack
	reason := passthrough.ReasonCached
	if p.Length > 0 {
		g.expectResponse(now)
	}
	if flow.stage == stageOpen && flow.carriesNewData(p) && !flow.awaitingAnswer {
		flow.awaitingAnswer, flow.requestStart, flow.waited = true, now, g.running >= g.target.Slots
		if g.running == 0 {
			g.health.lastProgress = now
		}
		g.running++
		g.expected.requestCame(flow)
		reason = passthrough.ReasonRequest
	}
	if (p.Flags.Has(core.TCPFin) || p.Flags.Has(core.TCPRst)) && flow.awaitingAnswer && now.Sub(flow.requestStart) > g.health.stallTimeout() {
		g.health.failure(now)
	}
	if p.Flags.Has(core.TCPFin) {
		flow.callerFin = true
		g.closeIfDone(flow)
	}
	if p.Flags.Has(core.TCPRst) {
		g.close(flow)
	}
	g.act(Deliver, reason, p)
}

// carriesNewData reports whether a caller's packet carries data not seen before, and
// records how far the data reaches. A repeated packet is no new request.
func (f *gateFlow) carriesNewData(p *passthrough.Packet) bool {
	if p.Length == 0 {
		return false
	}
	end := p.Seq + uint32(p.Length)
	if f.callerSent && int32(end-f.callerSentTo) <= 0 {
		return false
	}
	f.callerSent, f.callerSentTo = true, end
	return true
}

// expectResponse records that the backend server was sent a packet that needs a
// response.
func (g *Gate) expectResponse(now time.Time) {
	if g.responseDueSince.IsZero() {
		g.responseDueSince = now
	}
}

// ResetFlows resets the flows of a backend server that has ended or was replaced, so that
// callers don't wait for a timeout. The result is valid until the next call of a method.
func (g *Gate) ResetFlows() []Action {
	g.out = g.out[:0]
	replaced := g.replaced
	g.replaced = false
	if !replaced && !g.target.Ended {
		return g.out
	}
	for key, flow := range g.flows {
		ended := g.target.Ended && flow.lastSeen.Before(g.target.EndedAt)
		if flow.stage == stageOpen && flow.callerAcked && (ended || (replaced && g.openedBeforeStart(flow))) {
			g.flowLost(&passthrough.Packet{Key: key, Ack: flow.callerAck}, flow)
		}
	}
	return g.out
}

// openedBeforeStart reports whether the flow was opened before the backend server that runs
// now has started, so that this server doesn't hold it. Both the reported start and the
// time of a first announcement must show it: clocks jump, and a server may be paused
// before it announces itself.
func (g *Gate) openedBeforeStart(flow *gateFlow) bool {
	if g.target.Born <= 0 || g.target.Number > maxInitialNumber {
		return false
	}
	return flow.openingAt.Before(g.target.LastSeen.Add(-g.config.FirstAnnouncementLimit)) &&
		flow.openingAt.Before(time.UnixMilli(g.target.Born).Add(-startSlack))
}

// flowLost ends a flow that the backend server no longer holds.
func (g *Gate) flowLost(p *passthrough.Packet, flow *gateFlow) {
	entry := flow.entry
	g.remove(p.Key, flow)
	if p.Flags.Has(core.TCPRst) {
		g.act(Drop, passthrough.ReasonUnmatchedReset, p)
		return
	}
	g.out = append(g.out, Action{Kind: Reset, Reason: passthrough.ReasonFlowLost, Packet: p, ResetSeq: p.Ack})
	g.note(passthrough.NoteLost, passthrough.ReasonFlowLost, p.Key, entry)
}
