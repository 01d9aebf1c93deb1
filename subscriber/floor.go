package subscriber

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
)

// floorBytes is the size of a floor file: a revision and its checksum.
const floorBytes = 12

// readFloor reads the revision that the process had acknowledged before it restarted,
// the floor below which it must not accept a view. A missing or corrupt file is an
// error, since the floor is then unknown.
func readFloor(path string) (core.Revision, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, core.At("read floor", core.Peer(path), err)
	}
	if len(data) != floorBytes || crc32.ChecksumIEEE(data[:8]) != binary.BigEndian.Uint32(data[8:]) {
		return 0, core.At("read floor", core.Peer(path), errors.New("file is corrupt"))
	}
	return core.Revision(binary.BigEndian.Uint64(data)), nil
}

// writeFloor atomically replaces the floor file and syncs it. After an error the file
// holds either the previous or the new revision.
func writeFloor(path string, revision core.Revision) error {
	data := binary.BigEndian.AppendUint64(nil, uint64(revision))
	data = binary.BigEndian.AppendUint32(data, crc32.ChecksumIEEE(data))
	return core.At("write floor", core.Peer(path), replaceFile(path, data))
}

func replaceFile(path string, data []byte) error {
	next := path + ".new"
	file, err := os.OpenFile(next, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	closeErr := file.Close()
	if err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	err = os.Rename(next, path)
	if err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	err = folder.Sync()
	closeErr := folder.Close()
	if err != nil {
		return err
	}
	return closeErr
}
