package shardplan_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/shardplan"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

func TestShardCountFollowsSlotsAndMachines(t *testing.T) {
	three := shardplan.Limits{Voters: 3, Spares: 2, SlotsPerShard: 100}
	five := shardplan.Limits{Voters: 5, Spares: 3, SlotsPerShard: 100}
	for _, row := range []struct {
		machines, slots int
		limits          shardplan.Limits
		want            int
	}{
		{3, 1000, three, 1}, {4, 1000, three, 1}, {8, 1000, three, 2}, {8, 150, three, 1}, {0, 0, three, 1},
		{45, 462, five, 4}, {45, 5000, five, 8}, {13, 352, five, 2}, {12, 352, five, 1}, {45, 90, five, 1},
	} {
		if got := shardplan.ShardCount(row.machines, row.slots, row.limits); got != row.want {
			t.Errorf("%d machines, %d slots: %d shards, want %d", row.machines, row.slots, got, row.want)
		}
	}
}

func machines(zones ...string) []shardplan.Machine {
	var all []shardplan.Machine
	for i, zone := range zones {
		all = append(all, shardplan.Machine{Name: fmt.Sprintf("%s%d", zone, i), Zone: zone})
	}
	return all
}

func TestAGroupIsSpreadOverZones(t *testing.T) {
	for name, row := range map[string]struct {
		members, free []shardplan.Machine
		count         int
		want          []string
	}{
		"one per zone":                 {nil, machines("a", "a", "a", "b", "b", "c"), 3, []string{"a0", "b3", "c5"}},
		"more machines than zones":     {nil, machines("a", "a", "a", "b", "b", "c"), 5, []string{"a0", "b3", "c5", "a1", "b4"}},
		"zone with most free machines": {nil, machines("a", "b", "b", "c", "c", "c"), 2, []string{"c3", "b1"}},
		"zone without members":         {machines("a", "b"), machines("a", "a", "a", "c"), 1, []string{"c3"}},
		"too few free machines":        {nil, machines("a"), 3, []string{"a0"}},
		"no free machine":              {machines("a"), nil, 1, nil},
	} {
		var got []string
		for _, machine := range shardplan.Pick(row.members, row.free, row.count) {
			got = append(got, machine.Name)
		}
		if !slices.Equal(got, row.want) {
			t.Errorf("%s: %v, want %v", name, got, row.want)
		}
	}
}

func TestModelsAreDividedEvenly(t *testing.T) {
	allowAll := func(sitestate.ShardNumber) bool { return true }
	placed := map[string]sitestate.ShardNumber{}
	for i := range 7 {
		placed[fmt.Sprint(i)] = shardplan.ShardForModel(placed, 3, allowAll)
	}
	counts := map[sitestate.ShardNumber]int{}
	for _, shard := range placed {
		counts[shard]++
	}
	if counts[1] != 3 || counts[2] != 2 || counts[3] != 2 {
		t.Errorf("models by shard: %v", counts)
	}
	if got := shardplan.ShardForModel(placed, 0, allowAll); got != 0 {
		t.Errorf("got shard %d without shards", got)
	}
}

func TestShardForModelSkipsDisallowedShards(t *testing.T) {
	placed := map[string]sitestate.ShardNumber{"a": 2, "b": 2}
	for want, allowed := range map[sitestate.ShardNumber]func(sitestate.ShardNumber) bool{
		1: func(shard sitestate.ShardNumber) bool { return shard != 3 },
		2: func(shard sitestate.ShardNumber) bool { return shard == 2 },
		0: func(sitestate.ShardNumber) bool { return false },
	} {
		if got := shardplan.ShardForModel(placed, 3, allowed); got != want {
			t.Errorf("shard %d, want %d", got, want)
		}
	}
}
