package durable_test

import (
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
	"zinniapulley.dev/durable"
)

const (
	errCut  = errors.ConstError("the power is cut")
	errFull = errors.ConstError("no space is left")
)

// memoryFiles is a file system in memory that loses power: what wasn't synced may
// be kept, lost or torn, each write and each name for itself.
type memoryFiles struct {
	// names holds the files as running programs see them, durable those whose
	// names have been synced.
	names, durable map[string]*memoryFile
	operations     int
	// failAt is the operation at which the power is cut; zero for never.
	failAt int
	full   bool
}

type memoryFile struct {
	content, synced []byte
	// pending lists the writes since the last sync.
	pending []pendingWrite
}

type pendingWrite struct {
	at   int64
	data []byte
	// truncate says that the write cuts the file at the offset instead.
	truncate bool
}

func newFiles() *memoryFiles {
	return &memoryFiles{names: map[string]*memoryFile{}, durable: map[string]*memoryFile{}}
}

// step counts an operation and reports the cut.
func (m *memoryFiles) step() error {
	m.operations++
	if m.failAt > 0 && m.operations >= m.failAt {
		return errCut
	}
	return nil
}

func (m *memoryFiles) bytes() int {
	total := 0
	for _, f := range m.names {
		total += len(f.content)
	}
	return total
}

// losePower leaves what a disk may hold after the cut.
func (m *memoryFiles) losePower(random *rand.Rand) {
	m.failAt = 0
	after := map[string]*memoryFile{}
	for name, f := range m.durable {
		if m.names[name] == f || random.IntN(2) == 0 {
			after[name] = f
		}
	}
	for name, f := range m.names {
		if m.durable[name] != f && random.IntN(2) == 0 {
			after[name] = f
		}
	}
	for _, f := range after {
		f.lose(random)
	}
	m.names, m.durable = after, map[string]*memoryFile{}
	for name, f := range after {
		m.durable[name] = f
	}
}

func (f *memoryFile) lose(random *rand.Rand) {
	content := append([]byte(nil), f.synced...)
	for _, w := range f.pending {
		switch random.IntN(3) {
		case 0:
			content = apply(content, w)
		case 1:
			if !w.truncate {
				content = apply(content, w.torn(random))
			}
		}
	}
	f.content, f.synced, f.pending = content, append([]byte(nil), content...), nil
}

// torn returns a write of which the end or a part in the middle is missing.
func (w pendingWrite) torn(random *rand.Rand) pendingWrite {
	if random.IntN(2) == 0 {
		w.data = w.data[:random.IntN(len(w.data)+1)]
		return w
	}
	data := append([]byte(nil), w.data...)
	from := random.IntN(len(data))
	clear(data[from:min(from+64, len(data))])
	w.data = data
	return w
}

func apply(content []byte, w pendingWrite) []byte {
	if w.truncate {
		return content[:min(int(w.at), len(content))]
	}
	for int64(len(content)) < w.at+int64(len(w.data)) {
		content = append(content, 0)
	}
	copy(content[w.at:], w.data)
	return content
}

func (m *memoryFiles) MkdirAll(string) error { return m.step() }

func (m *memoryFiles) List(path string) ([]string, error) {
	var names []string
	for name := range m.names {
		if strings.HasPrefix(name, path) {
			names = append(names, filepath.Base(name))
		}
	}
	return names, m.step()
}

func (m *memoryFiles) ReadFile(name string) ([]byte, error) {
	f, ok := m.names[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), f.content...), m.step()
}

func (m *memoryFiles) Create(name string) (durable.File, error) {
	if m.full {
		return nil, errFull
	}
	f := &memoryFile{}
	m.names[name] = f
	return &openFile{files: m, file: f}, m.step()
}

func (m *memoryFiles) Open(name string) (durable.File, error) {
	f, ok := m.names[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return &openFile{files: m, file: f}, m.step()
}

func (m *memoryFiles) Rename(from, to string) error {
	m.names[to] = m.names[from]
	delete(m.names, from)
	return m.step()
}

func (m *memoryFiles) Remove(name string) error {
	delete(m.names, name)
	return m.step()
}

func (m *memoryFiles) SyncFolder(string) error {
	err := m.step()
	if err != nil {
		return err
	}
	m.durable = map[string]*memoryFile{}
	for name, f := range m.names {
		m.durable[name] = f
	}
	return nil
}

// openFile is an open file. A write that fails has written a part.
type openFile struct {
	files  *memoryFiles
	file   *memoryFile
	offset int64
}

func (o *openFile) write(w pendingWrite) {
	o.file.content = apply(o.file.content, w)
	o.file.pending = append(o.file.pending, w)
}

func (o *openFile) Write(data []byte) (int, error) {
	written := data
	err := o.files.step()
	if o.files.full {
		err = errFull
	}
	if err != nil {
		written = data[:len(data)/2]
	}
	o.write(pendingWrite{at: o.offset, data: append([]byte(nil), written...)})
	o.offset += int64(len(written))
	return len(written), err
}

func (o *openFile) Sync() error {
	err := o.files.step()
	if err != nil {
		return err
	}
	o.file.synced, o.file.pending = append([]byte(nil), o.file.content...), nil
	return nil
}

func (o *openFile) Truncate(size int64) error {
	o.write(pendingWrite{at: size, truncate: true})
	return o.files.step()
}

func (o *openFile) Seek(offset int64, whence int) (int64, error) {
	if whence != io.SeekStart {
		return 0, errors.New("only from the start")
	}
	o.offset = offset
	return offset, nil
}

func (o *openFile) Close() error { return nil }
