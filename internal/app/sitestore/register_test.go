package sitestore

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// The shard of a machine depends on its data folder, its membership and its invitation.
func TestMembershipShard(t *testing.T) {
	self := groupmember.Record{Address: "a", Incarnation: "x"}
	shards := []sitestate.Shard{
		{Number: 1, Founders: []groupmember.Record{{Address: "a", Incarnation: "earlier"}, {Address: "b", Incarnation: "x"}}},
		{Number: 2, Founders: []groupmember.Record{self}},
		{Number: 3},
	}
	for name, test := range map[string]struct {
		assigned membership
		want     sitestate.ShardNumber
	}{
		"founder":                    {membership{self: self}, 2},
		"founder that lost its disk": {membership{self: groupmember.Record{Address: "a", Incarnation: "y"}}, 0},
		"invited":                    {membership{invited: 3}, 3},
		"removed member":             {membership{member: 3}, 3},
		"founder invited elsewhere":  {membership{self: self, invited: 1}, 2},
		"member invited elsewhere":   {membership{member: 3, invited: 1}, 3},
		"free":                       {membership{}, 0},
		"member of an unknown shard": {membership{member: 4}, 0},
	} {
		if shard, found := test.assigned.shard(shards); shard.Number != test.want || found != (test.want != 0) {
			t.Errorf("%s: shard %d, found %v", name, shard.Number, found)
		}
	}
}
