package group_test

import (
	"os"
	"path/filepath"
	"testing"
)

// TestMemberWithoutItsLogJoinsAgain guards against a voter that votes again under its id
// after the loss of its log, with which it lost its votes.
func TestMemberWithoutItsLogJoinsAgain(t *testing.T) {
	all, machines := startGroup(t)
	waitForVoters(t, all, "a", "b", "c")
	machines["d"].stop() // keeps it from replacing the stopped member
	var lost *groupMachine
	leader := leaderOf(machines, "a", "b", "c")
	for _, name := range []string{"a", "b", "c"} {
		if machines[name] != leader {
			lost = machines[name]
		}
	}
	before := lost.member.PublishedState().Status.ID
	lost.stop()
	if err := os.RemoveAll(filepath.Join(lost.folder, "log")); err != nil {
		t.Fatal(err)
	}
	lost.start()
	waitUntil(t, "the member runs", func() bool {
		published := lost.member.PublishedState()
		return published != nil && published.Confirmed
	})
	if after := lost.member.PublishedState().Status.ID; after == before {
		t.Errorf("member %d runs again without its log", after)
	}
	waitForVoters(t, all, "a", "b", "c")
}
