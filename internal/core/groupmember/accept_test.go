package groupmember_test

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// The leader accepts only as many joining machines as the group has slots, since sending
// state to many members concurrently overloads it. Unreachable members use no slot, so
// that their replacements can join.
func TestAcceptsLearner(t *testing.T) {
	const unreachableTicks = 40
	for name, row := range map[string]struct {
		voters, learners                       int
		unreachableVoters, unreachableLearners int
		leaving                                map[string]bool
		learnerLimit                           int
		address                                string
		want                                   bool
	}{
		"no learner yet":                            {voters: 5, learners: 0, learnerLimit: 1, address: "x", want: true},
		"one learner":                               {voters: 5, learners: 1, learnerLimit: 1, address: "x", want: false},
		"one voter missing":                         {voters: 4, learners: 1, learnerLimit: 1, address: "x", want: true},
		"one voter missing, replacement joined":     {voters: 4, learners: 2, learnerLimit: 1, address: "x", want: false},
		"two voters missing":                        {voters: 3, learners: 2, learnerLimit: 1, address: "x", want: true},
		"address of a member":                       {voters: 5, learners: 1, learnerLimit: 1, address: "v2", want: true},
		"address of a former member":                {voters: 5, learners: 1, learnerLimit: 1, address: "former", want: false},
		"no limit":                                  {voters: 5, learners: 9, learnerLimit: groupmember.UnlimitedLearners, address: "x", want: true},
		"no learner allowed":                        {voters: 5, learnerLimit: 0, address: "x", want: false},
		"no learner allowed, one voter unreachable": {voters: 5, unreachableVoters: 1, learnerLimit: 0, address: "x", want: true},
		"learner unreachable":                       {voters: 5, learners: 1, unreachableLearners: 1, learnerLimit: 1, address: "x", want: true},
		"voter unreachable":                         {voters: 5, learners: 1, unreachableVoters: 1, learnerLimit: 1, address: "x", want: true},
		"voter unreachable, replacement joined":     {voters: 5, learners: 2, unreachableVoters: 1, learnerLimit: 1, address: "x", want: false},
		"voter and learner unreachable":             {voters: 5, learners: 2, unreachableVoters: 1, unreachableLearners: 1, learnerLimit: 1, address: "x", want: true},
		"voter leaving":                             {voters: 5, learners: 1, leaving: map[string]bool{"v3": true}, learnerLimit: 1, address: "x", want: true},
	} {
		group := testGroup{status: consensus.Status{ID: 1}, records: []groupmember.Record{{ID: 99, Address: "former"}}}
		for i := range row.voters {
			id := group.add(consensus.MemberID(i+1), "v", i >= row.voters-row.unreachableVoters, unreachableTicks)
			group.status.Membership.Voters = append(group.status.Membership.Voters, id)
		}
		for i := range row.learners {
			id := group.add(consensus.MemberID(i+20), "l", i >= row.learners-row.unreachableLearners, unreachableTicks)
			group.status.Membership.Learners = append(group.status.Membership.Learners, id)
		}
		limits := groupmember.Limits{Voters: 5, Learners: row.learnerLimit, FreeSlotTicks: 30}
		if got := groupmember.AcceptsLearner(group.status, group.records, row.leaving, row.address, limits); got != row.want {
			t.Errorf("%s: %v, want %v", name, got, row.want)
		}
	}
}

// testGroup builds the arguments of AcceptsLearner.
type testGroup struct {
	status  consensus.Status
	records []groupmember.Record
}

func (g *testGroup) add(id consensus.MemberID, kind string, unreachable bool, ticks uint64) consensus.MemberID {
	name := kind + string('0'+rune(id%10))
	g.records = append(g.records, groupmember.Record{ID: id, Address: name, Name: name})
	peer := consensus.PeerStatus{ID: id, Active: !unreachable}
	if unreachable {
		peer.TicksSinceContact = ticks
	}
	if id != g.status.ID {
		g.status.Progress = append(g.status.Progress, peer)
	}
	return id
}
