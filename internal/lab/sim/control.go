package sim

import (
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/controlstate"
	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// syncTime is how long a control member takes to sync its log.
	syncTime = 2 * time.Millisecond
	// leaseTerm is the length of the leases.
	leaseTerm = time.Hour
	// controlTerm is the term of the only leader.
	controlTerm = 1
)

// controlLog is the replicated control state as its leader applies it, in the first
// zone. Replication takes a round trip to a quorum and one sync; elections and faults
// are not simulated.
type controlLog struct {
	world *world
	state *controlstate.State
	index uint64
	zone  port.ZoneName
}

// apply applies a command immediately.
func (c *controlLog) apply(command port.Command) port.Result {
	c.index++
	command.Time = c.world.clock().UnixMilli()
	return c.state.Apply(c.index, controlTerm, command)
}

// propose submits a command and returns its result to the zone that it came from,
// with the latencies of both directions and of the replication.
func (c *controlLog) propose(from port.ZoneName, command port.Command, answer func(port.Result)) {
	delay := c.world.latency(from, c.zone)
	replication := 2*c.world.site.ZoneLatency + syncTime
	c.world.after(delay+replication, func() {
		result := c.apply(command)
		c.world.after(delay, func() { answer(result) })
	})
}

// weights returns a pool's published weights.
func (c *controlLog) weights(pool port.PoolName) port.PublishedWeights {
	for _, weights := range c.state.View().Weights {
		if weights.Pool == pool {
			return weights
		}
	}
	return port.PublishedWeights{Pool: pool}
}

// buildControl creates the log with the site's configuration and first weights.
func (w *world) buildControl() error {
	w.control = &controlLog{world: w, state: controlstate.New(), zone: w.site.Zones[0]}
	edits := w.poolEdits()
	for index, replica := range w.replicas {
		edits = append(edits, port.Edit{PutReplica: &port.Replica{
			ID: replica.id, Pool: w.site.EnginePool, Zone: replica.zone,
			Address: fmt.Sprintf("10.0.0.%d:8000", index+1), State: port.ReplicaActive,
		}})
	}
	changeID := registry.FormatChangeID(w.clock(), []byte("site"))
	result := w.control.apply(port.Command{ChangeID: changeID, ChangeConfiguration: &port.ChangeConfiguration{Edits: edits}})
	if result.Error != nil {
		return result.Error
	}
	for index := range w.site.Trainers {
		publish := port.PublishWeights{Pool: w.site.Trainers[index].Pool, Version: firstVersion, Bytes: w.site.WeightBytes}
		if result := w.control.apply(port.Command{PublishWeights: &publish}); result.Error != nil {
			return result.Error
		}
	}
	return nil
}

// acquire acquires the lease of a pool if it is free, and returns the current epoch.
func (w *world) acquire(pool port.PoolName) (port.Epoch, error) {
	if current, found := w.control.state.Lease(port.CoordinatorLease(pool)); found {
		return current.Epoch, nil
	}
	lease := port.AcquireLease{Name: port.CoordinatorLease(pool), Holder: "node-1", TTL: leaseTerm}
	result := w.control.apply(port.Command{AcquireLease: &lease})
	if result.Error != nil {
		return 0, result.Error
	}
	return result.Lease.Epoch, nil
}

// poolEdits returns the edits that create the pools of the engines and the trainers.
func (w *world) poolEdits() []port.Edit {
	var edits []port.Edit
	seen := make(map[port.PoolName]bool)
	for index := range w.site.Trainers {
		trainer := &w.site.Trainers[index]
		pool := w.pool(trainer.Pool, port.PoolGeneration)
		pool.Adapter = trainer.Adapter
		sampling := trainer.Sampling
		sampling.Policy = w.policyOf(trainer)
		pool.Sampling = &sampling
		if trainer.Pool != w.site.EnginePool {
			pool.ReplicasOf = w.site.EnginePool
		}
		seen[trainer.Pool] = true
		edits = append(edits, port.Edit{PutPool: &pool})
	}
	if !seen[w.site.EnginePool] {
		owner := w.pool(w.site.EnginePool, port.PoolGeneration)
		edits = append([]port.Edit{{PutPool: &owner}}, edits...)
	}
	return edits
}

// pool returns the common settings of a pool.
func (w *world) pool(name port.PoolName, kind port.PoolKind) port.Pool {
	return port.Pool{
		Name: name, Kind: kind,
		Admission: port.Admission{
			MinInflight: w.minInFlight(), MaxInflight: w.maxInFlight(), QueueLength: queueLength,
			DefaultDeadline: port.Duration(2 * time.Minute),
		},
		Retry: port.Retry{
			MaxAttempts: 3, BudgetRatio: 0.2,
			BaseBackoff: port.Duration(20 * time.Millisecond), MaxBackoff: port.Duration(time.Second),
		},
	}
}
