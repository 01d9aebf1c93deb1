// Package hop encodes the datagrams between entry instances, companions and control
// instances in pass-through forwarding: callers' packets, notes about flows, flow
// queries, surveys, relays, statuses, loads and heartbeats. A datagram is a byte for its kind, followed by
// a packet with a short header, by a message in CBOR (RFC 8949), or by fixed fields
// where a message is frequent.
package hop

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough"
)

// Kind is the kind of a datagram's content.
type Kind uint8

const (
	// KindForward is a packet from an entry instance to one companion.
	KindForward Kind = iota + 1
	// KindLookup is a packet of a lookup broadcast, of which several companions get
	// a copy.
	KindLookup
	// KindRefused is an opening packet that a companion returns to the entry
	// instance.
	KindRefused
	// KindNotHeld is any other packet that a companion returns, since its backend
	// server doesn't hold the flow.
	KindNotHeld
	// KindNote is a passthrough.Note.
	KindNote
	// KindStatus is a passthrough.Status.
	KindStatus
	// KindHeartbeat is a Heartbeat.
	KindHeartbeat
	// KindQuery is a query whether a companion's backend server holds a flow.
	KindQuery
	// KindLoad is a passthrough.Load.
	KindLoad
	// KindStatusRequest requests a companion's full status.
	KindStatusRequest
	// KindSurvey is a passthrough.Survey.
	KindSurvey
	// KindSurveyQuery is a passthrough.SurveyQuery.
	KindSurveyQuery
	// KindSurveyAnswer answers a SurveyQuery: the flow isn't held.
	KindSurveyAnswer
	// KindSurveyResult is a passthrough.SurveyResult.
	KindSurveyResult
	// KindPace is a passthrough.Pace. Older entry instances count it as malformed.
	KindPace
)

const (
	// envelopeHeaderLen is the length in bytes of the header before a packet: the
	// kind, the reason and the version of the configuration in force at the sender.
	envelopeHeaderLen = 1 + 1 + 8
	// loadLen is the length in bytes of a load: the kind, the digest and the two counts.
	loadLen = 1 + 4 + 2 + 2
	// paceLen is the length in bytes of a pace: the kind, two times in microseconds and the
	// two counts.
	paceLen = 1 + 4 + 4 + 2 + 2
	// MaxDatagram is the size in bytes of the largest datagram.
	MaxDatagram = 2048
)

// Envelope is a caller's packet sent between two instances.
type Envelope struct {
	Kind    Kind
	Reason  passthrough.Reason
	Version uint64
	// Packet is the caller's packet as the entry instance received it.
	Packet []byte
}

// Heartbeat reports to control instances that an entry instance or a companion runs.
type Heartbeat struct {
	// Packets is the address at which an entry instance receives notes and statuses,
	// or a companion receives packets.
	Packets netip.AddrPort
	// Companion is true if the sender is a companion.
	Companion bool
	// Holding is set by companions only.
	Holding Holding
}

// Holding is whether a companion's backend server may hold flows.
type Holding uint8

const (
	// HoldingUnknown: the companion has started and has received no announcement of a
	// backend server yet. Its state before the start remains valid.
	HoldingUnknown Holding = iota
	// HoldingFlows: a backend server runs beside it.
	HoldingFlows
	// HoldingDraining: its backend server is about to depart.
	HoldingDraining
	// HoldingNone: no backend server runs beside it.
	HoldingNone
)

// AppendEnvelope appends the encoded envelope to the buffer.
func AppendEnvelope(buffer []byte, e Envelope) []byte {
	buffer = append(buffer, byte(e.Kind), byte(e.Reason))
	buffer = binary.BigEndian.AppendUint64(buffer, e.Version)
	return append(buffer, e.Packet...)
}

// KindOf returns the kind of a datagram, zero for an empty one.
func KindOf(datagram []byte) Kind {
	if len(datagram) == 0 {
		return 0
	}
	return Kind(datagram[0])
}

// DecodeEnvelope returns the envelope of a datagram. Its packet shares memory
// with the datagram.
func DecodeEnvelope(datagram []byte) (Envelope, error) {
	if len(datagram) < envelopeHeaderLen {
		return Envelope{}, errors.Errorf("truncated envelope: %d bytes", len(datagram))
	}
	return Envelope{
		Kind: Kind(datagram[0]), Reason: passthrough.Reason(datagram[1]),
		Version: binary.BigEndian.Uint64(datagram[2:envelopeHeaderLen]), Packet: datagram[envelopeHeaderLen:],
	}, nil
}

// note is the form of a passthrough.Note on the wire.
type note struct {
	Kind    passthrough.NoteKind `cbor:"1,keyasint"`
	Caller  netip.AddrPort       `cbor:"2,keyasint"`
	Service netip.AddrPort       `cbor:"3,keyasint"`
	Running int                  `cbor:"4,keyasint"`
	Flows   int                  `cbor:"5,keyasint"`
}

// EncodeNote returns the datagram of a note.
func EncodeNote(n passthrough.Note) ([]byte, error) {
	return encode(KindNote, note{Kind: n.Kind, Caller: n.Key.Caller, Service: n.Key.Service, Running: n.Running, Flows: n.Flows})
}

// DecodeNote returns the note of a datagram.
func DecodeNote(datagram []byte) (passthrough.Note, error) {
	var n note
	err := decode(datagram, &n)
	key := core.FlowKey{Caller: n.Caller, Service: n.Service}
	return passthrough.Note{Kind: n.Kind, Key: key, Running: n.Running, Flows: n.Flows}, err
}

// EncodeQuery returns the datagram of a query whether a companion's backend server
// holds a flow.
func EncodeQuery(key core.FlowKey) ([]byte, error) {
	return encode(KindQuery, note{Caller: key.Caller, Service: key.Service})
}

// DecodeQuery returns the flow of a query.
func DecodeQuery(datagram []byte) (core.FlowKey, error) {
	n, err := DecodeNote(datagram)
	return n.Key, err
}

// status is the form of a passthrough.Status on the wire.
type status struct {
	Companion  netip.AddrPort   `cbor:"1,keyasint"`
	DataCentre core.DataCentre  `cbor:"2,keyasint"`
	Service    core.ServiceName `cbor:"3,keyasint"`
	Server     string           `cbor:"4,keyasint"`
	Ready      bool             `cbor:"5,keyasint"`
	Departed   bool             `cbor:"6,keyasint"`
	Cold       bool             `cbor:"7,keyasint"`
	Failing    bool             `cbor:"11,keyasint"`
	Slots      int              `cbor:"8,keyasint"`
	Running    int              `cbor:"9,keyasint"`
	Flows      int              `cbor:"10,keyasint"`
	// ReportInterval is in nanoseconds.
	ReportInterval time.Duration `cbor:"12,keyasint"`
	Relays         bool          `cbor:"13,keyasint,omitempty"`
	Untracked      bool          `cbor:"14,keyasint,omitempty"`
	Born           int64         `cbor:"15,keyasint,omitempty"`
}

// EncodeStatus returns the datagram of a status.
func EncodeStatus(s passthrough.Status) ([]byte, error) {
	return encode(KindStatus, status(s))
}

// DecodeStatus returns the status of a datagram.
func DecodeStatus(datagram []byte) (passthrough.Status, error) {
	var s status
	err := decode(datagram, &s)
	return passthrough.Status(s), err
}

// AppendLoad appends the datagram of a load to the buffer.
func AppendLoad(buffer []byte, l passthrough.Load) []byte {
	buffer = append(buffer, byte(KindLoad))
	buffer = binary.BigEndian.AppendUint32(buffer, l.Digest)
	buffer = binary.BigEndian.AppendUint16(buffer, uint16(min(l.Running, math.MaxUint16)))
	return binary.BigEndian.AppendUint16(buffer, uint16(min(l.Flows, math.MaxUint16)))
}

// DecodeLoad returns the load of a datagram.
func DecodeLoad(datagram []byte) (passthrough.Load, error) {
	if len(datagram) != loadLen {
		return passthrough.Load{}, errors.Errorf("load of %d bytes instead of %d", len(datagram), loadLen)
	}
	return passthrough.Load{
		Digest:  binary.BigEndian.Uint32(datagram[1:]),
		Running: int(binary.BigEndian.Uint16(datagram[5:])),
		Flows:   int(binary.BigEndian.Uint16(datagram[7:])),
	}, nil
}

// AppendPace appends the datagram of a pace to the buffer.
func AppendPace(buffer []byte, p passthrough.Pace) []byte {
	buffer = append(buffer, byte(KindPace))
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(min(p.Run.Microseconds(), math.MaxUint32)))
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(min(p.Interval.Microseconds(), math.MaxUint32)))
	buffer = binary.BigEndian.AppendUint16(buffer, uint16(min(p.Waiting, math.MaxUint16)))
	return binary.BigEndian.AppendUint16(buffer, uint16(min(p.Users, math.MaxUint16)))
}

// DecodePace returns the pace of a datagram.
func DecodePace(datagram []byte) (passthrough.Pace, error) {
	if len(datagram) != paceLen {
		return passthrough.Pace{}, errors.Errorf("pace of %d bytes instead of %d", len(datagram), paceLen)
	}
	return passthrough.Pace{
		Run:      time.Duration(binary.BigEndian.Uint32(datagram[1:])) * time.Microsecond,
		Interval: time.Duration(binary.BigEndian.Uint32(datagram[5:])) * time.Microsecond,
		Waiting:  int(binary.BigEndian.Uint16(datagram[9:])),
		Users:    int(binary.BigEndian.Uint16(datagram[11:])),
	}, nil
}

// EncodeStatusRequest returns the datagram that requests a companion's full status.
func EncodeStatusRequest() []byte { return []byte{byte(KindStatusRequest)} }

// EncodeHeartbeat returns the datagram of a heartbeat.
func EncodeHeartbeat(h Heartbeat) ([]byte, error) {
	return encode(KindHeartbeat, h)
}

// DecodeHeartbeat returns the heartbeat of a datagram.
func DecodeHeartbeat(datagram []byte) (Heartbeat, error) {
	var h Heartbeat
	err := decode(datagram, &h)
	return h, err
}

func encode(kind Kind, message any) ([]byte, error) {
	body, err := cbor.Marshal(message)
	return append([]byte{byte(kind)}, body...), core.At("encode datagram", "", err)
}

func decode(datagram []byte, message any) error {
	if len(datagram) < 1 {
		return errors.New("empty datagram")
	}
	return core.At("decode datagram", "", cbor.Unmarshal(datagram[1:], message))
}
