// Package settings reads and checks the settings file of a process: JSON
// that says which role the process plays, where it is and where its peers
// are. Every fault is reported with its JSON path.
package settings
