package coordinator

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/port"
)

// planning holds the policy program, its last valid plan and the error of its last run.
type planning struct {
	program *policy.Program
	plan    policy.Plan
	err     error
	lastRun time.Time
	due     bool
}

// replanInterval is the minimum time between two policy runs triggered by changes.
const replanInterval = 20 * time.Millisecond

// replan runs the policy between ticks if its inputs have changed.
func (c *Coordinator) replan() {
	if c.planning.due && c.now.Sub(c.planning.lastRun) >= replanInterval {
		c.runPolicy()
	}
}

// runPolicy runs the policy program if it is due. If the run fails, the last valid plan
// remains active; repeated identical errors are recorded once.
func (c *Coordinator) runPolicy() {
	if !c.planning.due && c.now.Sub(c.planning.lastRun) < planInterval {
		return
	}
	c.planning.lastRun = c.now
	c.planning.due = false
	plan, _, err := c.planning.program.Run(c.policyView())
	if err != nil {
		c.reportPolicyError(err)
		return
	}
	c.planning.err = nil
	c.planning.plan = plan
}

func (c *Coordinator) reportPolicyError(err error) {
	repeated := c.planning.err != nil && c.planning.err.Error() == err.Error()
	c.planning.err = err
	if repeated {
		return
	}
	c.record(port.Decision{
		Kind: port.DecisionHeld, Subject: "policy-" + string(c.config.Pool), Code: port.CodeInvalid,
		Detail: "policy program failed, keeping the last valid plan: " + err.Error(),
	})
}

// policyView returns the program's input.
func (c *Coordinator) policyView() policy.View {
	sampling := &c.config.Sampling
	scoring, buffered := c.countFinished()
	return policy.View{
		Name: c.config.Pool, Version: c.version,
		StalenessBound: sampling.StalenessBound, BatchSamples: sampling.BatchSamples,
		GroupSize: sampling.GroupSize, MaxTokens: sampling.MaxTokens, BufferBatches: sampling.BufferBatches,
		InFlight: c.running, Scoring: scoring, Buffered: buffered,
		Capacity: c.replicas.capacity, TrainerWaiting: len(c.waiters) > 0,
		LongSamples:  c.countLong(),
		MedianTokens: c.lengths.quantile(0.5), HighTokens: c.lengths.quantile(0.95),
		Replicas: c.replicas.list,
	}
}

// countLong counts running samples of at least the plan's LongTokens.
func (c *Coordinator) countLong() int {
	limit := c.planning.plan.LongTokens
	if limit == 0 {
		return 0
	}
	count := 0
	for _, g := range c.order {
		for _, s := range g.samples {
			if !g.discarded && s.atReplica() && s.totalTokens() >= limit {
				count++
			}
		}
	}
	return count
}

// replicaLoads holds the last reported load of the pool's replicas.
type replicaLoads struct {
	list           []policy.Replica
	utilization    map[port.ReplicaID]float64
	minUtilization float64
	capacity       int
	// newestVersion is the newest version served by any replica that accepts samples.
	newestVersion port.WeightVersion
}

// overloadMargin is how far a replica's utilization must exceed the lowest one before
// a long sample is moved off it. Moving costs another prefill of the prompt and text.
const overloadMargin = 0.25

func newReplicaLoads(replicas []policy.Replica) replicaLoads {
	loads := replicaLoads{list: replicas, utilization: make(map[port.ReplicaID]float64, len(replicas)), minUtilization: 1}
	for _, replica := range replicas {
		if replica.Limit <= 0 {
			continue
		}
		loads.capacity += replica.Limit
		loads.newestVersion = max(loads.newestVersion, replica.Version)
		share := float64(replica.Running) / float64(replica.Limit)
		loads.utilization[replica.ID] = share
		loads.minUtilization = min(loads.minUtilization, share)
	}
	return loads
}

// serves reports whether any replica that accepts samples serves the version or a newer
// one. A replica without loaded weights or adapter has version 0.
func (l *replicaLoads) serves(version port.WeightVersion) bool {
	return l.newestVersion >= max(version, 1)
}

// overloaded reports whether a replica's utilization clearly exceeds the lowest one.
func (l *replicaLoads) overloaded(id port.ReplicaID) bool {
	share, known := l.utilization[id]
	return known && share-l.minUtilization >= overloadMargin
}
