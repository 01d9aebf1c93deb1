// Package admission decides what one backend server bears at this moment:
// how many flows may be open and how many requests may run, from what its
// companion sees of its answers. It does no I/O and reads no clock.
package admission
