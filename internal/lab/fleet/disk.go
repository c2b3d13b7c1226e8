package fleet

import (
	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wal/faultfs"
)

// disk is an in-memory file system that counts what is written to it.
type disk struct {
	*faultfs.FileSystem
	written uint64
}

// Create implements wal.FileSystem.
func (d *disk) Create(name string) (wal.File, error) {
	file, err := d.FileSystem.Create(name)
	return &countedFile{File: file, disk: d}, err
}

// OpenAppend implements wal.FileSystem.
func (d *disk) OpenAppend(name string) (wal.File, error) {
	file, err := d.FileSystem.OpenAppend(name)
	return &countedFile{File: file, disk: d}, err
}

// countedFile counts the bytes of its writes.
type countedFile struct {
	wal.File
	disk *disk
}

// Write implements io.Writer.
func (f *countedFile) Write(data []byte) (int, error) {
	written, err := f.File.Write(data)
	f.disk.written += uint64(written)
	return written, err
}
