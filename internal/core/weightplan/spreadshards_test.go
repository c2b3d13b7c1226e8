package weightplan_test

import (
	"slices"
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/core/weightplan"
)

// TestExtraLoadsStayWithinShard checks that replicas load no weights of models of other shards.
func TestExtraLoadsStayWithinShard(t *testing.T) {
	list := []sitestate.Replica{replicaWith("a0", "a", 4, 1), replicaWith("a1", "a", 5, 1), replicaWith("b0", "b", 1, 5), replicaWith("b1", "b", 1, 5)}
	versions := map[string]uint64{"a": 5, "b": 5}
	limits := weightplan.Limits{Total: 8, Needed: map[string]int{"a": 4, "b": 2}}
	for _, row := range []struct {
		shards map[string]sitestate.ShardNumber
		want   []string
	}{
		{nil, []string{"b0:a"}},
		{map[string]sitestate.ShardNumber{"a": 1, "b": 1}, []string{"b0:a"}},
		{map[string]sitestate.ShardNumber{"a": 1, "b": 2}, nil},
	} {
		limits.Shards = row.shards
		if got := formatLoads(weightplan.ExtraLoads(list, versions, nil, nil, limits)); !slices.Equal(got, row.want) {
			t.Errorf("shards %v: %v, want %v", row.shards, got, row.want)
		}
	}
}
