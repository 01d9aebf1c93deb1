// Package durable stores the state of one member of a replicated log in a data
// folder. State for which Save has returned without an error survives a crash or
// power loss at any point.
//
// A folder holds generations, one file each. A generation starts with a base
// record, which holds the whole state, followed by one record per Persist action.
// A new generation is written to a temporary file, synced and renamed, and the folder
// synced, before the older one is removed, so that a complete one always exists.
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

// File is an open file, with the operations that a Folder needs.
type File interface {
	io.Writer
	io.Closer
	Sync() error
	Truncate(size int64) error
	Seek(offset int64, whence int) (int64, error)
}

// FileSystem has the file system operations that a Folder needs. Names are paths.
type FileSystem interface {
	MkdirAll(folder string) error
	List(folder string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create creates or truncates a file and opens it for writing.
	Create(name string) (File, error)
	// Open opens an existing file for writing.
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes the creation, renaming and removal of files durable.
	SyncFolder(folder string) error
}

const (
	generationPrefix = "log-"
	temporarySuffix  = ".new"
	// minGenerationBytes is the smallest size limit of a generation, above which a
	// new one with the current state replaces it. The limit bounds what a start reads.
	minGenerationBytes = 1 << 20
	// generationGrowth limits a generation to a multiple of the size of its base, so
	// that a large state isn't rewritten for each small change.
	generationGrowth = 3
)

// Base is the whole state of a member, as stored in the base record of a generation.
type Base struct {
	Self   consensus.MemberID
	Stored consensus.Stored
}

// Folder is an open data folder. It must be used by one goroutine only.
type Folder struct {
	files      FileSystem
	path       string
	generation uint64
	file       File
	// writer encodes appended records.
	writer *recordWriter
	// limit is the file size above which a new generation starts.
	limit int64
	// size is the length of the file's intact records.
	size int64
	// state is the state as of the last Save.
	state Base
}

// Open reads the folder. The second result is false if it holds no state;
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
	f.generation = highestGeneration(names)
	for _, generation := range slices.Backward(generations) {
		data, err := files.ReadFile(f.name(generation))
		if err != nil {
			return nil, false, core.At("read log", core.Peer(f.name(generation)), err)
		}
		base, size, intact := replay(data)
		if !intact {
			continue
		}
		f.state = base
		return f, true, f.resume(generation, size)
	}
	return f, false, nil
}

// resume prepares the newest intact generation for appending. Its intact records may
// not have been synced yet, so it syncs them, and it truncates what follows them. If
// that fails, a new generation replaces the file.
func (f *Folder) resume(generation uint64, size int64) error {
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
	f.setFile(file, size)
	return f.removeOld()
}

// setFile makes records append to the file, which has size bytes of intact records.
func (f *Folder) setFile(file File, size int64) {
	f.file, f.size = file, size
	f.writer = newRecordWriter()
	f.limit = max(minGenerationBytes, generationGrowth*size)
}

// generationsOf returns the numbers of the generations in ascending order.
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

// highestGeneration returns the highest generation number, temporary files included,
// or zero if there is none.
func highestGeneration(names []string) uint64 {
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

// Begin stores the initial state of an empty folder.
func (f *Folder) Begin(base Base) error {
	f.state = base
	return f.rotate()
}

// State returns the last saved state.
func (f *Folder) State() Base {
	state := f.state
	// Clipped so that a caller that appends can't overwrite the folder's entries.
	state.Stored.Entries = slices.Clip(state.Stored.Entries)
	return state
}

// Save stores Persist actions in order and syncs once. After an error the caller must
// assume that none of them is stored, and may repeat the call.
func (f *Folder) Save(actions []consensus.Persist) error {
	var buffer bytes.Buffer
	next := f.state
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
	f.state = next
	return nil
}

// saveAsBase stores the state as a new generation.
func (f *Folder) saveAsBase(next Base) error {
	previous := f.state
	f.state = next
	err := f.rotate()
	if err != nil {
		f.state = previous
	}
	return err
}

// append writes and syncs encoded records after the intact ones.
func (f *Folder) append(data []byte) error {
	peer := core.Peer(f.name(f.generation))
	_, err := f.file.Seek(f.size, io.SeekStart)
	if err != nil {
		return core.At("seek in log", peer, err)
	}
	_, err = f.file.Write(data)
	if err != nil {
		return core.At("write log", peer, f.truncatePartialWrite(err))
	}
	err = f.file.Sync()
	if err != nil {
		// The file's durable content is unknown after a failed sync, so the next
		// Save starts a new generation.
		_ = f.file.Close()
		f.file = nil
		return core.At("sync log", peer, err)
	}
	f.size += int64(len(data))
	return nil
}

// truncatePartialWrite removes what a failed write left behind. It returns the
// write's error.
func (f *Folder) truncatePartialWrite(cause error) error {
	err := f.file.Truncate(f.size)
	if err != nil {
		_ = f.file.Close()
		f.file = nil
		return errors.Annotatef(cause, "partial write not truncated: %v", err)
	}
	return cause
}

// rotate stores the whole state as a new generation and removes the older ones.
func (f *Folder) rotate() error {
	var buffer bytes.Buffer
	err := newRecordWriter().append(&buffer, record{Base: &f.state})
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
	f.setFile(file, int64(buffer.Len()))
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

// removeOld removes the files that the current generation replaces. Failed removals
// are ignored: the next start prefers the newest intact generation.
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

// Close closes the file. The folder must not be used afterwards.
func (f *Folder) Close() error {
	if f.file == nil {
		return nil
	}
	return core.At("close log", core.Peer(f.name(f.generation)), f.file.Close())
}

// merge returns the stored state with an action applied.
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
		retained := entriesBefore(stored.Entries, action.Entries[0].Index)
		stored.Entries = entriesAfter(append(retained, action.Entries...), stored.Snapshot.Index)
	}
	return stored
}

// entriesBefore returns the entries before the index. Appending to the result never
// overwrites the given entries.
func entriesBefore(entries []consensus.Entry, index consensus.Index) []consensus.Entry {
	if len(entries) == 0 || entries[len(entries)-1].Index < index {
		return entries
	}
	at, _ := slices.BinarySearchFunc(entries, index, compareIndex)
	return slices.Clip(entries[:at])
}

func compareIndex(e consensus.Entry, index consensus.Index) int { return cmp.Compare(e.Index, index) }

// entriesAfter returns the entries after the index.
func entriesAfter(entries []consensus.Entry, index consensus.Index) []consensus.Entry {
	first, _ := slices.BinarySearchFunc(entries, index+1, compareIndex)
	return entries[first:]
}

// record is one record of a generation: the base, or the content of one Persist.
type record struct {
	Base      *Base
	HardState *consensus.HardState
	Snapshot  *consensus.Snapshot
	Reset     bool
	Entries   []consensus.Entry
	Commit    consensus.Index
}
