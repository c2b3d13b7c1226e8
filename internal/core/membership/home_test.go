package membership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

func nodeIDs(count int) []port.NodeID {
	nodes := make([]port.NodeID, count)
	for index := range nodes {
		nodes[index] = port.NodeID(fmt.Sprintf("node-%03d", index))
	}
	return nodes
}

func replicaIDs(count int) []port.ReplicaID {
	replicas := make([]port.ReplicaID, count)
	for index := range replicas {
		replicas[index] = port.ReplicaID(fmt.Sprintf("lm-pool-%04d", index))
	}
	return replicas
}

// Nodes with equal views, in any order, agree on one home for each replica, which is a
// node of the view.
func TestEqualViewsAgreeOnHomes(t *testing.T) {
	testkit.Check(t, 81, func(t *rapid.T) {
		nodes := nodeIDs(rapid.IntRange(1, 12).Draw(t, "nodes"))
		views := [][]port.NodeID{nodes, rapid.Permutation(nodes).Draw(t, "order"), append(slices.Clone(nodes), nodes[0])}
		for _, replica := range replicaIDs(20) {
			claims := 0
			for _, self := range nodes {
				for index, view := range views {
					home, found := NewAssigner(view).Home(replica)
					if !found || !slices.Contains(nodes, home) {
						t.Fatalf("home %q of %s is not in the view", home, replica)
					}
					if home == self && index == 0 {
						claims++
					}
					if first, _ := NewAssigner(views[0]).Home(replica); first != home {
						t.Fatalf("views in different order yield %s and %s", first, home)
					}
				}
			}
			if claims != 1 {
				t.Fatalf("%d nodes claim %s", claims, replica)
			}
		}
	})
	if _, found := NewAssigner(nil).Home("x"); found {
		t.Error("found a home without nodes")
	}
}

func TestLosingANodeMovesOnlyItsReplicas(t *testing.T) {
	nodes := nodeIDs(20)
	before, after := NewAssigner(nodes), NewAssigner(nodes[1:])
	moved := 0
	for _, replica := range replicaIDs(3500) {
		old, _ := before.Home(replica)
		now, _ := after.Home(replica)
		if old == nodes[0] {
			moved++
		} else if old != now {
			t.Fatalf("%s moved from live node %s to %s", replica, old, now)
		}
	}
	if moved < 3500/20*7/10 || moved > 3500/20*13/10 {
		t.Errorf("%d replicas of 3500 had one of 20 nodes as home, want about 175", moved)
	}
}

func BenchmarkHomes(b *testing.B) {
	for _, nodes := range []int{20, 60} {
		b.Run(fmt.Sprintf("replicas=3500/nodes=%d", nodes), func(b *testing.B) {
			assigner, replicas := NewAssigner(nodeIDs(nodes)), replicaIDs(3500)
			b.ReportAllocs()
			for b.Loop() {
				for _, replica := range replicas {
					assigner.Home(replica)
				}
			}
		})
	}
}

func TestRankMatchesHomeOrder(t *testing.T) {
	nodes := []port.NodeID{"d", "b", "f", "a", "c", "e"}
	for _, key := range []string{"coordinator/x", "coordinator/y", ""} {
		remaining := slices.Clone(nodes)
		for want := range nodes {
			first, _ := NewAssigner(remaining).HomeOf(key)
			if got := Rank(key, nodes, first); got != want {
				t.Errorf("key %q: rank of %s is %d, want %d", key, first, got, want)
			}
			remaining = without(remaining, first)
		}
	}
}
