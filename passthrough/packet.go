// Package passthrough holds the types shared by the two sides that decide about packets
// of flows that end at the callers and the backend servers, not in this system: an entry
// instance's Dispatcher (package dispatch) picks the companion for each packet, a
// companion's Gate (package gate) decides what its backend server gets.
//
// Every packet for a backend server passes the Gate beside it. The Gate enforces,
// from local state alone, the rules that must hold without exception: whether the
// backend server admits new flows, whether the route allows them, and how many a
// cold one can handle. A Dispatcher only makes it likely that its first choice is
// right. It caches the companion of each flow; a flow that isn't in the cache is
// looked up at all companions that may hold it.
//
// The packages do no I/O and read no clock.
package passthrough

import (
	"net/netip"
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// Packet is one packet of a flow, with the fields that decisions use.
type Packet struct {
	Key   core.FlowKey
	Flags core.TCPFlags
	// Returned is set when a backend server returned the packet.
	Returned bool
	Seq, Ack uint32
	// Length is the number of bytes of data.
	Length int
	// Failure is set when the data begins an answer that reports a failed request.
	Failure bool
	// Data is the whole datagram, header included.
	Data []byte
}

// Clone returns a copy that shares no memory with the packet.
func (p *Packet) Clone() Packet {
	c := *p
	c.Data = slices.Clone(p.Data)
	return c
}

// Reason is why an action was chosen. Its string is a log and metric value.
type Reason uint8

// The reasons; reasonNames describes each.
const (
	ReasonNone Reason = iota
	ReasonChosen
	ReasonCached
	ReasonAlreadyTried
	ReasonUnknownFlow
	ReasonNoRoute
	ReasonNoCandidate
	ReasonAllRefused
	ReasonAdmitted
	ReasonOpened
	ReasonNoView
	ReasonNoTarget
	ReasonDraining
	ReasonServerDown
	ReasonDataCentreOut
	ReasonStale
	ReasonUnresponsive
	ReasonNotAllowed
	ReasonColdLimit
	ReasonConnectionLimit
	ReasonServerRefused
	ReasonNotHeld
	ReasonFlowLost
	ReasonStopping
	ReasonLookupLimit
	ReasonUnmatchedReset
	ReasonStarting
	ReasonBusy
	ReasonRequest
	ReasonFailing
	ReasonStatusUnknown
	ReasonFull
	ReasonQueued

	// ReasonCount is the number of reasons, for arrays of counters.
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	"none", "chosen by load", "flow cached", "asked before", "flow not cached", "no route", "no backend server takes new flows",
	"every backend server refused", "admitted", "flow confirmed", "no view yet", "no backend server announced",
	"backend server drains", "backend server is gone", "data centre is out", "backend server is not heard of",
	"backend server doesn't answer", "route doesn't allow the service", "cold backend server bears no more",
	"too many connections", "backend server refused", "flow is not here", "backend server has lost the flow",
	"companion stops", "limit on flow lookups reached", "reset of an unknown flow",
	"entry instance has just started", "answer would come too late", "request begins", "requests fail there",
	"status of the companion is missing", "no backend server can start it in time", "all places taken",
}

// String returns the reason in words.
func (r Reason) String() string {
	if r >= ReasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Status is a companion's report to entry instances about its backend server.
type Status struct {
	// Companion is the address at which the companion receives packets.
	Companion  netip.AddrPort
	DataCentre core.DataCentre
	Service    core.ServiceName
	// Server is the backend server's own name.
	Server string
	// Ready is set when new flows are admitted.
	Ready bool
	// Departed is set when no backend server runs beside the companion, so that it
	// holds no flow.
	Departed bool
	// Cold is set while the backend server has limited capacity.
	Cold bool
	// Failing is set when requests fail or stall there.
	Failing bool
	// Slots is how many requests the backend server runs at once.
	Slots int
	// Running is how many requests wait for an answer there, and how many opening packets
	// wait for a place.
	Running int
	// Flows is how many flows are open there.
	Flows int
	// ReportInterval is the time between two reports while nothing changes; zero from a
	// companion that doesn't name it.
	ReportInterval time.Duration
	// Relays is set by companions that support relayed lookups. It, Untracked and Born
	// aren't part of the digest: older processes don't know them.
	Relays bool
	// Untracked is set while the backend server may hold flows that the companion
	// doesn't track.
	Untracked bool
	// Born is when the backend server started, in milliseconds since 1970 by its own
	// clock; zero if it doesn't report it.
	Born int64
}

// NoteKind is what a note reports about a flow.
type NoteKind uint8

const (
	// NoteAdmitted: the first packet of the flow was delivered, or waits for a place.
	NoteAdmitted NoteKind = iota + 1
	// NoteHeld: the companion holds the flow.
	NoteHeld
	// NoteLost: no companion holds the flow any more.
	NoteLost
	// NoteNotHeld: the companion doesn't hold the flow.
	NoteNotHeld
	// NoteUnsure: the companion can't tell whether it holds the flow without the
	// flow's packet.
	NoteUnsure
)

// Note is a companion's message to an entry instance about one flow.
type Note struct {
	Kind NoteKind
	Key  core.FlowKey
	// Running and Flows are as in Status.
	Running, Flows int
}

// SweepInterval is the time between two removals of expired flows.
const SweepInterval = time.Second
