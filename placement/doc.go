// Package placement assigns the buckets of each service to backend servers,
// weighted by their capacity, and moves no more buckets than a change requires.
// It does no I/O and reads no clock.
package placement
