package wal

import (
	"errors"
	"io/fs"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// Recovery is what Open found.
type Recovery struct {
	Restored consensus.Restored
	// TornBytes is how much was cut off the end of the last segment, named
	// TornFile, after a write that a crash interrupted.
	TornBytes int64
	TornFile  string
}

// Open opens an existing log, cuts off a torn tail and returns what the log
// holds. It fails with ErrMissing, ErrCorrupt, ErrForeign or ErrLocked, and
// then leaves the folder as it is.
func Open(options Options) (*Log, Recovery, error) {
	log, err := newLog(options)
	if err != nil {
		return nil, Recovery{}, err
	}
	recovery, err := log.open()
	if err != nil {
		return nil, Recovery{}, errors.Join(err, log.Close())
	}
	return log, recovery, nil
}

func (l *Log) open() (Recovery, error) {
	names, err := l.files.ReadDir(l.directory)
	if errors.Is(err, fs.ErrNotExist) {
		return Recovery{}, eris.Wrap(ErrMissing, l.directory)
	}
	if err != nil {
		return Recovery{}, eris.Wrap(err, "read data folder")
	}
	if err := l.takeLock(); err != nil {
		return Recovery{}, err
	}
	replay := replay{log: l}
	if err := replay.segments(names); err != nil {
		return Recovery{}, eris.Wrap(err, l.directory)
	}
	recovery, err := replay.result()
	if err != nil {
		return Recovery{}, eris.Wrap(err, l.directory)
	}
	if err := l.resume(recovery.TornBytes); err != nil {
		return Recovery{}, err
	}
	return recovery, l.removeLeftovers(names)
}

// resume opens the last segment for writing, without its torn tail.
func (l *Log) resume(tornBytes int64) error {
	last := l.segments[len(l.segments)-1]
	file, err := l.files.OpenAppend(filepath.Join(l.directory, segmentName(last.sequence)))
	if err != nil {
		return l.fail("open segment", err)
	}
	l.file = file
	l.writer = recordWriter{sequence: last.sequence, base: last.size, syncedTo: last.size}
	if tornBytes > 0 {
		if err := file.Truncate(last.size); err != nil {
			return l.fail("cut torn tail", err)
		}
	}
	// What was read may not be durable yet: the crash may have come before the
	// sync. It must be before anything is built on it.
	if err := file.Sync(); err != nil {
		return l.fail("sync segment", err)
	}
	l.syncs++
	return nil
}

// removeLeftovers removes files that a crash kept from their final name, or
// from being removed.
func (l *Log) removeLeftovers(names []string) error {
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if err := l.remove(name); err != nil {
			return err
		}
	}
	return l.removeOld()
}

// replay rebuilds the state from the segments, oldest first.
type replay struct {
	log      *Log
	marker   snapshotMarker
	marked   bool
	hard     consensus.HardState
	entries  []consensus.Entry
	recovery Recovery
}

func (r *replay) segments(names []string) error {
	sequences := make([]uint64, 0, len(names))
	for _, name := range names {
		if sequence, found := parseSegmentName(name); found {
			sequences = append(sequences, sequence)
		}
	}
	if len(sequences) == 0 {
		return r.withoutSegments(names)
	}
	for i, sequence := range sequences {
		if i > 0 && sequence != sequences[i-1]+1 {
			return &CorruptError{File: segmentName(sequence), Reason: "the segment before it is missing"}
		}
		if err := r.segment(sequence, i == len(sequences)-1); err != nil {
			return err
		}
	}
	return nil
}

// withoutSegments tells a folder that never had a log from one that lost it. The
// first snapshot, at index 0, may stand before the first segment.
func (r *replay) withoutSegments(names []string) error {
	for _, name := range names {
		if isSnapshotName(name) && name != (snapshotMarker{}).fileName() {
			return &CorruptError{File: name, Reason: "there is a snapshot and no segment"}
		}
	}
	return ErrMissing
}

func (r *replay) segment(sequence uint64, last bool) error {
	name := segmentName(sequence)
	data, err := r.log.files.ReadFile(filepath.Join(r.log.directory, name))
	if err != nil {
		return eris.Wrap(err, "read segment")
	}
	current := segment{sequence: sequence}
	records := 0
	for current.size < int64(len(data)) {
		found, err := readRecord(sequence, data, current.size)
		if err != nil {
			// The head was durable before the segment got its name.
			if !last || records < headRecords || syncedPast(sequence, data, current.size) {
				return &CorruptError{File: name, Offset: current.size, Reason: err.Error()}
			}
			r.recovery.TornBytes = int64(len(data)) - current.size
			r.recovery.TornFile = name
			break
		}
		if err := r.record(&current, found); err != nil {
			return r.located(err, name, current.size)
		}
		current.size += found.size
		records++
	}
	if records < headRecords {
		return &CorruptError{File: name, Offset: current.size, Reason: "segment has no whole head"}
	}
	r.log.segments = append(r.log.segments, current)
	return nil
}

// located turns the error of a record that cannot be used into a CorruptError.
func (r *replay) located(err error, name string, offset int64) error {
	if errors.Is(err, ErrForeign) {
		return err
	}
	return &CorruptError{File: name, Offset: offset, Reason: err.Error()}
}

var (
	errNoIdentity    = errors.New("segment does not begin with an identity")
	errPrevious      = errors.New("the segment before it has lost its end")
	errGap           = errors.New("entries are missing before this one")
	errSnapshotOrder = errors.New("snapshot is older than the one before")
)

func (r *replay) record(current *segment, found record) error {
	if (current.size == 0) != (found.kind == recordIdentity) {
		return errNoIdentity
	}
	switch found.kind {
	case recordIdentity:
		return r.identity(found.payload)
	case recordHardState:
		hard, err := decodeHardState(found.payload)
		r.hard = hard
		return err
	case recordSnapshot:
		marker, err := decodeMarker(found.payload)
		if err != nil {
			return err
		}
		return r.snapshot(marker)
	case recordEntry:
		entry, err := decodeEntry(found.payload)
		if err != nil {
			return err
		}
		current.lastIndex = max(current.lastIndex, entry.Index)
		return r.entry(entry)
	default:
		return errBadPayload
	}
}

func (r *replay) identity(payload []byte) error {
	head, err := decodeIdentity(payload)
	if err != nil {
		return err
	}
	if head.identity != r.log.identity {
		return &ForeignError{Expected: r.log.identity, Found: head.identity}
	}
	if count := len(r.log.segments); count > 0 && r.log.segments[count-1].size != head.previousBytes {
		return errPrevious
	}
	return nil
}

// snapshot puts a snapshot in force. Each segment repeats the one in force.
func (r *replay) snapshot(marker snapshotMarker) error {
	if r.marked && marker == r.marker {
		return nil
	}
	if r.marked && marker.index < r.marker.index {
		return errSnapshotOrder
	}
	r.marker, r.marked = marker, true
	if marker.replacesLog {
		r.entries = nil
		for i := range r.log.segments {
			r.log.segments[i].lastIndex = 0
		}
	}
	return nil
}

func (r *replay) entry(entry consensus.Entry) error {
	if len(r.entries) == 0 {
		r.entries = append(r.entries, entry)
		return nil
	}
	first := r.entries[0].Index
	if entry.Index > first+uint64(len(r.entries)) {
		return errGap
	}
	keep := uint64(0)
	if entry.Index > first {
		keep = entry.Index - first
	}
	r.entries = append(r.entries[:keep], entry)
	return nil
}

// result checks the whole and reads the snapshot that is in force.
func (r *replay) result() (Recovery, error) {
	last := r.log.segments[len(r.log.segments)-1]
	if !r.marked {
		return Recovery{}, &CorruptError{File: segmentName(last.sequence), Reason: "no snapshot record"}
	}
	reader := SnapshotReader{files: r.log.files, directory: r.log.directory, marker: r.marker}
	snapshot, err := reader.Read()
	if err != nil {
		return Recovery{}, err
	}
	entries := r.entriesAfter(snapshot.Index)
	if len(entries) > 0 && entries[0].Index != snapshot.Index+1 {
		return Recovery{}, &CorruptError{File: segmentName(last.sequence), Reason: errGap.Error()}
	}
	r.log.hard, r.log.marker = r.hard, r.marker
	r.recovery.Restored = consensus.Restored{HardState: r.hard, Snapshot: snapshot, Entries: entries}
	return r.recovery, nil
}

func (r *replay) entriesAfter(index uint64) []consensus.Entry {
	for len(r.entries) > 0 && r.entries[0].Index <= index {
		r.entries = r.entries[1:]
	}
	return r.entries
}
