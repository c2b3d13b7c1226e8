package groupmember_test

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// planMember describes a member in the table of TestPlan.
type planMember struct {
	id                consensus.MemberID
	address           string
	learner           bool
	ticksSinceContact uint64
	lagging           bool
	inactive          bool
	// silent is set on a member that has not answered this leader.
	silent bool
}

func TestPlan(t *testing.T) {
	voter := func(id consensus.MemberID, address string) planMember { return planMember{id: id, address: address} }
	three := []planMember{voter(1, "a"), voter(2, "b"), voter(3, "c")}
	with := func(members []planMember, more ...planMember) []planMember {
		return append(append([]planMember{}, members...), more...)
	}
	learner := planMember{id: 4, address: "d", learner: true}
	four := with(three, voter(4, "d"))
	five := with(four, voter(5, "e"))
	lagging := func(address string, id consensus.MemberID) planMember {
		return planMember{id: id, address: address, learner: true, lagging: true}
	}
	for name, row := range map[string]struct {
		members []planMember
		voters  int
		leaving map[string]bool
		want    groupmember.Change
	}{
		"nothing to do":                                          {members: three, voters: 3},
		"spare learner stays a learner":                          {members: with(three, learner), voters: 3},
		"no promotion to an even number of voters":               {members: with(three, learner), voters: 5},
		"two learners promoted towards five voters":              {members: with(three, learner, planMember{id: 5, address: "e", learner: true}), voters: 5, want: groupmember.Change{Kind: consensus.PromoteLearner, Member: 4}},
		"missing voter":                                          {members: []planMember{voter(1, "a"), voter(2, "b"), learner}, voters: 3, want: groupmember.Change{Kind: consensus.PromoteLearner, Member: 4}},
		"third voter needs no log":                               {members: []planMember{voter(1, "a"), voter(2, "b"), lagging("d", 4)}, voters: 3, want: groupmember.Change{Kind: consensus.PromoteLearner, Member: 4}},
		"third voter with the log preferred":                     {members: []planMember{voter(1, "a"), voter(2, "b"), lagging("d", 4), {id: 5, address: "e", learner: true}}, voters: 3, want: groupmember.Change{Kind: consensus.PromoteLearner, Member: 5}},
		"third voter has not answered":                           {members: []planMember{voter(1, "a"), voter(2, "b"), {id: 4, address: "d", learner: true, lagging: true, silent: true}}, voters: 3},
		"third voter is unreachable":                             {members: []planMember{voter(1, "a"), voter(2, "b"), {id: 4, address: "d", learner: true, lagging: true, inactive: true}}, voters: 3},
		"third voter is leaving":                                 {members: []planMember{voter(1, "a"), voter(2, "b"), lagging("d", 4)}, voters: 3, leaving: map[string]bool{"d": true}, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 4}},
		"lost its disk again before it had the log":              {members: []planMember{voter(1, "a"), voter(2, "b"), {id: 4, address: "c", lagging: true}, lagging("c", 5)}, voters: 3, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 4}},
		"next lost disk while the successor lacks the log":       {members: []planMember{voter(1, "a"), {id: 2, address: "b", lagging: true, inactive: true}, {id: 4, address: "c", lagging: true}, lagging("b", 5)}, voters: 3, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 2}},
		"second successor, the first lacks the log":              {members: []planMember{voter(1, "a"), {id: 4, address: "c", lagging: true}, lagging("b", 5)}, voters: 3, want: groupmember.Change{Kind: consensus.PromoteLearner, Member: 5}},
		"fourth voter needs the log":                             {members: with(three, lagging("d", 4), lagging("e", 5)), voters: 5},
		"successor of a silent voter needs no log":               {members: []planMember{voter(1, "a"), voter(2, "b"), {id: 3, address: "c", ticksSinceContact: 25, inactive: true}, lagging("d", 4)}, voters: 3, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 3}},
		"successor of a voter silent for a moment":               {members: []planMember{voter(1, "a"), voter(2, "b"), {id: 3, address: "c", ticksSinceContact: 24, inactive: true}, lagging("d", 4)}, voters: 3},
		"successor of a silent voter has not answered":           {members: []planMember{voter(1, "a"), voter(2, "b"), {id: 3, address: "c", ticksSinceContact: 99, inactive: true}, {id: 4, address: "d", learner: true, lagging: true, silent: true}}, voters: 3},
		"successor of a silent voter, another one is silent":     {members: []planMember{voter(1, "a"), {id: 2, address: "b", ticksSinceContact: 25, inactive: true}, {id: 3, address: "c", ticksSinceContact: 99, inactive: true}, lagging("d", 4)}, voters: 3},
		"successor of a silent voter, another one is inactive":   {members: []planMember{voter(1, "a"), {id: 2, address: "b", ticksSinceContact: 12, inactive: true}, {id: 3, address: "c", ticksSinceContact: 99, inactive: true}, lagging("d", 4)}, voters: 3},
		"silent voter of five, the successor lacks the log":      {members: with(four, planMember{id: 5, address: "e", ticksSinceContact: 99, inactive: true}, lagging("f", 6)), voters: 5, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 5}},
		"silent voter of four, the fifth lacks the log":          {members: with(three, planMember{id: 4, address: "d", ticksSinceContact: 99, inactive: true}, lagging("f", 6)), voters: 5, want: groupmember.Change{Kind: consensus.PromoteLearner, Member: 6}},
		"successor of a silent voter, another one lacks the log": {members: []planMember{voter(1, "a"), {id: 2, address: "b", ticksSinceContact: 25, inactive: true}, {id: 4, address: "d", lagging: true}, lagging("c", 5)}, voters: 3},
		"two silent voters of five, the longer silent one first": {members: with(three, planMember{id: 4, address: "d", ticksSinceContact: 25, inactive: true}, planMember{id: 5, address: "e", ticksSinceContact: 900, inactive: true}, lagging("f", 6)), voters: 5, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 5}},
		"silent voter among too many":                            {members: with(four, planMember{id: 5, address: "e", ticksSinceContact: 99, inactive: true}, lagging("f", 6)), voters: 3, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 5}},
		"fifth voter needs no log":                               {members: with(four, lagging("e", 6)), voters: 5, want: groupmember.Change{Kind: consensus.PromoteLearner, Member: 6}},
		"lost disk at the same address":                          {members: with(three, planMember{id: 4, address: "c", learner: true, lagging: true}), voters: 3, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 3}},
		"one lost disk of five":                                  {members: with(five, planMember{id: 6, address: "e", learner: true, lagging: true}), voters: 5, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 5}},
		"second lost disk waits for the fifth voter":             {members: with(four, lagging("d", 6), lagging("e", 7)), voters: 5, want: groupmember.Change{Kind: consensus.PromoteLearner, Member: 6}},
		"second lost disk, the fifth voter lacks the log":        {members: with(four, planMember{id: 6, address: "e", lagging: true}, lagging("d", 7)), voters: 5, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 4}},
		"second lost disk, no successor has answered":            {members: with(four, planMember{id: 6, address: "d", learner: true, lagging: true, silent: true}), voters: 5},
		"learner caught up after two lost disks":                 {members: with(four, planMember{id: 6, address: "e", learner: true}, lagging("d", 7)), voters: 5, want: groupmember.Change{Kind: consensus.PromoteLearner, Member: 6}},
		"second lost disk is removed":                            {members: with(four, voter(6, "e"), lagging("d", 7)), voters: 5, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 4}},
		"lost disk in a group below its size":                    {members: with(three, lagging("c", 4)), voters: 5, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 3}},
		"unreachable voter, learner promoted":                    {members: []planMember{voter(1, "a"), voter(2, "b"), {id: 3, address: "c", ticksSinceContact: 99, inactive: true}, learner}, voters: 3, want: groupmember.Change{Kind: consensus.PromoteLearner, Member: 4}},
		"unreachable voter removed after replacement":            {members: []planMember{voter(1, "a"), voter(2, "b"), {id: 3, address: "c", ticksSinceContact: 99, inactive: true}, voter(4, "d")}, voters: 3, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 3}},
		"two of six unreachable, target of five":                 {members: []planMember{voter(1, "a"), voter(2, "b"), voter(3, "c"), {id: 4, address: "d", ticksSinceContact: 99, inactive: true}, {id: 5, address: "e", ticksSinceContact: 99, inactive: true}, voter(6, "f")}, voters: 5, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 4}},
		"briefly unreachable voter, replacement caught up":       {members: []planMember{voter(1, "a"), voter(2, "b"), {id: 3, address: "c", ticksSinceContact: 30, inactive: true}, learner, {id: 5, address: "e", learner: true}}, voters: 3, want: groupmember.Change{Kind: consensus.PromoteLearner, Member: 4}},
		"briefly unreachable voter, only the spare learner":      {members: []planMember{voter(1, "a"), voter(2, "b"), {id: 3, address: "c", ticksSinceContact: 30, inactive: true}, learner}, voters: 3},
		"unreachable voter, no learner":                          {members: []planMember{voter(1, "a"), voter(2, "b"), {id: 3, address: "c", ticksSinceContact: 99, inactive: true}}, voters: 3},
		"leaving, a learner is promoted":                         {members: with(three, learner), voters: 3, leaving: map[string]bool{"c": true}, want: groupmember.Change{Kind: consensus.PromoteLearner, Member: 4}},
		"leaving, others healthy":                                {members: with(three, voter(4, "d")), voters: 3, leaving: map[string]bool{"c": true}, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 3}},
		"leaving, too few voters remain":                         {members: three, voters: 3, leaving: map[string]bool{"c": true}},
		"leaving leader transfers leadership":                    {members: with(three, voter(4, "d")), voters: 3, leaving: map[string]bool{"a": true}, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 1, Transfer: true}},
		"leaving learner":                                        {members: with(three, learner), voters: 3, leaving: map[string]bool{"d": true}, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 4}},
		"one voter too many, one lacks the log":                  {members: with(three, planMember{id: 4, address: "d", lagging: true}), voters: 3, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 4}},
		"one voter too many":                                     {members: with(three, voter(4, "d")), voters: 3, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 2}},
		"unreachable learner removed":                            {members: with(three, planMember{id: 4, address: "d", learner: true, ticksSinceContact: 500, lagging: true}), voters: 3, want: groupmember.Change{Kind: consensus.RemoveMember, Member: 4}},
	} {
		status, records := planStatus(row.members)
		limits := planLimits(row.voters)
		got, due := groupmember.Plan(status, records, row.leaving, limits)
		if got != row.want || due != (row.want != groupmember.Change{}) {
			t.Errorf("%s: %+v %v, want %+v", name, got, due, row.want)
		}
	}
}

// planStatus returns the status of member 1, which leads, and the records of the members.
func planStatus(members []planMember) (status consensus.Status, records []groupmember.Record) {
	status.ID = 1
	for _, member := range members {
		records = append(records, groupmember.Record{ID: member.id, Address: member.address, Name: member.address})
		if member.learner {
			status.Membership.Learners = append(status.Membership.Learners, member.id)
		} else {
			status.Membership.Voters = append(status.Membership.Voters, member.id)
		}
		if member.id != status.ID {
			status.Progress = append(status.Progress, consensus.PeerStatus{
				ID: member.id, Learner: member.learner, Active: !member.inactive, Answered: !member.silent && !member.inactive, CaughtUp: !member.lagging && !member.inactive, TicksSinceContact: member.ticksSinceContact,
			})
		}
	}
	return status, records
}

func planLimits(voters int) groupmember.Limits {
	return groupmember.Limits{Voters: voters, MinVoters: voters, Learners: 1, ReplaceTicks: 60, FreeSlotTicks: 25, RemoveLearnerTicks: 300}
}

// An operator must see why a group with a lost disk is not whole yet.
func TestWaiting(t *testing.T) {
	voter := func(id consensus.MemberID, address string) planMember { return planMember{id: id, address: address} }
	two := []planMember{voter(1, "a"), voter(2, "b")}
	with := func(members []planMember, more ...planMember) []planMember {
		return append(append([]planMember{}, members...), more...)
	}
	for name, row := range map[string]struct {
		members []planMember
		voters  int
		leaving map[string]bool
		want    groupmember.Obstacle
	}{
		"whole":                          {members: with(two, voter(3, "c")), voters: 3, want: groupmember.ObstacleNone},
		"whole, a voter lags":            {members: with(two, planMember{id: 3, address: "c", lagging: true}), voters: 3, want: groupmember.ObstacleNone},
		"third voter missing":            {members: two, voters: 3, want: groupmember.ObstacleNoMachine},
		"third voter does not answer":    {members: with(two, planMember{id: 4, address: "c", learner: true, lagging: true, silent: true}), voters: 3, want: groupmember.ObstacleNoAnswer},
		"fourth voter lacks the log":     {members: with(two, voter(3, "c"), planMember{id: 4, address: "d", learner: true, lagging: true}), voters: 5, want: groupmember.ObstacleLacksLog},
		"fourth voter needs a fifth":     {members: with(two, voter(3, "c"), planMember{id: 4, address: "d", learner: true}), voters: 5, want: groupmember.ObstacleNoMachine},
		"unreachable voter":              {members: with(two, planMember{id: 3, address: "c", inactive: true, ticksSinceContact: 99}), voters: 3, want: groupmember.ObstacleNoMachine},
		"second lost disk, no successor": {members: with(two, voter(3, "c"), planMember{id: 4, address: "d", lagging: true, inactive: true}, planMember{id: 6, address: "d", learner: true, lagging: true, silent: true}), voters: 5, want: groupmember.ObstacleSmallQuorum},
		"leaving, too few voters remain": {members: with(two, voter(3, "c")), voters: 3, leaving: map[string]bool{"c": true}, want: groupmember.ObstacleFewHealthy},
	} {
		status, records := planStatus(row.members)
		if change, due := groupmember.Plan(status, records, row.leaving, planLimits(row.voters)); due {
			t.Errorf("%s: %+v is due", name, change)
		}
		if got := groupmember.Waiting(status, records, row.leaving, planLimits(row.voters)); got != row.want {
			t.Errorf("%s: %v, want %v", name, got, row.want)
		}
	}
}
