package group_test

import (
	"context"
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// TestAbandonedInspectDoesNotRun guards against a loop that writes to the variables of a caller
// that has returned.
func TestAbandonedInspectDoesNotRun(t *testing.T) {
	all, machines := startGroup(t)
	waitForVoters(t, all, "a", "b", "c")
	member := leaderOf(machines, "a", "b", "c").member
	blocked, release, first := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	go func() {
		first <- member.Inspect(context.Background(), func(groupmember.StateMachine) {
			close(blocked)
			<-release
		})
	}()
	<-blocked
	ctx, cancel := context.WithCancel(context.Background())
	abandoned, ran := make(chan error, 1), false
	go func() {
		abandoned <- member.Inspect(ctx, func(groupmember.StateMachine) { ran = true })
	}()
	cancel()
	if err := <-abandoned; err == nil {
		t.Error("a call ended without an error while the loop was blocked")
	}
	close(release)
	if err := <-first; err != nil {
		t.Fatal(err)
	}
	if err := member.Inspect(context.Background(), func(groupmember.StateMachine) {}); err != nil {
		t.Fatal(err)
	}
	if ran {
		t.Error("the loop ran the function of a caller that had returned")
	}
}
