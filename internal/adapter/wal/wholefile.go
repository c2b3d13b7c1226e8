package wal

import (
	"errors"
	"io/fs"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// syncEvery bounds what a large file writes between two syncs, so that the syncs of
// the log beside it do not wait for all of it.
const syncEvery = 1 << 20

// SnapshotWriter writes snapshot files into the folder of a log. It is safe to use
// beside the log's calls.
type SnapshotWriter struct {
	files     FileSystem
	directory string
}

// WrittenSnapshot is a snapshot whose file is durable, but not in force.
type WrittenSnapshot struct{ marker snapshotMarker }

// SnapshotWriter gives a writer of snapshots that AdoptSnapshot takes.
func (l *Log) SnapshotWriter() SnapshotWriter {
	return SnapshotWriter{files: l.files, directory: l.directory}
}

// Write makes the file of a snapshot durable.
func (w SnapshotWriter) Write(snapshot consensus.Snapshot) (WrittenSnapshot, error) {
	contents, err := EncodeSnapshot(snapshot)
	if err != nil {
		return WrittenSnapshot{}, err
	}
	marker := snapshotMarker{index: snapshot.Index, term: snapshot.Term, checksum: snapshotChecksum(contents)}
	file, err := writeWhole(w.files, w.directory, marker.fileName(), contents)
	if err != nil {
		return WrittenSnapshot{}, err
	}
	return WrittenSnapshot{marker}, eris.Wrap(file.Close(), "close snapshot")
}

// SnapshotReader reads the snapshot that was in force when it was made. It is safe to
// use beside the log's calls; once another snapshot is in force it may find no file.
type SnapshotReader struct {
	files     FileSystem
	directory string
	marker    snapshotMarker
}

// SnapshotReader gives a reader of the snapshot in force.
func (l *Log) SnapshotReader() SnapshotReader {
	return SnapshotReader{files: l.files, directory: l.directory, marker: l.marker}
}

// Read gives the snapshot. It fails with a CorruptError if its file is missing or
// is not what the log says.
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

// writeWhole makes a file that is there with all its contents or not at all.
func writeWhole(files FileSystem, directory, name string, contents []byte) (File, error) {
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

// writeSynced writes contents to the end and syncs them, part by part.
func writeSynced(file File, contents []byte) error {
	for {
		part := contents[:min(len(contents), syncEvery)]
		if _, err := file.Write(part); err != nil {
			return err
		}
		if err := file.Sync(); err != nil {
			return err
		}
		contents = contents[len(part):]
		if len(contents) == 0 {
			return nil
		}
	}
}
