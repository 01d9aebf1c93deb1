package companion

import (
	"time"

	"zinniapulley.dev/passthrough"
	"zinniapulley.dev/roles/traffic"
	"zinniapulley.dev/wire/hop"
)

// relay conducts a relayed lookup: it passes copies of a caller's packet to the companions
// to ask, of which this one may be one.
func (path *packetPath) relay(now time.Time, d traffic.Datagram) error {
	relay, err := hop.DecodeRelay(d.Data)
	if err != nil {
		return err
	}
	packet, err := path.companion.config.Codec.FromCaller(relay.Packet)
	if err != nil {
		return err
	}
	path.reports.HandlePacket(now, d.From, false)
	survey := passthrough.Survey{Number: relay.Number, Key: packet.Key, Ask: relay.Ask}
	path.conduct(now, d.From, survey, func(query passthrough.SurveyQuery) []byte {
		path.buffer = hop.AppendRelayedCopy(path.buffer[:0], passthrough.RelayedCopy{Number: query.Number, Entry: d.From, Packet: relay.Packet})
		return path.buffer
	})
	return nil
}

// fromRelay processes a copy of a caller's packet from a conductor.
func (path *packetPath) fromRelay(now time.Time, d traffic.Datagram) error {
	relayed, err := hop.DecodeRelayedCopy(d.Data)
	if err != nil {
		return err
	}
	packet, err := path.companion.config.Codec.FromCaller(relayed.Packet)
	if err != nil {
		return err
	}
	path.execute(now, path.gate.HandleRelayedCopy(now, d.From, relayed, &packet))
	return nil
}
