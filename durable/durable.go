// Package durable keeps the state of one member of a replicated log in one data
// folder. What Save has reported as synced survives a crash or a loss of power
// at any point.
//
// A folder holds generations, each one file. A generation begins with a base
// record, which holds the whole state, and goes on with a record for each Save.
// A new generation is written under another name, synced, renamed and its folder
// synced before the older one is removed, so a complete one is there at any time.
package durable

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"zinniapulley.dev/consensus"
	"zinniapulley.dev/core"
)

// File is what a Folder needs of an open file.
type File interface {
	io.Writer
	io.Closer
	Sync() error
	Truncate(size int64) error
	Seek(offset int64, whence int) (int64, error)
}

// FileSystem is what a Folder needs of a file system. Names are paths.
type FileSystem interface {
	MkdirAll(folder string) error
	List(folder string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create opens an empty file for writing, whether or not it was there.
	Create(name string) (File, error)
	// Open opens a file that is there for writing.
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes created, renamed and removed names durable.
	SyncFolder(folder string) error
}

const (
	generationPrefix = "log-"
	temporarySuffix  = ".new"
	// minGenerationBytes is the least size, in bytes, at which a file is replaced by
	// a new generation with the present state alone. A start has to read the file.
	minGenerationBytes = 1 << 20
	// generationGrowth is how many times the size of its base a file may have, so
	// that a large state isn't written again for each small change.
	generationGrowth = 3
)

// Base is the state with which a generation begins.
type Base struct {
	Self   consensus.MemberID
	Stored consensus.Stored
}

// Folder is an open data folder. It belongs to one goroutine.
type Folder struct {
	files      FileSystem
	path       string
	generation uint64
	file       File
	// writer encodes the records that are appended.
	writer *recordWriter
	// limit is the size at which a new generation begins.
	limit int64
	// size is how many bytes of the file are whole records.
	size int64
	base Base
}

// Open reads the folder. The second result is false when it holds no state;
// Begin must then be called before Save.
func Open(files FileSystem, path string) (*Folder, bool, error) {
	f := &Folder{files: files, path: path}
	err := files.MkdirAll(path)
	if err != nil {
		return nil, false, core.At("create data folder", core.Peer(path), err)
	}
	names, err := files.List(path)
	if err != nil {
		return nil, false, core.At("list data folder", core.Peer(path), err)
	}
	generations := generationsOf(names)
	f.generation = highest(names)
	for _, generation := range slices.Backward(generations) {
		data, err := files.ReadFile(f.name(generation))
		if err != nil {
			return nil, false, core.At("read log", core.Peer(f.name(generation)), err)
		}
		base, size, whole := replay(data)
		if !whole {
			continue
		}
		f.base = base
		return f, true, f.goOn(generation, size)
	}
	return f, false, nil
}

// goOn has the next records appended to the newest generation that is whole. What
// was read may not have been synced, and what follows the last whole record never
// was: the first is synced and the second cut off. Where that fails, a new generation
// settles both.
func (f *Folder) goOn(generation uint64, size int64) error {
	file, err := f.files.Open(f.name(generation))
	if err != nil {
		return f.rotate()
	}
	err = file.Truncate(size)
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = f.files.SyncFolder(f.path)
	}
	if err != nil {
		_ = file.Close()
		return f.rotate()
	}
	f.generation = generation
	f.use(file, size)
	return f.removeOld()
}

// use makes the file the one that records are appended to.
func (f *Folder) use(file File, size int64) {
	f.file, f.size = file, size
	f.writer = newRecordWriter()
	f.limit = max(minGenerationBytes, generationGrowth*size)
}

// generationsOf returns the numbers of the generations in rising order.
func generationsOf(names []string) []uint64 {
	var generations []uint64
	for _, name := range names {
		number, ok := strings.CutPrefix(name, generationPrefix)
		if !ok {
			continue
		}
		generation, err := strconv.ParseUint(number, 10, 64)
		if err == nil {
			generations = append(generations, generation)
		}
	}
	slices.Sort(generations)
	return generations
}

// highest returns the highest number in use, by temporary files too.
func highest(names []string) uint64 {
	trimmed := make([]string, len(names))
	for i, name := range names {
		trimmed[i] = strings.TrimSuffix(name, temporarySuffix)
	}
	generations := generationsOf(trimmed)
	if len(generations) == 0 {
		return 0
	}
	return generations[len(generations)-1]
}

// Begin stores the first state of an empty folder.
func (f *Folder) Begin(base Base) error {
	f.base = base
	return f.rotate()
}

// Base returns the state as last saved.
func (f *Folder) Base() Base {
	base := f.base
	// Room behind the entries is the folder's own.
	base.Stored.Entries = slices.Clip(base.Stored.Entries)
	return base
}

// Save stores the parts of Persist actions, in order, and syncs once. After an
// error none of them may be taken as stored, and the call may be repeated.
func (f *Folder) Save(actions []consensus.Persist) error {
	var buffer bytes.Buffer
	next := f.base
	for _, action := range actions {
		next.Stored = merge(next.Stored, action)
		err := f.writer.append(&buffer, record{
			HardState: action.HardState, Snapshot: action.Snapshot, Reset: action.Reset, Entries: action.Entries, Commit: action.Commit,
		})
		if err != nil {
			f.writer = newRecordWriter()
			return core.At("encode record", core.Peer(f.path), err)
		}
	}
	if f.file == nil || f.size+int64(buffer.Len()) > f.limit {
		return f.saveAsBase(next)
	}
	err := f.append(buffer.Bytes())
	if err != nil {
		f.writer = newRecordWriter()
		return err
	}
	f.base = next
	return nil
}

// saveAsBase stores the state as a new generation.
func (f *Folder) saveAsBase(next Base) error {
	before := f.base
	f.base = next
	err := f.rotate()
	if err != nil {
		f.base = before
	}
	return err
}

// append writes and syncs records behind the whole ones.
func (f *Folder) append(data []byte) error {
	peer := core.Peer(f.name(f.generation))
	_, err := f.file.Seek(f.size, io.SeekStart)
	if err != nil {
		return core.At("seek in log", peer, err)
	}
	_, err = f.file.Write(data)
	if err != nil {
		return core.At("write log", peer, f.cutBack(err))
	}
	err = f.file.Sync()
	if err != nil {
		// What a failed sync has left is unknown: the next Save starts a new
		// generation.
		_ = f.file.Close()
		f.file = nil
		return core.At("sync log", peer, err)
	}
	f.size += int64(len(data))
	return nil
}

// cutBack removes the part of a record that a failed write has left.
func (f *Folder) cutBack(cause error) error {
	err := f.file.Truncate(f.size)
	if err != nil {
		_ = f.file.Close()
		f.file = nil
		return errors.Annotatef(cause, "and cut the log back: %v", err)
	}
	return cause
}

// rotate stores the whole state as a new generation and removes older ones.
func (f *Folder) rotate() error {
	var buffer bytes.Buffer
	err := newRecordWriter().append(&buffer, record{Base: &f.base})
	if err != nil {
		return core.At("encode state", core.Peer(f.path), err)
	}
	generation := f.generation + 1
	file, err := f.writeGeneration(generation, buffer.Bytes())
	if err != nil {
		return err
	}
	if f.file != nil {
		_ = f.file.Close()
	}
	f.generation = generation
	f.use(file, int64(buffer.Len()))
	return f.removeOld()
}

func (f *Folder) writeGeneration(generation uint64, data []byte) (File, error) {
	name := f.name(generation)
	file, err := f.files.Create(name + temporarySuffix)
	if err != nil {
		return nil, core.At("create log", core.Peer(name), err)
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = f.files.Rename(name+temporarySuffix, name)
	}
	if err == nil {
		err = f.files.SyncFolder(f.path)
	}
	if err != nil {
		_ = file.Close()
		return nil, core.At("write new log", core.Peer(name), err)
	}
	return file, nil
}

// removeOld removes what the present generation replaces. A failure leaves
// files that the next start passes over, so it isn't one of the caller's.
func (f *Folder) removeOld() error {
	names, err := f.files.List(f.path)
	if err != nil {
		return core.At("list data folder", core.Peer(f.path), err)
	}
	for _, name := range names {
		full := filepath.Join(f.path, name)
		if strings.HasPrefix(name, generationPrefix) && full != f.name(f.generation) {
			_ = f.files.Remove(full)
		}
	}
	return nil
}

func (f *Folder) name(generation uint64) string {
	return filepath.Join(f.path, fmt.Sprintf("%s%010d", generationPrefix, generation))
}

// Close closes the file. The folder must not be used after it.
func (f *Folder) Close() error {
	if f.file == nil {
		return nil
	}
	return core.At("close log", core.Peer(f.name(f.generation)), f.file.Close())
}

// merge returns the stored state with an action carried out.
func merge(stored consensus.Stored, action consensus.Persist) consensus.Stored {
	if action.HardState != nil {
		stored.HardState = *action.HardState
	}
	if action.Snapshot != nil {
		stored.Snapshot = *action.Snapshot
		if action.Reset {
			stored.Entries = nil
		}
		stored.Entries = entriesAfter(stored.Entries, stored.Snapshot.Index)
	}
	stored.Commit = max(stored.Commit, action.Commit)
	if len(action.Entries) > 0 {
		kept := entriesBefore(stored.Entries, action.Entries[0].Index)
		stored.Entries = entriesAfter(append(kept, action.Entries...), stored.Snapshot.Index)
	}
	return stored
}

// entriesBefore returns the entries before the index, to append to: what they share
// with the caller's is never written over.
func entriesBefore(entries []consensus.Entry, index consensus.Index) []consensus.Entry {
	if len(entries) == 0 || entries[len(entries)-1].Index < index {
		return entries
	}
	at, _ := slices.BinarySearchFunc(entries, index, compareIndex)
	return slices.Clip(entries[:at])
}

func compareIndex(e consensus.Entry, index consensus.Index) int { return cmp.Compare(e.Index, index) }

// entriesAfter returns the entries behind the index.
func entriesAfter(entries []consensus.Entry, index consensus.Index) []consensus.Entry {
	first, _ := slices.BinarySearchFunc(entries, index+1, compareIndex)
	return entries[first:]
}

// record is one step of a generation: the base, or the parts of one Persist.
type record struct {
	Base      *Base
	HardState *consensus.HardState
	Snapshot  *consensus.Snapshot
	Reset     bool
	Entries   []consensus.Entry
	Commit    consensus.Index
}
