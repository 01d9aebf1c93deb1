package durable_test

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"hash/crc32"
	"testing"

	"github.com/onsi/gomega"
	"zinniapulley.dev/consensus"
	"zinniapulley.dev/durable"
)

// legacyRecord is a record in the format of earlier versions, each a separate gob stream.
type legacyRecord struct {
	Base    *durable.Base
	Entries []consensus.Entry
	Commit  consensus.Index
}

func appendLegacy(t *testing.T, data []byte, r legacyRecord) []byte {
	t.Helper()
	var body bytes.Buffer
	err := gob.NewEncoder(&body).Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	header := binary.BigEndian.AppendUint32(nil, uint32(body.Len()))
	table := crc32.MakeTable(crc32.Castagnoli)
	sum := crc32.Update(crc32.Checksum(header, table), table, body.Bytes())
	header = binary.BigEndian.AppendUint32(header, sum)
	return append(append(data, header...), body.Bytes()...)
}

func TestLegacyFolderIsRead(t *testing.T) {
	g := gomega.NewWithT(t)
	self := consensus.MemberID{Instance: "a", Incarnation: 1}
	data := appendLegacy(t, nil, legacyRecord{Base: &durable.Base{Self: self}})
	for n := range 3 {
		entry := consensus.Entry{Index: consensus.Index(n + 1), Term: 1, Command: []byte{byte(n)}}
		data = appendLegacy(t, data, legacyRecord{Entries: []consensus.Entry{entry}, Commit: entry.Index})
	}
	files := newFiles()
	files.visible["f/log-0000000001"] = &memoryFile{content: data, synced: data}
	folder, found, err := durable.Open(files, "f")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(found).To(gomega.BeTrue())
	state := folder.State()
	g.Expect(state.Self).To(gomega.Equal(self))
	g.Expect(state.Stored.Entries).To(gomega.HaveLen(3))
	g.Expect(state.Stored.Commit).To(gomega.Equal(consensus.Index(3)))
}

// TestRecordsAfterFailedWriteAreRead fails the first write to a legacy folder, which
// would have held the gob type definitions. Later records must not depend on it.
func TestRecordsAfterFailedWriteAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	files := newFiles()
	data := appendLegacy(t, nil, legacyRecord{Base: &durable.Base{Self: consensus.MemberID{Instance: "a", Incarnation: 1}}})
	files.visible["f/log-0000000001"] = &memoryFile{content: data, synced: data}
	opened, _, err := durable.Open(files, "f")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	files.full = true
	g.Expect(opened.Save([]consensus.Persist{command(1, 'a')})).NotTo(gomega.Succeed())
	files.full = false
	g.Expect(opened.Save([]consensus.Persist{command(1, 'b')})).To(gomega.Succeed())
	g.Expect(opened.Save([]consensus.Persist{command(2, 'c')})).To(gomega.Succeed())
	reopened, _, err := durable.Open(files, "f")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reopened.State().Stored.Entries).To(gomega.HaveLen(2))
	g.Expect(reopened.State()).To(gomega.Equal(opened.State()))
}

// TestRecordsAfterCorruptionStayDiscarded corrupts the second to last record and saves
// one of the same length in its place. The last record must not reappear behind it.
func TestRecordsAfterCorruptionStayDiscarded(t *testing.T) {
	g := gomega.NewWithT(t)
	files := newFiles()
	opened, _, err := durable.Open(files, "f")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(opened.Begin(durable.Base{Self: consensus.MemberID{Instance: "a", Incarnation: 1}})).To(gomega.Succeed())
	name := "f/log-0000000001"
	before := len(files.visible[name].content)
	g.Expect(opened.Save([]consensus.Persist{command(1, 'a')})).To(gomega.Succeed())
	length := len(files.visible[name].content) - before
	g.Expect(opened.Save([]consensus.Persist{command(2, 'b')})).To(gomega.Succeed())
	files.visible[name].content[before+length-1] ^= 1
	opened, _, err = durable.Open(files, "f")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(opened.State().Stored.Entries).To(gomega.BeEmpty())
	g.Expect(opened.Save([]consensus.Persist{command(1, 'c')})).To(gomega.Succeed())
	opened, _, err = durable.Open(files, "f")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(opened.State().Stored.Entries).To(gomega.HaveLen(1))
}

// command returns a Persist with one entry whose command is one byte.
func command(index consensus.Index, body byte) consensus.Persist {
	return consensus.Persist{Entries: []consensus.Entry{{Index: index, Term: 1, Kind: consensus.EntryCommand, Command: []byte{body}}}}
}
