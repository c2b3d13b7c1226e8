package wal

import (
	"bytes"
	"errors"
	"io/fs"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// Recovery is the result of Open.
type Recovery struct {
	Restored consensus.Restored
	// TornBytes is the length of the interrupted write that Open truncated from
	// the end of the last segment, TornFile. An interrupted confirmation does not count.
	TornBytes int64
	TornFile  string
}

// Open opens an existing log, truncates a torn tail and returns the stored state. If
// it fails with ErrMissing, ErrCorrupt, ErrForeign or ErrLocked, the folder is
// unchanged.
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
	if err := l.acquireLock(); err != nil {
		return Recovery{}, err
	}
	// A process may have ended between a change of names and the sync of the folder. What is
	// read now, and what is written to these files, must not depend on names that a power
	// loss can undo.
	if err := l.syncNames(); err != nil {
		return Recovery{}, err
	}
	replay := &replay{log: l}
	if err := replay.segments(names); err != nil {
		return Recovery{}, eris.Wrap(err, l.directory)
	}
	recovery, err := replay.result()
	if err != nil {
		return Recovery{}, eris.Wrap(err, l.directory)
	}
	if err := l.resume(replay); err != nil {
		return Recovery{}, err
	}
	return recovery, l.removeLeftovers(names)
}

// resume opens the last segment for appending, truncates its torn tail and confirms what
// remains.
func (l *Log) resume(replayed *replay) error {
	last := l.segments[len(l.segments)-1]
	file, err := l.files.OpenAppend(filepath.Join(l.directory, segmentName(last.sequence)))
	if err != nil {
		return l.fail("open segment", err)
	}
	l.file = file
	l.writer = recordWriter{sequence: last.sequence, base: last.size}
	if replayed.truncates {
		if err := file.Truncate(last.size); err != nil {
			return l.fail("truncate torn tail", err)
		}
	}
	// The recovered records may not be durable yet if the crash came before the
	// sync. They must be durable before new records follow them.
	if err := l.syncFile(); err != nil {
		return err
	}
	if replayed.confirmed {
		l.confirmedTo = last.size
		return nil
	}
	return l.confirmSync()
}

// removeLeftovers removes the temporary and obsolete files that a crash left behind.
func (l *Log) removeLeftovers(names []string) error {
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if err := l.remove(name); err != nil {
			return err
		}
	}
	return l.removeObsolete()
}

// replay rebuilds the state from the segments, oldest first.
type replay struct {
	log       *Log
	marker    snapshotMarker
	hasMarker bool
	hard      consensus.HardState
	entries   []consensus.Entry
	recovery  Recovery
	// truncates is set if the last segment has an invalid tail.
	truncates bool
	// confirmed is set if the last record confirms the sync of all records before it.
	confirmed bool
}

func (r *replay) segments(names []string) error {
	sequences := make([]uint64, 0, len(names))
	for _, name := range names {
		if sequence, found := parseSegmentName(name); found {
			sequences = append(sequences, sequence)
		}
	}
	if len(sequences) == 0 {
		return r.noSegmentsError(names)
	}
	for i, sequence := range sequences {
		if i > 0 && sequence != sequences[i-1]+1 {
			return &CorruptError{File: segmentName(sequence), Reason: "previous segment is missing"}
		}
		if err := r.segment(sequence, i == len(sequences)-1); err != nil {
			return err
		}
	}
	return nil
}

// noSegmentsError distinguishes a folder that never had a log from one that lost its
// segments. The first snapshot, at index 0, may exist before the first segment.
func (r *replay) noSegmentsError(names []string) error {
	for _, name := range names {
		if isSnapshotName(name) && name != (snapshotMarker{}).fileName() {
			return &CorruptError{File: name, Reason: "snapshot without segments"}
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
			// The header records are durable before the segment gets its name.
			if !last || records < headerRecords || syncedPast(sequence, data, current.size) {
				return &CorruptError{File: name, Offset: current.size, Reason: err.Error()}
			}
			r.tornTail(current, data[current.size:])
			break
		}
		if err := r.record(&current, found); err != nil {
			return r.corruptError(err, name, current.size)
		}
		r.confirmed = found.syncedTo == current.size
		current.size += found.size
		records++
	}
	if records < headerRecords {
		return &CorruptError{File: name, Offset: current.size, Reason: "segment header is incomplete"}
	}
	r.log.segments = append(r.log.segments, current)
	return nil
}

// tornTail records the invalid tail of the last segment.
func (r *replay) tornTail(last segment, tail []byte) {
	r.truncates = true
	confirmation := recordWriter{sequence: last.sequence, base: last.size, syncedTo: last.size}
	confirmation.hardState(r.hard)
	if bytes.HasPrefix(confirmation.buffer, tail) {
		return
	}
	r.recovery.TornBytes = int64(len(tail))
	r.recovery.TornFile = segmentName(last.sequence)
}

// corruptError converts the error of an invalid record into a CorruptError.
func (r *replay) corruptError(err error, name string, offset int64) error {
	if errors.Is(err, ErrForeign) {
		return err
	}
	return &CorruptError{File: name, Offset: offset, Reason: err.Error()}
}

var (
	errNoIdentity        = errors.New("segment does not start with an identity")
	errPreviousTruncated = errors.New("previous segment is truncated")
	errGap               = errors.New("entries are missing before this one")
	errSnapshotOrder     = errors.New("snapshot is older than the previous one")
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
	header, err := decodeIdentity(payload)
	if err != nil {
		return err
	}
	if header.identity != r.log.identity {
		return &ForeignError{Expected: r.log.identity, Found: header.identity}
	}
	if count := len(r.log.segments); count > 0 && r.log.segments[count-1].size != header.previousBytes {
		return errPreviousTruncated
	}
	return nil
}

// snapshot applies a snapshot marker. Each segment repeats the current one.
func (r *replay) snapshot(marker snapshotMarker) error {
	if r.hasMarker && marker == r.marker {
		return nil
	}
	if r.hasMarker && marker.index < r.marker.index {
		return errSnapshotOrder
	}
	r.marker, r.hasMarker = marker, true
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

// result checks the replayed state and reads the current snapshot.
func (r *replay) result() (Recovery, error) {
	last := r.log.segments[len(r.log.segments)-1]
	if !r.hasMarker {
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
