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

// earlierRecord is a record as earlier versions wrote it: a gob stream of its own.
type earlierRecord struct {
	Base    *durable.Base
	Entries []consensus.Entry
	Commit  consensus.Index
}

func appendEarlier(t *testing.T, data []byte, r earlierRecord) []byte {
	t.Helper()
	var body bytes.Buffer
	err := gob.NewEncoder(&body).Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	head := binary.BigEndian.AppendUint32(nil, uint32(body.Len()))
	table := crc32.MakeTable(crc32.Castagnoli)
	sum := crc32.Update(crc32.Checksum(head, table), table, body.Bytes())
	head = binary.BigEndian.AppendUint32(head, sum)
	return append(append(data, head...), body.Bytes()...)
}

func TestFolderOfAnEarlierVersionIsRead(t *testing.T) {
	g := gomega.NewWithT(t)
	self := consensus.MemberID{Instance: "a", Incarnation: 1}
	data := appendEarlier(t, nil, earlierRecord{Base: &durable.Base{Self: self}})
	for n := range 3 {
		entry := consensus.Entry{Index: consensus.Index(n + 1), Term: 1, Command: []byte{byte(n)}}
		data = appendEarlier(t, data, earlierRecord{Entries: []consensus.Entry{entry}, Commit: entry.Index})
	}
	files := newFiles()
	files.names["f/log-0000000001"] = &memoryFile{content: data, synced: data}
	folder, found, err := durable.Open(files, "f")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(found).To(gomega.BeTrue())
	base := folder.Base()
	g.Expect(base.Self).To(gomega.Equal(self))
	g.Expect(base.Stored.Entries).To(gomega.HaveLen(3))
	g.Expect(base.Stored.Commit).To(gomega.Equal(consensus.Index(3)))
}

// TestRecordsAfterAFailedWriteAreRead lets the first write to a folder of an earlier
// version fail: those after it must not rely on what it would have brought.
func TestRecordsAfterAFailedWriteAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	files := newFiles()
	data := appendEarlier(t, nil, earlierRecord{Base: &durable.Base{Self: consensus.MemberID{Instance: "a", Incarnation: 1}}})
	files.names["f/log-0000000001"] = &memoryFile{content: data, synced: data}
	opened, _, err := durable.Open(files, "f")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	files.full = true
	g.Expect(opened.Save([]consensus.Persist{command(1, 'a')})).NotTo(gomega.Succeed())
	files.full = false
	g.Expect(opened.Save([]consensus.Persist{command(1, 'b')})).To(gomega.Succeed())
	g.Expect(opened.Save([]consensus.Persist{command(2, 'c')})).To(gomega.Succeed())
	again, _, err := durable.Open(files, "f")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.Base().Stored.Entries).To(gomega.HaveLen(2))
	g.Expect(again.Base()).To(gomega.Equal(opened.Base()))
}

// TestWhatFollowsADamagedRecordStaysLost damages the last record but one, and has one
// of the same length written in its place.
func TestWhatFollowsADamagedRecordStaysLost(t *testing.T) {
	g := gomega.NewWithT(t)
	files := newFiles()
	opened, _, err := durable.Open(files, "f")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(opened.Begin(durable.Base{Self: consensus.MemberID{Instance: "a", Incarnation: 1}})).To(gomega.Succeed())
	name := "f/log-0000000001"
	before := len(files.names[name].content)
	g.Expect(opened.Save([]consensus.Persist{command(1, 'a')})).To(gomega.Succeed())
	length := len(files.names[name].content) - before
	g.Expect(opened.Save([]consensus.Persist{command(2, 'b')})).To(gomega.Succeed())
	files.names[name].content[before+length-1] ^= 1
	opened, _, err = durable.Open(files, "f")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(opened.Base().Stored.Entries).To(gomega.BeEmpty())
	g.Expect(opened.Save([]consensus.Persist{command(1, 'c')})).To(gomega.Succeed())
	opened, _, err = durable.Open(files, "f")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(opened.Base().Stored.Entries).To(gomega.HaveLen(1))
}

// command is a Persist with one entry that holds one byte.
func command(index consensus.Index, body byte) consensus.Persist {
	return consensus.Persist{Entries: []consensus.Entry{{Index: index, Term: 1, Kind: consensus.EntryCommand, Command: []byte{body}}}}
}
