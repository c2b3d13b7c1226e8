package sitestore

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// TestTheShardOfAMachineWithItsFolder: which group it founds, joins or asks about itself.
func TestMembershipShard(t *testing.T) {
	self := groupmember.Record{Address: "a", Incarnation: "x"}
	shards := []sitestate.Shard{
		{Number: 1, Founders: []groupmember.Record{{Address: "a", Incarnation: "earlier"}, {Address: "b", Incarnation: "x"}}},
		{Number: 2, Founders: []groupmember.Record{self}},
		{Number: 3},
	}
	for name, test := range map[string]struct {
		places folderPlaces
		want   sitestate.ShardNumber
	}{
		"a founder":                           {folderPlaces{founder: self}, 2},
		"a founder that lost its disk":        {folderPlaces{founder: groupmember.Record{Address: "a", Incarnation: "y"}}, 0},
		"invited":                             {folderPlaces{invited: 3}, 3},
		"a member, removed while it was away": {folderPlaces{member: 3}, 3},
		"a founder that is invited elsewhere": {folderPlaces{founder: self, invited: 1}, 2},
		"a member that is invited elsewhere":  {folderPlaces{member: 3, invited: 1}, 3},
		"free":                                {folderPlaces{}, 0},
		"a member of a shard not known here":  {folderPlaces{member: 4}, 0},
	} {
		if shard, found := test.places.shard(shards); shard.Number != test.want || found != (test.want != 0) {
			t.Errorf("%s: shard %d, found %v", name, shard.Number, found)
		}
	}
}
