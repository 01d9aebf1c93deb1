// Package waitqueue orders the opening packets that wait for a place at a backend server,
// and shares the places among routes and callers. It does no I/O and reads no clock.
package waitqueue
