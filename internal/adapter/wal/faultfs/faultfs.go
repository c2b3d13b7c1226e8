package faultfs

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
)

// ErrInjected is the cause of every injected failure except a full disk, which
// is syscall.ENOSPC.
var ErrInjected = errors.New("faultfs: injected failure")

// errCrashed refuses a file handle or lock from before a crash.
var errCrashed = errors.New("faultfs: handle is from before a crash")

// node is the contents of one file.
type node struct {
	written []byte
	durable []byte
}

// Counters says how often things happened.
type Counters struct {
	Syncs       uint64
	FailedSyncs uint64
	Crashes     uint64
	TornWrites  uint64
	FullWrites  uint64
}

// FileSystem implements wal.FileSystem in memory. It is safe for concurrent
// use.
type FileSystem struct {
	mutex    sync.Mutex
	random   *rand.Rand
	names    map[string]*node
	durable  map[string]*node
	folders  map[string]bool
	locks    map[string]uint64
	epoch    uint64
	failSync int
	failNext int
	skipSync bool
	capacity int64
	counters Counters
}

var _ wal.FileSystem = (*FileSystem)(nil)

// New returns an empty file system whose crashes follow from seed.
func New(seed uint64) *FileSystem {
	return &FileSystem{
		random:  rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		names:   map[string]*node{},
		durable: map[string]*node{},
		folders: map[string]bool{},
		locks:   map[string]uint64{},
	}
}

// FailSync makes the sync fail that is count syncs from now; 1 is the next.
// What that sync should have made durable is lost at a crash, even if a later
// sync succeeds.
func (f *FileSystem) FailSync(count int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failSync = count
}

// FailWrite makes the write fail, after a part of it, that is count writes
// from now; 1 is the next.
func (f *FileSystem) FailWrite(count int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failNext = count
}

// SkipSync makes file syncs report success without doing anything.
func (f *FileSystem) SkipSync(skip bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.skipSync = skip
}

// SetCapacity bounds the bytes of all files; 0 is no bound.
func (f *FileSystem) SetCapacity(size int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.capacity = size
}

// Used returns the bytes of all files.
func (f *FileSystem) Used() int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.used()
}

func (f *FileSystem) used() int64 {
	total := int64(0)
	for _, file := range f.names {
		total += int64(len(file.written))
	}
	return total
}

// Counters returns how often things happened.
func (f *FileSystem) Counters() Counters {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.counters
}

// Crash loses what was not durable, as a loss of power does. Open files and
// locks are void afterwards.
func (f *FileSystem) Crash() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.counters.Crashes++
	f.epoch++
	f.locks = map[string]uint64{}
	if f.random.IntN(2) == 0 {
		f.names = maps.Clone(f.durable)
	}
	for _, name := range slices.Sorted(maps.Keys(f.names)) {
		f.tear(f.names[name])
	}
	f.durable = maps.Clone(f.names)
}

// Stop voids open files and locks and keeps everything that was written, as
// the end of a process does.
func (f *FileSystem) Stop() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.epoch++
	f.locks = map[string]uint64{}
}

// tear leaves an arbitrary part of the unsynced end, at times damaged.
func (f *FileSystem) tear(file *node) {
	kept := bytes.Clone(file.durable)
	if bytes.HasPrefix(file.written, file.durable) && len(file.written) > len(file.durable) {
		tail := file.written[len(file.durable):]
		length := f.random.IntN(len(tail) + 1)
		kept = append(kept, tail[:length]...)
		if length > 0 && f.random.IntN(3) == 0 {
			kept[len(kept)-1-f.random.IntN(min(length, 64))] ^= 1 << f.random.IntN(8)
		}
		if length < len(tail) {
			f.counters.TornWrites++
		}
	}
	file.written, file.durable = kept, bytes.Clone(kept)
}

// Flip inverts one bit of a stored byte, as a damaged disk does.
func (f *FileSystem) Flip(name string, offset int64) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	file := f.names[name]
	if file == nil || offset >= int64(len(file.written)) {
		return fs.ErrNotExist
	}
	file.written = bytes.Clone(file.written)
	file.written[offset] ^= 1
	if offset < int64(len(file.durable)) {
		file.durable = bytes.Clone(file.durable)
		file.durable[offset] ^= 1
	}
	return nil
}

// RemoveAll removes a folder with all its files, durably.
func (f *FileSystem) RemoveAll(directory string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	inside := func(name string, _ *node) bool {
		return strings.HasPrefix(name, directory+string(filepath.Separator))
	}
	maps.DeleteFunc(f.names, inside)
	maps.DeleteFunc(f.durable, inside)
	delete(f.folders, directory)
	delete(f.locks, directory)
}

// MkdirAll implements wal.FileSystem. Folders are durable at once.
func (f *FileSystem) MkdirAll(directory string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.folders[directory] = true
	return nil
}

// Lock implements wal.FileSystem.
func (f *FileSystem) Lock(directory string) (io.Closer, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if _, taken := f.locks[directory]; taken {
		return nil, wal.ErrLocked
	}
	f.locks[directory] = f.epoch
	return &lock{files: f, directory: directory, epoch: f.epoch}, nil
}

type lock struct {
	files     *FileSystem
	directory string
	epoch     uint64
}

// Close implements io.Closer.
func (l *lock) Close() error {
	l.files.mutex.Lock()
	defer l.files.mutex.Unlock()
	if l.files.locks[l.directory] == l.epoch {
		delete(l.files.locks, l.directory)
	}
	return nil
}

// ReadDir implements wal.FileSystem.
func (f *FileSystem) ReadDir(directory string) ([]string, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.folders[directory] {
		return nil, fs.ErrNotExist
	}
	var names []string
	for name := range f.names {
		if filepath.Dir(name) == directory {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile implements wal.FileSystem.
func (f *FileSystem) ReadFile(name string) ([]byte, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	file := f.names[name]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return bytes.Clone(file.written), nil
}

// Create implements wal.FileSystem.
func (f *FileSystem) Create(name string) (wal.File, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.folders[filepath.Dir(name)] {
		return nil, fs.ErrNotExist
	}
	created := &node{}
	f.names[name] = created
	return &handle{files: f, node: created, epoch: f.epoch}, nil
}

// OpenAppend implements wal.FileSystem.
func (f *FileSystem) OpenAppend(name string) (wal.File, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	file := f.names[name]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return &handle{files: f, node: file, epoch: f.epoch}, nil
}

// Rename implements wal.FileSystem.
func (f *FileSystem) Rename(from, to string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	file := f.names[from]
	if file == nil {
		return fs.ErrNotExist
	}
	delete(f.names, from)
	f.names[to] = file
	return nil
}

// Remove implements wal.FileSystem.
func (f *FileSystem) Remove(name string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.names[name] == nil {
		return fs.ErrNotExist
	}
	delete(f.names, name)
	return nil
}

// SyncDir implements wal.FileSystem.
func (f *FileSystem) SyncDir(directory string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.syncFails() {
		return ErrInjected
	}
	inside := func(name string, _ *node) bool { return filepath.Dir(name) == directory }
	maps.DeleteFunc(f.durable, inside)
	for name, file := range f.names {
		if filepath.Dir(name) == directory {
			f.durable[name] = file
		}
	}
	return nil
}

// syncFails counts a sync and reports whether it is to fail.
func (f *FileSystem) syncFails() bool {
	f.counters.Syncs++
	if f.failSync == 0 {
		return false
	}
	f.failSync--
	if f.failSync > 0 {
		return false
	}
	f.counters.FailedSyncs++
	return true
}
