package wal_test

import (
	"errors"
	"fmt"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wal/faultfs"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

const folder = "/data"

var (
	identity = wal.Identity{Cluster: "test", Member: 1}
	voters   = consensus.Membership{Voters: []consensus.MemberID{1, 2, 3}}
)

func optionsOn(files wal.FileSystem) wal.Options {
	return wal.Options{FileSystem: files, Directory: folder, Identity: identity, SegmentBytes: 512}
}

func mustCreate(t testing.TB, files wal.FileSystem) *wal.Log {
	t.Helper()
	log, _, err := wal.Create(optionsOn(files), voters)
	if err != nil {
		t.Fatal(err)
	}
	return log
}

func mustOpen(t testing.TB, files wal.FileSystem) (*wal.Log, wal.Recovery) {
	t.Helper()
	log, recovery, err := wal.Open(optionsOn(files))
	if err != nil {
		t.Fatal(err)
	}
	return log, recovery
}

func entriesFrom(first, count, term uint64) []consensus.Entry {
	entries := make([]consensus.Entry, 0, count)
	for index := first; index < first+count; index++ {
		entries = append(entries, consensus.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", index, term)})
	}
	return entries
}

func mustWrite(t testing.TB, log *wal.Log, hard *consensus.HardState, entries []consensus.Entry) {
	t.Helper()
	if err := log.Append(hard, entries); err != nil {
		t.Fatal(err)
	}
	if err := log.Sync(); err != nil {
		t.Fatal(err)
	}
}

func TestReopenRestoresSyncedState(t *testing.T) {
	files := faultfs.New(1)
	log := mustCreate(t, files)
	hard := consensus.HardState{Term: 3, VotedFor: 2, Commit: 4}
	mustWrite(t, log, &consensus.HardState{Term: 2}, entriesFrom(1, 20, 2))
	mustWrite(t, log, &hard, entriesFrom(5, 30, 3)) // replaces 5 to 20
	files.Crash()
	_, recovery := mustOpen(t, files)
	want := append(entriesFrom(1, 4, 2), entriesFrom(5, 30, 3)...)
	if !reflect.DeepEqual(recovery.Restored.Entries, want) {
		t.Errorf("entries differ: got %d, want %d", len(recovery.Restored.Entries), len(want))
	}
	if recovery.Restored.HardState != hard {
		t.Errorf("hard state %+v, want %+v", recovery.Restored.HardState, hard)
	}
	if !reflect.DeepEqual(recovery.Restored.Snapshot.Membership.Voters, voters.Voters) {
		t.Errorf("membership %+v", recovery.Restored.Snapshot.Membership)
	}
	if recovery.TornBytes != 0 {
		t.Errorf("%d torn bytes", recovery.TornBytes)
	}
}

func TestSnapshotsDropSegments(t *testing.T) {
	for _, replaces := range []bool{false, true} {
		files := faultfs.New(1)
		log := mustCreate(t, files)
		for first := uint64(1); first <= 91; first += 10 {
			mustWrite(t, log, &consensus.HardState{Term: 1, Commit: first}, entriesFrom(first, 10, 1))
		}
		before, _ := files.ReadDir(folder)
		snapshot := consensus.Snapshot{Index: 60, Term: 1, Membership: voters, Data: []byte("state")}
		save, want := log.SaveSnapshot, entriesFrom(61, 40, 1)
		if replaces {
			save, want = log.InstallSnapshot, nil
		}
		if err := save(snapshot); err != nil {
			t.Fatal(err)
		}
		if err := save(snapshot); !errors.Is(err, wal.ErrOldSnapshot) {
			t.Errorf("same snapshot again: %v", err)
		}
		files.Crash()
		after, _ := files.ReadDir(folder)
		if len(after) >= len(before) {
			t.Errorf("%d files before, %d after", len(before), len(after))
		}
		_, recovery := mustOpen(t, files)
		if got := recovery.Restored.Entries; len(got) != len(want) || len(want) > 0 && !reflect.DeepEqual(got, want) {
			t.Errorf("replaces %v: %d entries, want %d", replaces, len(got), len(want))
		}
		if string(recovery.Restored.Snapshot.Data) != "state" {
			t.Errorf("snapshot %+v", recovery.Restored.Snapshot)
		}
	}
}

// After a crash at any sync the folder opens with all synced entries and a prefix of
// the rest.
func TestCrashPreservesSyncedEntries(t *testing.T) {
	torn := uint64(0)
	for seed := range uint64(400) {
		files := faultfs.New(seed)
		log := mustCreate(t, files)
		files.FailSync(int(1 + seed%40))
		synced := writeUntilFailure(log)
		if !errors.Is(log.Err(), wal.ErrFailed) {
			t.Fatalf("seed %d: %v", seed, log.Err())
		}
		files.FailSync(0)
		files.Crash()
		torn += files.Counters().TornWrites
		reopened, recovery := mustOpen(t, files)
		node, err := consensus.New(consensus.Config{ID: 1, ElectionTicks: 10, HeartbeatTicks: 1}, recovery.Restored)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if last := node.Status().LastIndex; last < synced {
			t.Fatalf("seed %d: last index %d, %d was synced", seed, last, synced)
		}
		mustWrite(t, reopened, nil, entriesFrom(node.Status().LastIndex+1, 1, 99))
	}
	if torn == 0 {
		t.Error("no crash tore a write")
	}
}

// writeUntilFailure returns the last index that Sync confirmed.
func writeUntilFailure(log *wal.Log) uint64 {
	synced := uint64(0)
	for first := uint64(1); ; first += 3 {
		term := 1 + first/20
		hard := consensus.HardState{Term: term, Commit: synced}
		if log.Append(&hard, entriesFrom(first, 3, term)) != nil || log.Sync() != nil {
			return synced
		}
		synced = first + 2
		if first%5 != 0 {
			continue
		}
		snapshot := consensus.Snapshot{Index: synced - 1, Term: term, Membership: voters}
		if log.SaveSnapshot(snapshot) != nil {
			return synced
		}
	}
}

func TestFailuresAreSticky(t *testing.T) {
	cases := []struct {
		name   string
		inject func(*faultfs.FileSystem)
		full   bool
	}{
		{"sync", func(f *faultfs.FileSystem) { f.FailSync(1) }, false},
		{"write", func(f *faultfs.FileSystem) { f.FailWrite(1) }, false},
		{"disk full", func(f *faultfs.FileSystem) { f.SetCapacity(f.Used() + 10) }, true},
	}
	for _, test := range cases {
		files := faultfs.New(1)
		log := mustCreate(t, files)
		mustWrite(t, log, &consensus.HardState{Term: 1}, entriesFrom(1, 2, 1))
		test.inject(files)
		if err := log.Append(nil, entriesFrom(3, 1, 1)); err != nil {
			t.Fatal(err)
		}
		first := log.Sync()
		if !errors.Is(first, wal.ErrFailed) || errors.Is(first, wal.ErrFull) != test.full {
			t.Errorf("%s: error %v", test.name, first)
		}
		files.SetCapacity(0)
		later := []error{
			log.Append(nil, nil), log.Sync(), log.Persist(consensus.Ready{}),
			log.SaveSnapshot(consensus.Snapshot{Index: 1, Term: 1}), log.InstallSnapshot(consensus.Snapshot{Index: 9, Term: 1}),
		}
		for i, err := range later {
			if !errors.Is(err, wal.ErrFailed) {
				t.Errorf("%s: later call %d: %v", test.name, i, err)
			}
		}
		files.Crash()
		if _, recovery := mustOpen(t, files); len(recovery.Restored.Entries) < 2 {
			t.Errorf("%s: %d entries", test.name, len(recovery.Restored.Entries))
		}
	}
}

func TestOpenRejectsDamagedFolders(t *testing.T) {
	cases := []struct {
		name   string
		damage func(t *testing.T, files *faultfs.FileSystem)
		adjust func(*wal.Options)
		want   error
	}{
		{"removed folder", func(_ *testing.T, f *faultfs.FileSystem) { f.RemoveAll(folder) }, nil, wal.ErrMissing},
		{"emptied folder", func(t *testing.T, f *faultfs.FileSystem) { f.RemoveAll(folder); _ = f.MkdirAll(folder) }, nil, wal.ErrMissing},
		{"other member", nil, func(o *wal.Options) { o.Identity.Member = 2 }, wal.ErrForeign},
		{"other cluster", nil, func(o *wal.Options) { o.Identity.Cluster = "other" }, wal.ErrForeign},
		{"flipped bit in an old segment", flipBit("wal-0000000000000002.log", 200), nil, wal.ErrCorrupt},
		{"flipped bit in a segment header", flipBit("wal-0000000000000004.log", 20), nil, wal.ErrCorrupt},
		{"flipped bit before a synced record", flipBit("wal-0000000000000004.log", 160), nil, wal.ErrCorrupt},
		{"flipped bit in the snapshot", flipBit("snapshot-0000000000000000-0000000000000000.snap", 22), nil, wal.ErrCorrupt},
		{"missing segment", remove("wal-0000000000000002.log"), nil, wal.ErrCorrupt},
		{"missing snapshot", remove("snapshot-0000000000000000-0000000000000000.snap"), nil, wal.ErrCorrupt},
	}
	for _, test := range cases {
		files := faultfs.New(1)
		log := mustCreate(t, files)
		for first := uint64(1); first <= 14; first++ {
			mustWrite(t, log, &consensus.HardState{Term: 1}, entriesFrom(first, 2, 1))
		}
		files.Stop()
		if test.damage != nil {
			test.damage(t, files)
		}
		options := optionsOn(files)
		if test.adjust != nil {
			test.adjust(&options)
		}
		if _, _, err := wal.Open(options); !errors.Is(err, test.want) {
			t.Errorf("%s: error %v, want %v", test.name, err, test.want)
		}
	}
}

// TestDamagedLastBatchIsCorrupt guards against taking damage to the last synced batch for a
// torn write, and against damage that is not noticed. It flips each byte of a log whose
// entries came in one batch. Only a flip in the confirmation at its end loses nothing.
func TestDamagedLastBatchIsCorrupt(t *testing.T) {
	const confirmationBytes = 40
	hard := consensus.HardState{Term: 2, VotedFor: 3, Commit: 4}
	entries := entriesFrom(1, 4, 2)
	for name, reopen := range map[string]bool{"as written": false, "reopened once": true} {
		t.Run(name, func(t *testing.T) {
			var size int64
			for offset := int64(0); ; offset++ {
				files := faultfs.New(1)
				mustWrite(t, mustCreate(t, files), &hard, entries)
				files.Stop()
				if reopen {
					mustOpen(t, files)
					files.Stop()
				}
				data, err := files.ReadFile(filepath.Join(folder, firstSegment))
				if err != nil {
					t.Fatal(err)
				}
				if size = int64(len(data)); offset == size {
					break
				}
				if err := files.Flip(filepath.Join(folder, firstSegment), offset); err != nil {
					t.Fatal(err)
				}
				_, recovery, err := wal.Open(optionsOn(files))
				if errors.Is(err, wal.ErrCorrupt) || errors.Is(err, wal.ErrForeign) {
					continue
				}
				if err != nil || offset < size-confirmationBytes {
					t.Fatalf("byte %d of %d: error %v", offset, size, err)
				}
				restored := recovery.Restored
				if restored.HardState != hard || !reflect.DeepEqual(restored.Entries, entries) {
					t.Errorf("byte %d: restored %+v with %d entries", offset, restored.HardState, len(restored.Entries))
				}
			}
			if size <= confirmationBytes {
				t.Errorf("%d bytes were flipped", size)
			}
		})
	}
}

// TestLostConfirmationIsNotCorrupt loses power after a sync: whatever remains of its
// confirmation, the log opens with all that was synced.
func TestLostConfirmationIsNotCorrupt(t *testing.T) {
	for seed := range uint64(400) {
		files := faultfs.New(seed)
		log := mustCreate(t, files)
		mustWrite(t, log, nil, entriesFrom(1, 2, 2))
		if seed%2 == 0 {
			if err := log.SaveSnapshot(consensus.Snapshot{Index: 1, Term: 2, Membership: voters}); err != nil {
				t.Fatal(err)
			}
		}
		hard := consensus.HardState{Term: 2, VotedFor: 3, Commit: 4}
		mustWrite(t, log, &hard, entriesFrom(3, 3, 2))
		files.Crash()
		_, recovery := mustOpen(t, files)
		restored := recovery.Restored
		if last := restored.Entries[len(restored.Entries)-1].Index; restored.HardState != hard || last != 5 {
			t.Fatalf("seed %d: restored %+v up to entry %d", seed, restored.HardState, last)
		}
	}
}

func flipBit(name string, offset int64) func(*testing.T, *faultfs.FileSystem) {
	return func(t *testing.T, files *faultfs.FileSystem) {
		t.Helper()
		if err := files.Flip(filepath.Join(folder, name), offset); err != nil {
			t.Fatalf("flip %s: %v", name, err)
		}
	}
}

func remove(name string) func(*testing.T, *faultfs.FileSystem) {
	return func(t *testing.T, files *faultfs.FileSystem) {
		t.Helper()
		if err := files.Remove(filepath.Join(folder, name)); err != nil {
			t.Fatalf("remove %s: %v", name, err)
		}
	}
}

func TestOperatingSystemFiles(t *testing.T) {
	options := wal.Options{FileSystem: wal.OS{}, Directory: filepath.Join(t.TempDir(), "a", "b"), Identity: identity}
	if _, _, err := wal.Open(options); !errors.Is(err, wal.ErrMissing) {
		t.Errorf("open without folder: %v", err)
	}
	log, _, err := wal.Create(options, voters)
	if err != nil {
		t.Fatal(err)
	}
	mustWrite(t, log, &consensus.HardState{Term: 1}, entriesFrom(1, 3, 1))
	if _, _, err := wal.Open(options); !errors.Is(err, wal.ErrLocked) {
		t.Errorf("second open: %v", err)
	}
	if err := log.SaveSnapshot(consensus.Snapshot{Index: 2, Term: 1, Membership: voters}); err != nil {
		t.Fatal(err)
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	if err := log.Sync(); !errors.Is(err, wal.ErrClosed) {
		t.Errorf("sync after close: %v", err)
	}
	if _, _, err := wal.Create(options, voters); !errors.Is(err, wal.ErrExists) {
		t.Errorf("create again: %v", err)
	}
	reopened, recovery, err := wal.Open(options)
	if err != nil {
		t.Fatal(err)
	}
	if len(recovery.Restored.Entries) != 1 || recovery.Restored.Snapshot.Index != 2 {
		t.Errorf("restored %+v", recovery.Restored)
	}
	if err := reopened.Close(); err != nil {
		t.Error(err)
	}
}

// A folder with a later snapshot had a log and must not count as new.
func TestSnapshotWithoutSegmentsIsCorrupt(t *testing.T) {
	files := faultfs.New(1)
	log := mustCreate(t, files)
	mustWrite(t, log, &consensus.HardState{Term: 1}, entriesFrom(1, 4, 1))
	if err := log.SaveSnapshot(consensus.Snapshot{Index: 3, Term: 1, Membership: voters, Data: []byte("state")}); err != nil {
		t.Fatal(err)
	}
	files.Stop()
	names, err := files.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if filepath.Ext(name) == ".log" {
			remove(name)(t, files)
		}
	}
	if _, _, err := wal.Open(optionsOn(files)); !errors.Is(err, wal.ErrCorrupt) {
		t.Fatalf("got %v", err)
	}
}

// A snapshot written concurrently with the log takes effect once it is adopted and
// preserves the entries appended since. It has no effect after a crash before that, or
// after a later snapshot of the leader.
func TestConcurrentSnapshotAdoption(t *testing.T) {
	written := consensus.Snapshot{Index: 2, Term: 1, Membership: voters, Data: []byte("state")}
	later := consensus.Snapshot{Index: 9, Term: 1, Membership: voters, Data: []byte("later")}
	for name, row := range map[string]struct {
		finish          func(*wal.Log, wal.WrittenSnapshot) error
		snapshot, first uint64
		entries         int
	}{
		"adopted": {
			finish: func(log *wal.Log, w wal.WrittenSnapshot) error { return log.AdoptSnapshot(w) }, snapshot: 2, first: 3, entries: 4,
		},
		"crash before adoption": {
			finish: func(*wal.Log, wal.WrittenSnapshot) error { return nil }, snapshot: 0, first: 1, entries: 6,
		},
		"superseded by a later snapshot": {
			finish: func(log *wal.Log, w wal.WrittenSnapshot) error {
				if err := log.InstallSnapshot(later); err != nil {
					return err
				}
				if err := log.AdoptSnapshot(w); !errors.Is(err, wal.ErrOldSnapshot) {
					return fmt.Errorf("adopted: %w", err)
				}
				return nil
			}, snapshot: 9,
		},
	} {
		t.Run(name, func(t *testing.T) {
			files := faultfs.New(1)
			log := mustCreate(t, files)
			mustWrite(t, log, &consensus.HardState{Term: 1, Commit: 2}, entriesFrom(1, 3, 1))
			prepared, err := log.SnapshotWriter().Write(written)
			if err != nil {
				t.Fatal(err)
			}
			mustWrite(t, log, &consensus.HardState{Term: 1, Commit: 3}, entriesFrom(4, 3, 1))
			if err := row.finish(log, prepared); err != nil {
				t.Fatal(err)
			}
			files.Crash()
			_, recovery, err := wal.Open(optionsOn(files))
			if err != nil {
				t.Fatal(err)
			}
			restored := recovery.Restored
			if restored.Snapshot.Index != row.snapshot || len(restored.Entries) != row.entries {
				t.Fatalf("snapshot %d with %d entries, want %d with %d", restored.Snapshot.Index, len(restored.Entries), row.snapshot, row.entries)
			}
			if row.entries > 0 && restored.Entries[0].Index != row.first {
				t.Errorf("entries from %d, want from %d", restored.Entries[0].Index, row.first)
			}
		})
	}
}
