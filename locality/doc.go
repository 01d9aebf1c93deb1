// Package locality decides which part of the new flows of a data centre may be served by
// another. It does no I/O and reads no clock.
package locality
