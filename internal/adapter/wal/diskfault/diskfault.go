package diskfault

import (
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
)

// Mode is a disk fault.
type Mode string

// The modes of the control file. Any other content, or no file, means a healthy disk.
const (
	// Stall blocks every write and sync until the mode changes.
	Stall Mode = "stall"
	// Slow delays every write and sync by SlowDelay.
	Slow Mode = "slow"
	// Refuse fails every write and sync with ENOSPC.
	Refuse Mode = "refuse"
)

const (
	// SlowDelay is the delay of a slow disk.
	SlowDelay = 60 * time.Millisecond
	// modePollInterval is how often a stalled call checks the mode.
	modePollInterval = 10 * time.Millisecond
)

// ControlFile returns the path of the file that holds the mode of a data folder's disk.
func ControlFile(folder string) string { return strings.TrimRight(folder, "/") + ".disk-fault" }

// fileSystem injects the fault of the control file into writes and syncs.
type fileSystem struct {
	wal.FileSystem
	control string
}

// New returns a file system that injects faults into writes and syncs of another one.
func New(underlying wal.FileSystem, folder string) wal.FileSystem {
	return &fileSystem{FileSystem: underlying, control: ControlFile(folder)}
}

// applyFault applies the current mode before a write or sync.
func (f *fileSystem) applyFault() error {
	for {
		mode, _ := os.ReadFile(f.control)
		switch Mode(mode) {
		case Stall:
			time.Sleep(modePollInterval)
		case Slow:
			time.Sleep(SlowDelay)
			return nil
		case Refuse:
			return syscall.ENOSPC
		default:
			return nil
		}
	}
}

// Create implements wal.FileSystem.
func (f *fileSystem) Create(name string) (wal.File, error) {
	if err := f.applyFault(); err != nil {
		return nil, err
	}
	underlying, err := f.FileSystem.Create(name)
	if err != nil {
		return nil, err
	}
	return &file{File: underlying, disk: f}, nil
}

// OpenAppend implements wal.FileSystem.
func (f *fileSystem) OpenAppend(name string) (wal.File, error) {
	underlying, err := f.FileSystem.OpenAppend(name)
	if err != nil {
		return nil, err
	}
	return &file{File: underlying, disk: f}, nil
}

// SyncDir implements wal.FileSystem.
func (f *fileSystem) SyncDir(directory string) error {
	if err := f.applyFault(); err != nil {
		return err
	}
	return f.FileSystem.SyncDir(directory)
}

// file injects the faults of its disk.
type file struct {
	wal.File
	disk *fileSystem
}

// Write implements wal.File.
func (f *file) Write(data []byte) (int, error) {
	if err := f.disk.applyFault(); err != nil {
		return 0, err
	}
	return f.File.Write(data)
}

// Sync implements wal.File.
func (f *file) Sync() error {
	if err := f.disk.applyFault(); err != nil {
		return err
	}
	return f.File.Sync()
}
