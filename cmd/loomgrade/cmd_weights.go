package main

import (
	"github.com/loomgrade/loomgrade/internal/adapter/controlclient"
	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/port"
)

// weightsCommand groups the weight version commands.
type weightsCommand struct {
	Publish weightsPublishCommand `cmd:"" help:"Publish a weight version of a pool."`
	Status  weightsStatusCommand  `cmd:"" help:"Show published versions and which replicas serve which."`
}

// weightsPublishCommand publishes a version.
type weightsPublishCommand struct {
	operatorFlags `embed:""`
	Pool          port.PoolName      `arg:"" help:"Pool that feeds the trainer."`
	Version       port.WeightVersion `arg:"" help:"Version, above every earlier one of the pool."`
	Bytes         uint64             `required:"" help:"Size of the weights in the weight store, in bytes."`
	ChangeID      string             `name:"change-id" help:"Id of an earlier try whose answer was lost."`
}

// Run publishes the version.
func (c *weightsPublishCommand) Run(std streams) error {
	client, ctx, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	if c.ChangeID == "" {
		c.ChangeID = controlclient.NewChangeID()
	}
	accepted, err := client.PublishWeights(ctx, operatorapi.PublishWeights{
		Pool: c.Pool, Version: c.Version, Bytes: c.Bytes, ChangeID: c.ChangeID,
	})
	if err != nil {
		return adviseRetry(err, c.ChangeID)
	}
	return output(c.outputFlags, std, accepted, showAccepted)
}

// weightsStatusCommand shows versions.
type weightsStatusCommand struct {
	operatorFlags `embed:""`
}

// Run prints a row for each pool and served version.
func (c *weightsStatusCommand) Run(std streams) error {
	return query(&c.operatorFlags, std, (*operatorapi.Client).Weights, func(lines *table, weights operatorapi.Weights) {
		lines.row("POOL", "PUBLISHED", "TIME", "SERVED", "REPLICAS")
		for _, pool := range weights.Pools {
			if len(pool.Serving) == 0 {
				lines.row(pool.Pool, pool.Version, formatTime(pool.Time), "-", 0)
			}
			for _, count := range pool.Serving {
				lines.row(pool.Pool, pool.Version, formatTime(pool.Time), count.Version, count.Replicas)
			}
		}
	})
}
