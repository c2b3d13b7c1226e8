package control

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/controlclient"
	"github.com/loomgrade/loomgrade/internal/core/controlstate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// segments returns the log segments in a member's folder, oldest first.
func (g *processGroup) segments(id uint64) []string {
	g.t.Helper()
	segments, err := filepath.Glob(filepath.Join(g.dataFolder(id), "wal-*.log"))
	if err != nil || len(segments) == 0 {
		g.t.Fatalf("no segments of member %d: %v", id, err)
	}
	slices.Sort(segments)
	return segments
}

// logFolder logs the files of a stopped member, which tell how far it had come.
func (g *processGroup) logFolder(id uint64) {
	g.t.Helper()
	entries, err := os.ReadDir(g.dataFolder(id))
	if err != nil {
		g.t.Fatal(err)
	}
	for _, entry := range entries {
		if info, err := entry.Info(); err == nil {
			g.t.Logf("member %d: %s, %d bytes", id, info.Name(), info.Size())
		}
	}
}

// awaitRevision waits until a member has applied a revision. Its log is then synced that far; an end that is not
// synced yet when the member is killed is a torn write if it is damaged.
func (g *processGroup) awaitRevision(id uint64, revision port.Revision) {
	g.t.Helper()
	var addresses []string
	for _, member := range g.members {
		if member.ID == id {
			addresses = append(addresses, member.Peer)
		}
	}
	watch := startObserverWatch(g.clientOf(addresses), controlstate.NewObserver())
	defer watch.stop(g.t)
	for deadline := time.Now().Add(testTimeout); watch.revision() < revision; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			g.t.Fatalf("member %d is at revision %d, not %d", id, watch.revision(), revision)
		}
	}
}

// awaitFailure waits until a member's process exits and requires exit code 1 and a
// message on stderr.
func (g *processGroup) awaitFailure(id uint64, message string) {
	g.t.Helper()
	failed := g.processes[id]
	delete(g.processes, id)
	timer := time.AfterFunc(testTimeout, func() { _ = failed.command.Process.Kill() })
	defer timer.Stop()
	err := failed.command.Wait()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 1 || !strings.Contains(failed.stderr.String(), message) {
		g.t.Fatalf("member %d ended with %v: %s", id, err, failed.stderr)
	}
}

// TestProcessesRefuseBadFolders checks that a process does not start on an invalid
// folder, while the others continue.
func TestProcessesRefuseBadFolders(t *testing.T) {
	cases := []struct {
		name    string
		damage  func(t *testing.T, group *processGroup)
		message string
	}{
		{"byte flipped in the middle", func(t *testing.T, group *processGroup) {
			flipMiddle(t, group.segments(3)[0])
		}, "data folder is corrupt"},
		{"only segment missing", func(t *testing.T, group *processGroup) {
			removeFile(t, group.segments(3)[0])
		}, "data folder is lost"},
		{"snapshot missing", func(t *testing.T, group *processGroup) {
			snapshots, err := filepath.Glob(filepath.Join(group.dataFolder(3), "snapshot-*.snap"))
			if err != nil || len(snapshots) != 1 {
				t.Fatalf("snapshots %v: %v", snapshots, err)
			}
			removeFile(t, snapshots[0])
		}, "snapshot file is missing"},
		{"folder of another member", func(t *testing.T, group *processGroup) {
			group.kill(2)
			folder := group.dataFolder(3)
			if err := errors.Join(os.RemoveAll(folder), os.CopyFS(folder, os.DirFS(group.dataFolder(2)))); err != nil {
				t.Fatal(err)
			}
			group.start(2)
		}, "belongs to another member"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			group, writing, client := startWithChanges(t, 20)
			group.awaitRevision(3, writing.accepted)
			group.kill(3)
			group.logFolder(3)
			test.damage(t, group)
			group.start(3)
			group.awaitFailure(3, test.message)
			if err := writing.change(client); err != nil {
				t.Fatalf("the other members do not accept changes: %v", err)
			}
		})
	}
}

// startWithChanges starts three processes and makes sequential changes.
func startWithChanges(t *testing.T, changes int) (*processGroup, *writer, *controlclient.Client) {
	t.Helper()
	group := startProcesses(t)
	for id := uint64(1); id <= 3; id++ {
		group.start(id)
	}
	writing, client := &writer{}, group.client()
	for range changes {
		if err := writing.change(client); err != nil {
			t.Fatal(err)
		}
	}
	return group, writing, client
}

func flipMiddle(t *testing.T, name string) {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 0xff
	if err := os.WriteFile(name, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func removeFile(t *testing.T, name string) {
	t.Helper()
	if err := os.Remove(name); err != nil {
		t.Fatal(err)
	}
}

// TestProcessRecoversFromFullDisk simulates a full disk with a link from the next
// segment of one process to /dev/full. The process must report that and exit while
// the others continue, and later restart with every accepted change.
func TestProcessRecoversFromFullDisk(t *testing.T) {
	group, writing, client := startWithChanges(t, 5)
	var sequence uint64
	segments := group.segments(2)
	if _, err := fmt.Sscanf(filepath.Base(segments[len(segments)-1]), "wal-%016x.log", &sequence); err != nil {
		t.Fatal(err)
	}
	next := filepath.Join(group.dataFolder(2), fmt.Sprintf("wal-%016x.log.tmp", sequence+1))
	if err := os.Symlink("/dev/full", next); err != nil {
		t.Fatal(err)
	}
	for range 60 { // past the next snapshot, which starts a segment
		if err := writing.change(client); err != nil {
			t.Fatalf("the other members do not accept changes: %v", err)
		}
	}
	group.awaitFailure(2, "no space left on device")
	removeFile(t, next)
	group.start(2)
	group.kill(1) // the restarted process is now needed for a quorum
	for range 3 {
		if err := writing.change(client); err != nil {
			t.Fatal(err)
		}
	}
	if writing.accepted != port.Revision(68) {
		t.Fatalf("revision %d after 68 changes", writing.accepted)
	}
}
