// Package wal keeps a member's consensus state in one folder: a write-ahead
// log in segment files, and the latest snapshot.
//
// Every record carries a CRC32C that also covers its segment and offset, and
// the offset up to which the segment was synced when the record was written.
// A bad record is a torn write, and is cut off, if it is in the last segment
// and no later record was written after a sync that covered it. Every other
// bad record is corruption and refuses the folder. Damage to the very last
// synced group looks like a torn write to this rule; the commit index in the
// hard state shows it only if that index was written in an earlier group.
//
// Segments begin with the identity of the cluster and the member, so that a
// folder of another member is refused, and with the position and checksum of
// the snapshot that the segment builds on. New files are written under a
// temporary name, synced, renamed, and then the folder is synced.
//
// A write or sync that fails makes the Log refuse every later call: after a
// failed fsync nobody knows what is on the disk, and a retry may report
// success for data that was dropped.
package wal
