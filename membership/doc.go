// Package membership decides which backend servers are part of the system:
// announcements, reports, leases, departures and restarts.
//
// State is replicated: every control instance applies the same changes to it in
// the same order. Leases exist only on the leader: heartbeats renew them without
// going through the log, and a new leader grants each backend server a full
// period. The leader proposes a change only when a heartbeat carries a
// significant change or a lease expires.
//
// The package does no I/O and reads no clock.
package membership
