package control

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/controlclient"
	"github.com/loomgrade/loomgrade/internal/port"
)

// BenchmarkCommits measures commits per second and syncs of the leader per commit,
// with group commit and with one sync per request. A commit registers a node.
func BenchmarkCommits(b *testing.B) {
	modes := []struct {
		name  string
		batch int
	}{{"group", 0}, {"one-sync-each", 1}}
	for _, mode := range modes {
		for _, clients := range []int{1, 4, 16, 64} {
			b.Run(fmt.Sprintf("%s/clients=%d", mode.name, clients), func(b *testing.B) {
				group := startGroup(b, 3, func(config *Config) {
					config.MaxBatch = mode.batch
					config.Tick = DefaultTick
				})
				benchmarkCommits(b, group, clients)
			})
		}
	}
}

func benchmarkCommits(b *testing.B, group *testGroup, clients int) {
	leader := group.leader()
	client := group.client(leader.config.ID)
	before := leader.loop().published.Load()
	var next atomic.Int64
	var working sync.WaitGroup
	b.ResetTimer()
	for worker := range clients {
		working.Go(func() {
			for next.Add(1) <= int64(b.N) {
				if err := commitOne(client, worker); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	working.Wait()
	b.StopTimer()
	after := leader.loop().published.Load()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(after.syncs-before.syncs)/float64(b.N), "syncs/commit")
}

func commitOne(client *controlclient.Client, worker int) error {
	name := fmt.Sprintf("node-%d", worker)
	command := port.Command{RegisterNode: &port.RegisterNode{Node: port.NodeAddress{
		ID: port.NodeID(name), Zone: "zone-a", PeerAddress: "127.0.0.1:1", HTTPAddress: "127.0.0.1:2",
	}}}
	result, err := client.Propose(context.Background(), command)
	if err != nil {
		return err
	}
	if result.Error != nil {
		return result.Error
	}
	return nil
}
