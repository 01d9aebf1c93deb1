package durable_test

import (
	"fmt"
	"testing"

	"zinniapulley.dev/consensus"
	"zinniapulley.dev/durable"
)

// BenchmarkOpen reads a folder with many records, as at a restart.
func BenchmarkOpen(b *testing.B) {
	for _, records := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			path := b.TempDir()
			folder, _, err := durable.Open(durable.Disk{}, path)
			if err == nil {
				err = folder.Begin(durable.Base{Self: consensus.MemberID{Instance: "a", Incarnation: 1}})
			}
			for n := range records {
				if err == nil {
					err = folder.Save([]consensus.Persist{{Commit: consensus.Index(n), Entries: []consensus.Entry{{Index: consensus.Index(n + 1), Command: make([]byte, 1000)}}}})
				}
			}
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				_, _, err := durable.Open(readOnly{}, path)
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// readOnly is the disk without what Open writes, so that each turn reads the same.
type readOnly struct{ durable.Disk }

func (readOnly) Create(string) (durable.File, error) { return noFile{}, nil }
func (readOnly) Rename(string, string) error         { return nil }
func (readOnly) Remove(string) error                 { return nil }
func (readOnly) SyncFolder(string) error             { return nil }

// noFile takes everything and keeps nothing.
type noFile struct{}

func (noFile) Write(p []byte) (int, error)         { return len(p), nil }
func (noFile) Close() error                        { return nil }
func (noFile) Sync() error                         { return nil }
func (noFile) Truncate(int64) error                { return nil }
func (noFile) Seek(at int64, _ int) (int64, error) { return at, nil }
