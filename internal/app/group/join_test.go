package group

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// TestOnlyAsManyJoinAsAreNeeded: with a voter missing, one more learner is taken
// and not every machine that waits; each costs the leader all that the group
// holds. (Found by a hunt: five joined at once, and the leader was lost under it.)
func TestOnlyAsManyJoinAsAreNeeded(t *testing.T) {
	records := []groupmember.Record{{ID: 1, Address: "a"}, {ID: 2, Address: "b"}, {ID: 9, Address: "gone"}}
	for name, row := range map[string]struct {
		voters, learners int
		most             int
		address          string
		want             bool
	}{
		"no learner yet":             {5, 0, 1, "x", false},
		"one learner":                {5, 1, 1, "x", true},
		"a voter is missing":         {4, 1, 1, "x", false},
		"one is on its way for it":   {4, 2, 1, "x", true},
		"two are missing":            {3, 2, 1, "x", false},
		"back at a member's address": {5, 1, 1, "a", false},
		"at a former address":        {5, 1, 1, "gone", true},
		"no bound":                   {5, 9, 0, "x", false},
	} {
		l := &loop{config: Config{MaxLearners: row.most, Limits: groupmember.Limits{Voters: 5}}}
		var status consensus.Status
		for i := range row.voters {
			status.Membership.Voters = append(status.Membership.Voters, consensus.MemberID(i+1))
		}
		for i := range row.learners {
			status.Membership.Learners = append(status.Membership.Learners, consensus.MemberID(i+20))
		}
		if got := l.full(status, records, row.address); got != row.want {
			t.Errorf("%s: %v, want %v", name, got, row.want)
		}
	}
}
