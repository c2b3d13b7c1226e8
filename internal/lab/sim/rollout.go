package sim

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/rollout"
	"github.com/loomgrade/loomgrade/internal/port"
)

// weightRollout rolls out one pool's versions to the engines.
type weightRollout struct {
	world           *world
	pool            *samplePool
	zone            port.ZoneName
	machine         *rollout.Rollout
	reportedVersion port.WeightVersion
	// routedOut holds the replicas that the rollout excludes from routing.
	routedOut map[port.ReplicaID]bool
}

// buildRollouts creates a rollout per trainer, all under the lease of the pool that
// owns the engines.
func (w *world) buildRollouts() error {
	fence, err := w.acquire(w.site.EnginePool)
	if err != nil {
		return err
	}
	for index, pool := range w.pools {
		r := &weightRollout{world: w, pool: pool, zone: w.site.Zones[0], reportedVersion: firstVersion, routedOut: make(map[port.ReplicaID]bool)}
		config := rollout.Config{
			Pool: pool.settings.Pool, Adapter: pool.settings.Adapter, Fence: fence, Node: "node-1",
			WeightStore: "http://10.0.1.1:9000", Weights: w.control.weights(pool.settings.Pool), Seed: pool.seed,
		}
		if !w.options.Variant.enabled(PartStaging) {
			config.Rolling = true
			config.MaxStaging = len(w.replicas)
		}
		if r.machine, err = rollout.New(config, w.clock()); err != nil {
			return err
		}
		w.rollouts = append(w.rollouts, r)
		offset := time.Duration(index) * tickInterval / time.Duration(len(w.pools))
		w.every(tickInterval, offset, r.tick)
		w.every(stateInterval, offset, r.reportStates)
	}
	return nil
}

// tick reports newly published versions and the time to the rollout.
func (r *weightRollout) tick() {
	if r.pool.publishedWeights.Version > r.reportedVersion {
		r.reportedVersion = r.pool.publishedWeights.Version
		r.step(rollout.Published{Weights: r.pool.publishedWeights})
	}
	r.step(rollout.Tick{})
}

// reportStates sends the engines' states, as last reported to their homes, to the rollout.
func (r *weightRollout) reportStates() {
	members := make([]rollout.Replica, 0, len(r.world.replicas))
	for _, replica := range r.world.replicas {
		members = append(members, rollout.Replica{ID: replica.id, Reachable: !replica.reportedAt.IsZero()})
	}
	r.step(rollout.ReplicasChanged{Replicas: members})
	now := r.world.clock()
	for _, replica := range r.world.replicas {
		if !replica.reportedAt.IsZero() {
			report := replica.report
			report.AgeMillis = now.Sub(replica.reportedAt).Milliseconds()
			r.step(rollout.LoadReported{Replica: replica.id, Report: report})
		}
	}
}

func (r *weightRollout) step(event rollout.Event) {
	for _, action := range r.machine.Step(r.world.clock(), event) {
		switch action := action.(type) {
		case rollout.SendOrder:
			r.send(action)
		case rollout.RouteOut:
			r.routedOut[action.Replica] = true
		case rollout.RouteIn:
			delete(r.routedOut, action.Replica)
		case rollout.FencedOff:
			r.world.auditRecords.addViolation("rollout of %s was fenced off by %s", r.pool.settings.Pool, action.Replica)
		}
	}
}

// send sends an order to its engine and returns the answer.
func (r *weightRollout) send(action rollout.SendOrder) {
	target := r.world.byID[action.Replica]
	delay := r.world.latency(r.zone, target.zone)
	r.world.after(delay, func() {
		report, failure := target.order(action.Order)
		if failure == nil {
			target.report, target.reportedAt = report, r.world.clock()
		}
		r.world.after(delay, func() {
			r.step(rollout.OrderAnswered{Replica: action.Replica, Order: action.Order, Report: report, Err: failure})
		})
	})
}

// routedOut reports whether a rollout excludes a replica from routing.
func (w *world) routedOut(id port.ReplicaID) bool {
	for _, rollout := range w.rollouts {
		if rollout.routedOut[id] {
			return true
		}
	}
	return false
}
