//go:build faultinjection

package main

import (
	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wal/diskfault"
)

// fileSystem returns the file system for a data folder, with the disk faults configured in
// diskfault.ControlFile.
func fileSystem(folder string) wal.FileSystem { return diskfault.New(wal.OS{}, folder) }
