// Package durabletest has disks that misbehave, for tests.
package durabletest

import (
	"sync/atomic"
	"time"

	"zinniapulley.dev/durable"
)

// stallCheck is the time between looks at whether a stall has ended.
const stallCheck = 5 * time.Millisecond

// StallingDisk is the operating system's disk, but its syncs wait while it is
// stalled.
type StallingDisk struct {
	durable.Disk
	// Stalled may be set at any time.
	Stalled *atomic.Bool
}

// Create opens an empty file for writing.
func (d StallingDisk) Create(name string) (durable.File, error) {
	file, err := d.Disk.Create(name)
	return stallingFile{File: file, stalled: d.Stalled}, err
}

// Open opens a file that is there for writing.
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
		time.Sleep(stallCheck)
	}
	return f.File.Sync()
}
