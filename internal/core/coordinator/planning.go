package coordinator

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/port"
)

// planning holds the program, its last good plan and why the last run failed.
type planning struct {
	program *policy.Program
	plan    policy.Plan
	err     error
	ran     time.Time
	due     bool
}

// replanInterval is the least time between two runs of the program that changes
// ask for.
const replanInterval = 20 * time.Millisecond

// replan runs the program between ticks when something changed that it sees.
func (c *Coordinator) replan() {
	if c.planning.due && c.now.Sub(c.planning.ran) >= replanInterval {
		c.runPolicy()
	}
}

// runPolicy runs the program when its time has come or something changed. A run
// that fails leaves the last good plan in force and is recorded once.
func (c *Coordinator) runPolicy() {
	if !c.planning.due && c.now.Sub(c.planning.ran) < planInterval {
		return
	}
	c.planning.ran = c.now
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
	known := c.planning.err != nil && c.planning.err.Error() == err.Error()
	c.planning.err = err
	if known {
		return
	}
	c.record(port.Decision{
		Kind: port.DecisionHeld, Subject: "policy-" + string(c.config.Pool), Code: port.CodeInvalid,
		Detail: "policy program failed, the last good plan stays in force: " + err.Error(),
	})
}

// policyView gives what the program sees.
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

// countLong counts running samples over the threshold in force.
func (c *Coordinator) countLong() int {
	limit := c.planning.plan.LongTokens
	if limit == 0 {
		return 0
	}
	count := 0
	for _, g := range c.order {
		for _, s := range g.samples {
			if !g.gone && s.atReplica() && s.totalTokens() >= limit {
				count++
			}
		}
	}
	return count
}

// replicaLoads is the load of the pool's replicas as last heard.
type replicaLoads struct {
	list     []policy.Replica
	share    map[port.ReplicaID]float64
	lowest   float64
	capacity int
	// newest is the newest version that one of them serves.
	newest port.WeightVersion
}

// crowdedMargin is how much more loaded than the least loaded replica a replica
// must be before a long sample is moved off it; going on elsewhere costs the
// prompt and the text so far once more.
const crowdedMargin = 0.25

func newReplicaLoads(replicas []policy.Replica) replicaLoads {
	loads := replicaLoads{list: replicas, share: make(map[port.ReplicaID]float64, len(replicas)), lowest: 1}
	for _, replica := range replicas {
		if replica.Limit <= 0 {
			continue
		}
		loads.capacity += replica.Limit
		loads.newest = max(loads.newest, replica.Version)
		share := float64(replica.Running) / float64(replica.Limit)
		loads.share[replica.ID] = share
		loads.lowest = min(loads.lowest, share)
	}
	return loads
}

// serves says whether some replica that takes samples serves the version or a
// newer one. A replica that serves none, as before its adapter is loaded, has
// version 0.
func (l *replicaLoads) serves(version port.WeightVersion) bool {
	return l.newest >= max(version, 1)
}

// crowded says whether a replica is clearly more loaded than the least loaded.
func (l *replicaLoads) crowded(id port.ReplicaID) bool {
	share, known := l.share[id]
	return known && share-l.lowest >= crowdedMargin
}
