package dispatch

import (
	"net/netip"
	"time"

	"zinniapulley.dev/capacity"
	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/route"
)

// verdict is what is decided about an opening packet. Judging changes no state, so that the
// same code explains a decision without making it.
type verdict struct {
	kind   Kind
	reason passthrough.Reason
	// to is the companion that the packet goes to, and chosen its record if it is tried
	// there for the first time.
	to     netip.AddrPort
	chosen *companion
	// busy is set if a companion was left out since it is busy.
	busy bool
	// ended is set if the flow's record is to be removed, and repeated if a companion gets
	// the packet again since there is none left to try.
	ended, repeated bool
	// room holds the figures by which no backend server can start the flow in time.
	room *capacity.Room
}

// judgeOpening decides about an opening packet. The flow's record is empty for a new one.
func (d *Dispatcher) judgeOpening(now time.Time, p *passthrough.Packet, flow *cachedFlow) verdict {
	if !d.settled(now) {
		return verdict{kind: Wait, reason: d.unsettledReason()}
	}
	if flow.owner.IsValid() {
		return verdict{kind: Forward, reason: passthrough.ReasonCached, to: flow.owner}
	}
	r := d.table.Route(p.Key.Service)
	if r == nil {
		return verdict{kind: Reset, reason: passthrough.ReasonNoRoute}
	}
	active := d.activeCompanion(now, flow)
	if active.IsValid() {
		return verdict{kind: Forward, reason: passthrough.ReasonAlreadyTried, to: active}
	}
	return d.judgeNext(now, p, flow, r)
}

// judgeNext decides about an opening packet that no companion is known to have admitted or
// may still answer: the best companion that it wasn't sent to before gets it.
func (d *Dispatcher) judgeNext(now time.Time, p *passthrough.Packet, flow *cachedFlow, r *route.Route) verdict {
	best, busy := d.choose(now, p, flow, r)
	if best == nil || len(flow.attempts) >= maxAttempts {
		v := d.judgeExhausted(now, p, flow, flow.busy || busy)
		v.busy = busy
		return v
	}
	if room := d.noRoom(now, p, flow, r, best); room != nil {
		return d.judgeFull(now, p, flow, r, room)
	}
	return verdict{kind: Forward, reason: passthrough.ReasonChosen, to: best.status.Companion, chosen: best}
}

// judgeExhausted decides about an opening packet that no further companion can admit.
func (d *Dispatcher) judgeExhausted(now time.Time, p *passthrough.Packet, flow *cachedFlow, busy bool) verdict {
	if len(flow.attempts) == 0 && !busy {
		if now.Sub(d.started) < startGrace {
			return verdict{kind: Wait, reason: passthrough.ReasonStarting, ended: true}
		}
		return verdict{kind: Reset, reason: passthrough.ReasonNoCandidate, ended: true}
	}
	v, outstanding := flow.judgeOutstanding()
	if outstanding {
		return v
	}
	if busy && p.Ack < passthrough.CallerCopies {
		// There may be room soon, and the caller still waits.
		return verdict{kind: Wait, reason: passthrough.ReasonBusy, ended: true}
	}
	return verdict{kind: Reset, reason: passthrough.ReasonAllRefused, ended: true}
}

// judgeOutstanding returns the verdict to send an opening packet again to a companion that
// hasn't refused it, and may have admitted the flow. It reports whether there is one.
func (f *cachedFlow) judgeOutstanding() (verdict, bool) {
	for _, a := range f.attempts {
		if !a.refused {
			return verdict{kind: Forward, reason: passthrough.ReasonAlreadyTried, to: a.companion, repeated: true}, true
		}
	}
	return verdict{}, false
}

// applyOpening records a verdict about an opening packet and adds its action.
func (d *Dispatcher) applyOpening(now time.Time, p *passthrough.Packet, flow *cachedFlow, v verdict) {
	flow.busy = flow.busy || v.busy
	if v.ended {
		d.remove(p.Key, flow)
	}
	first := len(d.out)
	switch v.kind {
	case Wait:
		d.wait(now, p, v.reason)
	case Reset:
		d.stopWaiting(p.Key)
		d.reset(p, v.reason)
	default:
		d.flows[p.Key] = flow
		d.forwardOpening(now, p, flow, v)
	}
	for i := first; i < len(d.out); i++ {
		d.out[i].Room = v.room
	}
}

// forwardOpening sends an opening packet to the companion of the verdict.
func (d *Dispatcher) forwardOpening(now time.Time, p *passthrough.Packet, flow *cachedFlow, v verdict) {
	switch {
	case v.chosen != nil:
		d.triedAgain(p.Key)
		if len(flow.attempts) == 0 {
			d.retries.firstTry()
		}
		v.chosen.sentOpening(now)
		flow.attempts = append(flow.attempts, attempt{companion: v.to, sentAt: now})
		d.out = append(d.out, Action{
			Kind: Forward, Reason: v.reason, To: v.to, Packet: p, Status: v.chosen.status, Age: now.Sub(v.chosen.lastSeen),
			Placement: d.placementOf(now, p.Key, v.chosen),
		})
		return
	case v.repeated:
		for i := range flow.attempts {
			if flow.attempts[i].companion == v.to {
				flow.attempts[i].sentAt, flow.attempts[i].repeated = now, true
			}
		}
	case v.reason == passthrough.ReasonCached:
		d.stopWaiting(p.Key)
	}
	d.forward(now, p, v.to, v.reason)
}
