package wal_test

import (
	"errors"
	"path/filepath"
	"testing"

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

// FuzzOpenWAL opens a folder whose segment holds arbitrary bytes: it is refused
// with a typed error, or what it gives back can be opened again unchanged.
func FuzzOpenWAL(f *testing.F) {
	whole := segmentBytes(f)
	f.Add(whole)
	f.Add(whole[:len(whole)-5])
	f.Add(whole[:40])
	f.Add([]byte{})
	f.Add(append(append([]byte(nil), whole...), make([]byte, 64)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		files := faultfs.New(1)
		if err := mustCreate(t, files).Close(); err != nil {
			t.Fatal(err)
		}
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
	})
}

// FuzzReadSnapshot decodes arbitrary snapshot files: they are refused with
// ErrCorrupt, or encode to a file that decodes to the same.
func FuzzReadSnapshot(f *testing.F) {
	whole, err := wal.EncodeSnapshot(consensus.Snapshot{Index: 7, Term: 2, Membership: voters, Data: []byte("state")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add(whole[:10])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
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
	})
}
