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
	errPowerLoss = errors.ConstError("power loss")
	errFull      = errors.ConstError("no space left on device")
)

// memoryFiles is an in-memory file system that simulates power loss: each unsynced
// write and file name is independently kept, lost or (a write) torn.
type memoryFiles struct {
	// visible holds the files as a running process sees them, durable those whose
	// names have been synced.
	visible, durable map[string]*memoryFile
	operations       int
	// failAt is the number of the operation at which the power fails; zero for never.
	failAt int
	// full makes creating and writing files fail.
	full bool
}

type memoryFile struct {
	content, synced []byte
	// pending lists the writes since the last sync.
	pending []pendingWrite
}

type pendingWrite struct {
	at   int64
	data []byte
	// truncate is set if the operation truncates the file at the offset instead.
	truncate bool
}

func newFiles() *memoryFiles {
	return &memoryFiles{visible: map[string]*memoryFile{}, durable: map[string]*memoryFile{}}
}

// countOperation counts an operation and returns errPowerLoss from failAt on.
func (m *memoryFiles) countOperation() error {
	m.operations++
	if m.failAt > 0 && m.operations >= m.failAt {
		return errPowerLoss
	}
	return nil
}

func (m *memoryFiles) totalBytes() int {
	total := 0
	for _, f := range m.visible {
		total += len(f.content)
	}
	return total
}

// losePower simulates a power loss and a restart, and picks at random one of the
// states in which the disk may be.
func (m *memoryFiles) losePower(random *rand.Rand) {
	m.failAt = 0
	after := map[string]*memoryFile{}
	for name, f := range m.durable {
		if m.visible[name] == f || random.IntN(2) == 0 {
			after[name] = f
		}
	}
	for name, f := range m.visible {
		if m.durable[name] != f && random.IntN(2) == 0 {
			after[name] = f
		}
	}
	for _, f := range after {
		f.losePower(random)
	}
	m.visible, m.durable = after, map[string]*memoryFile{}
	for name, f := range after {
		m.durable[name] = f
	}
}

func (f *memoryFile) losePower(random *rand.Rand) {
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

// torn returns the write with its end cut off or a range inside it zeroed.
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

func (m *memoryFiles) MkdirAll(string) error { return m.countOperation() }

func (m *memoryFiles) List(path string) ([]string, error) {
	var names []string
	for name := range m.visible {
		if strings.HasPrefix(name, path) {
			names = append(names, filepath.Base(name))
		}
	}
	return names, m.countOperation()
}

func (m *memoryFiles) ReadFile(name string) ([]byte, error) {
	f, ok := m.visible[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), f.content...), m.countOperation()
}

func (m *memoryFiles) Create(name string) (durable.File, error) {
	if m.full {
		return nil, errFull
	}
	f := &memoryFile{}
	m.visible[name] = f
	return &openFile{files: m, file: f}, m.countOperation()
}

func (m *memoryFiles) Open(name string) (durable.File, error) {
	f, ok := m.visible[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return &openFile{files: m, file: f}, m.countOperation()
}

func (m *memoryFiles) Rename(from, to string) error {
	m.visible[to] = m.visible[from]
	delete(m.visible, from)
	return m.countOperation()
}

func (m *memoryFiles) Remove(name string) error {
	delete(m.visible, name)
	return m.countOperation()
}

func (m *memoryFiles) SyncFolder(string) error {
	err := m.countOperation()
	if err != nil {
		return err
	}
	m.durable = map[string]*memoryFile{}
	for name, f := range m.visible {
		m.durable[name] = f
	}
	return nil
}

// openFile is an open file. A failed write has written the first half of the data.
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
	err := o.files.countOperation()
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
	err := o.files.countOperation()
	if err != nil {
		return err
	}
	o.file.synced, o.file.pending = append([]byte(nil), o.file.content...), nil
	return nil
}

func (o *openFile) Truncate(size int64) error {
	o.write(pendingWrite{at: size, truncate: true})
	return o.files.countOperation()
}

func (o *openFile) Seek(offset int64, whence int) (int64, error) {
	if whence != io.SeekStart {
		return 0, errors.New("seek is only supported from the start")
	}
	o.offset = offset
	return offset, nil
}

func (o *openFile) Close() error { return nil }
