package durable

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"hash/crc32"

	"zinniapulley.dev/consensus"
)

// headerBytes is the length of a record's head: the length of its body and the
// checksum of both, four bytes each, big-endian.
const headerBytes = 8

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord adds a record to the buffer.
func appendRecord(buffer *bytes.Buffer, r record) error {
	body, err := encodeGob(r)
	if err != nil {
		return err
	}
	var head [headerBytes]byte
	binary.BigEndian.PutUint32(head[:4], uint32(len(body)))
	binary.BigEndian.PutUint32(head[4:], checksum(head[:4], body))
	buffer.Write(head[:])
	buffer.Write(body)
	return nil
}

func checksum(length, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, body)
}

// nextRecord returns the first record of the data and what follows it, and false
// when it is torn or damaged.
func nextRecord(data []byte) (record, []byte, bool) {
	if len(data) < headerBytes {
		return record{}, nil, false
	}
	length := int(binary.BigEndian.Uint32(data[:4]))
	if length == 0 || length > len(data)-headerBytes {
		return record{}, nil, false
	}
	body := data[headerBytes : headerBytes+length]
	if checksum(data[:4], body) != binary.BigEndian.Uint32(data[4:headerBytes]) {
		return record{}, nil, false
	}
	var r record
	err := gob.NewDecoder(bytes.NewReader(body)).Decode(&r)
	return r, data[headerBytes+length:], err == nil
}

// replay returns the state of a generation up to its last whole record, and
// false when not even its base is whole.
func replay(data []byte) (Base, bool) {
	first, rest, ok := nextRecord(data)
	if !ok || first.Base == nil {
		return Base{}, false
	}
	base := *first.Base
	for {
		next, after, ok := nextRecord(rest)
		if !ok {
			return base, true
		}
		base.Stored = merge(base.Stored, consensus.Persist{
			HardState: next.HardState, Snapshot: next.Snapshot, Reset: next.Reset, Entries: next.Entries, Commit: next.Commit,
		})
		rest = after
	}
}
