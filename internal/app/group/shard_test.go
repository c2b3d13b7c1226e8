package group_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/group"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// TestAMemberOfAnotherShardRefuses: commands, questions and machines that are meant for
// another group of the same name.
func TestMemberRejectsOtherShard(t *testing.T) {
	_, machines := startGroup(t)
	var leader *groupMachine
	until(t, "a leader", func() bool {
		leader = leaderOf(machines, "a", "b", "c")
		return leader != nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var refusal *group.NotLeaderError
	if _, err := leader.member.ProposeTo(ctx, 2, []byte("x")); !errors.As(err, &refusal) {
		t.Errorf("a command for another shard: %v", err)
	}
	if err := leader.member.ReadFrom(ctx, 2, nil); !errors.As(err, &refusal) {
		t.Errorf("a question to another shard: %v", err)
	}
	// The one that leads takes it. Which one that is may change: on a machine that does much
	// else a leader is not run for longer than an election takes.
	until(t, "a command for this shard is taken", func() bool {
		leader = leaderOf(machines, "a", "b", "c")
		if leader == nil {
			return false
		}
		_, err := leader.member.ProposeTo(ctx, 0, []byte("x"))
		if err != nil && !errors.As(err, &refusal) && !errors.Is(err, groupmember.ErrLeadershipLost) {
			t.Errorf("a command for this shard: %v", err)
		}
		return err == nil
	})

	// d asks to join another shard's group where a lost member's place is free.
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
	if shown := stranger.member.PublishedState(); shown != nil {
		t.Errorf("a machine that asked for another shard is member %d", shown.Status.ID)
	}
	if got := len(leader.member.PublishedState().Records); got != 3 {
		t.Errorf("%d members", got)
	}
	stranger.stop()
	stranger.origin.Shard = 0
	stranger.start()
	until(t, "it joins this shard's group", func() bool {
		shown := stranger.member.PublishedState()
		return shown != nil && shown.Status.Membership.IsVoter(shown.Status.ID)
	})
}
