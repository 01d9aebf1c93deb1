// Package entry assembles the entry instance: it takes packets from the
// fabric and sends each to the companion that the published tables name.
package entry
