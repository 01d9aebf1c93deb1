// Package passthrough decides about packets of flows that end at the callers and
// the backend servers, not in this system: an entry instance's Dispatcher picks
// the companion for each packet, a companion's Gate decides what its backend
// server gets.
//
// Every packet for a backend server passes the Gate beside it. What must hold
// without exception is decided there, from what that companion knows alone:
// whether the backend server takes new flows, whether the route allows it, and
// how much a cold one bears. A Dispatcher only makes it likely that its first
// choice is right. It keeps a cache from flows to companions; a flow that isn't
// in the cache is sought at all companions that may hold it.
//
// The package does no I/O and reads no clock.
package passthrough

import (
	"net/netip"
	"time"

	"zinniapulley.dev/core"
)

// Packet is one packet of a flow, as the decisions see it.
type Packet struct {
	Key   core.FlowKey
	Flags core.TCPFlags
	// Returned says that a backend server gave the packet back.
	Returned bool
	Seq, Ack uint32
	// Length is the number of bytes of data.
	Length int
	// Failure says that the data begins an answer by which the backend server says
	// that it has failed to carry out a request.
	Failure bool
	// Data is the whole datagram, header included.
	Data []byte
}

// Reason says why something was done with a packet.
type Reason uint8

// The reasons, with their meaning in reasonNames.
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
	ReasonNotHere
	ReasonFlowLost
	ReasonStopping
	ReasonLookupLimit
	ReasonUnmatchedReset
	ReasonStarting
	ReasonBusy
	ReasonRequest
	ReasonFailing

	// ReasonCount is the number of reasons, for arrays of counters.
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	"none", "chosen by load", "flow cached", "asked before", "flow not cached", "no route", "no backend server takes new flows",
	"every backend server refused", "admitted", "flow confirmed", "no view yet", "no backend server announced",
	"backend server drains", "backend server is gone", "data centre is out", "backend server is not heard of",
	"backend server doesn't answer", "route doesn't allow the service", "cold backend server bears no more",
	"too many connections", "backend server refused", "flow is not here", "backend server has lost the flow",
	"companion stops", "too many flows are sought", "reset of an unknown flow",
	"entry instance has just started", "answer would come too late", "request begins", "requests fail there",
}

// String returns the reason in words.
func (r Reason) String() string {
	if r >= ReasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Status is what a companion tells entry instances about its backend server.
type Status struct {
	// Companion is the address at which the companion takes packets.
	Companion  netip.AddrPort
	DataCentre core.DataCentre
	Service    core.ServiceName
	// Server is the backend server's own name for itself.
	Server string
	// Ready says that new flows are taken.
	Ready bool
	// Departed says that no backend server runs beside the companion, so that no flow
	// lives there.
	Departed bool
	// Cold says that the backend server bears only a little yet.
	Cold bool
	// Failing says that requests fail or stall there.
	Failing bool
	// Slots is how many requests the backend server runs at once.
	Slots int
	// Running is how many requests wait for an answer there.
	Running int
	// Flows is how many flows are open there.
	Flows int
}

// NoteKind says what a companion tells an entry instance about one flow.
type NoteKind uint8

const (
	// NoteAdmitted says that the first packet of a flow was delivered.
	NoteAdmitted NoteKind = iota + 1
	// NoteOpened says that the flow lives at the companion.
	NoteOpened
	// NoteLost says that the flow lives nowhere any more.
	NoteLost
	// NoteAbsent says that the flow surely doesn't live at the companion.
	NoteAbsent
	// NoteUnsure says that the flow's packet itself must show whether the flow
	// lives at the companion.
	NoteUnsure
)

// Note is what a companion tells an entry instance about one flow.
type Note struct {
	Kind NoteKind
	Key  core.FlowKey
	// Running and Flows are as in Status.
	Running, Flows int
}

// confirmSpan is how far a caller's confirmation may be ahead of the sequence
// number with which the backend server answered: that packet counts as one, and
// nothing follows it before the confirmation.
const confirmSpan = 1

// sweepInterval is the time between looks for flows to forget.
const sweepInterval = time.Second
