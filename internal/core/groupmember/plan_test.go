package groupmember_test

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// planned is a member of a plan's table.
type planned struct {
	id       consensus.MemberID
	address  string
	learner  bool
	silent   uint64
	behind   bool
	inactive bool
}

func TestPlan(t *testing.T) {
	voter := func(id consensus.MemberID, address string) planned { return planned{id: id, address: address} }
	three := []planned{voter(1, "a"), voter(2, "b"), voter(3, "c")}
	with := func(members []planned, more ...planned) []planned {
		return append(append([]planned{}, members...), more...)
	}
	learner := planned{id: 4, address: "d", learner: true}
	four := with(three, voter(4, "d"))
	five := with(four, voter(5, "e"))
	behind := func(address string, id consensus.MemberID) planned {
		return planned{id: id, address: address, learner: true, behind: true}
	}
	for name, row := range map[string]struct {
		members []planned
		voters  int
		leaving map[string]bool
		want    groupmember.Change
	}{
		"nothing to do":                             {members: three, voters: 3},
		"spare learner stays a learner":             {members: with(three, learner), voters: 3},
		"no even number of voters":                  {members: with(three, learner), voters: 5},
		"two learners make five":                    {members: with(three, learner, planned{id: 5, address: "e", learner: true}), voters: 5, want: groupmember.Change{Kind: consensus.PromoteLearner, Member: 4}},
		"missing voter":                             {members: []planned{voter(1, "a"), voter(2, "b"), learner}, voters: 3, want: groupmember.Change{Kind: consensus.PromoteLearner, Member: 4}},
		"learner that is behind":                    {members: []planned{voter(1, "a"), voter(2, "b"), {id: 4, address: "d", learner: true, behind: true}}, voters: 3},
		"lost disk at the same address":             {members: with(three, planned{id: 4, address: "c", learner: true, behind: true}), voters: 3, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 3}},
		"one lost disk of five":                     {members: with(five, planned{id: 6, address: "e", learner: true, behind: true}), voters: 5, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 5}},
		"the second lost disk waits for a learner":  {members: with(four, behind("d", 6), behind("e", 7)), voters: 5},
		"a learner has caught up after two losses":  {members: with(four, planned{id: 6, address: "e", learner: true}, behind("d", 7)), voters: 5, want: groupmember.Change{Kind: consensus.PromoteLearner, Member: 6}},
		"the second lost disk's turn":               {members: with(four, voter(6, "e"), behind("d", 7)), voters: 5, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 4}},
		"lost disk in a group that is too small":    {members: with(three, behind("c", 4)), voters: 5, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 3}},
		"dead voter, learner takes its place":       {members: []planned{voter(1, "a"), voter(2, "b"), {id: 3, address: "c", silent: 99, inactive: true}, learner}, voters: 3, want: groupmember.Change{Kind: consensus.PromoteLearner, Member: 4}},
		"dead voter, replaced":                      {members: []planned{voter(1, "a"), voter(2, "b"), {id: 3, address: "c", silent: 99, inactive: true}, voter(4, "d")}, voters: 3, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 3}},
		"two dead of six, more than wanted":         {members: []planned{voter(1, "a"), voter(2, "b"), voter(3, "c"), {id: 4, address: "d", silent: 99, inactive: true}, {id: 5, address: "e", silent: 99, inactive: true}, voter(6, "f")}, voters: 5, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 4}},
		"silent voter, its successor is there":      {members: []planned{voter(1, "a"), voter(2, "b"), {id: 3, address: "c", silent: 30, inactive: true}, learner, {id: 5, address: "e", learner: true}}, voters: 3, want: groupmember.Change{Kind: consensus.PromoteLearner, Member: 4}},
		"silent voter, only the spare one is there": {members: []planned{voter(1, "a"), voter(2, "b"), {id: 3, address: "c", silent: 30, inactive: true}, learner}, voters: 3},
		"dead voter, nobody else":                   {members: []planned{voter(1, "a"), voter(2, "b"), {id: 3, address: "c", silent: 99, inactive: true}}, voters: 3},
		"leaving, a learner is promoted":            {members: with(three, learner), voters: 3, leaving: map[string]bool{"c": true}, want: groupmember.Change{Kind: consensus.PromoteLearner, Member: 4}},
		"leaving, others are whole":                 {members: with(three, voter(4, "d")), voters: 3, leaving: map[string]bool{"c": true}, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 3}},
		"leaving, too few would stay":               {members: three, voters: 3, leaving: map[string]bool{"c": true}},
		"leaving leader hands over":                 {members: with(three, voter(4, "d")), voters: 3, leaving: map[string]bool{"a": true}, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 1, Transfer: true}},
		"leaving learner":                           {members: with(three, learner), voters: 3, leaving: map[string]bool{"d": true}, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 4}},
		"one voter too many":                        {members: with(three, voter(4, "d")), voters: 3, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 2}},
		"silent learner is forgotten":               {members: with(three, planned{id: 4, address: "d", learner: true, silent: 500, behind: true}), voters: 3, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 4}},
	} {
		status := consensus.Status{ID: 1}
		var records []groupmember.Record
		for _, member := range row.members {
			records = append(records, groupmember.Record{ID: member.id, Address: member.address, Name: member.address})
			if member.learner {
				status.Membership.Learners = append(status.Membership.Learners, member.id)
			} else {
				status.Membership.Voters = append(status.Membership.Voters, member.id)
			}
			if member.id != status.ID {
				status.Progress = append(status.Progress, consensus.PeerStatus{
					ID: member.id, Learner: member.learner, Active: !member.inactive, CaughtUp: !member.behind && !member.inactive, TicksSinceContact: member.silent,
				})
			}
		}
		limits := groupmember.Limits{Voters: row.voters, LeastVoters: row.voters, Learners: 1, ReplaceTicks: 60, VacantTicks: 25, ForgetTicks: 300}
		got, due := groupmember.Plan(status, records, row.leaving, limits)
		if got != row.want || due != (row.want != groupmember.Change{}) {
			t.Errorf("%s: %+v %v, want %+v", name, got, due, row.want)
		}
	}
}
