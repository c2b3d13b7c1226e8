package main

import (
	"context"

	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/port"
)

// poolCommand groups the pool commands.
type poolCommand struct {
	List poolListCommand `cmd:"" help:"List pools."`
	Show poolShowCommand `cmd:"" help:"Show a pool with its replicas, weights and delivery."`
}

// poolListCommand lists pools.
type poolListCommand struct {
	operatorFlags `embed:""`
}

// Run lists the pools.
func (c *poolListCommand) Run(std streams) error {
	return query(&c.operatorFlags, std, (*operatorapi.Client).Pools, func(lines *table, pools operatorapi.Pools) {
		lines.row("POOL", "KIND", "REPLICAS", "DRAINING", "VERSION")
		for _, pool := range pools.Pools {
			lines.row(pool.Name, pool.Kind, pool.Replicas, pool.Draining, pool.Version)
		}
	})
}

// poolShowCommand shows a pool.
type poolShowCommand struct {
	operatorFlags `embed:""`
	Pool          port.PoolName `arg:"" help:"Name of the pool."`
}

// Run shows the pool.
func (c *poolShowCommand) Run(std streams) error {
	call := func(client *operatorapi.Client, ctx context.Context) (operatorapi.PoolDetail, error) {
		return client.Pool(ctx, c.Pool)
	}
	return query(&c.operatorFlags, std, call, showPool)
}

func showPool(lines *table, detail operatorapi.PoolDetail) {
	lines.row("pool", detail.Pool.Name)
	lines.row("kind", detail.Pool.Kind)
	if sampling := detail.Pool.Sampling; sampling != nil {
		lines.row("staleness bound", sampling.StalenessBound, "versions")
		lines.row("batch", sampling.BatchSamples, "samples in groups of", sampling.GroupSize)
	}
	if detail.Weights != nil {
		lines.row("published version", detail.Weights.Version, formatTime(detail.Weights.Time))
	}
	if ledger := detail.Ledger; ledger != nil {
		lines.row("consumer", ledger.Consumer.Name, "epoch", ledger.Consumer.Epoch)
		lines.row("batches committed", ledger.Committed, "acknowledged", ledger.Acknowledged)
	}
	for _, count := range detail.Serving {
		lines.row("version", count.Version, "served by", count.Replicas)
	}
	showReplicas(lines, detail.Replicas)
}

func showReplicas(lines *table, replicas []port.Replica) {
	lines.row("REPLICA", "POOL", "ZONE", "ADDRESS", "STATE")
	for _, replica := range replicas {
		lines.row(replica.ID, replica.Pool, replica.Zone, replica.Address, replica.State)
	}
}
