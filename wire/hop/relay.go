package hop

import (
	"encoding/binary"
	"net/netip"

	"github.com/juju/errors"
	"zinniapulley.dev/passthrough"
)

// The kinds of relayed lookups. Their numbers are apart from the others, so that the two
// lists grow independently.
const (
	// KindRelay is a passthrough.Relay. The conductor answers with KindSurveyResult.
	KindRelay Kind = iota + 32
	// KindRelayedCopy is a passthrough.RelayedCopy. It is answered with KindSurveyAnswer.
	KindRelayedCopy
)

const (
	// relayHeaderLen is the length in bytes of the kind, the number and the count of
	// companions; copyHeaderLen that of the kind, the number and the entry instance.
	relayHeaderLen = 1 + numberLen + 1
	copyHeaderLen  = 1 + numberLen + addressLen
	// maxRelayed is the most companions of a relay.
	maxRelayed = 1<<8 - 1
)

// AppendRelay appends the datagram of a relay to the buffer. It returns an error if the
// companions are too many or don't all have the same port.
func AppendRelay(buffer []byte, r passthrough.Relay) ([]byte, error) {
	if len(r.Ask) > maxRelayed {
		return nil, errors.NotSupportedf("%d companions in a relay", len(r.Ask))
	}
	buffer = binary.BigEndian.AppendUint32(append(buffer, byte(KindRelay)), r.Number)
	buffer, err := appendCompanions(append(buffer, byte(len(r.Ask))), r.Ask)
	return append(buffer, r.Packet...), err
}

// DecodeRelay returns the relay of a datagram. Its packet shares memory with the datagram.
func DecodeRelay(datagram []byte) (passthrough.Relay, error) {
	if len(datagram) < relayHeaderLen {
		return passthrough.Relay{}, errors.Errorf("truncated relay: %d bytes", len(datagram))
	}
	count, rest := int(datagram[relayHeaderLen-1]), datagram[relayHeaderLen:]
	addresses := 0
	if count > 0 {
		addresses = portLen + count*ipLen
	}
	if len(rest) < addresses {
		return passthrough.Relay{}, errors.Errorf("relay with %d bytes for %d companions", len(rest), count)
	}
	return passthrough.Relay{
		Number: binary.BigEndian.Uint32(datagram[1:]), Ask: decodeCompanions(rest[:addresses]), Packet: rest[addresses:],
	}, nil
}

// AppendRelayedCopy appends the datagram of a copy to the buffer.
func AppendRelayedCopy(buffer []byte, c passthrough.RelayedCopy) []byte {
	buffer = binary.BigEndian.AppendUint32(append(buffer, byte(KindRelayedCopy)), c.Number)
	return append(appendAddress(buffer, c.Entry), c.Packet...)
}

// DecodeRelayedCopy returns the copy of a datagram. Its packet shares memory with the
// datagram.
func DecodeRelayedCopy(datagram []byte) (passthrough.RelayedCopy, error) {
	if len(datagram) < copyHeaderLen {
		return passthrough.RelayedCopy{}, errors.Errorf("truncated copy of a relay: %d bytes", len(datagram))
	}
	return passthrough.RelayedCopy{
		Number: binary.BigEndian.Uint32(datagram[1:]), Entry: decodeAddress(datagram[1+numberLen:]), Packet: datagram[copyHeaderLen:],
	}, nil
}

// appendCompanions appends companions as their common port and their addresses, nothing
// for none.
func appendCompanions(buffer []byte, companions []netip.AddrPort) ([]byte, error) {
	for i, companion := range companions {
		if i == 0 {
			buffer = binary.BigEndian.AppendUint16(buffer, companion.Port())
		}
		if companion.Port() != companions[0].Port() {
			return nil, errors.NotSupportedf("companions with ports %d and %d in a survey", companions[0].Port(), companion.Port())
		}
		ip := companion.Addr().As4()
		buffer = append(buffer, ip[:]...)
	}
	return buffer, nil
}

// decodeCompanions returns the companions that appendCompanions has encoded.
func decodeCompanions(encoded []byte) []netip.AddrPort {
	if len(encoded) == 0 {
		return nil
	}
	port := binary.BigEndian.Uint16(encoded)
	var companions []netip.AddrPort
	for rest := encoded[portLen:]; len(rest) > 0; rest = rest[ipLen:] {
		companions = append(companions, netip.AddrPortFrom(netip.AddrFrom4([ipLen]byte(rest[:ipLen])), port))
	}
	return companions
}
