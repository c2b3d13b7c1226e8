package group

import (
	"errors"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// savedSnapshot is a durable snapshot, or the error of writing it.
type savedSnapshot struct {
	snapshot consensus.Snapshot
	written  wal.WrittenSnapshot
	err      error
}

// startSnapshot captures the state and starts to encode and write it in the background, so
// that heartbeats continue.
func (l *loop) startSnapshot() error {
	capture, err := l.member.CaptureSnapshot()
	if err != nil {
		return eris.Wrap(err, "capture snapshot")
	}
	l.saving = true
	writer := l.log.SnapshotWriter()
	go func() { l.saved <- saveSnapshot(capture, writer) }()
	return nil
}

func saveSnapshot(capture groupmember.Capture, writer wal.SnapshotWriter) savedSnapshot {
	snapshot, err := capture.Encode()
	if err != nil {
		return savedSnapshot{err: eris.Wrap(err, "encode snapshot")}
	}
	written, err := writer.Write(snapshot)
	return savedSnapshot{snapshot: snapshot, written: written, err: eris.Wrap(err, "write snapshot")}
}

// finishSnapshot adopts a written snapshot. It ignores one that is older than a snapshot
// received from the leader meanwhile. A failed write is fatal.
func (l *loop) finishSnapshot(saved savedSnapshot) error {
	l.saving = false
	if saved.err != nil {
		return saved.err
	}
	err := l.write(func() error { return l.log.AdoptSnapshot(saved.written) })
	if errors.Is(err, wal.ErrOldSnapshot) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "adopt snapshot")
	}
	return eris.Wrap(l.member.Compact(saved.snapshot), "compact")
}

// updateSnapshotData loads the data of the latest snapshot if another member needs it, and
// releases it otherwise.
func (l *loop) updateSnapshotData() {
	if !l.member.SnapshotWanted() {
		l.member.ReleaseSnapshot()
		return
	}
	if l.reading {
		return
	}
	l.reading = true
	reader := l.log.SnapshotReader()
	go func() { l.read <- readSnapshot(reader) }()
}

// readSnapshot reads the latest snapshot. It returns the zero snapshot on an error, since the
// file may have been replaced meanwhile; the core then requests it again.
func readSnapshot(reader wal.SnapshotReader) consensus.Snapshot {
	snapshot, err := reader.Read()
	if err != nil {
		return consensus.Snapshot{}
	}
	return snapshot
}

// waitForSnapshot waits for a pending write and read of a snapshot, since the folder may be
// reopened after the loop.
func (l *loop) waitForSnapshot() {
	if l.saving {
		<-l.saved
	}
	if l.reading {
		<-l.read
	}
}
