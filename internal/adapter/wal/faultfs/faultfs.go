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

// errCrashed rejects a file handle or lock from before a crash.
var errCrashed = errors.New("faultfs: handle is from before a crash")

// ErrKilled rejects every operation of a process that KillAfter has ended.
var ErrKilled = errors.New("faultfs: the process was killed")

// node is the contents of one file.
type node struct {
	written []byte
	durable []byte
}

// Counters counts the operations and failures of a FileSystem.
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
	mutex  sync.Mutex
	random *rand.Rand
	// nameRandom decides which unsynced changes of names a crash keeps. It is a source of its
	// own, so that these choices do not change which bytes a seed tears.
	nameRandom *rand.Rand
	names      map[string]*node
	durable    map[string]*node
	// pending are the changes of names since the last sync of their folder, oldest first.
	pending []nameChange
	// folders are the folders that exist. pendingFolders are those whose parent was not synced
	// since they were made.
	folders        map[string]bool
	pendingFolders map[string]bool
	locks          map[string]uint64
	epoch          uint64
	failSync       int
	failWrite      int
	skipSync       bool
	capacity       int64
	counters       Counters
	// killIn is the number of operations until the process is killed, 0 if it is not; killed is
	// set from then on until Stop or Crash.
	killIn int
	killed bool
}

var _ wal.FileSystem = (*FileSystem)(nil)

// New returns an empty file system whose crashes derive from seed.
func New(seed uint64) *FileSystem {
	return &FileSystem{
		random:         rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		nameRandom:     rand.New(rand.NewPCG(seed, seed^0xd1b54a32d192ed03)),
		names:          map[string]*node{},
		durable:        map[string]*node{},
		folders:        map[string]bool{},
		pendingFolders: map[string]bool{},
		locks:          map[string]uint64{},
	}
}

// FailSync makes the count-th sync from now fail; 1 is the next. A crash loses the
// data of the failed sync even if a later sync succeeds.
func (f *FileSystem) FailSync(count int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failSync = count
}

// FailWrite makes the count-th write from now fail after a part of its data; 1 is
// the next.
func (f *FileSystem) FailWrite(count int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failWrite = count
}

// KillAfter kills the process at the count-th operation from now that changes the disk; 1 is
// the next. That operation and all later ones fail with ErrKilled and have no effect, until
// Stop or Crash. 0 cancels it.
func (f *FileSystem) KillAfter(count int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.killIn = count
}

// Killed reports whether KillAfter has ended the process.
func (f *FileSystem) Killed() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.killed
}

// operate counts an operation that changes the disk. It fails once the process is killed.
func (f *FileSystem) operate() error {
	if f.killIn > 0 {
		f.killIn--
		f.killed = f.killIn == 0
	}
	if f.killed {
		return ErrKilled
	}
	return nil
}

// SkipSync makes file syncs report success without doing anything.
func (f *FileSystem) SkipSync(skip bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.skipSync = skip
}

// SetCapacity limits the bytes of all files; 0 means unlimited.
func (f *FileSystem) SetCapacity(size int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.capacity = size
}

// Used returns the total size of all files in bytes.
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

// Counters returns the current counters.
func (f *FileSystem) Counters() Counters {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.counters
}

// Crash simulates a power loss: it drops what was not durable and invalidates open
// files and locks. Of the changes of names since the last sync of their folder, all are lost,
// all are kept, or each is by itself.
func (f *FileSystem) Crash() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.counters.Crashes++
	f.epoch++
	f.locks = map[string]uint64{}
	f.killIn, f.killed = 0, false
	lost := f.random.IntN(2) == 0
	each := f.nameRandom.IntN(2) == 0
	f.crashNames(func() bool {
		if each {
			return f.nameRandom.IntN(2) == 0
		}
		return !lost
	})
	for _, name := range slices.Sorted(maps.Keys(f.names)) {
		f.tear(f.names[name])
	}
	f.durable = maps.Clone(f.names)
}

// Stop simulates the end of a process: it invalidates open files and locks and
// preserves all written data. Changes of names stay unsynced.
func (f *FileSystem) Stop() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.epoch++
	f.killIn, f.killed = 0, false
	f.locks = map[string]uint64{}
}

// tear truncates the unsynced end at an arbitrary byte and sometimes damages it.
func (f *FileSystem) tear(file *node) {
	remaining := bytes.Clone(file.durable)
	if bytes.HasPrefix(file.written, file.durable) && len(file.written) > len(file.durable) {
		tail := file.written[len(file.durable):]
		length := f.random.IntN(len(tail) + 1)
		remaining = append(remaining, tail[:length]...)
		if length > 0 && f.random.IntN(3) == 0 {
			remaining[len(remaining)-1-f.random.IntN(min(length, 64))] ^= 1 << f.random.IntN(8)
		}
		if length < len(tail) {
			f.counters.TornWrites++
		}
	}
	file.written, file.durable = remaining, bytes.Clone(remaining)
}

// Flip inverts one bit of a stored byte, as on a damaged disk.
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
	f.pending = slices.DeleteFunc(f.pending, func(change nameChange) bool { return filepath.Dir(change.name) == directory })
	delete(f.folders, directory)
	delete(f.pendingFolders, directory)
	delete(f.locks, directory)
}

// MkdirAll implements wal.FileSystem. A folder is durable once its parent is synced.
func (f *FileSystem) MkdirAll(directory string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.mkdirAll(directory)
}

func (f *FileSystem) mkdirAll(directory string) error {
	parent := filepath.Dir(directory)
	if f.folders[directory] || directory == parent {
		return nil
	}
	if err := f.mkdirAll(parent); err != nil {
		return err
	}
	if err := f.operate(); err != nil {
		return err
	}
	f.folders[directory], f.pendingFolders[directory] = true, true
	return nil
}

// Lock implements wal.FileSystem.
func (f *FileSystem) Lock(directory string) (io.Closer, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if _, locked := f.locks[directory]; locked {
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
	if err := f.operate(); err != nil {
		return nil, err
	}
	created := &node{}
	f.change(nameChange{name: name, node: created})
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
	if err := f.operate(); err != nil {
		return err
	}
	f.change(nameChange{name: to, node: file, from: from})
	return nil
}

// Remove implements wal.FileSystem.
func (f *FileSystem) Remove(name string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	file := f.names[name]
	if file == nil {
		return fs.ErrNotExist
	}
	if err := f.operate(); err != nil {
		return err
	}
	f.change(nameChange{name: name, node: file, removes: true})
	return nil
}

// SyncDir implements wal.FileSystem.
func (f *FileSystem) SyncDir(directory string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.operate(); err != nil {
		return err
	}
	if !f.folders[directory] && directory != filepath.Dir(directory) {
		return fs.ErrNotExist
	}
	if f.syncFails() {
		return ErrInjected
	}
	f.syncNames(directory)
	return nil
}

// syncFails counts a sync and reports whether it must fail.
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
