// Package wal stores a member's consensus state in one folder: a write-ahead
// log in segment files, and the latest snapshot.
//
// Every record carries a CRC32C that also covers its segment and offset, and
// the offset up to which the segment was synced when the record was written.
// An invalid record is a torn write, and is truncated, if it is in the last
// segment and no later record was written after a sync that covered it. Every
// other invalid record is corruption, and Open fails.
//
// A sync is confirmed by a repeated hard state, written before Sync returns, so
// that damage to the last batch is corruption too. The confirmation itself is
// not synced: after a loss of power that loses it, damage to the last synced
// batch is treated as a torn write. So is a lost end of the last segment.
//
// Each segment starts with the identity of the cluster and the member, so that
// Open rejects the folder of another member, and with the position and checksum
// of the snapshot that the segment builds on. New files are written under a
// temporary name, synced and renamed, and then the folder is synced.
//
// After a failed write or sync every later call fails: the state of the disk is
// unknown, and a retried fsync may report success for dropped data.
package wal
