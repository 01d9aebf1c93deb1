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

// recordWriter encodes records as one gob stream: the first one brings the types,
// and each later one only values. A generation may hold several streams; a new one
// must follow a record that was encoded but not stored.
type recordWriter struct {
	body    bytes.Buffer
	encoder *gob.Encoder
}

func newRecordWriter() *recordWriter {
	w := &recordWriter{}
	w.encoder = gob.NewEncoder(&w.body)
	return w
}

// append adds a record to the buffer.
func (w *recordWriter) append(buffer *bytes.Buffer, r record) error {
	w.body.Reset()
	err := w.encoder.Encode(r)
	if err != nil {
		return err
	}
	var head [headerBytes]byte
	binary.BigEndian.PutUint32(head[:4], uint32(w.body.Len()))
	binary.BigEndian.PutUint32(head[4:], checksum(head[:4], w.body.Bytes()))
	buffer.Write(head[:])
	buffer.Write(w.body.Bytes())
	return nil
}

// checksum makes its table at the first call: most processes have no disk.
func checksum(length, body []byte) uint32 {
	castagnoli := crc32.MakeTable(crc32.Castagnoli)
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, body)
}

// recordReader reads the records of one generation.
type recordReader struct {
	rest    []byte
	body    bytes.Buffer
	decoder *gob.Decoder
}

func newRecordReader(data []byte) *recordReader {
	r := &recordReader{rest: data}
	r.decoder = gob.NewDecoder(&r.body)
	return r
}

// next returns the next record, and false when it is torn or damaged.
func (r *recordReader) next() (record, bool) {
	if len(r.rest) < headerBytes {
		return record{}, false
	}
	length := int(binary.BigEndian.Uint32(r.rest[:4]))
	if length == 0 || length > len(r.rest)-headerBytes {
		return record{}, false
	}
	body := r.rest[headerBytes : headerBytes+length]
	if checksum(r.rest[:4], body) != binary.BigEndian.Uint32(r.rest[4:headerBytes]) {
		return record{}, false
	}
	found, ok := r.decode(body)
	if ok {
		r.rest = r.rest[headerBytes+length:]
	}
	return found, ok
}

// decode reads a record's body, which goes on with the stream of the record before
// or begins another. Earlier versions wrote each record as a stream of its own.
func (r *recordReader) decode(body []byte) (record, bool) {
	found, err := r.decodeNext(body)
	if err != nil {
		r.decoder = gob.NewDecoder(&r.body)
		found, err = r.decodeNext(body)
	}
	return found, err == nil
}

func (r *recordReader) decodeNext(body []byte) (record, error) {
	var found record
	r.body.Reset()
	r.body.Write(body)
	err := r.decoder.Decode(&found)
	return found, err
}

// replay returns the state of a generation up to its last whole record, with the
// size in bytes up to there, and false when not even its base is whole.
func replay(data []byte) (Base, int64, bool) {
	reader := newRecordReader(data)
	first, ok := reader.next()
	if !ok || first.Base == nil {
		return Base{}, 0, false
	}
	base := *first.Base
	for {
		size := int64(len(data) - len(reader.rest))
		next, ok := reader.next()
		if !ok {
			return base, size, true
		}
		base.Stored = merge(base.Stored, consensus.Persist{
			HardState: next.HardState, Snapshot: next.Snapshot, Reset: next.Reset, Entries: next.Entries, Commit: next.Commit,
		})
	}
}
