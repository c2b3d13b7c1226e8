package faultfs

import (
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
)

// SlowFiles is a file system whose file syncs can be held up, as on a slow disk.
type SlowFiles struct {
	wal.FileSystem
	mutex sync.Mutex
	// held is closed to release held syncs; nil while syncs pass.
	held  chan struct{}
	delay time.Duration
}

// NewSlowFiles returns SlowFiles on another file system.
func NewSlowFiles(files wal.FileSystem) *SlowFiles { return &SlowFiles{FileSystem: files} }

// HoldSyncs makes every file sync wait until release is called.
func (f *SlowFiles) HoldSyncs() (release func()) {
	held := make(chan struct{})
	f.setHeld(held)
	return sync.OnceFunc(func() {
		f.setHeld(nil)
		close(held)
	})
}

// SetSyncDelay makes every file sync take longer.
func (f *SlowFiles) SetSyncDelay(delay time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.delay = delay
}

func (f *SlowFiles) setHeld(held chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.held = held
}

// Create implements wal.FileSystem.
func (f *SlowFiles) Create(name string) (wal.File, error) {
	return f.slow(f.FileSystem.Create(name))
}

// OpenAppend implements wal.FileSystem.
func (f *SlowFiles) OpenAppend(name string) (wal.File, error) {
	return f.slow(f.FileSystem.OpenAppend(name))
}

func (f *SlowFiles) slow(file wal.File, err error) (wal.File, error) {
	if err != nil {
		return nil, err
	}
	return slowFile{file, f}, nil
}

type slowFile struct {
	wal.File
	files *SlowFiles
}

// Sync implements wal.File.
func (f slowFile) Sync() error {
	f.files.mutex.Lock()
	held, delay := f.files.held, f.files.delay
	f.files.mutex.Unlock()
	time.Sleep(delay)
	if held != nil {
		<-held
	}
	return f.File.Sync()
}
