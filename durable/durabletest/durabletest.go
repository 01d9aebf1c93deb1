// Package durabletest provides disks with injected failures, for tests.
package durabletest

import (
	"sync/atomic"
	"time"

	"zinniapulley.dev/durable"
)

// stallPollInterval is how often a stalled Sync checks whether the stall has ended.
const stallPollInterval = 5 * time.Millisecond

// StallingDisk is the operating system's file system, except that Sync of a file
// blocks while Stalled is set.
type StallingDisk struct {
	durable.Disk
	// Stalled may be set at any time.
	Stalled *atomic.Bool
}

// Create creates or truncates a file and opens it for writing.
func (d StallingDisk) Create(name string) (durable.File, error) {
	file, err := d.Disk.Create(name)
	return stallingFile{File: file, stalled: d.Stalled}, err
}

// Open opens an existing file for writing.
func (d StallingDisk) Open(name string) (durable.File, error) {
	file, err := d.Disk.Open(name)
	return stallingFile{File: file, stalled: d.Stalled}, err
}

type stallingFile struct {
	durable.File
	stalled *atomic.Bool
}

// Sync waits until the stall has ended.
func (f stallingFile) Sync() error {
	for f.stalled.Load() {
		time.Sleep(stallPollInterval)
	}
	return f.File.Sync()
}
