package group_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wal/diskfault"
	"github.com/loomgrade/loomgrade/internal/app/group"
)

// TestAMemberGoesOnOnceItsDiskHasRoom: until then it takes no part, and what it is
// asked is refused as not run; nothing that was acknowledged is lost.
func TestMemberResumesAfterFullDisk(t *testing.T) {
	all, machines := startGroup(t)
	awaitVoters(t, all, "a", "b", "c")
	machines["d"].stop() // or it would take the place
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
		t.Error("a command is acknowledged that the disk refused")
	}
	until(t, "the member takes no part", func() bool { return leader.member.PublishedState() == nil })
	if _, err := leader.member.Propose(context.Background(), []byte("x")); err != group.ErrNotReady {
		t.Errorf("asked meanwhile: %v", err)
	}
	if err := os.Remove(control); err != nil {
		t.Fatal(err)
	}
	until(t, "the member is back", func() bool {
		shown := leader.member.PublishedState()
		return shown != nil && shown.Confirmed
	})
	if applied := leader.applied(); applied < 5 {
		t.Errorf("%d commands are there, of 5 that were acknowledged", applied)
	}
}

func until(t *testing.T, what string, happened func() bool) {
	t.Helper()
	const patience = 20 * time.Second
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if happened() {
			return
		}
	}
	t.Fatalf("in %v not: %s", patience, what)
}
