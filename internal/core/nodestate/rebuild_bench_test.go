package nodestate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/core/placement"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Size of the benchmark's fleet.
const (
	benchZones = 14
	benchPools = 16
)

var benchStart = time.UnixMilli(1_800_000_000_000)

type benchGate struct{ *gate.Gate }

func (g benchGate) Configure(now time.Time, settings gate.Settings, replicas []gate.Replica) {
	g.Gate.Configure(now, settings, replicas)
}
func (g benchGate) Tick(now time.Time) { g.Gate.Tick(now) }

type benchCounter struct{}

func (benchCounter) Counts() placement.Counts { return placement.Counts{} }

func benchView(nodes int) *port.View {
	view := &port.View{Position: 1, Term: 1, Revision: 1}
	for pool := range benchPools {
		view.Configuration.Pools = append(view.Configuration.Pools, port.Pool{
			Name: port.PoolName(fmt.Sprintf("pool-%02d", pool)), Kind: port.PoolGeneration,
			Admission: port.Admission{MinInflight: 64, MaxInflight: 64, QueueLength: 256},
		})
	}
	for replica := range nodes * 3500 / 660 {
		view.Configuration.Replicas = append(view.Configuration.Replicas, port.Replica{
			ID: port.ReplicaID(fmt.Sprintf("replica-%04d", replica)), Pool: view.Configuration.Pools[replica%benchPools].Name,
			Zone: port.ZoneName(fmt.Sprintf("zone-%02d", replica/benchPools%benchZones)), Address: fmt.Sprintf("10.1.%d.%d:8000", replica/250, replica%250+1),
			State: port.ReplicaActive,
		})
	}
	for node := range nodes {
		view.Nodes = append(view.Nodes, port.NodeAddress{
			ID: port.NodeID(fmt.Sprintf("node-%03d", node)), Zone: port.ZoneName(fmt.Sprintf("zone-%02d", node%benchZones)),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", node/250, node%250+1),
		})
	}
	return view
}

// benchState returns a node's state with the aggregates of all other zones, and the
// summaries of the other homes of its zone.
func benchState(view *port.View) (*State, []membership.HomeSummary) {
	s := New(Config{
		Self: "node-000", Zone: "zone-00", Region: "r", PeerAddress: "10.0.0.1:7000", Incarnation: 1,
		Summary: time.Second, Aggregate: time.Second, Report: time.Second,
		NewGate: func(*port.Pool) Gate {
			return benchGate{gate.New(scheduling.Generation(), rand.New(rand.NewPCG(1, 1)))}
		},
		ReplicaCounter: func(port.ReplicaID) Counter { return benchCounter{} },
		ZoneCounter:    func(ZonePool) Counter { return benchCounter{} },
		MessageBytes:   func(membership.HomeSummary) int { return 400 },
	}, benchStart)
	_, _, _ = s.ViewUpdate(benchStart, port.ViewUpdate{Position: 1, Term: 1, Revision: 1, Full: view, Confirmed: true})
	s.RebuildIfDue(benchStart)
	byHome := make(map[port.NodeID]*membership.HomeSummary)
	for _, replica := range view.Configuration.Replicas {
		if replica.Zone != "zone-00" {
			continue
		}
		id, _ := s.homes.Home(replica)
		if byHome[id] == nil {
			byHome[id] = &membership.HomeSummary{Node: id, Incarnation: 1}
		}
		byHome[id].Replicas = append(byHome[id].Replicas, membership.ReplicaSummary{
			Replica: replica.ID, Pool: replica.Pool, Version: 1, Role: port.RoleBoth, Inflight: 30, Limit: 64, KVUsed: 5, KVTotal: 10,
		})
	}
	var summaries []membership.HomeSummary
	for _, id := range sortedKeys(byHome) {
		if id != s.config.Self {
			summaries = append(summaries, *byHome[id])
		}
	}
	for zone := 1; zone < benchZones; zone++ {
		for pool := range benchPools {
			s.HandleAggregates(benchStart, AggregatesMessage{Relayed: true, Aggregates: []membership.PoolAggregate{{
				Zone: port.ZoneName(fmt.Sprintf("zone-%02d", zone)), Pool: view.Configuration.Pools[pool].Name, Node: "far", Sequence: 1,
				Replicas: 16, Routable: 16, Free: 500 + zone, Versions: []membership.VersionCount{{Version: 1, Replicas: 16, Free: 500}},
			}}})
		}
	}
	return s, summaries
}

// BenchmarkRebuild measures a rebuild after one new summary, which happens up to ten
// times a second.
func BenchmarkRebuild(b *testing.B) {
	for _, nodes := range []int{20, 60, 200, 660} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			s, summaries := benchState(benchView(nodes))
			now := benchStart
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				now = now.Add(time.Millisecond)
				s.rebuiltAt = time.Time{}
				if len(summaries) > 0 {
					summary := summaries[index%len(summaries)]
					summary.Sequence = uint64(index + 1)
					s.HandleSummary(now, summary)
				}
				s.RebuildIfDue(now)
				s.Flush()
			}
		})
	}
}
