package hop

import (
	"encoding/binary"
	"net/netip"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
)

const (
	// addressLen is the length in bytes of an IPv4 address with its port.
	addressLen = 4 + 2
	// numberLen is the length in bytes of a survey's number, keyLen that of a flow key.
	numberLen = 4
	keyLen    = 2 * addressLen
	// surveyHeaderLen is the length in bytes of the kind, the number and the key.
	surveyHeaderLen = 1 + numberLen + keyLen
)

// EncodeSurvey returns the datagram of a survey.
func EncodeSurvey(s passthrough.Survey) []byte {
	return appendAddresses(appendHeader(KindSurvey, s.Number, s.Key), s.Ask...)
}

// DecodeSurvey returns the survey of a datagram.
func DecodeSurvey(datagram []byte) (passthrough.Survey, error) {
	number, key, ask, err := decodeSurvey(datagram)
	return passthrough.Survey{Number: number, Key: key, Ask: ask}, err
}

// EncodeSurveyQuery returns the datagram of a survey's query.
func EncodeSurveyQuery(q passthrough.SurveyQuery) []byte {
	return appendAddresses(appendHeader(KindSurveyQuery, q.Number, q.Key), q.Entry)
}

// DecodeSurveyQuery returns the query of a datagram.
func DecodeSurveyQuery(datagram []byte) (passthrough.SurveyQuery, error) {
	number, key, entry, err := decodeSurvey(datagram)
	if err == nil && len(entry) != 1 {
		err = errors.Errorf("query of a survey names %d entry instances instead of one", len(entry))
	}
	if err != nil {
		return passthrough.SurveyQuery{}, err
	}
	return passthrough.SurveyQuery{Number: number, Key: key, Entry: entry[0]}, nil
}

// EncodeSurveyAnswer returns the datagram of an answer to the query of a survey.
func EncodeSurveyAnswer(number uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{byte(KindSurveyAnswer)}, number)
}

// DecodeSurveyAnswer returns the number of the query that the datagram answers.
func DecodeSurveyAnswer(datagram []byte) (uint32, error) {
	if len(datagram) != 1+numberLen {
		return 0, errors.Errorf("answer to a survey of %d bytes instead of %d", len(datagram), 1+numberLen)
	}
	return binary.BigEndian.Uint32(datagram[1:]), nil
}

// EncodeSurveyResult returns the datagram of a survey's result.
func EncodeSurveyResult(r passthrough.SurveyResult) []byte {
	return appendAddresses(appendHeader(KindSurveyResult, r.Number, r.Key), r.NotHeld...)
}

// DecodeSurveyResult returns the result of a datagram.
func DecodeSurveyResult(datagram []byte) (passthrough.SurveyResult, error) {
	number, key, notHeld, err := decodeSurvey(datagram)
	return passthrough.SurveyResult{Number: number, Key: key, NotHeld: notHeld}, err
}

func appendHeader(kind Kind, number uint32, key core.FlowKey) []byte {
	return appendAddresses(binary.BigEndian.AppendUint32([]byte{byte(kind)}, number), key.Caller, key.Service)
}

func appendAddresses(buffer []byte, addresses ...netip.AddrPort) []byte {
	for _, address := range addresses {
		ip := address.Addr().As4()
		buffer = binary.BigEndian.AppendUint16(append(buffer, ip[:]...), address.Port())
	}
	return buffer
}

// decodeSurvey returns the number, the key and the addresses after them.
func decodeSurvey(datagram []byte) (uint32, core.FlowKey, []netip.AddrPort, error) {
	if len(datagram) < surveyHeaderLen || (len(datagram)-surveyHeaderLen)%addressLen != 0 {
		return 0, core.FlowKey{}, nil, errors.Errorf("truncated survey: %d bytes", len(datagram))
	}
	addresses := decodeAddresses(datagram[1+numberLen:])
	key := core.FlowKey{Caller: addresses[0], Service: addresses[1]}
	return binary.BigEndian.Uint32(datagram[1:]), key, addresses[2:], nil
}

func decodeAddresses(encoded []byte) []netip.AddrPort {
	var addresses []netip.AddrPort
	for ; len(encoded) >= addressLen; encoded = encoded[addressLen:] {
		ip := netip.AddrFrom4([4]byte(encoded[:4]))
		addresses = append(addresses, netip.AddrPortFrom(ip, binary.BigEndian.Uint16(encoded[4:])))
	}
	return addresses
}
