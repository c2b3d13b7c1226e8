package wal_test

import (
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"syscall"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wal/faultfs"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

var durabilitySeeds = flag.Int("durability-seeds", 400, "seeds of TestAcknowledgedStateSurvivesSeriesOfFaults")

// TestAcknowledgedStateSurvivesSeriesOfFaults guards against acknowledged entries that are lost,
// and logs that do not open, after a series of kills between any two operations on the disk and
// of power losses that lose each unsynced name by itself.
func TestAcknowledgedStateSurvivesSeriesOfFaults(t *testing.T) {
	for seed := range uint64(*durabilitySeeds) {
		d := &durableLog{files: faultfs.New(seed), random: rand.New(rand.NewPCG(seed, 1))}
		for round := range 12 {
			if err := d.live(); err != nil {
				t.Fatalf("seed %d, life %d: %v", seed, round, err)
			}
		}
	}
}

// durableLog writes a log through several lives of a process. Entry and snapshot contents
// depend on the index alone, so that a restored log can be checked without its history.
type durableLog struct {
	files  *faultfs.FileSystem
	random *rand.Rand
	// created is set once Create has returned.
	created bool
	// lastIndex and hard were acknowledged: they must survive.
	lastIndex uint64
	hard      consensus.HardState

	log *wal.Log
	// next is the index of the next entry, term the current one.
	next, term, snapshot uint64
}

// live opens the log, checks it and writes until the process ends. It then may lose power.
func (d *durableLog) live() error {
	d.files.KillAfter(d.random.IntN(60))
	err := d.open()
	for range d.random.IntN(12) {
		if err == nil {
			err = d.write()
		}
	}
	if err != nil && !d.files.Killed() {
		return err
	}
	if d.random.IntN(2) == 0 {
		d.files.Crash()
	} else {
		d.files.Stop()
	}
	return nil
}

func (d *durableLog) open() error {
	log, recovery, err := wal.Open(optionsOn(d.files))
	if errors.Is(err, wal.ErrMissing) && !d.created {
		log, recovery.Restored, err = wal.Create(optionsOn(d.files), voters)
	}
	if err != nil {
		return err
	}
	d.log, d.created = log, true
	return d.check(recovery.Restored)
}

// check compares the restored state with what was acknowledged.
func (d *durableLog) check(restored consensus.Restored) error {
	d.snapshot = restored.Snapshot.Index
	d.next = d.snapshot + 1
	if d.snapshot > 0 && string(restored.Snapshot.Data) != fmt.Sprintf("state at %d", d.snapshot) {
		return fmt.Errorf("snapshot %d has data %q", d.snapshot, restored.Snapshot.Data)
	}
	for _, entry := range restored.Entries {
		if entry.Index != d.next || string(entry.Data) != fmt.Sprintf("entry %d", entry.Index) {
			return fmt.Errorf("entry %d with data %q, want index %d", entry.Index, entry.Data, d.next)
		}
		d.next++
	}
	hard := restored.HardState
	if d.next <= d.lastIndex || hard.Term < d.hard.Term || hard.Term == d.hard.Term && hard.VotedFor != d.hard.VotedFor {
		return fmt.Errorf("restored up to entry %d with %+v, acknowledged up to %d with %+v", d.next-1, hard, d.lastIndex, d.hard)
	}
	d.term, d.lastIndex, d.hard = hard.Term, d.next-1, hard // what was read is relied on
	return nil
}

// write changes the log and records what was acknowledged.
func (d *durableLog) write() error {
	switch d.random.IntN(6) {
	case 0:
		return d.compact()
	case 1:
		return d.install()
	default:
		return d.append()
	}
}

func (d *durableLog) append() error {
	d.term++
	hard := consensus.HardState{Term: d.term, VotedFor: consensus.MemberID(d.term%3 + 1)}
	var entries []consensus.Entry
	for range d.random.IntN(8) {
		entries = append(entries, consensus.Entry{Index: d.next, Term: 1, Data: fmt.Appendf(nil, "entry %d", d.next)})
		d.next++
	}
	if err := errors.Join(d.log.Append(&hard, entries), d.log.Sync()); err != nil {
		return err
	}
	d.lastIndex, d.hard = d.next-1, hard
	return nil
}

// compact stores a snapshot of the entries so far, which makes segments obsolete.
func (d *durableLog) compact() error {
	if d.next-1 <= d.snapshot {
		return nil
	}
	index := d.snapshot + 1 + d.random.Uint64N(d.next-1-d.snapshot)
	d.snapshot = index
	return d.log.SaveSnapshot(snapshotAt(index))
}

// install replaces the log with a snapshot of a leader that is ahead.
func (d *durableLog) install() error {
	index := d.next + d.random.Uint64N(5)
	if err := d.log.InstallSnapshot(snapshotAt(index)); err != nil {
		return err
	}
	d.snapshot, d.next, d.lastIndex = index, index+1, index
	return nil
}

func snapshotAt(index uint64) consensus.Snapshot {
	return consensus.Snapshot{Index: index, Term: 1, Membership: voters, Data: fmt.Appendf(nil, "state at %d", index)}
}

// TestEntryAfterUnsyncedRenameSurvivesPowerLoss guards against the loss of acknowledged entries
// in a segment whose name was not durable: the process ended between the renaming of the new
// segment and the sync of its folder.
func TestEntryAfterUnsyncedRenameSurvivesPowerLoss(t *testing.T) {
	lost := 0
	for seed := range uint64(40) {
		files := faultfs.New(seed)
		log := mustCreate(t, files)
		mustWrite(t, log, &consensus.HardState{Term: 1}, entriesFrom(1, 3, 1))
		// The kill moves on by one operation until the new segment has its name.
		for killIn, segments := 1, 1; segments < 2; killIn++ {
			files.KillAfter(killIn)
			if err := log.SaveSnapshot(consensus.Snapshot{Index: 2, Term: 1, Membership: voters}); !errors.Is(err, faultfs.ErrKilled) {
				t.Fatalf("kill at operation %d: %v", killIn, err)
			}
			files.Stop()
			names, _ := files.ReadDir(folder)
			segments = countSegments(names)
			log, _ = mustOpen(t, files)
		}
		mustWrite(t, log, &consensus.HardState{Term: 1}, entriesFrom(4, 1, 1))
		files.Crash()
		_, recovery, err := wal.Open(optionsOn(files))
		if entries := recovery.Restored.Entries; err != nil || len(entries) == 0 || entries[len(entries)-1].Index != 4 {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of 40 seeds lost an acknowledged entry", lost)
	}
}

func countSegments(names []string) int {
	count := 0
	for _, name := range names {
		var sequence uint64
		if matched, _ := fmt.Sscanf(name, "wal-%016x.log", &sequence); matched == 1 && len(name) == len("wal-0000000000000001.log") {
			count++
		}
	}
	return count
}

// TestLogOpensAfterRemovalIsUndone guards against a log that counts as corrupt since a loss of
// power has undone the removal of one obsolete segment and kept that of a later one.
func TestLogOpensAfterRemovalIsUndone(t *testing.T) {
	for seed := range uint64(40) {
		files := faultfs.New(seed)
		log := mustCreate(t, files)
		for first := uint64(1); first <= 91; first += 10 {
			mustWrite(t, log, &consensus.HardState{Term: 1, Commit: first}, entriesFrom(first, 10, 1))
		}
		if err := log.SaveSnapshot(consensus.Snapshot{Index: 90, Term: 1, Membership: voters}); err != nil {
			t.Fatal(err)
		}
		files.Crash()
		if _, _, err := wal.Open(optionsOn(files)); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// TestMadeFolderSurvivesPowerLoss guards against the loss of a folder with all that is in it: the
// process that made it, or a parent of it, ended before the sync of the folder that holds it.
func TestMadeFolderSurvivesPowerLoss(t *testing.T) {
	const directory = "/data/site/log"
	for seed := range uint64(40) {
		for killIn := range 8 {
			files := faultfs.New(seed)
			files.KillAfter(killIn)
			if err := wal.MakeFolder(files, directory); err != nil && !errors.Is(err, faultfs.ErrKilled) {
				t.Fatal(err)
			}
			files.Stop()
			if err := wal.MakeFolder(files, directory); err != nil {
				t.Fatal(err)
			}
			files.Crash()
			if _, err := files.ReadDir(directory); err != nil {
				t.Errorf("seed %d, killed at operation %d: %v", seed, killIn, err)
			}
		}
	}
}

// foreignParent is a file system on which the sync of one folder fails.
type foreignParent struct {
	*faultfs.FileSystem
	parent string
	err    error
}

func (f foreignParent) SyncDir(directory string) error {
	if directory == f.parent {
		return &fs.PathError{Op: "sync", Path: directory, Err: f.err}
	}
	return f.FileSystem.SyncDir(directory)
}

// TestFolderInForeignParentIsMade guards against a member that does not start since the parent of
// its data folder belongs to somebody else, and against one that relies on a folder after its
// parent's sync has failed.
func TestFolderInForeignParentIsMade(t *testing.T) {
	for err, tolerated := range map[error]bool{
		syscall.EACCES: true, syscall.EROFS: true, syscall.EINVAL: true, syscall.EIO: false, syscall.ENOSPC: false,
	} {
		made := wal.MakeFolder(foreignParent{FileSystem: faultfs.New(1), parent: "/", err: err}, folder)
		if (made == nil) != tolerated || !tolerated && !errors.Is(made, err) {
			t.Errorf("sync of the parent failed with %v: MakeFolder returned %v", err, made)
		}
	}
}
