package group_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wal/diskfault"
	"github.com/loomgrade/loomgrade/internal/app/group"
)

// TestMemberResumesAfterFullDisk checks that a member with a full disk rejects calls as
// not run, and resumes without losing acknowledged commands once the disk has space.
func TestMemberResumesAfterFullDisk(t *testing.T) {
	all, machines := startGroup(t)
	waitForVoters(t, all, "a", "b", "c")
	machines["d"].stop() // keeps it from replacing the stopped member
	leader := leaderOf(machines, "a", "b", "c")
	for range 5 {
		if _, err := leader.member.Propose(context.Background(), []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	control := diskfault.ControlFile(leader.folder)
	if err := os.WriteFile(control, []byte(diskfault.Refuse), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := leader.member.Propose(context.Background(), []byte("x")); err == nil {
		t.Error("a command was acknowledged although the disk rejected it")
	}
	waitUntil(t, "the member stops", func() bool { return leader.member.PublishedState() == nil })
	if _, err := leader.member.Propose(context.Background(), []byte("x")); err != group.ErrNotReady {
		t.Errorf("proposal while stopped: %v", err)
	}
	if err := os.Remove(control); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the member resumes", func() bool {
		published := leader.member.PublishedState()
		return published != nil && published.Confirmed
	})
	if applied := leader.applied(); applied < 5 {
		t.Errorf("%d commands applied, want at least the 5 acknowledged ones", applied)
	}
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	const timeout = 20 * time.Second
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not within %v: %s", timeout, what)
}
