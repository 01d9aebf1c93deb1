// Package config holds the operators' configuration document: its sections,
// their owners, its validation and the compare-and-set of a submission.
//
// The document is one JSON object with the sections "services/<name>" (one for
// each service), "dataCentres", "limits" and "teams". Each section belongs to
// the team that "teams" says; a team changes only its own sections, and changes
// of different sections don't conflict.
//
// The package does no I/O and reads no clock.
package config
