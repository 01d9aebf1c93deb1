// Package capacity estimates what backend servers can sustain and how long one more
// request takes there. It does no I/O and reads no clock.
//
// All figures are soft state from the companions' reports. A server without a measured
// run time has no expected time; callers of this package then compare slots.
package capacity
