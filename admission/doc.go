// Package admission adapts the load on one backend server to its current capacity:
// how many flows may be open and how many requests may run, derived from the
// answers that its companion observes. It does no I/O and reads no clock.
package admission
