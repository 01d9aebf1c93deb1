// Package capacity estimates what backend servers can sustain and how long one more
// request takes there. It does no I/O and reads no clock.
package capacity
