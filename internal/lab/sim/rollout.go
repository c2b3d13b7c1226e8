package sim

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/rollout"
	"github.com/loomgrade/loomgrade/internal/port"
)

// weightRollout brings one pool's versions onto the engines.
type weightRollout struct {
	world   *world
	pool    *samplePool
	zone    port.ZoneName
	machine *rollout.Rollout
	heard   port.WeightVersion
	// out holds the replicas that it keeps out of routing.
	out map[port.ReplicaID]bool
}

// buildRollouts makes one rollout for each trainer, all under the lease of the
// pool that owns the engines.
func (w *world) buildRollouts() error {
	fence, err := w.acquire(w.site.EnginePool)
	if err != nil {
		return err
	}
	for index, pool := range w.pools {
		made := &weightRollout{world: w, pool: pool, zone: w.site.Zones[0], heard: firstVersion, out: make(map[port.ReplicaID]bool)}
		config := rollout.Config{
			Pool: pool.settings.Pool, Adapter: pool.settings.Adapter, Fence: fence, Node: "node-1",
			WeightStore: "http://10.0.1.1:9000", Weights: w.control.weights(pool.settings.Pool), Seed: pool.seed,
		}
		if !w.options.Variant.with(PartStaging) {
			config.Rolling = true
			config.MaxStaging = len(w.replicas)
		}
		if made.machine, err = rollout.New(config, w.clock()); err != nil {
			return err
		}
		w.rollouts = append(w.rollouts, made)
		offset := time.Duration(index) * tickInterval / time.Duration(len(w.pools))
		w.every(tickInterval, offset, made.tick)
		w.every(stateInterval, offset, made.tellStates)
	}
	return nil
}

// tick lets time pass and takes new versions over.
func (r *weightRollout) tick() {
	if r.pool.told.Version > r.heard {
		r.heard = r.pool.told.Version
		r.step(rollout.Published{Weights: r.pool.told})
	}
	r.step(rollout.Tick{})
}

// tellStates hands on what the homes know of the engines.
func (r *weightRollout) tellStates() {
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
			r.out[action.Replica] = true
		case rollout.RouteIn:
			delete(r.out, action.Replica)
		case rollout.FencedOff:
			r.world.books.violate("rollout of %s was fenced off by %s", r.pool.settings.Pool, action.Replica)
		}
	}
}

// send brings an order to its engine and the answer back.
func (r *weightRollout) send(action rollout.SendOrder) {
	target := r.world.byID[action.Replica]
	way := r.world.between(r.zone, target.zone)
	r.world.after(way, func() {
		report, failure := target.order(action.Order)
		if failure == nil {
			target.report, target.reportedAt = report, r.world.clock()
		}
		r.world.after(way, func() {
			r.step(rollout.OrderAnswered{Replica: action.Replica, Order: action.Order, Report: report, Err: failure})
		})
	})
}

// routedOut says whether a rollout keeps a replica out of routing.
func (w *world) routedOut(id port.ReplicaID) bool {
	for _, rollout := range w.rollouts {
		if rollout.out[id] {
			return true
		}
	}
	return false
}
