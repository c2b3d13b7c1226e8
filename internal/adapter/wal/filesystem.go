package wal

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

// FileSystem is the part of a file system that a Log needs. Names are paths.
type FileSystem interface {
	// MkdirAll creates a folder and its parents. They are durable once the folder that holds
	// each of them is synced; MakeFolder does both.
	MkdirAll(directory string) error
	// Lock locks the folder for this process until the result is closed. It
	// fails with ErrLocked if another process holds the lock.
	Lock(directory string) (io.Closer, error)
	// ReadDir returns the names of the files in a folder, sorted. It fails
	// with fs.ErrNotExist if there is no folder.
	ReadDir(directory string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create creates an empty file for writing and replaces an existing one.
	Create(name string) (File, error)
	// OpenAppend opens a file for writing at its end.
	OpenAppend(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes creations, renames and removals in a folder durable.
	SyncDir(directory string) error
}

// File is a file that is written sequentially.
type File interface {
	io.WriteCloser
	// Sync makes all written data durable.
	Sync() error
	// Truncate shortens the file; later writes go to the new end.
	Truncate(size int64) error
}

// MakeFolder makes a folder and its missing parents, durably. It makes a folder only once the
// parent is durable, and always syncs the parent: a process may have ended after it made the
// folder. A parent that this process cannot sync belongs to somebody else, who made the folder.
func MakeFolder(files FileSystem, directory string) error {
	parent := filepath.Dir(directory)
	if parent == directory {
		return nil
	}
	if _, err := files.ReadDir(directory); errors.Is(err, fs.ErrNotExist) {
		if err := MakeFolder(files, parent); err != nil {
			return err
		}
		if err := files.MkdirAll(directory); err != nil {
			return eris.Wrap(err, "make folder")
		}
	}
	if err := files.SyncDir(parent); err != nil && !cannotSync(err) {
		return eris.Wrap(err, "sync parent folder")
	}
	return nil
}

// cannotSync reports whether a folder cannot be synced by this process, or at all: the parent of a
// mounted data folder may be read-only or of a file system without syncs of folders.
func cannotSync(err error) bool {
	return errors.Is(err, fs.ErrPermission) || errors.Is(err, syscall.EROFS) || errors.Is(err, syscall.EINVAL)
}

const (
	filePermission   = 0o600
	folderPermission = 0o700

	// LockName is the file in a log's folder that its process locks.
	LockName = "lock"
)

// OS is the operating system's file system.
type OS struct{}

// MkdirAll implements FileSystem.
func (OS) MkdirAll(directory string) error {
	return os.MkdirAll(directory, folderPermission)
}

// Lock implements FileSystem with an advisory lock on a file.
func (OS) Lock(directory string) (io.Closer, error) {
	file, err := os.OpenFile(filepath.Join(directory, LockName), os.O_CREATE|os.O_RDWR, filePermission)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return file, nil
	}
	_ = file.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, ErrLocked
	}
	return nil, err
}

// ReadDir implements FileSystem.
func (OS) ReadDir(directory string) ([]string, error) {
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		if entry.Type()&fs.ModeType == 0 {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// ReadFile implements FileSystem.
func (OS) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(name)
}

// Create implements FileSystem.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, filePermission)
}

// OpenAppend implements FileSystem.
func (OS) OpenAppend(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, filePermission)
}

// Rename implements FileSystem.
func (OS) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove implements FileSystem.
func (OS) Remove(name string) error {
	return os.Remove(name)
}

// SyncDir implements FileSystem.
func (OS) SyncDir(directory string) error {
	folder, err := os.Open(directory)
	if err != nil {
		return err
	}
	err = folder.Sync()
	return errors.Join(err, folder.Close())
}
