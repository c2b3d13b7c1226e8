package group

import (
	"errors"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// savedSnapshot is a snapshot whose file is durable, or why it is not.
type savedSnapshot struct {
	snapshot consensus.Snapshot
	written  wal.WrittenSnapshot
	err      error
}

// beginSnapshot captures the state; encoding and writing it go on beside the loop,
// which has heartbeats to send meanwhile.
func (l *loop) beginSnapshot() error {
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

// finishSnapshot puts a written snapshot in force. It counts for nothing if the
// leader sent a later one meanwhile. A failed write is final, as any other.
func (l *loop) finishSnapshot(saved savedSnapshot) error {
	l.saving = false
	if saved.err != nil {
		return saved.err
	}
	err := l.log.AdoptSnapshot(saved.written)
	if errors.Is(err, wal.ErrOldSnapshot) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "adopt snapshot")
	}
	return eris.Wrap(l.member.Compact(saved.snapshot), "compact")
}

// tendSnapshotData keeps the data of the newest snapshot in memory only while
// another member waits for it.
func (l *loop) tendSnapshotData() {
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

// readSnapshot gives the zero snapshot, which no member takes, if it cannot be read:
// another one may have taken its place meanwhile. It is wanted again then.
func readSnapshot(reader wal.SnapshotReader) consensus.Snapshot {
	snapshot, err := reader.Read()
	if err != nil {
		return consensus.Snapshot{}
	}
	return snapshot
}

// awaitSnapshot waits until nothing is written or read any more, as the folder may be
// opened again after the loop.
func (l *loop) awaitSnapshot() {
	if l.saving {
		<-l.saved
	}
	if l.reading {
		<-l.read
	}
}
