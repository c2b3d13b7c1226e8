package wal

import (
	"errors"
	"io"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

const (
	// DefaultSegmentBytes is the size at which the log starts a new segment.
	DefaultSegmentBytes = 16 << 20
	// flushBytes limits the records buffered in memory before a write.
	flushBytes = 1 << 20
	// maxClusterBytes limits the length of the cluster's name.
	maxClusterBytes = 255
)

// Options are the location and the identity of a log.
type Options struct {
	FileSystem FileSystem
	Directory  string
	Identity   Identity
	// SegmentBytes defaults to DefaultSegmentBytes. A segment may exceed it by one
	// batch of records.
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
	// confirmedTo is the size of the last segment after its latest confirmation.
	confirmedTo int64
	syncs       uint64
	failed      error
}

// Create creates and opens the log of a new member. initial is the membership of a new
// group; a member that joins an existing group passes none. It fails with ErrExists if
// the folder has a log.
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
	if err := MakeFolder(l.files, l.directory); err != nil {
		return eris.Wrap(err, "make data folder")
	}
	if err := l.acquireLock(); err != nil {
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

func (l *Log) acquireLock() error {
	lock, err := l.files.Lock(l.directory)
	if err != nil {
		return eris.Wrapf(err, "lock %s", l.directory)
	}
	l.lock = lock
	return nil
}

// Append adds entries, and a hard state unless it is nil, to the next batch. They are
// durable after Sync. An entry replaces all stored entries from its index on.
func (l *Log) Append(hard *consensus.HardState, entries []consensus.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	// A torn write may leave any prefix of these records: the term precedes the
	// entries of that term, the commit index follows the entries it covers.
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

// Sync makes all appended records durable with one fsync, and confirms that in the log.
func (l *Log) Sync() error {
	if err := l.flush(); err != nil {
		return err
	}
	if l.writer.base == l.confirmedTo {
		return nil
	}
	if err := l.syncFile(); err != nil {
		return err
	}
	if l.writer.base >= l.segmentBytes {
		return l.roll()
	}
	return l.confirmSync()
}

func (l *Log) syncFile() error {
	if err := l.file.Sync(); err != nil {
		return l.fail("sync segment", err)
	}
	l.syncs++
	l.writer.syncedTo = l.writer.base
	return nil
}

// confirmSync repeats the hard state, without a sync. The synced offset of this record
// distinguishes damage to the last batch from a torn write. It is written before Sync
// returns, and survives the end of the process.
func (l *Log) confirmSync() error {
	l.writer.hardState(l.hard)
	if err := l.flush(); err != nil {
		return err
	}
	l.confirmedTo = l.writer.base
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

// Persist stores the writes of a Ready in an order that is safe against a crash at
// any point, and syncs if the Ready requires it.
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

// persistSnapshot stores the term before a snapshot, which may be of that term; the
// commit index that belongs to the snapshot is stored after it.
func (l *Log) persistSnapshot(ready consensus.Ready) error {
	if ready.HardState != nil {
		withoutCommit := *ready.HardState
		withoutCommit.Commit = l.hard.Commit
		if err := l.Append(&withoutCommit, nil); err != nil {
			return err
		}
	}
	return l.InstallSnapshot(*ready.Snapshot)
}

// SaveSnapshot stores a snapshot of the member's own state machine durably, then
// removes the segments without later entries. It fails with ErrOldSnapshot if the
// current snapshot is at this index or later.
func (l *Log) SaveSnapshot(snapshot consensus.Snapshot) error {
	return l.saveSnapshot(snapshot, false)
}

// InstallSnapshot replaces the log with a leader's snapshot.
func (l *Log) InstallSnapshot(snapshot consensus.Snapshot) error {
	return l.saveSnapshot(snapshot, true)
}

// AdoptSnapshot completes SaveSnapshot for a snapshot that a SnapshotWriter has
// written.
func (l *Log) AdoptSnapshot(written WrittenSnapshot) error {
	if err := l.checkSnapshotIndex(written.marker.index); err != nil {
		return err
	}
	return l.adopt(written.marker)
}

func (l *Log) saveSnapshot(snapshot consensus.Snapshot, replacesLog bool) error {
	if err := l.checkSnapshotIndex(snapshot.Index); err != nil {
		return err
	}
	return l.storeSnapshot(snapshot, replacesLog)
}

// checkSnapshotIndex syncs the log and fails with ErrOldSnapshot unless index is past
// that of the current snapshot.
func (l *Log) checkSnapshotIndex(index uint64) error {
	if err := l.Sync(); err != nil {
		return err
	}
	if index <= l.marker.index {
		return ErrOldSnapshot
	}
	return nil
}

// storeSnapshot writes the snapshot file and makes it the current snapshot.
func (l *Log) storeSnapshot(snapshot consensus.Snapshot, replacesLog bool) error {
	written, err := l.SnapshotWriter().Write(snapshot)
	if err != nil {
		return l.fail("write snapshot", err)
	}
	l.syncs += 2 // the file and its folder
	written.marker.replacesLog = replacesLog
	return l.adopt(written.marker)
}

// adopt makes a written snapshot the current one and starts a new segment with it.
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
	return l.removeObsolete()
}

// roll starts a new segment. All appended records but a confirmation must be synced. The
// new segment records the length of the previous one, which must be durable with it.
func (l *Log) roll() error {
	if l.file != nil && l.writer.syncedTo < l.writer.base {
		if err := l.syncFile(); err != nil {
			return err
		}
	}
	header := segmentHeader{identity: l.identity}
	sequence := uint64(1)
	if count := len(l.segments); count > 0 {
		previous := l.segments[count-1]
		sequence = previous.sequence + 1
		header.previousBytes = previous.size
	}
	writer := recordWriter{sequence: sequence, buffer: l.writer.buffer[:0]}
	writer.identity(header)
	writer.marker(l.marker)
	writer.hardState(l.hard)
	file, err := l.writeAtomic(segmentName(sequence), writer.buffer)
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
	l.confirmedTo = size
	l.segments = append(l.segments, segment{sequence: sequence, size: size})
	return nil
}

// writeAtomic creates a file that after a crash is complete or does not exist.
func (l *Log) writeAtomic(name string, contents []byte) (File, error) {
	file, err := writeAtomic(l.files, l.directory, name, contents)
	if err != nil {
		return nil, l.fail("write file", err)
	}
	l.syncs += 2 // the file and its folder
	return file, nil
}

// removeObsolete removes the segments whose entries the snapshot covers, oldest
// first, and all snapshots but the current one.
func (l *Log) removeObsolete() error {
	for removed := 0; len(l.segments) > 1 && l.segments[0].lastIndex <= l.marker.index; removed++ {
		// A power loss may undo any removal since the last sync. Without the one before, a
		// removal would leave a gap between two segments, which Open takes for damage.
		if removed > 0 {
			if err := l.syncNames(); err != nil {
				return err
			}
		}
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

// syncNames makes the creations, renames and removals in the folder durable.
func (l *Log) syncNames() error {
	if err := l.files.SyncDir(l.directory); err != nil {
		return l.fail("sync folder", err)
	}
	l.syncs++
	return nil
}

func (l *Log) remove(name string) error {
	if err := l.files.Remove(filepath.Join(l.directory, name)); err != nil {
		return l.fail("remove "+name, err)
	}
	return nil
}

// fail records the first failure, which every later call returns.
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

// Syncs returns the number of fsync calls.
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
