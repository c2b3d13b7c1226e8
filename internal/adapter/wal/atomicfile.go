package wal

import (
	"errors"
	"io/fs"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// syncChunkBytes is the number of bytes of a large file written between two syncs, so
// that concurrent syncs of the log do not wait for the complete file.
const syncChunkBytes = 1 << 20

// SnapshotWriter writes snapshot files into the folder of a log. It may be used
// concurrently with the log.
type SnapshotWriter struct {
	files     FileSystem
	directory string
}

// WrittenSnapshot is a snapshot with a durable file that is not the current one yet.
type WrittenSnapshot struct{ marker snapshotMarker }

// SnapshotWriter returns a writer of snapshots for AdoptSnapshot.
func (l *Log) SnapshotWriter() SnapshotWriter {
	return SnapshotWriter{files: l.files, directory: l.directory}
}

// Write writes the file of a snapshot and makes it durable.
func (w SnapshotWriter) Write(snapshot consensus.Snapshot) (WrittenSnapshot, error) {
	contents, err := EncodeSnapshot(snapshot)
	if err != nil {
		return WrittenSnapshot{}, err
	}
	marker := snapshotMarker{index: snapshot.Index, term: snapshot.Term, checksum: snapshotChecksum(contents)}
	file, err := writeAtomic(w.files, w.directory, marker.fileName(), contents)
	if err != nil {
		return WrittenSnapshot{}, err
	}
	return WrittenSnapshot{marker}, eris.Wrap(file.Close(), "close snapshot")
}

// SnapshotReader reads the snapshot that was current when the reader was created. It may
// be used concurrently with the log; the file may be removed once another snapshot is current.
type SnapshotReader struct {
	files     FileSystem
	directory string
	marker    snapshotMarker
}

// SnapshotReader returns a reader of the current snapshot.
func (l *Log) SnapshotReader() SnapshotReader {
	return SnapshotReader{files: l.files, directory: l.directory, marker: l.marker}
}

// Read returns the snapshot. It fails with a CorruptError if the file is missing or
// does not match the log.
func (r SnapshotReader) Read() (consensus.Snapshot, error) {
	name := r.marker.fileName()
	file, err := r.files.ReadFile(filepath.Join(r.directory, name))
	if errors.Is(err, fs.ErrNotExist) {
		return consensus.Snapshot{}, &CorruptError{File: name, Reason: "snapshot file is missing"}
	}
	if err != nil {
		return consensus.Snapshot{}, eris.Wrap(err, "read snapshot")
	}
	snapshot, err := DecodeSnapshot(name, file)
	if err != nil {
		return consensus.Snapshot{}, err
	}
	if snapshot.Index != r.marker.index || snapshot.Term != r.marker.term || snapshotChecksum(file) != r.marker.checksum {
		return consensus.Snapshot{}, &CorruptError{File: name, Reason: "snapshot is not the one in the log"}
	}
	return snapshot, nil
}

// writeAtomic creates a file that after a crash is complete or does not exist.
func writeAtomic(files FileSystem, directory, name string, contents []byte) (File, error) {
	path := filepath.Join(directory, name)
	file, err := files.Create(path + temporarySuffix)
	if err != nil {
		return nil, eris.Wrap(err, "create "+name)
	}
	if err := writeSynced(file, contents); err != nil {
		return nil, eris.Wrap(errors.Join(err, file.Close()), "write "+name)
	}
	if err := files.Rename(path+temporarySuffix, path); err != nil {
		return nil, eris.Wrap(errors.Join(err, file.Close()), "rename "+name)
	}
	if err := files.SyncDir(directory); err != nil {
		return nil, eris.Wrap(errors.Join(err, file.Close()), "sync folder")
	}
	return file, nil
}

// writeSynced writes contents in chunks and syncs after each.
func writeSynced(file File, contents []byte) error {
	for {
		chunk := contents[:min(len(contents), syncChunkBytes)]
		if _, err := file.Write(chunk); err != nil {
			return err
		}
		if err := file.Sync(); err != nil {
			return err
		}
		contents = contents[len(chunk):]
		if len(contents) == 0 {
			return nil
		}
	}
}
