package group_test

import (
	"os"
	"path/filepath"
	"testing"
)

// TestMemberWithoutItsLogJoinsAgain guards against a voter that votes again under its id
// after the loss of its log, with which it lost its votes.
func TestMemberWithoutItsLogJoinsAgain(t *testing.T) {
	checkJoinsUnderNewID(t, func(t *testing.T, folder string) {
		if err := os.RemoveAll(filepath.Join(folder, "log")); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMemberWithDamagedIdentityJoinsAgain guards against a founder that bootstraps again
// under its id, without its votes, after damage to its identity.
func TestMemberWithDamagedIdentityJoinsAgain(t *testing.T) {
	checkJoinsUnderNewID(t, func(t *testing.T, folder string) {
		if err := os.WriteFile(filepath.Join(folder, "identity"), []byte("damaged"), 0o600); err != nil {
			t.Fatal(err)
		}
	})
}

// checkJoinsUnderNewID damages the folder of a stopped member, which must run again under
// another id.
func checkJoinsUnderNewID(t *testing.T, damage func(t *testing.T, folder string)) {
	t.Helper()
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
	damage(t, lost.folder)
	lost.start()
	waitUntil(t, "the member runs", func() bool {
		published := lost.member.PublishedState()
		return published != nil && published.Confirmed
	})
	if after := lost.member.PublishedState().Status.ID; after == before {
		t.Errorf("member %d runs again under its id", after)
	}
	waitForVoters(t, all, "a", "b", "c")
}
