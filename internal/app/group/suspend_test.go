package group_test

import (
	"context"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// TestASuspendedLeaderAnswersNothingOnItsOwn: a leader that is suspended for longer than an
// election timeout may have a successor when it wakes up, and its steady clock does not show
// that. It must not answer a read before a quorum has confirmed it, nor show that it is in
// touch. Here the others cannot answer.
func TestSuspendedLeaderNeedsQuorum(t *testing.T) {
	all, machines := startGroup(t)
	awaitVoters(t, all, "a", "b", "c")
	machines["d"].stop()
	leader := leaderOf(machines, "a", "b", "c")
	read := func(patience time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		return leader.member.Read(ctx, func(groupmember.StateMachine) {})
	}
	if err := read(10 * time.Second); err != nil {
		t.Fatalf("before: %v", err)
	}
	for _, name := range []string{"a", "b", "c"} {
		if machines[name] != leader {
			machines[name].stop()
		}
	}
	leader.suspend(10 * time.Second)
	if shown := leader.member.PublishedState(); shown != nil && (shown.LeaderReady || shown.Confirmed) {
		t.Errorf("it shows settled %v, confirmed %v on waking up", shown.LeaderReady, shown.Confirmed)
	}
	if err := read(300 * time.Millisecond); err == nil {
		t.Error("it answered a read on its own")
	}
}

// TestALeaderThatWakesUpInTouchGoesOn: nothing else happened, so that it serves again as soon
// as the others have answered, in the same term; also after a second suspension.
func TestSuspendedLeaderResumesInSameTerm(t *testing.T) {
	all, machines := startGroup(t)
	awaitVoters(t, all, "a", "b", "c")
	leader := leaderOf(machines, "a", "b", "c")
	term := leader.member.PublishedState().Status.Term
	for range 2 {
		leader.suspend(10 * time.Second)
		until(t, "it is in touch again", func() bool {
			shown := leader.member.PublishedState()
			return shown != nil && shown.LeaderReady
		})
	}
	if now := leader.member.PublishedState().Status.Term; now != term {
		t.Errorf("term %d, was %d", now, term)
	}
}
