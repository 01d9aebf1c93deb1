package gate

import (
	"net/netip"
	"time"

	"zinniapulley.dev/passthrough"
)

// relayOrigin is the relay that a lookup copy belongs to: its conductor, invalid if there
// is none, and its number there.
type relayOrigin struct {
	conductor netip.AddrPort
	number    uint32
}

// HandleRelayedCopy decides about a copy of a caller's packet that a conductor sent for an
// entry instance. The conductor is told if the flow isn't held here, and the entry
// instance if it is. The result is valid until the next call of a method.
func (g *Gate) HandleRelayedCopy(now time.Time, conductor netip.AddrPort, relayed passthrough.RelayedCopy, p *passthrough.Packet) []Action {
	g.out = g.out[:0]
	origin := relayOrigin{conductor: conductor, number: relayed.Number}
	flow, known := g.flows[p.Key]
	switch {
	case p.Flags.Opens():
		// A flow that begins isn't looked up.
		g.act(Drop, passthrough.ReasonUnknownFlow, p)
		return g.out
	case known && flow.stage == stageUnconfirmed && g.noServer(now):
		g.returnPacket(relayed.Entry, true, origin, p, passthrough.ReasonNotHeld)
		return g.out
	case known && flow.stage == stageUnconfirmed && !g.target.Known:
		// As for an unknown flow: a server at this address may be about to start.
		g.act(Drop, passthrough.ReasonNoTarget, p)
		return g.out
	case known && flow.stage == stageClosed:
		g.note(passthrough.NoteHeld, passthrough.ReasonOpened, p.Key, relayed.Entry)
	}
	g.fromEntry(now, relayed.Entry, true, origin, 0, p)
	return g.out
}
