package wal

import (
	"errors"
	"io"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

const (
	// DefaultSegmentBytes is the size at which a new segment is begun.
	DefaultSegmentBytes = 16 << 20
	// flushBytes bounds the records that wait in memory for a Sync.
	flushBytes = 1 << 20
	// maxClusterBytes bounds the cluster's name.
	maxClusterBytes = 255
)

// Options says where and whose a log is.
type Options struct {
	FileSystem FileSystem
	Directory  string
	Identity   Identity
	// SegmentBytes is DefaultSegmentBytes if 0. A segment may exceed it by one
	// group of records.
	SegmentBytes int64
}

// Log is an open write-ahead log. It is not safe for concurrent use. After a
// failed write or sync every call fails with the same FailedError.
type Log struct {
	files        FileSystem
	directory    string
	identity     Identity
	segmentBytes int64
	lock         io.Closer
	file         File
	writer       recordWriter
	segments     []segment
	hard         consensus.HardState
	marker       snapshotMarker
	syncs        uint64
	failed       error
}

// Create makes the log of a new member and opens it. The members of a new
// group name each other in initial; a member that joins an existing group
// passes none. It fails with ErrExists if the folder has a log.
func Create(options Options, initial consensus.Membership) (*Log, consensus.Restored, error) {
	log, err := newLog(options)
	if err != nil {
		return nil, consensus.Restored{}, err
	}
	restored := consensus.Restored{Snapshot: consensus.Snapshot{Membership: initial}}
	if err := log.initialize(restored.Snapshot); err != nil {
		return nil, consensus.Restored{}, errors.Join(err, log.Close())
	}
	return log, restored, nil
}

func newLog(options Options) (*Log, error) {
	if len(options.Identity.Cluster) > maxClusterBytes || options.Identity.Member == consensus.None {
		return nil, eris.Errorf("invalid identity: %v", options.Identity)
	}
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	return &Log{
		files: options.FileSystem, directory: options.Directory,
		identity: options.Identity, segmentBytes: options.SegmentBytes,
	}, nil
}

func (l *Log) initialize(snapshot consensus.Snapshot) error {
	if err := l.files.MkdirAll(l.directory); err != nil {
		return eris.Wrap(err, "make data folder")
	}
	if err := l.takeLock(); err != nil {
		return err
	}
	names, err := l.files.ReadDir(l.directory)
	if err != nil {
		return eris.Wrap(err, "read data folder")
	}
	for _, name := range names {
		if _, found := parseSegmentName(name); found {
			return eris.Wrap(ErrExists, l.directory)
		}
	}
	return l.storeSnapshot(snapshot, false)
}

func (l *Log) takeLock() error {
	lock, err := l.files.Lock(l.directory)
	if err != nil {
		return eris.Wrapf(err, "lock %s", l.directory)
	}
	l.lock = lock
	return nil
}

// Append adds a hard state, if there is one, and entries to the next group.
// They are durable after Sync. An entry voids those at and after its index.
func (l *Log) Append(hard *consensus.HardState, entries []consensus.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	// A torn write may keep any prefix of these records: the term comes before
	// the entries of that term, the commit index after the entries it covers.
	if hard != nil && (hard.Term != l.hard.Term || hard.VotedFor != l.hard.VotedFor) {
		l.hard.Term, l.hard.VotedFor = hard.Term, hard.VotedFor
		l.writer.hardState(l.hard)
	}
	last := &l.segments[len(l.segments)-1]
	for _, entry := range entries {
		l.writer.entry(entry)
		last.lastIndex = max(last.lastIndex, entry.Index)
		if len(l.writer.buffer) >= flushBytes {
			if err := l.flush(); err != nil {
				return err
			}
		}
	}
	if hard != nil && hard.Commit != l.hard.Commit {
		l.hard = *hard
		l.writer.hardState(l.hard)
	}
	return nil
}

// Sync makes everything appended durable, with one fsync for the whole group.
func (l *Log) Sync() error {
	if err := l.flush(); err != nil {
		return err
	}
	if l.writer.syncedTo == l.writer.base {
		return nil
	}
	if err := l.file.Sync(); err != nil {
		return l.fail("sync segment", err)
	}
	l.syncs++
	l.writer.syncedTo = l.writer.base
	if l.writer.base >= l.segmentBytes {
		return l.roll()
	}
	return nil
}

// flush writes the buffered records to the segment.
func (l *Log) flush() error {
	if l.failed != nil {
		return l.failed
	}
	if len(l.writer.buffer) == 0 {
		return nil
	}
	if _, err := l.file.Write(l.writer.buffer); err != nil {
		return l.fail("write segment", err)
	}
	l.writer.base += int64(len(l.writer.buffer))
	l.writer.buffer = l.writer.buffer[:0]
	l.segments[len(l.segments)-1].size = l.writer.base
	return nil
}

// Persist makes the writes of a Ready durable, in the order that survives a
// crash at any point, and syncs if the Ready asks for it.
func (l *Log) Persist(ready consensus.Ready) error {
	if ready.Snapshot != nil {
		if err := l.persistSnapshot(ready); err != nil {
			return err
		}
	}
	if err := l.Append(ready.HardState, ready.Entries); err != nil {
		return err
	}
	if !ready.MustSync {
		return nil
	}
	return l.Sync()
}

// persistSnapshot stores the term before a snapshot that may be of that term;
// the commit index that goes with the snapshot follows it.
func (l *Log) persistSnapshot(ready consensus.Ready) error {
	if ready.HardState != nil {
		early := *ready.HardState
		early.Commit = l.hard.Commit
		if err := l.Append(&early, nil); err != nil {
			return err
		}
	}
	return l.InstallSnapshot(*ready.Snapshot)
}

// SaveSnapshot stores a snapshot of the member's own state machine, then drops
// the segments that hold no later entry. It returns once all is durable. It
// fails with ErrOldSnapshot if a later one, or this one, is in force.
func (l *Log) SaveSnapshot(snapshot consensus.Snapshot) error {
	return l.saveSnapshot(snapshot, false)
}

// InstallSnapshot stores a leader's snapshot in place of the whole log.
func (l *Log) InstallSnapshot(snapshot consensus.Snapshot) error {
	return l.saveSnapshot(snapshot, true)
}

// AdoptSnapshot is the second half of SaveSnapshot, for a snapshot that a
// SnapshotWriter has written.
func (l *Log) AdoptSnapshot(written WrittenSnapshot) error {
	if err := l.mayAdopt(written.marker.index); err != nil {
		return err
	}
	return l.adopt(written.marker)
}

func (l *Log) saveSnapshot(snapshot consensus.Snapshot, replacesLog bool) error {
	if err := l.mayAdopt(snapshot.Index); err != nil {
		return err
	}
	return l.storeSnapshot(snapshot, replacesLog)
}

// mayAdopt syncs what was appended and fails with ErrOldSnapshot if a snapshot at
// the index, or after it, is in force.
func (l *Log) mayAdopt(index uint64) error {
	if err := l.Sync(); err != nil {
		return err
	}
	if index <= l.marker.index {
		return ErrOldSnapshot
	}
	return nil
}

// storeSnapshot writes the snapshot file and puts it in force.
func (l *Log) storeSnapshot(snapshot consensus.Snapshot, replacesLog bool) error {
	written, err := l.SnapshotWriter().Write(snapshot)
	if err != nil {
		return l.fail("write snapshot", err)
	}
	l.syncs += 2 // the file and its folder
	written.marker.replacesLog = replacesLog
	return l.adopt(written.marker)
}

// adopt puts a snapshot in force with a new segment.
func (l *Log) adopt(marker snapshotMarker) error {
	l.marker = marker
	if marker.replacesLog {
		for i := range l.segments {
			l.segments[i].lastIndex = 0
		}
	}
	if err := l.roll(); err != nil {
		return err
	}
	return l.removeOld()
}

// roll begins a new segment. All that was appended must be synced.
func (l *Log) roll() error {
	head := segmentHead{identity: l.identity}
	sequence := uint64(1)
	if count := len(l.segments); count > 0 {
		previous := l.segments[count-1]
		sequence = previous.sequence + 1
		head.previousBytes = previous.size
	}
	writer := recordWriter{sequence: sequence, buffer: l.writer.buffer[:0]}
	writer.identity(head)
	writer.marker(l.marker)
	writer.hardState(l.hard)
	file, err := l.writeWhole(segmentName(sequence), writer.buffer)
	if err != nil {
		return err
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return l.fail("close segment", err)
		}
	}
	size := int64(len(writer.buffer))
	l.file = file
	l.writer = recordWriter{sequence: sequence, base: size, syncedTo: size, buffer: writer.buffer[:0]}
	l.segments = append(l.segments, segment{sequence: sequence, size: size})
	return nil
}

// writeWhole makes a file that is there with all its contents or not at all.
func (l *Log) writeWhole(name string, contents []byte) (File, error) {
	file, err := writeWhole(l.files, l.directory, name, contents)
	if err != nil {
		return nil, l.fail("write whole file", err)
	}
	l.syncs += 2 // the file and its folder
	return file, nil
}

// removeOld removes the segments whose entries the snapshot covers, oldest
// first, and the snapshots that are not in force.
func (l *Log) removeOld() error {
	for len(l.segments) > 1 && l.segments[0].lastIndex <= l.marker.index {
		if err := l.remove(segmentName(l.segments[0].sequence)); err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	names, err := l.files.ReadDir(l.directory)
	if err != nil {
		return l.fail("read data folder", err)
	}
	for _, name := range names {
		if !isSnapshotName(name) || name == l.marker.fileName() {
			continue
		}
		if err := l.remove(name); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) remove(name string) error {
	if err := l.files.Remove(filepath.Join(l.directory, name)); err != nil {
		return l.fail("remove "+name, err)
	}
	return nil
}

// fail makes the log refuse every later call.
func (l *Log) fail(operation string, cause error) error {
	if l.failed == nil {
		l.failed = eris.Wrap(&FailedError{Operation: operation, Cause: cause}, l.directory)
	}
	return l.failed
}

// Err returns the failure that stopped the log, or nil.
func (l *Log) Err() error {
	return l.failed
}

// Syncs returns how many fsync calls were made, for measurements.
func (l *Log) Syncs() uint64 {
	return l.syncs
}

// Close releases the folder. It does not sync.
func (l *Log) Close() error {
	var errs []error
	if l.file != nil {
		errs = append(errs, l.file.Close())
	}
	if l.lock != nil {
		errs = append(errs, l.lock.Close())
	}
	l.file, l.lock = nil, nil
	if l.failed == nil {
		l.failed = ErrClosed
	}
	return errors.Join(errs...)
}
