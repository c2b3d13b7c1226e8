package group_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/group"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// TestMemberRejectsOtherShard checks that a member rejects commands, reads and join
// requests for another shard's group of the same name.
func TestMemberRejectsOtherShard(t *testing.T) {
	_, machines := startGroup(t)
	var leader *groupMachine
	waitUntil(t, "a leader is elected", func() bool {
		leader = leaderOf(machines, "a", "b", "c")
		return leader != nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var notLeader *group.NotLeaderError
	if _, err := leader.member.ProposeTo(ctx, 2, []byte("x")); !errors.As(err, &notLeader) {
		t.Errorf("a command for another shard: %v", err)
	}
	if err := leader.member.ReadFrom(ctx, 2, nil); !errors.As(err, &notLeader) {
		t.Errorf("a read for another shard: %v", err)
	}
	// The leader may change: on a busy machine it may not be scheduled for longer than an
	// election timeout.
	waitUntil(t, "a command for this shard is accepted", func() bool {
		leader = leaderOf(machines, "a", "b", "c")
		if leader == nil {
			return false
		}
		_, err := leader.member.ProposeTo(ctx, 0, []byte("x"))
		if err != nil && !errors.As(err, &notLeader) && !errors.Is(err, groupmember.ErrLeadershipLost) {
			t.Errorf("a command for this shard: %v", err)
		}
		return err == nil
	})

	// d tries to join another shard's group while a member's slot is free.
	stranger := machines["d"]
	stranger.stop()
	stranger.origin.Shard = 2
	stranger.start()
	lost := machines["a"]
	if lost == leader {
		lost = machines["b"]
	}
	lost.stop()
	time.Sleep(time.Second) // twice the time after which a voter is replaced
	if published := stranger.member.PublishedState(); published != nil {
		t.Errorf("a machine that joins another shard is member %d", published.Status.ID)
	}
	if got := len(leader.member.PublishedState().Records); got != 3 {
		t.Errorf("%d members, want 3", got)
	}
	stranger.stop()
	stranger.origin.Shard = 0
	stranger.start()
	waitUntil(t, "the machine joins this shard's group", func() bool {
		published := stranger.member.PublishedState()
		return published != nil && published.Status.Membership.IsVoter(published.Status.ID)
	})
}
