// Package membership decides which backend servers are part of the system:
// announcements, reports, leases, departures and restarts.
//
// State is replicated: every control instance applies the same changes to it in
// the same order. Leases are the leader's alone: heartbeats renew them without
// going through the log, and a new leader gives each backend server a full
// period afresh. The leader proposes a change only when a heartbeat says
// something new or a lease expires.
//
// The package does no I/O and reads no clock.
package membership
