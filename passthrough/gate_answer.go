package passthrough

import (
	"time"

	"zinniapulley.dev/core"
)

// FromServer decides about a packet that the backend server sent. The result is
// valid until the next call.
func (g *Gate) FromServer(now time.Time, p *Packet) []GateAction {
	g.out = g.out[:0]
	g.heard()
	flow, known := g.flows[p.Key]
	if p.Returned {
		g.givenBack(p, flow)
		return g.out
	}
	if known && flow.deniedBy(p) {
		entry := flow.entry
		flow.stage, flow.seen = stageAbsent, now
		g.notHere(entry, true, p, ReasonNotHere)
		return g.out
	}
	if !known {
		flow = &gateFlow{stage: stageOpen}
		g.flows[p.Key] = flow
		g.open++
	}
	flow.seen = now
	g.learn(now, p, flow)
	g.act(GateAnswer, ReasonNone, p)
	return g.out
}

// deniedBy reports whether a backend server's reset is about a packet that it was
// only asked with, and that others got too: the flow may live there.
func (f *gateFlow) deniedBy(p *Packet) bool {
	return f.sought && (f.stage == stageProbing || f.stage == stageAbsent) && p.Flags.Has(core.TCPRst)
}

// heard notes that the backend server answers.
func (g *Gate) heard() {
	g.unanswered = time.Time{}
	g.probed = time.Time{}
	g.owing = time.Time{}
}

// learn takes from the backend server's packet what it shows of the flow.
func (g *Gate) learn(now time.Time, p *Packet, flow *gateFlow) {
	if p.Flags.Has(core.TCPSyn) && p.Flags.Has(core.TCPAck) {
		flow.answered, flow.synAck = true, p.Seq
		return
	}
	if flow.stage == stageProbing || flow.stage == stageAbsent {
		flow.stage = stageOpen
		g.open++
		g.note(NoteOpened, ReasonOpened, p.Key, flow.entry)
	}
	flow.proven = true
	if p.Length > 0 && flow.waiting {
		g.answered(now, p, flow)
	}
	if flow.waiting && (p.Flags.Has(core.TCPFin) || p.Flags.Has(core.TCPRst)) {
		g.health.failure(now)
	}
	if p.Flags.Has(core.TCPFin) {
		flow.serverFin = true
		g.closeIfDone(flow)
	}
	if p.Flags.Has(core.TCPRst) {
		g.close(flow)
	}
}

// answered ends the request that the packet begins the answer to.
func (g *Gate) answered(now time.Time, p *Packet, flow *gateFlow) {
	took := now.Sub(flow.since)
	g.pace.answered(now, g.running >= g.target.Slots)
	g.health.progress = now
	if p.Failure {
		g.health.failure(now)
	} else {
		g.health.answered(now, took)
	}
	g.endRequest(flow)
	if g.Served != nil {
		g.Served(p.Key, took)
	}
}

// givenBack decides about a caller's packet that the backend server didn't take.
func (g *Gate) givenBack(p *Packet, flow *gateFlow) {
	if flow == nil {
		g.act(GateDrop, ReasonNotHere, p)
		return
	}
	entry, sought := flow.entry, flow.sought
	switch {
	case p.Flags.Opens():
		g.forget(p.Key, flow)
		g.out = append(g.out, GateAction{Kind: GateRefuse, Reason: ReasonServerRefused, To: entry, Packet: p})
	case flow.stage == stageOpen && flow.proven:
		g.lost(p, flow)
	case flow.stage == stageClosed:
		g.act(GateDrop, ReasonFlowLost, p)
	default:
		g.close(flow)
		flow.stage = stageAbsent
		g.notHere(entry, sought, p, ReasonNotHere)
	}
}

func (g *Gate) endRequest(flow *gateFlow) {
	if flow.waiting {
		flow.waiting = false
		g.running--
	}
}

func (g *Gate) closeIfDone(flow *gateFlow) {
	if flow.callerFin && flow.serverFin {
		g.close(flow)
	}
}

// close ends a flow but remembers it for late packets.
func (g *Gate) close(flow *gateFlow) {
	g.endRequest(flow)
	if flow.stage == stageHalfOpen || flow.stage == stageOpen {
		g.open--
	}
	if flow.stage == stageHalfOpen {
		g.halfOpen--
	}
	flow.stage = stageClosed
}

// forget ends a flow and drops what is known of it.
func (g *Gate) forget(key core.FlowKey, flow *gateFlow) {
	g.close(flow)
	delete(g.flows, key)
}

// Sweep forgets flows that have ended or were idle for long.
func (g *Gate) Sweep(now time.Time) {
	if now.Sub(g.swept) < sweepInterval {
		return
	}
	g.swept = now
	g.trimDelivered(now)
	for key, flow := range g.flows {
		if now.Sub(flow.seen) > g.limit(flow) {
			g.forget(key, flow)
		}
	}
}

// limit is how long a flow without packets is remembered.
func (g *Gate) limit(flow *gateFlow) time.Duration {
	switch flow.stage {
	case stageHalfOpen, stageProbing:
		return halfOpenLimit
	case stageClosed, stageAbsent:
		return closedLimit
	default:
		if g.table != nil && g.table.View.IdleTimeout > 0 {
			return g.table.View.IdleTimeout + idleMargin
		}
		return defaultIdle
	}
}
