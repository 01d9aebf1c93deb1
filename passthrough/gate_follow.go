package passthrough

import (
	"time"

	"zinniapulley.dev/core"
)

// confirming decides about a packet of a flow that is half-open here. It is for
// this backend server only if it acknowledges what this one answered.
func (g *Gate) confirming(now time.Time, p *Packet, flow *gateFlow) {
	if !flow.answered && !g.target.Down() {
		g.act(GateDeliver, ReasonUnknownFlow, p)
		return
	}
	if g.target.Down() || !p.Flags.Has(core.TCPAck) || p.Ack-flow.synAck > confirmSpan {
		entry, sought := flow.entry, flow.sought
		g.forget(p.Key, flow)
		g.notHere(entry, sought, p, ReasonNotHere)
		return
	}
	flow.stage = stageOpen
	g.halfOpen--
	g.note(NoteOpened, ReasonOpened, p.Key, flow.entry)
	g.following(now, p, flow)
}

// following delivers a packet of a flow that lives here, or answers for a backend
// server that has ended.
func (g *Gate) following(now time.Time, p *Packet, flow *gateFlow) {
	if flow.sought && flow.stage == stageOpen {
		g.note(NoteOpened, ReasonOpened, p.Key, flow.entry)
	}
	if g.target.Down() && flow.stage == stageOpen {
		g.lost(p, flow)
		return
	}
	flow.acked, flow.ack = p.Flags.Has(core.TCPAck), p.Ack
	reason := ReasonCached
	if p.Length > 0 {
		g.owe(now)
	}
	if flow.stage == stageOpen && flow.isNew(p) && !flow.waiting {
		flow.waiting, flow.since = true, now
		if g.running == 0 {
			g.health.progress = now
		}
		g.running++
		reason = ReasonRequest
	}
	if (p.Flags.Has(core.TCPFin) || p.Flags.Has(core.TCPRst)) && flow.waiting && now.Sub(flow.since) > g.health.patience() {
		g.health.failure(now)
	}
	if p.Flags.Has(core.TCPFin) {
		flow.callerFin = true
		g.closeIfDone(flow)
	}
	if p.Flags.Has(core.TCPRst) {
		g.close(flow)
	}
	g.act(GateDeliver, reason, p)
}

// isNew reports whether a caller's packet brings data that wasn't seen before, and
// notes how far its data has come. A repeated packet is no new request.
func (f *gateFlow) isNew(p *Packet) bool {
	if p.Length == 0 {
		return false
	}
	end := p.Seq + uint32(p.Length)
	if f.sent && int32(end-f.sentTo) <= 0 {
		return false
	}
	f.sent, f.sentTo = true, end
	return true
}

// owe notes that the backend server was sent what it has to answer.
func (g *Gate) owe(now time.Time) {
	if g.owing.IsZero() {
		g.owing = now
	}
}

// ResetFlows resets the flows of a backend server that has ended, so that their callers
// needn't find out. The result is valid until the next call.
func (g *Gate) ResetFlows() []GateAction {
	g.out = g.out[:0]
	if !g.target.Ended {
		return g.out
	}
	for key, flow := range g.flows {
		if flow.stage == stageOpen && flow.acked && flow.seen.Before(g.target.EndedAt) {
			g.lost(&Packet{Key: key, Ack: flow.ack}, flow)
		}
	}
	return g.out
}

// lost ends a flow that the backend server no longer holds.
func (g *Gate) lost(p *Packet, flow *gateFlow) {
	entry := flow.entry
	g.forget(p.Key, flow)
	if p.Flags.Has(core.TCPRst) {
		g.act(GateDrop, ReasonUnmatchedReset, p)
		return
	}
	g.out = append(g.out, GateAction{Kind: GateReset, Reason: ReasonFlowLost, Packet: p, ResetSeq: p.Ack})
	g.note(NoteLost, ReasonFlowLost, p.Key, entry)
}
