package hop

import (
	"encoding/binary"
	"net/netip"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
)

const (
	// ipLen and portLen are the lengths in bytes of an IPv4 address and of a port.
	ipLen   = 4
	portLen = 2
	// addressLen is the length in bytes of an IPv4 address with its port.
	addressLen = ipLen + portLen
	// numberLen is the length in bytes of a survey's number, keyLen that of a flow key.
	numberLen = 4
	keyLen    = 2 * addressLen
	// surveyHeaderLen is the length in bytes of the kind, the number and the key.
	surveyHeaderLen = 1 + numberLen + keyLen
)

// EncodeSurvey returns the datagram of a survey, or an error if the companions don't all
// have the same port.
func EncodeSurvey(s passthrough.Survey) ([]byte, error) {
	return encodeSurvey(KindSurvey, s.Number, s.Key, s.Ask)
}

// DecodeSurvey returns the survey of a datagram.
func DecodeSurvey(datagram []byte) (passthrough.Survey, error) {
	number, key, ask, err := decodeSurvey(datagram)
	return passthrough.Survey{Number: number, Key: key, Ask: ask}, err
}

// EncodeSurveyQuery returns the datagram of a survey's query.
func EncodeSurveyQuery(q passthrough.SurveyQuery) []byte {
	return appendAddress(appendHeader(KindSurveyQuery, q.Number, q.Key), q.Entry)
}

// DecodeSurveyQuery returns the query of a datagram.
func DecodeSurveyQuery(datagram []byte) (passthrough.SurveyQuery, error) {
	if len(datagram) != surveyHeaderLen+addressLen {
		return passthrough.SurveyQuery{}, errors.Errorf("query of a survey of %d bytes instead of %d", len(datagram), surveyHeaderLen+addressLen)
	}
	number, key := decodeHeader(datagram)
	return passthrough.SurveyQuery{Number: number, Key: key, Entry: decodeAddress(datagram[surveyHeaderLen:])}, nil
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

// EncodeSurveyResult returns the datagram of a survey's result, or an error if the
// companions don't all have the same port.
func EncodeSurveyResult(r passthrough.SurveyResult) ([]byte, error) {
	return encodeSurvey(KindSurveyResult, r.Number, r.Key, r.NotHeld)
}

// DecodeSurveyResult returns the result of a datagram.
func DecodeSurveyResult(datagram []byte) (passthrough.SurveyResult, error) {
	number, key, notHeld, err := decodeSurvey(datagram)
	return passthrough.SurveyResult{Number: number, Key: key, NotHeld: notHeld}, err
}

// encodeSurvey encodes a header, and companions as their common port and their addresses.
func encodeSurvey(kind Kind, number uint32, key core.FlowKey, companions []netip.AddrPort) ([]byte, error) {
	return appendCompanions(appendHeader(kind, number, key), companions)
}

// decodeSurvey returns the number, the key and the companions of a datagram.
func decodeSurvey(datagram []byte) (uint32, core.FlowKey, []netip.AddrPort, error) {
	if len(datagram) < surveyHeaderLen {
		return 0, core.FlowKey{}, nil, errors.Errorf("truncated survey: %d bytes", len(datagram))
	}
	number, key := decodeHeader(datagram)
	rest := datagram[surveyHeaderLen:]
	if len(rest) == 0 {
		return number, key, nil, nil
	}
	if len(rest) < addressLen || (len(rest)-portLen)%ipLen != 0 {
		return 0, core.FlowKey{}, nil, errors.Errorf("survey with %d bytes of addresses", len(rest))
	}
	return number, key, decodeCompanions(rest), nil
}

func appendHeader(kind Kind, number uint32, key core.FlowKey) []byte {
	datagram := binary.BigEndian.AppendUint32([]byte{byte(kind)}, number)
	return appendAddress(appendAddress(datagram, key.Caller), key.Service)
}

func decodeHeader(datagram []byte) (uint32, core.FlowKey) {
	key := datagram[1+numberLen:]
	return binary.BigEndian.Uint32(datagram[1:]), core.FlowKey{Caller: decodeAddress(key), Service: decodeAddress(key[addressLen:])}
}

func appendAddress(datagram []byte, address netip.AddrPort) []byte {
	ip := address.Addr().As4()
	return binary.BigEndian.AppendUint16(append(datagram, ip[:]...), address.Port())
}

func decodeAddress(encoded []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([ipLen]byte(encoded[:ipLen])), binary.BigEndian.Uint16(encoded[ipLen:]))
}
