package poolworker

import (
	"fmt"
	"testing"

	"github.com/loomgrade/loomgrade/internal/port"
)

// BenchmarkRank ranks a node for one free lease, as every node does on each tick while
// a pool has no coordinator.
func BenchmarkRank(b *testing.B) {
	for _, nodes := range []int{20, 60, 200, 660} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			view := &port.View{}
			for node := range nodes {
				view.Nodes = append(view.Nodes, port.NodeAddress{ID: port.NodeID(fmt.Sprintf("node-%03d", node))})
			}
			selectors := make([]*LeaseSelector, nodes)
			for node := range nodes {
				selectors[node] = NewLeaseSelector(view.Nodes[node].ID)
			}
			for index := 0; b.Loop(); index++ {
				selectors[index%nodes].rank(view, "coordinator/pool")
			}
		})
	}
}
