package sitestore

import (
	"context"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/group"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// TestDuty covers the duty of a runner in each state of its member.
func TestDuty(t *testing.T) {
	const timeout = 480 * time.Millisecond
	stateOf := func(role consensus.Role, term uint64, ready bool) *group.PublishedState {
		return &group.PublishedState{Shard: 2, LeaderReady: ready, Status: consensus.Status{Role: role, Term: term}}
	}
	leads, noQuorum := stateOf(consensus.RoleLeader, 5, true), stateOf(consensus.RoleLeader, 5, false)
	for name, test := range map[string]struct {
		state   *group.PublishedState
		current *leadership
		want    duty
	}{
		"not a member":                {nil, nil, dutyNone},
		"no longer a member":          {nil, &leadership{shard: 2, term: 5}, dutyNone},
		"follower":                    {stateOf(consensus.RoleFollower, 5, false), nil, dutyNone},
		"became follower":             {stateOf(consensus.RoleFollower, 6, false), &leadership{shard: 2, term: 5}, dutyNone},
		"became leader":               {leads, nil, dutyStart},
		"still leader":                {leads, &leadership{shard: 2, term: 5}, dutyContinue},
		"leader in a later term":      {leads, &leadership{shard: 2, term: 4}, dutyStart},
		"leader of another shard":     {leads, &leadership{shard: 1, term: 5}, dutyStart},
		"leader, not ready":           {noQuorum, nil, dutyNone},
		"not ready in a later term":   {noQuorum, &leadership{shard: 2, term: 4}, dutyNone},
		"quorum lost":                 {noQuorum, &leadership{shard: 2, term: 5}, dutyHold},
		"quorum lost for the timeout": {noQuorum, &leadership{shard: 2, term: 5, quorumLostAt: testTime.Add(-timeout)}, dutyNone},
		"quorum lost, before timeout": {noQuorum, &leadership{shard: 2, term: 5, quorumLostAt: testTime.Add(time.Millisecond - timeout)}, dutyHold},
	} {
		if got := dutyOf(test.state, test.current, testTime, timeout); got != test.want {
			t.Errorf("%s: %d, want %d", name, got, test.want)
		}
	}
}

// The timeout restarts once the member has contact with a quorum again.
func TestDutyTimeoutRestarts(t *testing.T) {
	const timeout = time.Second
	leader := &group.PublishedState{Status: consensus.Status{Role: consensus.RoleLeader}}
	l := newLeadership(context.Background(), 0, 0)
	defer l.cancel()
	steps := []struct {
		ready bool
		after time.Duration
		want  duty
	}{
		{false, 0, dutyHold}, {false, 900 * time.Millisecond, dutyHold}, {true, 950 * time.Millisecond, dutyContinue},
		{false, time.Second, dutyHold}, {false, 1900 * time.Millisecond, dutyHold}, {false, 2 * time.Second, dutyNone},
	}
	for _, step := range steps {
		leader.LeaderReady = step.ready
		if got := dutyOf(leader, l, testTime.Add(step.after), timeout); got != step.want {
			t.Errorf("after %v: %d, want %d", step.after, got, step.want)
		}
	}
}
