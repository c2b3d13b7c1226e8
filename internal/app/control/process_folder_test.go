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
	"github.com/loomgrade/loomgrade/internal/port"
)

// segmentsOf lists the log's segments in a member's folder, oldest first.
func (g *processGroup) segmentsOf(id uint64) []string {
	g.t.Helper()
	segments, err := filepath.Glob(filepath.Join(g.dataFolder(id), "wal-*.log"))
	if err != nil || len(segments) == 0 {
		g.t.Fatalf("no segments of member %d: %v", id, err)
	}
	slices.Sort(segments)
	return segments
}

// awaitRefusal waits until a member's process ends by itself and demands exit
// code 1 and a message.
func (g *processGroup) awaitRefusal(id uint64, message string) {
	g.t.Helper()
	refused := g.children[id]
	delete(g.children, id)
	patience := time.AfterFunc(testTimeout, func() { _ = refused.command.Process.Kill() })
	defer patience.Stop()
	err := refused.command.Wait()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 1 || !strings.Contains(refused.stderr.String(), message) {
		g.t.Fatalf("member %d ended with %v: %s", id, err, refused.stderr)
	}
}

// TestProcessesRefuseBadFolders starts a process on a folder that it must not
// use, while the others go on.
func TestProcessesRefuseBadFolders(t *testing.T) {
	cases := []struct {
		name    string
		damage  func(t *testing.T, group *processGroup)
		message string
	}{
		{"byte flipped in the middle", func(t *testing.T, group *processGroup) {
			flipMiddle(t, group.segmentsOf(3)[0])
		}, "data folder is corrupt"},
		{"only segment missing", func(t *testing.T, group *processGroup) {
			removeFile(t, group.segmentsOf(3)[0])
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
			group, writing, client := startWritten(t, 20)
			group.kill(3)
			test.damage(t, group)
			group.start(3)
			group.awaitRefusal(3, test.message)
			if err := writing.change(client); err != nil {
				t.Fatalf("the others did not go on: %v", err)
			}
		})
	}
}

// startWritten starts three processes and makes some changes.
func startWritten(t *testing.T, changes int) (*processGroup, *writer, *controlclient.Client) {
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

// TestProcessWithFullDiskStopsAndComesBack lets the next segment of one process
// meet a full disk: a link leads its temporary file to /dev/full. The process
// must stop and say so, the others go on, and with room it is back with all that
// was accepted.
func TestProcessRecoversFromFullDisk(t *testing.T) {
	group, writing, client := startWritten(t, 5)
	var sequence uint64
	segments := group.segmentsOf(2)
	if _, err := fmt.Sscanf(filepath.Base(segments[len(segments)-1]), "wal-%016x.log", &sequence); err != nil {
		t.Fatal(err)
	}
	next := filepath.Join(group.dataFolder(2), fmt.Sprintf("wal-%016x.log.tmp", sequence+1))
	if err := os.Symlink("/dev/full", next); err != nil {
		t.Fatal(err)
	}
	for range 60 { // past the next snapshot, which begins a segment
		if err := writing.change(client); err != nil {
			t.Fatalf("the others did not go on: %v", err)
		}
	}
	group.awaitRefusal(2, "no space left on device")
	removeFile(t, next)
	group.start(2)
	group.kill(1) // now the group needs the process that is back
	for range 3 {
		if err := writing.change(client); err != nil {
			t.Fatal(err)
		}
	}
	if writing.accepted != port.Revision(68) {
		t.Fatalf("revision %d after 68 changes", writing.accepted)
	}
}
