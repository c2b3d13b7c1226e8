package controlstate

import (
	"fmt"
	"testing"

	"github.com/loomgrade/loomgrade/internal/port"
)

// replicasPerNode is the ratio of a fleet of 3,500 replicas and 660 nodes.
const replicasPerNode = 3500.0 / 660

// fleet returns a state with 16 pools, the given number of nodes, and replicas in proportion.
func fleet(b *testing.B, nodes int) *State {
	b.Helper()
	state := New()
	var edits []port.Edit
	for pool := range 16 {
		edits = append(edits, putPool(port.PoolName(fmt.Sprintf("pool-%02d", pool))))
	}
	for number := range int(float64(nodes) * replicasPerNode) {
		member := replica(number, port.PoolName(fmt.Sprintf("pool-%02d", number%16)))
		edits = append(edits, port.Edit{PutReplica: &member})
	}
	if result := state.Apply(1, 1, change(1, 0, edits...)); result.Error != nil {
		b.Fatal(result.Error)
	}
	for node := range nodes {
		address := port.NodeAddress{ID: port.NodeID(fmt.Sprintf("n%04d", node)), Zone: "z", PeerAddress: "10.0.0.1:1", HTTPAddress: "10.0.0.1:2"}
		state.Apply(uint64(node+2), 1, port.Command{RegisterNode: &port.RegisterNode{Node: address}})
	}
	return state
}

func eachFleet(b *testing.B, run func(b *testing.B, state *State)) {
	for _, nodes := range []int{20, 60, 200, 660} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			state := fleet(b, nodes)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, state)
		})
	}
}

// BenchmarkApplyOneReplica edits one replica and rebuilds the view after each edit, as
// a member with observers does.
func BenchmarkApplyOneReplica(b *testing.B) {
	eachFleet(b, func(b *testing.B, state *State) {
		for round := range b.N {
			member := replica(round%100, "pool-00")
			member.State = []port.ReplicaState{port.ReplicaActive, port.ReplicaDrain}[round%2]
			command := change(round+10, state.Revision(), port.Edit{PutReplica: &member})
			if result := state.Apply(uint64(round+1000), 1, command); result.Error != nil {
				b.Fatal(result.Error)
			}
			state.View()
		}
	})
}

// BenchmarkUpdate builds an update with one change.
func BenchmarkUpdate(b *testing.B) {
	eachFleet(b, func(b *testing.B, state *State) {
		member := replica(1, "pool-01")
		before := state.Position()
		state.Apply(5000, 1, change(2, state.Revision(), port.Edit{PutReplica: &member}))
		for range b.N {
			state.Update(before)
		}
	})
}

// BenchmarkObserve applies an update with one change to an observer.
func BenchmarkObserve(b *testing.B) {
	eachFleet(b, func(b *testing.B, state *State) {
		observer := NewObserver()
		if _, err := observer.Apply(state.Update(0)); err != nil {
			b.Fatal(err)
		}
		member := replica(1, "pool-01")
		update := port.ViewUpdate{Revision: state.Revision(), Changes: []port.ViewChange{{Edit: &port.Edit{PutReplica: &member}}}}
		for range b.N {
			update.After, update.Position = observer.Position(), observer.Position()+1
			if _, err := observer.Apply(update); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkSnapshot encodes the complete state.
func BenchmarkSnapshot(b *testing.B) {
	eachFleet(b, func(b *testing.B, state *State) {
		bytes := 0
		for range b.N {
			data, err := state.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			bytes = len(data)
		}
		b.ReportMetric(float64(bytes), "snapshot-bytes")
	})
}
