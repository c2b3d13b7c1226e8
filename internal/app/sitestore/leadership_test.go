package sitestore

import (
	"context"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/group"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// TestDuty: what a runner does by what its member shows, from step to step.
func TestDuty(t *testing.T) {
	const patience = 480 * time.Millisecond
	shows := func(role consensus.Role, term uint64, settled bool) *group.PublishedState {
		return &group.PublishedState{Shard: 2, LeaderReady: settled, Status: consensus.Status{Role: role, Term: term}}
	}
	leads, outOfTouch := shows(consensus.RoleLeader, 5, true), shows(consensus.RoleLeader, 5, false)
	for name, test := range map[string]struct {
		shown *group.PublishedState
		had   *leadership
		want  duty
	}{
		"takes no part":                 {nil, nil, dutyNone},
		"takes no part any more":        {nil, &leadership{shard: 2, term: 5}, dutyNone},
		"follows":                       {shows(consensus.RoleFollower, 5, false), nil, dutyNone},
		"follows now":                   {shows(consensus.RoleFollower, 6, false), &leadership{shard: 2, term: 5}, dutyNone},
		"leads":                         {leads, nil, dutyBegin},
		"goes on":                       {leads, &leadership{shard: 2, term: 5}, dutyGoOn},
		"leads in a later term":         {leads, &leadership{shard: 2, term: 4}, dutyBegin},
		"leads another shard":           {leads, &leadership{shard: 1, term: 5}, dutyBegin},
		"not settled yet":               {outOfTouch, nil, dutyNone},
		"not settled in a later term":   {outOfTouch, &leadership{shard: 2, term: 4}, dutyNone},
		"out of touch for a moment":     {outOfTouch, &leadership{shard: 2, term: 5}, dutyHold},
		"out of touch for its patience": {outOfTouch, &leadership{shard: 2, term: 5, unsettledAt: bookTime.Add(-patience)}, dutyNone},
		"just within its patience":      {outOfTouch, &leadership{shard: 2, term: 5, unsettledAt: bookTime.Add(time.Millisecond - patience)}, dutyHold},
	} {
		if got := dutyOf(test.shown, test.had, bookTime, patience); got != test.want {
			t.Errorf("%s: %d, want %d", name, got, test.want)
		}
	}
}

// TestPatienceCountsAnew: a runner that was out of touch and is in touch again waits as
// long as before.
func TestDutyTimeoutRestarts(t *testing.T) {
	const patience = time.Second
	leader := &group.PublishedState{Status: consensus.Status{Role: consensus.RoleLeader}}
	l := newLeadership(context.Background(), 0, 0)
	defer l.cancel()
	steps := []struct {
		settled bool
		after   time.Duration
		want    duty
	}{
		{false, 0, dutyHold}, {false, 900 * time.Millisecond, dutyHold}, {true, 950 * time.Millisecond, dutyGoOn},
		{false, time.Second, dutyHold}, {false, 1900 * time.Millisecond, dutyHold}, {false, 2 * time.Second, dutyNone},
	}
	for _, step := range steps {
		leader.LeaderReady = step.settled
		if got := dutyOf(leader, l, bookTime.Add(step.after), patience); got != step.want {
			t.Errorf("after %v: %d, want %d", step.after, got, step.want)
		}
	}
}
