package passthrough

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ReportInterval is the time between two reports to all entry instances, for each
	// CompanionsPerInterval companions, while nothing that matters for their choice
	// changes.
	ReportInterval        = 300 * time.Millisecond
	CompanionsPerInterval = 170
	// FreeQueue is how many requests per slot, running or waiting, a backend server has
	// that counts as full.
	FreeQueue = 2
)

// Load is a companion's short report to entry instances that have its full status.
type Load struct {
	// Digest identifies the full status that the load belongs to.
	Digest uint32
	// Running and Flows are as in Status.
	Running, Flows int
}

// Digest identifies all of the status but the load.
func (s *Status) Digest() uint32 {
	var digest xxhash.Digest
	digest.Reset()
	for _, text := range []string{string(s.DataCentre), string(s.Service), s.Server} {
		_, _ = digest.Write(binary.BigEndian.AppendUint32(nil, uint32(len(text))))
		_, _ = digest.WriteString(text)
	}
	flags := byte(0)
	for _, flag := range []bool{s.Ready, s.Departed, s.Cold, s.Failing} {
		flags <<= 1
		if flag {
			flags |= 1
		}
	}
	rest := binary.BigEndian.AppendUint64([]byte{flags}, uint64(s.Slots))
	_, _ = digest.Write(binary.BigEndian.AppendUint64(rest, uint64(s.ReportInterval)))
	return uint32(digest.Sum64())
}

// Load returns the short report of the status.
func (s *Status) Load() Load {
	return Load{Digest: s.Digest(), Running: s.Running, Flows: s.Flows}
}

// Full reports whether the backend server has so many requests that further ones may be refused.
func (s *Status) Full() bool { return s.Running >= FreeQueue*s.Slots }
