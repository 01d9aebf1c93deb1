// Package config holds the operators' configuration document: its sections,
// their owners, its validation and the compare-and-set that applies a
// submission.
//
// The document is one JSON object with the sections "services/<name>" (one for
// each service), "dataCentres", "limits" and "teams". The section "teams"
// assigns each section to a team; a team can change only its own sections, and
// changes to different sections don't conflict.
//
// The package does no I/O and reads no clock.
package config
