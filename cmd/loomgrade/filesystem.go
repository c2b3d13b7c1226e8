//go:build !faultinjection

package main

import "github.com/loomgrade/loomgrade/internal/adapter/wal"

// fileSystem returns the file system for a data folder.
func fileSystem(string) wal.FileSystem { return wal.OS{} }
