package wal_test

import (
	"errors"
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wal/faultfs"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

const firstSegment = "wal-0000000000000001.log"

// segmentBytes returns the first segment of a small log.
func segmentBytes(t testing.TB) []byte {
	t.Helper()
	files := faultfs.New(1)
	log := mustCreate(t, files)
	mustWrite(t, log, &consensus.HardState{Term: 2, VotedFor: 1, Commit: 2}, entriesFrom(1, 4, 2))
	data, err := files.ReadFile(filepath.Join(folder, firstSegment))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// FuzzOpenWAL opens a folder whose segment holds arbitrary bytes: Open fails with a typed
// error, or the log reopens with the same contents.
func FuzzOpenWAL(f *testing.F) {
	valid := segmentBytes(f)
	f.Add(valid)
	f.Add(valid[:len(valid)-5])
	f.Add(valid[:40])
	f.Add([]byte{})
	f.Add(append(append([]byte(nil), valid...), make([]byte, 64)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		files := faultfs.New(1)
		if err := mustCreate(t, files).Close(); err != nil {
			t.Fatal(err)
		}
		openTwice(t, files, data)
	})
}

// openTwice replaces the first segment with data and opens the log: Open fails with a typed
// error, or a second Open returns as many entries, and a member starts from them or
// rejects them with a typed error.
func openTwice(t *testing.T, files *faultfs.FileSystem, data []byte) {
	t.Helper()
	file, err := files.Create(filepath.Join(folder, firstSegment))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := file.Write(data); err != nil {
		t.Fatal(err)
	}
	log, recovery, err := wal.Open(optionsOn(files))
	if err != nil {
		if !errors.Is(err, wal.ErrCorrupt) && !errors.Is(err, wal.ErrForeign) {
			t.Fatalf("untyped error: %v", err)
		}
		return
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	_, again := mustOpen(t, files)
	if len(again.Restored.Entries) != len(recovery.Restored.Entries) || again.TornBytes != 0 {
		t.Errorf("%d entries, then %d with %d torn bytes",
			len(recovery.Restored.Entries), len(again.Restored.Entries), again.TornBytes)
	}
	var inconsistent *consensus.InconsistentError
	_, err = consensus.New(consensus.Config{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2}, recovery.Restored)
	if err != nil && !errors.As(err, &inconsistent) {
		t.Errorf("untyped error: %v", err)
	}
}

// FuzzRecords appends records of any kind and payload to a segment, with valid checksums
// so that replay decodes them. The input is a list of kind, length and payload.
func FuzzRecords(f *testing.F) {
	f.Add([]byte{2, 24, 1, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Add([]byte{3, 18, 1, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 1, 'x'})
	f.Add([]byte{4, 21, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1})
	f.Add([]byte{1, 3, 1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		files := faultfs.New(1)
		if err := mustCreate(t, files).Close(); err != nil {
			t.Fatal(err)
		}
		segment, err := files.ReadFile(filepath.Join(folder, firstSegment))
		if err != nil {
			t.Fatal(err)
		}
		for len(data) >= 2 {
			kind, length := data[0], min(int(data[1]), len(data)-2)
			segment = append(segment, wal.SealRecord(1, int64(len(segment)), kind, data[2:2+length])...)
			data = data[2+length:]
		}
		openTwice(t, files, segment)
	})
}

// FuzzReadSnapshot decodes arbitrary snapshot files: decoding fails with ErrCorrupt, or
// the snapshot encodes to a file that decodes to the same.
func FuzzReadSnapshot(f *testing.F) {
	valid, err := wal.EncodeSnapshot(consensus.Snapshot{Index: 7, Term: 2, Membership: voters, Data: []byte("state")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add(valid[:len(valid)-1])
	f.Add(valid[:10])
	f.Add([]byte{})
	f.Fuzz(decodeSnapshotTwice)
}

// FuzzSnapshotBody does the same for arbitrary bodies with a valid checksum.
func FuzzSnapshotBody(f *testing.F) {
	body, err := cbor.Marshal(consensus.Snapshot{Index: 7, Term: 2, Membership: voters, Data: []byte("state")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, body []byte) { decodeSnapshotTwice(t, wal.SealSnapshot(body)) })
}

func decodeSnapshotTwice(t *testing.T, data []byte) {
	snapshot, err := wal.DecodeSnapshot("fuzz", data)
	if err != nil {
		if !errors.Is(err, wal.ErrCorrupt) {
			t.Fatalf("untyped error: %v", err)
		}
		return
	}
	file, err := wal.EncodeSnapshot(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	again, err := wal.DecodeSnapshot("fuzz", file)
	if err != nil || again.Index != snapshot.Index || string(again.Data) != string(snapshot.Data) {
		t.Errorf("decoded %+v, then %+v: %v", snapshot, again, err)
	}
}
