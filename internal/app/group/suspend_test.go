package group_test

import (
	"context"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// TestSuspendedLeaderNeedsQuorum checks that a leader that was suspended for longer
// than an election timeout serves no reads and is not confirmed before it contacts a quorum.
func TestSuspendedLeaderNeedsQuorum(t *testing.T) {
	all, machines := startGroup(t)
	waitForVoters(t, all, "a", "b", "c")
	machines["d"].stop()
	leader := leaderOf(machines, "a", "b", "c")
	read := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return leader.member.Read(ctx, func(groupmember.StateMachine) {})
	}
	if err := read(10 * time.Second); err != nil {
		t.Fatalf("read before the suspension: %v", err)
	}
	for _, name := range []string{"a", "b", "c"} {
		if machines[name] != leader {
			machines[name].stop()
		}
	}
	leader.suspend(10 * time.Second)
	if published := leader.member.PublishedState(); published != nil && (published.LeaderReady || published.Confirmed) {
		t.Errorf("leader ready %v, confirmed %v after the suspension", published.LeaderReady, published.Confirmed)
	}
	if err := read(300 * time.Millisecond); err == nil {
		t.Error("a read succeeded without a quorum")
	}
}

// TestSuspendedLeaderResumesInSameTerm checks that a leader that contacts a quorum after a
// suspension serves again in the same term, also after a second suspension.
func TestSuspendedLeaderResumesInSameTerm(t *testing.T) {
	all, machines := startGroup(t)
	waitForVoters(t, all, "a", "b", "c")
	leader := leaderOf(machines, "a", "b", "c")
	term := leader.member.PublishedState().Status.Term
	for range 2 {
		leader.suspend(10 * time.Second)
		waitUntil(t, "the leader is in contact with a quorum again", func() bool {
			published := leader.member.PublishedState()
			return published != nil && published.LeaderReady
		})
	}
	if now := leader.member.PublishedState().Status.Term; now != term {
		t.Errorf("term %d, was %d", now, term)
	}
}
