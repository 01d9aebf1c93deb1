package gate

import (
	"time"

	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
)

// FromServer decides about a packet that the backend server sent. The result is
// valid until the next call of a method.
func (g *Gate) FromServer(now time.Time, p *passthrough.Packet) []Action {
	g.out = g.out[:0]
	g.serverResponded()
	g.serverPacket(now, p)
	g.startNext(now)
	return g.out
}

func (g *Gate) serverPacket(now time.Time, p *passthrough.Packet) {
	flow, known := g.flows[p.Key]
	if p.Returned {
		g.serverReturned(p, flow)
		return
	}
	if known && flow.resetsLookupCopy(p) {
		flow.stage, flow.lastSeen = stageNotHeld, now
		g.returnPacket(flow.entry, true, flow.relayed, p, passthrough.ReasonNotHeld)
		return
	}
	if !known {
		// An opening packet of the same addresses that waits isn't a new flow.
		g.leaveQueue(p.Key)
		flow = &gateFlow{stage: stageOpen, openingAt: now}
		g.flows[p.Key] = flow
		g.open++
	}
	flow.lastSeen = now
	g.trackServerPacket(now, p, flow)
	g.act(Answer, passthrough.ReasonNone, p)
}

// resetsLookupCopy reports whether the backend server's reset is its response to a
// lookup copy. It isn't sent to the caller, since another server may hold the flow.
func (f *gateFlow) resetsLookupCopy(p *passthrough.Packet) bool {
	return f.lookupCopy && (f.stage == stageUnconfirmed || f.stage == stageNotHeld) && p.Flags.Has(core.TCPRst)
}

// serverResponded records that the backend server responds.
func (g *Gate) serverResponded() {
	g.openingUnanswered = time.Time{}
	g.lastProbe = time.Time{}
	g.responseDueSince = time.Time{}
}

// trackServerPacket updates the flow's state from a packet of the backend server.
func (g *Gate) trackServerPacket(now time.Time, p *passthrough.Packet, flow *gateFlow) {
	if p.Flags.Has(core.TCPSyn) && p.Flags.Has(core.TCPAck) {
		flow.synAckSeen, flow.synAckSeq = true, p.Seq
		return
	}
	if flow.stage == stageUnconfirmed || flow.stage == stageNotHeld {
		flow.stage = stageOpen
		g.open++
		g.note(passthrough.NoteHeld, passthrough.ReasonOpened, p.Key, flow.entry)
	}
	flow.serverSent = true
	if p.Length > 0 && flow.awaitingAnswer {
		g.requestAnswered(now, p, flow)
	}
	if flow.awaitingAnswer && (p.Flags.Has(core.TCPFin) || p.Flags.Has(core.TCPRst)) {
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

// requestAnswered ends the request whose answer the packet begins.
func (g *Gate) requestAnswered(now time.Time, p *passthrough.Packet, flow *gateFlow) {
	took := now.Sub(flow.requestStart)
	g.health.lastProgress = now
	if p.Failure {
		g.health.failure(now)
	} else {
		g.paceAt(now).answered(now, took, flow.waited, g.running, g.target.Slots)
		g.health.answered(now, took)
	}
	g.endRequest(flow)
	if g.Served != nil {
		g.Served(p.Key, took)
	}
}

// serverReturned decides about a caller's packet that the backend server returned.
func (g *Gate) serverReturned(p *passthrough.Packet, flow *gateFlow) {
	if flow == nil {
		g.act(Drop, passthrough.ReasonNotHeld, p)
		return
	}
	entry, lookupCopy, relayed := flow.entry, flow.lookupCopy, flow.relayed
	switch {
	case p.Flags.Opens():
		g.remove(p.Key, flow)
		g.out = append(g.out, Action{Kind: Refuse, Reason: passthrough.ReasonServerRefused, To: entry, Packet: p})
	case flow.stage == stageOpen && flow.serverSent && lookupCopy:
		// Another server may hold a later flow with the same addresses and ports: a lookup
		// copy never resets it. The entry instance was told that the flow is held here.
		g.close(flow)
		flow.stage = stageNotHeld
		g.returnPacket(entry, false, relayOrigin{}, p, passthrough.ReasonNotHeld)
	case flow.stage == stageOpen && flow.serverSent:
		g.flowLost(p, flow)
	case flow.stage == stageClosed:
		g.act(Drop, passthrough.ReasonFlowLost, p)
	default:
		g.close(flow)
		flow.stage = stageNotHeld
		g.returnPacket(entry, lookupCopy, relayed, p, passthrough.ReasonNotHeld)
	}
}

func (g *Gate) endRequest(flow *gateFlow) {
	if flow.awaitingAnswer {
		flow.awaitingAnswer = false
		g.running--
	}
}

func (g *Gate) closeIfDone(flow *gateFlow) {
	if flow.callerFin && flow.serverFin {
		g.close(flow)
	}
}

// close ends a flow but keeps its record for late packets.
func (g *Gate) close(flow *gateFlow) {
	g.endRequest(flow)
	if flow.stage == stageHalfOpen || flow.stage == stageOpen {
		g.open--
	}
	g.expected.remove(flow)
	flow.stage = stageClosed
}

// remove ends a flow and deletes its record.
func (g *Gate) remove(key core.FlowKey, flow *gateFlow) {
	g.close(flow)
	delete(g.flows, key)
}

// Sweep removes the records that are no longer needed.
func (g *Gate) Sweep(now time.Time) {
	if now.Sub(g.lastSweep) < passthrough.SweepInterval {
		return
	}
	g.lastSweep = now
	g.trimDelivered(now)
	for key, flow := range g.flows {
		if g.expired(now, flow) {
			g.remove(key, flow)
		}
	}
}

// expired reports whether a flow's record is no longer needed. The idle timeout may be any
// duration: nothing is added to it.
func (g *Gate) expired(now time.Time, flow *gateFlow) bool {
	idle := now.Sub(flow.lastSeen)
	switch flow.stage {
	case stageHalfOpen, stageUnconfirmed:
		return idle > halfOpenLimit
	case stageClosed, stageNotHeld:
		return idle > closedRetention
	default:
		return idle-idleMargin > g.idleTimeout() || (idle > defaultIdleRetention && g.olderThanAnyFlow(now, flow))
	}
}

// idleTimeout returns the configured idle timeout, or the default if there is none.
func (g *Gate) idleTimeout() time.Duration {
	if g.table != nil && g.table.View.IdleTimeout > 0 {
		return g.table.View.IdleTimeout
	}
	return defaultIdleRetention - idleMargin
}

// olderThanAnyFlow reports whether the flow has exceeded the maximum age of flows.
func (g *Gate) olderThanAnyFlow(now time.Time, flow *gateFlow) bool {
	return g.config.MaxFlowAge > 0 && now.Sub(flow.openingAt) > g.config.MaxFlowAge
}
