package durable_test

import (
	"fmt"
	"testing"

	"zinniapulley.dev/consensus"
	"zinniapulley.dev/durable"
)

// BenchmarkOpen opens a folder with many records, as a restart does.
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

// readOnly discards the writes of Open, so that each iteration reads the same data.
type readOnly struct{ durable.Disk }

func (readOnly) Create(string) (durable.File, error) { return discardingFile{}, nil }
func (readOnly) Rename(string, string) error         { return nil }
func (readOnly) Remove(string) error                 { return nil }
func (readOnly) SyncFolder(string) error             { return nil }

// discardingFile discards all writes.
type discardingFile struct{}

func (discardingFile) Write(p []byte) (int, error)         { return len(p), nil }
func (discardingFile) Close() error                        { return nil }
func (discardingFile) Sync() error                         { return nil }
func (discardingFile) Truncate(int64) error                { return nil }
func (discardingFile) Seek(at int64, _ int) (int64, error) { return at, nil }
