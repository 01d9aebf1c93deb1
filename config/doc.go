// Package config holds the operators' configuration document: its sections,
// their owners, its validation and the compare-and-set of a submission. It
// does no I/O and reads no clock.
package config
