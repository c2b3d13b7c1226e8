package group_test

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/loomgrade/loomgrade/internal/app/group"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// TestLeaderStaysDuringLongBatch guards against the loss of a leader that is busy with
// queued requests for longer than an election timeout, none of which takes long.
func TestLeaderStaysDuringLongBatch(t *testing.T) {
	const (
		tick     = 50 * time.Millisecond
		requests = 5 * group.DefaultElectionTicks
	)
	all, machines := startGroupWithTick(t, tick)
	waitForVoters(t, all, "a", "b", "c")
	machines["d"].stop() // keeps it from replacing a member
	leader := leaderOf(machines, "a", "b", "c")
	term := leader.member.PublishedState().Status.Term
	var calls errgroup.Group
	for range requests {
		calls.Go(func() error {
			return leader.member.Inspect(context.Background(), func(groupmember.StateMachine) { time.Sleep(tick / 2) })
		})
	}
	if err := calls.Wait(); err != nil {
		t.Fatal(err)
	}
	if _, err := leader.member.Propose(context.Background(), []byte("command")); err != nil {
		t.Errorf("the command after the batch: %v", err)
	}
	if published := leader.member.PublishedState(); published == nil || !published.LeaderReady || published.Status.Term != term {
		t.Errorf("the leader of term %d lost its leadership: %+v", term, published)
	}
}
