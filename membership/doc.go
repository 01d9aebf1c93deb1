// Package membership decides which backend servers are part of the system:
// announcements, leases, departures and restarts. It does no I/O and reads
// no clock.
package membership
