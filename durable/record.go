package durable

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"hash/crc32"

	"zinniapulley.dev/consensus"
)

// headerBytes is the size of a record's header: the length of the body, and a checksum
// of that length and the body, four bytes each, big-endian.
const headerBytes = 8

// recordWriter encodes records as one gob stream: the first record holds the type
// definitions, later ones only values. A generation may hold several streams. After a
// record that was encoded but not stored, a new writer must start another stream.
type recordWriter struct {
	body    bytes.Buffer
	encoder *gob.Encoder
}

func newRecordWriter() *recordWriter {
	w := &recordWriter{}
	w.encoder = gob.NewEncoder(&w.body)
	return w
}

// append encodes a record and adds it to the buffer.
func (w *recordWriter) append(buffer *bytes.Buffer, r record) error {
	w.body.Reset()
	err := w.encoder.Encode(r)
	if err != nil {
		return err
	}
	var header [headerBytes]byte
	binary.BigEndian.PutUint32(header[:4], uint32(w.body.Len()))
	binary.BigEndian.PutUint32(header[4:], checksum(header[:4], w.body.Bytes()))
	buffer.Write(header[:])
	buffer.Write(w.body.Bytes())
	return nil
}

// checksum creates the CRC table on first use, since most processes have no disk.
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

// next returns the next record, or false if it is incomplete or corrupt.
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
	decoded, ok := r.decode(body)
	if ok {
		r.rest = r.rest[headerBytes+length:]
	}
	return decoded, ok
}

// decode decodes a record's body, which continues the gob stream of the previous
// record or starts another. Earlier versions wrote each record as a separate stream.
func (r *recordReader) decode(body []byte) (record, bool) {
	decoded, err := r.decodeNext(body)
	if err != nil {
		r.decoder = gob.NewDecoder(&r.body)
		decoded, err = r.decodeNext(body)
	}
	return decoded, err == nil
}

func (r *recordReader) decodeNext(body []byte) (record, error) {
	var decoded record
	r.body.Reset()
	r.body.Write(body)
	err := r.decoder.Decode(&decoded)
	return decoded, err
}

// replay returns the state of a generation at its last intact record and the offset of
// that record's end, or false if the base is not intact.
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
