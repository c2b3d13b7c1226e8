package group_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// damageLog inverts a byte in the header of the first segment and returns the files of the log.
func damageLog(t *testing.T, folder string) map[string][]byte {
	t.Helper()
	const segment, offset = "wal-0000000000000001.log", 20
	files := map[string][]byte{}
	entries, err := os.ReadDir(filepath.Join(folder, "log"))
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		path := filepath.Join(folder, "log", entry.Name())
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if entry.Name() == segment {
			data[offset] ^= 1
			if err := os.WriteFile(path, data, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if entry.Name() != "lock" {
			files[entry.Name()] = data
		}
	}
	if len(files[segment]) == 0 {
		t.Fatalf("no segment among %d files", len(files))
	}
	return files
}

// isSetAside reports whether all files of a damaged log, and an identity, are set aside.
func isSetAside(folder string, files map[string][]byte) bool {
	for name, contents := range files {
		kept, err := os.ReadFile(filepath.Join(folder, "unusable", name))
		if err != nil || !bytes.Equal(kept, contents) {
			return false
		}
	}
	_, err := os.Stat(filepath.Join(folder, "unusable", "identity"))
	return err == nil
}

// stopVoters starts a group and stops the spare machine and two voters.
func stopVoters(t *testing.T) (machines map[string]*groupMachine, first, second *groupMachine) {
	t.Helper()
	all, machines := startGroup(t)
	waitForVoters(t, all, "a", "b", "c")
	for _, name := range []string{"d", "a", "b"} {
		machines[name].stop()
	}
	return machines, machines["a"], machines["b"]
}

// TestDamagedLogIsKeptWhileTheGroupHasNoQuorum guards against a member that erases the last copy
// of acknowledged entries: its log is damaged and another disk is lost at the same moment.
func TestDamagedLogIsKeptWhileTheGroupHasNoQuorum(t *testing.T) {
	_, damaged, lost := stopVoters(t)
	files := damageLog(t, damaged.folder)
	if err := os.RemoveAll(lost.folder); err != nil {
		t.Fatal(err)
	}
	lost.origin.Founders = nil // the group was founded long ago
	lost.start()
	for restart := range 3 {
		damaged.start()
		waitUntil(t, "the log is set aside", func() bool { return isSetAside(damaged.folder, files) })
		time.Sleep(200 * time.Millisecond) // several checks whether it may be removed
		if published := damaged.member.PublishedState(); published != nil || !isSetAside(damaged.folder, files) {
			t.Fatalf("restart %d: state %+v, log set aside: %v", restart, published, isSetAside(damaged.folder, files))
		}
		damaged.stop()
	}
}

// TestDamagedLogIsRemovedOnceTheSuccessorIsComplete guards against a log that is set aside and
// fills the disk, and against its removal before the member is a voter with the complete log.
func TestDamagedLogIsRemovedOnceTheSuccessorIsComplete(t *testing.T) {
	machines, damaged, other := stopVoters(t)
	files := damageLog(t, damaged.folder)
	damaged.start()
	waitUntil(t, "the log is set aside", func() bool { return isSetAside(damaged.folder, files) })
	other.start()
	waitUntil(t, "the set-aside log is removed", func() bool {
		entries, err := os.ReadDir(filepath.Join(damaged.folder, "unusable"))
		return err == nil && len(entries) == 0
	})
	published := damaged.member.PublishedState()
	if published == nil || !published.Status.Membership.IsVoter(published.Status.ID) || published.Status.ID == damaged.record.ID {
		t.Errorf("state when the log was removed: %+v", published)
	}
	waitForVoters(t, []*groupMachine{damaged, other, machines["c"]}, "a", "b", "c")
}
