package main

import (
	"context"

	"github.com/loomgrade/loomgrade/internal/adapter/controlclient"
	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/port"
)

// replicaCommand groups the replica commands.
type replicaCommand struct {
	List   replicaListCommand   `cmd:"" help:"List replicas."`
	Drain  replicaDrainCommand  `cmd:"" help:"Give a replica no new work; what is in flight finishes."`
	Return replicaReturnCommand `cmd:"" help:"Give a drained replica work again."`
}

// replicaListCommand lists replicas.
type replicaListCommand struct {
	operatorFlags `embed:""`
	Pool          port.PoolName `help:"Only those of this pool."`
}

// Run lists the replicas.
func (c *replicaListCommand) Run(std streams) error {
	call := func(client *operatorapi.Client, ctx context.Context) (operatorapi.Replicas, error) {
		answer, err := client.Replicas(ctx)
		answer.Replicas = c.filterByPool(answer.Replicas)
		return answer, err
	}
	return query(&c.operatorFlags, std, call, func(lines *table, answer operatorapi.Replicas) {
		showReplicas(lines, answer.Replicas)
	})
}

func (c *replicaListCommand) filterByPool(replicas []port.Replica) []port.Replica {
	chosen := []port.Replica{}
	for _, replica := range replicas {
		if c.Pool == "" || replica.Pool == c.Pool {
			chosen = append(chosen, replica)
		}
	}
	return chosen
}

// replicaChange holds the flags and arguments shared by drain and return.
type replicaChange struct {
	operatorFlags `embed:""`
	ID            port.ReplicaID `arg:"" help:"Id of the replica."`
	Expected      *port.Revision `help:"Revision that the change starts from; by default the one in force."`
	Author        string         `env:"USER" help:"Who makes the change, for the history."`
	Note          string         `help:"Why, for the history."`
}

// replicaDrainCommand drains a replica.
type replicaDrainCommand struct {
	replicaChange `embed:""`
}

// Run requests the drain.
func (c *replicaDrainCommand) Run(std streams) error {
	return c.apply(std, (*operatorapi.Client).DrainReplica)
}

// replicaReturnCommand returns a replica.
type replicaReturnCommand struct {
	replicaChange `embed:""`
}

// Run requests the return.
func (c *replicaReturnCommand) Run(std streams) error {
	return c.apply(std, (*operatorapi.Client).ReturnReplica)
}

// replicaCall is a client method that changes a replica.
type replicaCall func(*operatorapi.Client, context.Context, port.ReplicaID, operatorapi.ReplicaChange) (operatorapi.Accepted, error)

// maxReplicaAttempts limits the attempts of a change without an expected revision when
// concurrent changes conflict with it.
const maxReplicaAttempts = 5

func (c *replicaChange) apply(std streams, call replicaCall) error {
	client, ctx, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	var accepted operatorapi.Accepted
	for range maxReplicaAttempts {
		accepted, err = c.applyOnce(ctx, client, call)
		if err == nil {
			return output(c.outputFlags, std, accepted, showAccepted)
		}
		if c.Expected != nil || port.AsError(err).Code != port.CodeConflict {
			return err
		}
	}
	return err
}

func (c *replicaChange) applyOnce(ctx context.Context, client *operatorapi.Client, call replicaCall) (operatorapi.Accepted, error) {
	expected := c.Expected
	if expected == nil {
		replicas, err := client.Replicas(ctx)
		if err != nil {
			return operatorapi.Accepted{}, err
		}
		expected = &replicas.Revision
	}
	return call(client, ctx, c.ID, operatorapi.ReplicaChange{
		ExpectedRevision: expected, ChangeID: controlclient.NewChangeID(), Author: c.Author, Note: c.Note,
	})
}
