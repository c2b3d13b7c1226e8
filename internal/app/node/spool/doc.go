// Package spool stores decision records on disk, so that decisions can be explained
// after a restart of the node. Records are appended and synced in batches. The size is
// limited by rotating between two files and dropping the older one. An incomplete record
// at the end of a file is ignored.
//
// Records survive the end of the process once they are written. The folder is never synced, so a
// power loss may undo the latest rotation, or the creation of the first file, and lose the records
// written since, or those of the file that was rotated.
//
// A lost record only costs an explanation to an operator, so disk errors are counted and
// not fatal.
package spool
